//! Verdicts on packets of passthrough flows, as pure functions of what a side process has
//! recorded. The specification explores the states of the protocol with these functions.

use crate::owner_lookup::OwnershipReply;

/// Position of a packet on its plan when it arrives at a side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PassthroughArrival {
    /// Whether the plan has another host after this one.
    pub more_hops: bool,
    /// Whether the plan names every host that could own the flow.
    pub complete: bool,
}

/// Action of a side process on a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassthroughVerdict {
    /// Deliver it to the backend server.
    Deliver,
    /// Deliver a SYN, which opens a flow.
    Open,
    /// Deliver it to find out whether the backend server holds the flow.
    QueryBackend,
    /// This host does not own the flow: send the packet to the next host of its plan.
    NextHop,
    /// This host does not own the flow, and the plan has no other host.
    NoNextHop,
    /// Every host rejected the SYN: refuse it.
    Refuse,
}

impl PassthroughVerdict {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deliver => "deliver",
            Self::Open => "open",
            Self::QueryBackend => "ask",
            Self::NextHop => "pass-on",
            Self::NoNextHop => "not-here",
            Self::Refuse => "refuse",
        }
    }
}

/// State of a non-SYN packet's flow, as recorded by a side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FlowKnowledge {
    /// Established at the backend server, or recently closed there.
    Owned,
    /// The SYN was delivered to the backend server, which has sent no SYN-ACK.
    HalfOpen,
    /// The backend server sent a SYN-ACK, but the caller acknowledges that of another
    /// host.
    OpenedElsewhere,
    /// The backend server was queried about the flow and has not replied.
    Queried,
    /// The backend server does not hold the flow.
    NotOwned,
    /// The flow may be older than this process, or than the current backend epoch.
    Unverified,
}

/// Returns the verdict on a caller's non-SYN packet.
pub fn judge_data(knowledge: FlowKnowledge, arrival: PassthroughArrival) -> PassthroughVerdict {
    match knowledge {
        FlowKnowledge::Owned => PassthroughVerdict::Deliver,
        FlowKnowledge::Unverified => PassthroughVerdict::QueryBackend,
        FlowKnowledge::HalfOpen
        | FlowKnowledge::OpenedElsewhere
        | FlowKnowledge::Queried
        | FlowKnowledge::NotOwned => next_hop(arrival),
    }
}

/// Returns a host's reply to a lookup query for a flow.
pub fn lookup_reply(knowledge: FlowKnowledge) -> OwnershipReply {
    match knowledge {
        FlowKnowledge::Owned => OwnershipReply::Owned,
        FlowKnowledge::NotOwned => OwnershipReply::NotOwned,
        FlowKnowledge::HalfOpen
        | FlowKnowledge::OpenedElsewhere
        | FlowKnowledge::Queried
        | FlowKnowledge::Unverified => OwnershipReply::Unknown,
    }
}

/// Returns the verdict on a reset from the backend server. A reset of a flow that was not
/// established there is withheld: it would break the flow that the caller opened at
/// another host.
pub fn judge_reset(knowledge: FlowKnowledge) -> ReplyVerdict {
    match knowledge {
        FlowKnowledge::Owned => ReplyVerdict::Forward,
        _ => ReplyVerdict::Withhold,
    }
}

/// Action of a side process on a packet of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// Send it to the caller.
    Forward,
    /// Drop it.
    Withhold,
}

fn next_hop(arrival: PassthroughArrival) -> PassthroughVerdict {
    if arrival.more_hops {
        PassthroughVerdict::NextHop
    } else {
        PassthroughVerdict::NoNextHop
    }
}
