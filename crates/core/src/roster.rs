//! The hosts that serve, as the roster of a data centre records them.

use std::fmt;
use std::net::SocketAddrV4;

use crate::chart::HostState;
use crate::flow::BucketIndex;
use crate::ids::{DatacenterName, HostName, Incarnation, ServiceId};
use crate::units::HostWeight;

/// Index of a host within its [`ServiceView`](crate::view::ServiceView).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostIndex(pub u32);

/// One host of a roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// The host.
    pub name: HostName,
    /// The service that its backend server runs.
    pub service: ServiceId,
    /// Where it stands.
    pub datacenter: DatacenterName,
    /// Where its side process takes packets.
    pub packets: SocketAddrV4,
    /// Where its side process takes relayed requests.
    pub relays: SocketAddrV4,
    /// Start of its side process.
    pub incarnation: Incarnation,
    /// Relative speed.
    pub weight: HostWeight,
    /// Where in its life it is.
    pub state: HostState,
    /// Buckets of flows that it holds without being a candidate for them.
    pub held: Vec<BucketIndex>,
}

impl HostRecord {
    /// Whether the host may be asked to open flows.
    pub fn accepts_flows(&self) -> bool {
        matches!(self.state, HostState::Warming | HostState::Serving)
    }

    /// Whether the host may still hold flows.
    pub fn holds_flows(&self) -> bool {
        !matches!(self.state, HostState::Joining | HostState::Gone)
    }
}

impl fmt::Display for HostRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{} ({})", self.name, self.packets, self.state)
    }
}
