//! Decisions of an entry VM on packets of passthrough flows: the hosts that a packet visits,
//! and the verdict of an owner lookup.

use std::net::SocketAddrV4;

use crate::entry::PlanSource;
use crate::flow::TcpSegment;
use crate::ids::ServiceTag;
use crate::owner_lookup::IncompleteLookup;

/// The hosts that a packet visits, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PassthroughPlan {
    /// Tag of the service that the hosts have to run.
    pub tag: ServiceTag,
    /// Packet addresses of their side processes.
    pub hops: Vec<SocketAddrV4>,
    /// Whether the last host makes the final decision. Otherwise it returns a packet whose
    /// flow it does not own.
    pub complete: bool,
    /// Origin of the first hop.
    pub source: PlanSource,
}

/// What an entry VM does with a packet that a host returned because it does not own the
/// flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RerouteDecision {
    /// The packet visits these hosts.
    Walk(PassthroughPlan),
    /// It has visited all candidates. Once all its copies are back, the owner is looked up, and the
    /// verdict decides on the packet.
    AwaitLookup,
}

/// Outcome of an owner lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupVerdict {
    /// This host owns the flow and is cached as owner.
    Found(SocketAddrV4),
    /// No host owns the flow, and this entry VM knows all hosts: the caller may be sent a
    /// reset. Contains the segment that started the lookup.
    NoOwner(TcpSegment),
    /// No known host owns the flow, but the view is not fresh or has not been for long enough to
    /// know all hosts.
    Unconfirmed,
    /// Some hosts cannot tell whether they own the flow: a copy of the packet follows each plan
    /// and visits them, so that they query their backend servers. Once all copies are back, the
    /// owner is looked up again.
    Undetermined(Vec<PassthroughPlan>),
    /// The rate limit did not allow a lookup.
    NotStarted,
    /// Some hosts replied [`OwnershipReply::Unknown`] or did not reply.
    Incomplete(IncompleteLookup),
}

impl LookupVerdict {
    /// Returns the name used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Found(_) => "found",
            Self::NoOwner(_) => "dead",
            Self::Unconfirmed => "doubtful",
            Self::Undetermined(_) => "unsure",
            Self::NotStarted => "limited",
            Self::Incomplete(_) => "open",
        }
    }

    /// Returns the replies that the lookup lacks, if it is incomplete.
    pub fn incomplete(&self) -> Option<IncompleteLookup> {
        match self {
            Self::Incomplete(incomplete) => Some(*incomplete),
            _ => None,
        }
    }

    /// Returns the host that owns the flow, if it was found.
    pub fn owner(&self) -> Option<SocketAddrV4> {
        match self {
            Self::Found(owner) => Some(*owner),
            _ => None,
        }
    }
}
