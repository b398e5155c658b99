//! What the processes tell operators, in JSON.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::records::{WireEntry, WireVersion};

/// Status of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: CompactString,
    /// Its data centre.
    pub datacenter: CompactString,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether it watches the platform.
    pub watching: bool,
    /// Time since the platform confirmed what it knows; none if never.
    pub age_ms: Option<u64>,
    /// The documents in force.
    pub documents: Vec<WireVersion>,
    /// All entry VMs that it knows.
    pub entries: Vec<WireEntry>,
    /// The hosts that announce themselves to it.
    pub hosts: Vec<HostStatus>,
    /// What it counted.
    pub counters: BTreeMap<CompactString, u64>,
}

/// What an entry VM knows of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostStatus {
    /// Its name.
    pub name: CompactString,
    /// Firm and service.
    pub service: CompactString,
    /// Version of the firm's manifest that it has in force.
    pub manifest: u64,
}

/// Status of a side process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SideStatus {
    /// Its host.
    pub name: CompactString,
    /// Firm and service.
    pub service: CompactString,
    /// State of its life.
    pub state: CompactString,
    /// Version of the firm's manifest in force.
    pub manifest: u64,
    /// Open flows.
    pub flows: u64,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// What it counted.
    pub counters: BTreeMap<CompactString, u64>,
}

/// Where an entry VM would send a flow, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowExplanation {
    /// Firm and service.
    pub service: CompactString,
    /// Bucket of the flow.
    pub bucket: u16,
    /// Roster generation.
    pub generation: u64,
    /// Hops of a packet that opens the flow.
    pub opening: Vec<HopExplanation>,
    /// Hops of every other packet.
    pub walk: Vec<HopExplanation>,
    /// Whether the walk reaches every possible owner.
    pub complete: bool,
}

/// One hop.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HopExplanation {
    /// The host.
    pub host: CompactString,
    /// State of its life.
    pub state: CompactString,
    /// Its weight.
    pub weight: u16,
    /// Address of its side process.
    pub packets: CompactString,
}
