//! Status reports of the processes for operators, in JSON.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};

use chestnutlb_core::{HostLoad, OpeningCandidate};

use crate::records::{VersionField, WireEntry, WireObjectVersion, WireVersion};

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
    /// Whether documents of operators are in force in an earlier version, since the platform has
    /// one that can't be read, here or at a peer.
    #[serde(default)]
    pub outdated: bool,
    /// Documents of operators that the platform has and that can't be read here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unreadable: Vec<CompactString>,
    /// Documents of operators with items that can't be read, and their numbers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub partly_read: Vec<CompactString>,
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
    pub manifest: WireObjectVersion,
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
    /// Whether entry VMs know of the host: `not-registered`, `no-entry-known`, `no-reply` or
    /// `replied`; left out by earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registration: Option<CompactString>,
    /// Version of the firm's manifest that is in force.
    pub manifest: WireObjectVersion,
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
#[derive(Debug, Clone, PartialEq)]
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
    /// Candidates for the SYN of a passthrough flow: the hops by cost, then those left out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<CandidateExplanation>,
    /// Why the SYN would go to no host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dropped: Option<CompactString>,
    /// Time since the platform confirmed the view, in milliseconds; `None` if it did not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view_age_ms: Option<u64>,
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

/// A candidate for the SYN of a passthrough flow, with the inputs of its rank.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CandidateExplanation {
    /// Name of the host.
    pub host: CompactString,
    /// Data centre of the host.
    pub datacenter: CompactString,
    /// State of the host.
    pub state: CompactString,
    /// Address at which the side process receives packets.
    pub packets: CompactString,
    /// Time in which the host would complete one more request, with penalties, in milliseconds.
    pub cost_ms: f64,
    /// Its newest load report, if it has sent one.
    pub report: Option<ReportExplanation>,
    /// Why it is no hop; `None` if it is one.
    pub left_out: Option<CompactString>,
}

/// A load report that a rank depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportExplanation {
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Requests in progress or queued at the backend server.
    pub at_work: u16,
    /// Requests that it takes at once.
    pub slots: u16,
    /// Mean time of a request that was not queued, in microseconds; zero if none was measured.
    pub service_us: u32,
    /// Share of its recent responses that look like failures.
    pub failing_percent: u8,
    /// Whether it is slow because it has just started.
    pub cold: bool,
}

impl From<(HostLoad, Duration)> for ReportExplanation {
    fn from((load, age): (HostLoad, Duration)) -> Self {
        Self {
            age_ms: age.as_millis() as u64,
            at_work: load.at_work,
            slots: load.slots,
            service_us: load.service_us,
            failing_percent: load.failing_percent,
            cold: load.cold,
        }
    }
}

impl From<&OpeningCandidate> for CandidateExplanation {
    fn from(candidate: &OpeningCandidate) -> Self {
        Self {
            host: candidate.name.to_compact_string(),
            datacenter: candidate.datacenter.to_compact_string(),
            state: candidate.state.to_compact_string(),
            packets: candidate.packets.to_compact_string(),
            cost_ms: candidate.cost_ms,
            report: candidate.report.map(ReportExplanation::from),
            left_out: candidate.left_out.map(|reason| reason.as_str().into()),
        }
    }
}
