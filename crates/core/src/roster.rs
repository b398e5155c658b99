//! Host records, which the roster of a data centre consists of.

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
    /// Name of the host.
    pub name: HostName,
    /// Service that its backend server runs.
    pub service: ServiceId,
    /// Data centre that it runs in.
    pub datacenter: DatacenterName,
    /// Address of its side process for packets.
    pub packets: SocketAddrV4,
    /// Address of its side process for relayed requests.
    pub relays: SocketAddrV4,
    /// Incarnation of its side process.
    pub incarnation: Incarnation,
    /// Speed relative to an ordinary host.
    pub weight: HostWeight,
    /// State of the host.
    pub state: HostState,
    /// Buckets of which it holds flows without being a candidate for them.
    pub held_buckets: Vec<BucketIndex>,
}

impl HostRecord {
    /// Returns whether the host accepts new flows.
    pub fn accepts_flows(&self) -> bool {
        matches!(self.state, HostState::Warming | HostState::Serving)
    }

    /// Returns whether this is the record of a process. Hosts that started in the same millisecond
    /// have the same incarnation, so that alone identifies none.
    pub fn is_of_process(&self, name: &HostName, incarnation: Incarnation) -> bool {
        self.name == *name && self.incarnation == incarnation
    }

    /// Returns whether the host may hold flows.
    pub fn holds_flows(&self) -> bool {
        !matches!(self.state, HostState::Joining | HostState::Gone)
    }
}

impl fmt::Display for HostRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{} ({})", self.name, self.packets, self.state)
    }
}
