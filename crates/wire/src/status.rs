//! Status reports of the processes for operators, in JSON.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::records::{VersionField, WireEntry, WireVersion};

/// Status of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name of the entry VM.
    pub name: CompactString,
    /// Data centre of the entry VM.
    pub datacenter: CompactString,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Whether this is one of the entry VMs that watch the platform.
    pub watching: bool,
    /// Time since the platform confirmed its documents, in milliseconds; `None` if
    /// it never did.
    pub age_ms: Option<u64>,
    /// Versions of the documents in force.
    pub documents: Vec<WireVersion>,
    /// Data centres that operators have drained.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drained: Vec<CompactString>,
    /// All entry VMs in the members documents.
    pub entries: Vec<WireEntry>,
    /// Hosts that register with this entry VM.
    pub hosts: Vec<HostStatus>,
    /// Counters by name.
    pub counters: BTreeMap<CompactString, u64>,
}

/// Status of a host that registers with an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub name: CompactString,
    /// Firm and service, as `firm/service`.
    pub service: CompactString,
    /// Version of the firm's manifest that the host has in force.
    pub manifest: u64,
}

/// Status of a side process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SideStatus {
    /// Name of its host.
    pub name: CompactString,
    /// Firm and service, as `firm/service`.
    pub service: CompactString,
    /// State of the host.
    pub state: CompactString,
    /// Version of the firm's manifest that is in force.
    pub manifest: u64,
    /// Number of open flows.
    pub flows: u64,
    /// Number of running requests.
    pub running: u64,
    /// Number of queued requests.
    pub waiting: u64,
    /// Requests at once that the backend server takes well, if this is learned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usable_slots: Option<u64>,
    /// Whether the data centre is drained as far as the host knows.
    #[serde(default)]
    pub drained: bool,
    /// Counters by name.
    pub counters: BTreeMap<CompactString, u64>,
}

/// The hosts that an entry VM would send the packets of a flow to.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowExplanation {
    /// Firm and service, as `firm/service`.
    pub service: CompactString,
    /// Bucket of the flow.
    pub bucket: u16,
    /// Roster generation that the hops were chosen from.
    pub generation: VersionField,
    /// Data centres that operators have drained: their hosts are no hops of the SYN.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drained: Vec<CompactString>,
    /// Hops of the flow's SYN.
    pub opening: Vec<HopExplanation>,
    /// Hops of all other packets.
    pub walk: Vec<HopExplanation>,
    /// Whether the walk contains every possible owner.
    pub complete: bool,
}

/// A hop of a packet, with the facts that it was chosen by.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HopExplanation {
    /// Name of the host.
    pub host: CompactString,
    /// State of the host.
    pub state: CompactString,
    /// Weight of the host.
    pub weight: u16,
    /// Address at which the side process receives packets.
    pub packets: CompactString,
}
