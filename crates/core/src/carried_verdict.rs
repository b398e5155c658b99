//! Verdicts on packets of carried flows, as pure functions of what a side process
//! knows. The specification of the protocol searches them.

use crate::search::FlowWord;

/// How a packet came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CarriedArrival {
    /// Whether its plan has another host after this one.
    pub more_hops: bool,
    /// Whether the plan names every host that could own the flow.
    pub complete: bool,
}

/// What the side process does with a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CarriedVerdict {
    /// Deliver it.
    Deliver,
    /// Deliver an opening.
    Open,
    /// Deliver it to see whether the backend server knows the flow.
    Ask,
    /// The flow is not here: send the packet to the next host of its plan.
    PassOn,
    /// The flow is not here, and the plan has no other host.
    NotHere,
    /// Every host refused the opening: refuse it.
    Refuse,
}

impl CarriedVerdict {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deliver => "deliver",
            Self::Open => "open",
            Self::Ask => "ask",
            Self::PassOn => "pass-on",
            Self::NotHere => "not-here",
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
    Unanswered,
    /// The backend server answered the opening, but the caller acknowledges
    /// another host's answer.
    OfferedElsewhere,
    /// The backend server was asked for it and has not answered.
    Asked,
    /// The backend server does not hold it.
    Stranger,
    /// It may be older than this process.
    Unseen,
}

/// The verdict on a caller's packet that opens nothing.
pub fn judge_data(knowledge: FlowKnowledge, arrival: CarriedArrival) -> CarriedVerdict {
    match knowledge {
        FlowKnowledge::Owned => CarriedVerdict::Deliver,
        FlowKnowledge::Unseen => CarriedVerdict::Ask,
        FlowKnowledge::Unanswered
        | FlowKnowledge::OfferedElsewhere
        | FlowKnowledge::Asked
        | FlowKnowledge::Stranger => elsewhere(arrival),
    }
}

/// What a host says of a flow that an entry VM searches.
pub fn judge_search(knowledge: FlowKnowledge) -> FlowWord {
    match knowledge {
        FlowKnowledge::Owned => FlowWord::Here,
        FlowKnowledge::Stranger => FlowWord::Never,
        FlowKnowledge::Unanswered
        | FlowKnowledge::OfferedElsewhere
        | FlowKnowledge::Asked
        | FlowKnowledge::Unseen => FlowWord::Unsure,
    }
}

/// The verdict on a reset by the backend server. One at which the flow was not
/// opened would break the flow that the caller opened elsewhere.
pub fn judge_reset(knowledge: FlowKnowledge) -> SentVerdict {
    match knowledge {
        FlowKnowledge::Owned => SentVerdict::Forward,
        _ => SentVerdict::Withhold,
    }
}

/// What the side process does with a packet of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentVerdict {
    /// Send it to the caller.
    Forward,
    /// Drop it.
    Withhold,
}

fn elsewhere(arrival: CarriedArrival) -> CarriedVerdict {
    if arrival.more_hops {
        CarriedVerdict::PassOn
    } else {
        CarriedVerdict::NotHere
    }
}
