//! Messages among entry VMs and side processes: small datagrams for liveness,
//! HTTP bodies in MessagePack for everything larger.

use std::time::Duration;

use compact_str::CompactString;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use chestnutlb_core::{DocumentId, Heartbeat, ObjectVersion, RegistrationReply};

use crate::manifest::{DocumentError, WireService};
use crate::records::{WireEntry, WireHost, WirePatch, WireVersion};

/// Version of these messages.
pub const PEER_VERSION: u8 = 1;
/// Largest datagram, in bytes.
pub const MAX_PEER_DATAGRAM_BYTES: usize = 1400;
/// Largest HTTP body, in bytes.
pub const MAX_PEER_BODY_BYTES: u64 = 32 << 20;

quick_error! {
    /// Why a message is dropped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
    pub enum PeerError {
        /// It is empty.
        Empty {
            display("empty")
        }
        /// It was sent by another version of the system.
        Version {
            display("wrong-version")
        }
        /// It can't be read.
        Malformed {
            display("malformed")
        }
    }
}

/// Datagrams.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// A host says who it is.
    Announce(WireRegistration),
    /// A host says that it is as it said before.
    Alive(WireKeepAlive),
    /// What a host should know.
    Welcome(WireRegistrationReply),
    /// An entry VM says that it is there.
    Heartbeat(PeerHeartbeat),
}

/// A host's announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireRegistration {
    /// The host.
    pub host: WireHost,
    /// Its count of changes.
    pub revision: u64,
    /// Version of its firm's manifest that it has in force.
    pub manifest: u64,
}

/// A host's short announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireKeepAlive {
    /// The host.
    pub name: CompactString,
    /// Start of its side process.
    pub incarnation: u64,
    /// Its count of changes.
    pub revision: u64,
    /// Version of its firm's manifest that it has in force.
    pub manifest: u64,
}

/// A keeper's answer to an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireRegistrationReply {
    /// The keepers of this host, best first; empty if they were told before.
    pub keepers: Vec<WireEntry>,
    /// Hash of what the host should know of its service.
    pub slice: u64,
    /// Whether the platform confirmed that lately.
    pub fresh: bool,
    /// Whether the host should announce itself in full.
    pub resend: bool,
}

impl From<&RegistrationReply> for WireRegistrationReply {
    fn from(reply: &RegistrationReply) -> Self {
        Self {
            keepers: reply.trackers.iter().map(WireEntry::from).collect(),
            slice: reply.slice,
            fresh: reply.fresh,
            resend: reply.resend,
        }
    }
}

impl TryFrom<&WireRegistrationReply> for RegistrationReply {
    type Error = DocumentError;

    fn try_from(wire: &WireRegistrationReply) -> Result<Self, DocumentError> {
        Ok(Self {
            trackers: wire
                .keepers
                .iter()
                .map(TryFrom::try_from)
                .collect::<Result<_, _>>()?,
            slice: wire.slice,
            fresh: wire.fresh,
            resend: wire.resend,
        })
    }
}

/// A heartbeat among entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The sender.
    pub entry: WireEntry,
    /// Hash of all versions that it has.
    pub summary: u64,
    /// Time since the platform confirmed them, in milliseconds.
    pub age_ms: u64,
    /// Documents that changed lately.
    pub recent: Vec<WireVersion>,
}

impl From<&Heartbeat> for PeerHeartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            entry: (&heartbeat.entry).into(),
            summary: heartbeat.summary,
            age_ms: u64::try_from(heartbeat.age.as_millis()).unwrap_or(u64::MAX),
            recent: wire_versions(&heartbeat.recent),
        }
    }
}

impl TryFrom<&PeerHeartbeat> for Heartbeat {
    type Error = DocumentError;

    fn try_from(wire: &PeerHeartbeat) -> Result<Self, DocumentError> {
        Ok(Self {
            entry: (&wire.entry).try_into()?,
            summary: wire.summary,
            age: Duration::from_millis(wire.age_ms),
            recent: core_versions(&wire.recent)?,
        })
    }
}

/// Versions for the wire.
pub fn wire_versions(versions: &[(DocumentId, ObjectVersion)]) -> Vec<WireVersion> {
    versions
        .iter()
        .map(|(id, version)| (id, *version).into())
        .collect()
}

/// Versions from the wire.
pub fn core_versions(
    versions: &[WireVersion],
) -> Result<Vec<(DocumentId, ObjectVersion)>, DocumentError> {
    versions
        .iter()
        .map(|wire| Ok((wire.try_into()?, ObjectVersion(wire.version))))
        .collect()
}

/// Asks for what is newer than these versions.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullQuery {
    /// What it wants and the versions that it has.
    pub have: Vec<WireVersion>,
    /// Whether it wants every other document too.
    pub all: bool,
}

/// What the asker lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullAnswer {
    /// Patches.
    pub patches: Vec<WirePatch>,
}

/// What a side process needs to know of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSlice {
    /// Version of the firm's manifest.
    pub manifest: u64,
    /// Hash of all that follows.
    pub slice: u64,
    /// The service, if the manifest has it.
    pub service: Option<WireService>,
    /// All hosts of the service.
    pub hosts: Vec<WireHost>,
}

/// A request that another host should run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayQuery {
    /// The request.
    pub id: u64,
    /// Firm and service.
    pub service: CompactString,
    /// Incarnation of the host that is meant.
    pub incarnation: u64,
    /// Time left, in milliseconds.
    pub left_ms: u64,
    /// Longest wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Whether it is long work.
    pub long: bool,
    /// The whole request as it came from the caller.
    pub request: Vec<u8>,
}

/// What became of a relayed request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayAnswer {
    /// The backend server's whole answer.
    Answered(Vec<u8>),
    /// No backend server started it.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

/// Cancels a relayed request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelQuery {
    /// The request.
    pub id: u64,
    /// Incarnation of the host that is meant.
    pub incarnation: u64,
}

/// The target's word on a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CancelAnswer {
    /// It has not run and will not.
    NotRun,
    /// It was started.
    Started,
}

/// Writes a message with its version.
pub fn write_message<T: Serialize>(message: &T) -> Vec<u8> {
    let mut buffer = vec![PEER_VERSION];
    // Writing these plain types to memory can't fail.
    let written = rmp_serde::encode::write(&mut buffer, message);
    debug_assert!(written.is_ok());
    buffer
}

/// Reads a message with its version.
pub fn scan_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    let (version, body) = bytes.split_first().ok_or(PeerError::Empty)?;
    if *version != PEER_VERSION {
        return Err(PeerError::Version);
    }
    rmp_serde::from_slice(body).map_err(|_| PeerError::Malformed)
}
