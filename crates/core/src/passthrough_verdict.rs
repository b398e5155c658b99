//! Verdicts on packets of carried flows, as pure functions of what a side process
//! knows. The specification of the protocol searches them.

use crate::owner_lookup::OwnershipReply;

/// How a packet came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PassthroughArrival {
    /// Whether its plan has another host after this one.
    pub more_hops: bool,
    /// Whether the plan names every host that could own the flow.
    pub complete: bool,
}

/// What the side process does with a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassthroughVerdict {
    /// Deliver it.
    Deliver,
    /// Deliver an opening.
    Open,
    /// Deliver it to see whether the backend server knows the flow.
    QueryBackend,
    /// The flow is not here: send the packet to the next host of its plan.
    NextHop,
    /// The flow is not here, and the plan has no other host.
    NoNextHop,
    /// Every host refused the opening: refuse it.
    Refuse,
}

impl PassthroughVerdict {
    /// Name in logs.
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

/// What a side process knows of the flow of a packet that opens nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FlowKnowledge {
    /// It is open at the backend server, or has just ended there.
    Owned,
    /// The backend server got the opening and has not answered it.
    HalfOpen,
    /// The backend server answered the opening, but the caller acknowledges
    /// another host's answer.
    OpenedElsewhere,
    /// The backend server was asked for it and has not answered.
    Queried,
    /// The backend server does not hold it.
    NotOwned,
    /// It may be older than this process.
    Unverified,
}

/// The verdict on a caller's packet that opens nothing.
pub fn judge_data(knowledge: FlowKnowledge, arrival: PassthroughArrival) -> PassthroughVerdict {
    match knowledge {
        FlowKnowledge::Owned => PassthroughVerdict::Deliver,
        FlowKnowledge::Unverified => PassthroughVerdict::QueryBackend,
        FlowKnowledge::HalfOpen
        | FlowKnowledge::OpenedElsewhere
        | FlowKnowledge::Queried
        | FlowKnowledge::NotOwned => elsewhere(arrival),
    }
}

/// What a host says of a flow that an entry VM searches.
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

/// The verdict on a reset by the backend server. One at which the flow was not
/// opened would break the flow that the caller opened elsewhere.
pub fn judge_reset(knowledge: FlowKnowledge) -> ReplyVerdict {
    match knowledge {
        FlowKnowledge::Owned => ReplyVerdict::Forward,
        _ => ReplyVerdict::Withhold,
    }
}

/// What the side process does with a packet of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// Send it to the caller.
    Forward,
    /// Drop it.
    Withhold,
}

fn elsewhere(arrival: PassthroughArrival) -> PassthroughVerdict {
    if arrival.more_hops {
        PassthroughVerdict::NextHop
    } else {
        PassthroughVerdict::NoNextHop
    }
}
