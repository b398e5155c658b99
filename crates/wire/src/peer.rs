//! Messages between entry VMs and side processes: datagrams for liveness, HTTP
//! bodies in MessagePack for everything larger.

use std::num::NonZeroU32;
use std::time::Duration;

use compact_str::CompactString;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use chestnutlb_core::{
    ColdLimit, DocumentId, DrainNotice, Heartbeat, ObjectVersion, OpeningRules, RegistrationReply,
};

use crate::manifest::{DocumentError, WireService};
use crate::records::{WireEntry, WireHost, WireObjectVersion, WirePatch, WireVersion};

/// Version of the message format.
pub const PEER_VERSION: u8 = 1;
/// Largest datagram, in bytes.
pub const MAX_PEER_DATAGRAM_BYTES: usize = 1400;
/// Largest HTTP body, in bytes.
pub const MAX_PEER_BODY_BYTES: u64 = 32 << 20;

quick_error! {
    /// The reason why a message is dropped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
    pub enum PeerError {
        /// It is empty.
        Empty {
            display("empty")
        }
        /// It has another version of the message format.
        Version {
            display("wrong-version")
        }
        /// It can't be decoded.
        Malformed {
            display("malformed")
        }
    }
}

/// A datagram between entry VMs and side processes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Registers a host with its full record.
    Announce(WireRegistration),
    /// Confirms that a host is alive and its record unchanged.
    Alive(WireKeepAlive),
    /// Replies to a registration or keep-alive of a host.
    Welcome(WireRegistrationReply),
    /// Confirms that an entry VM is alive, and lists its latest changes.
    Heartbeat(PeerHeartbeat),
}

/// A host's registration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireRegistration {
    /// Record of the host.
    pub host: WireHost,
    /// Number of changes of the host's record.
    pub revision: u64,
    /// Version of the firm's manifest that the host has in force.
    pub manifest: WireObjectVersion,
}

/// A host's keep-alive.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireKeepAlive {
    /// Name of the host.
    pub name: CompactString,
    /// Incarnation of its side process, given by the start of the process.
    pub incarnation: u64,
    /// Number of changes of the host's record.
    pub revision: u64,
    /// Version of the firm's manifest that the host has in force.
    pub manifest: WireObjectVersion,
}

/// An entry VM's reply to a registration or keep-alive.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireRegistrationReply {
    /// Registration targets of this host, its trackers first; empty in a reply to a
    /// keep-alive.
    pub keepers: Vec<WireEntry>,
    /// Hash of the service slice that the host should have.
    pub slice: u64,
    /// Whether the platform confirmed the entry VM's documents recently.
    pub fresh: bool,
    /// Whether the host should send a full registration.
    pub resend: bool,
    /// What operators demand of the flows that the host opens; left out if nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub opening: Option<WireOpeningRules>,
}

/// What operators demand of the flows that a host opens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireOpeningRules {
    /// Whether its data centre is drained; `None` if it never was.
    pub drain: Option<WireDrainNotice>,
    /// Maximum number of new flows per second while it is cold.
    pub cold: Option<NonZeroU32>,
    /// Whether it learns what its backend server takes well.
    pub learns_capacity: bool,
}

impl From<OpeningRules> for WireOpeningRules {
    fn from(rules: OpeningRules) -> Self {
        Self {
            drain: rules.drain.map(Into::into),
            cold: rules.cold.map(|limit| limit.0),
            learns_capacity: rules.learns_capacity,
        }
    }
}

impl From<WireOpeningRules> for OpeningRules {
    fn from(wire: WireOpeningRules) -> Self {
        Self {
            drain: wire.drain.map(Into::into),
            cold: wire.cold.map(ColdLimit),
            learns_capacity: wire.learns_capacity,
        }
    }
}

/// Whether a data centre is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireDrainNotice {
    /// Version of the document that states it.
    pub version: WireObjectVersion,
    /// Whether its hosts get no new flows.
    pub drained: bool,
}

impl From<DrainNotice> for WireDrainNotice {
    fn from(notice: DrainNotice) -> Self {
        Self {
            version: notice.version.into(),
            drained: notice.drained,
        }
    }
}

impl From<WireDrainNotice> for DrainNotice {
    fn from(wire: WireDrainNotice) -> Self {
        Self {
            version: wire.version.into(),
            drained: wire.drained,
        }
    }
}

impl From<&RegistrationReply> for WireRegistrationReply {
    fn from(reply: &RegistrationReply) -> Self {
        Self {
            keepers: reply.targets.iter().map(WireEntry::from).collect(),
            slice: reply.slice_hash,
            fresh: reply.fresh,
            resend: reply.resend,
            opening: (!reply.opening.is_empty()).then(|| reply.opening.into()),
        }
    }
}

impl TryFrom<&WireRegistrationReply> for RegistrationReply {
    type Error = DocumentError;

    fn try_from(wire: &WireRegistrationReply) -> Result<Self, DocumentError> {
        Ok(Self {
            targets: wire
                .keepers
                .iter()
                .map(TryFrom::try_from)
                .collect::<Result<_, _>>()?,
            slice_hash: wire.slice,
            fresh: wire.fresh,
            resend: wire.resend,
            opening: wire.opening.map(Into::into).unwrap_or_default(),
        })
    }
}

/// Times since the platform confirmed operators' documents and those of the fleet, in one number.
///
/// The low half is the age of the fleet's documents in milliseconds, the high half is zero if both
/// ages are the same, otherwise the other age plus one, with a mark if it is that of a document of
/// operators that can't be read. An earlier release takes the number for
/// one age, so large that it confirms nothing, and sends numbers whose high half is zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct WireAges(u64);

impl WireAges {
    const HALF_BITS: u32 = 32;
    /// Age of documents that were never confirmed.
    const NEVER: u64 = u32::MAX as u64;
    /// Bit of the high half that marks the age of a document of operators that can't be read. To an
    /// earlier release it is a large age, which confirms nothing.
    const UNREADABLE: u64 = 1 << 31;

    /// Encodes the ages. That of an unreadable document is left out if operators' documents were
    /// confirmed later.
    pub fn new(operators: Duration, unreadable: Duration, fleet: Duration) -> Self {
        let [operators, unreadable, fleet] = [operators, unreadable, fleet].map(|age| {
            let millis = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            millis.min(Self::NEVER)
        });
        if unreadable < operators {
            let high = (unreadable + 1).min(Self::UNREADABLE - 1) | Self::UNREADABLE;
            return Self(high << Self::HALF_BITS | fleet);
        }
        if operators == fleet {
            return Self(if fleet == Self::NEVER {
                u64::MAX
            } else {
                fleet
            });
        }
        let high = match operators + 1 {
            high if high < Self::UNREADABLE => high,
            _ => Self::NEVER,
        };
        Self(high << Self::HALF_BITS | fleet)
    }

    /// Returns the age of operators' documents; the largest duration if never confirmed.
    pub fn operators(self) -> Duration {
        match self.0 >> Self::HALF_BITS {
            0 => self.fleet(),
            high if high & Self::UNREADABLE != 0 => Duration::MAX,
            high => Duration::from_millis(high - 1),
        }
    }

    /// Returns the age of a document of operators that can't be read; the largest duration if there
    /// is none.
    pub fn unreadable(self) -> Duration {
        match self.0 >> Self::HALF_BITS {
            Self::NEVER => Duration::MAX,
            high if high & Self::UNREADABLE != 0 => {
                Duration::from_millis((high & !Self::UNREADABLE).saturating_sub(1))
            }
            _ => Duration::MAX,
        }
    }

    /// Returns the age of rosters and members; the largest duration if never confirmed.
    pub fn fleet(self) -> Duration {
        match self.0 & Self::NEVER {
            Self::NEVER => Duration::MAX,
            low => Duration::from_millis(low),
        }
    }
}

/// A heartbeat between entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Record of the sender.
    pub entry: WireEntry,
    /// Hash of all document versions that the sender has.
    pub summary: u64,
    /// Times since the platform confirmed these versions.
    pub ages: WireAges,
    /// Documents that changed recently.
    pub recent: Vec<WireVersion>,
}

impl From<&Heartbeat> for PeerHeartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            entry: (&heartbeat.entry).into(),
            summary: heartbeat.summary,
            ages: WireAges::new(
                heartbeat.operators_age,
                heartbeat.unreadable_age,
                heartbeat.fleet_age,
            ),
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
            operators_age: wire.ages.operators(),
            unreadable_age: wire.ages.unreadable(),
            fleet_age: wire.ages.fleet(),
            recent: core_versions(&wire.recent)?,
        })
    }
}

/// Converts document versions to their wire type.
pub fn wire_versions(versions: &[(DocumentId, ObjectVersion)]) -> Vec<WireVersion> {
    versions
        .iter()
        .map(|(id, version)| (id, *version).into())
        .collect()
}

/// Converts document versions from their wire type.
pub fn core_versions(
    versions: &[WireVersion],
) -> Result<Vec<(DocumentId, ObjectVersion)>, DocumentError> {
    versions
        .iter()
        .map(|wire| Ok((wire.try_into()?, wire.version.0)))
        .collect()
}

/// Requests documents in newer versions than the given ones.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullQuery {
    /// The requested documents, with the versions that the sender has.
    pub have: Vec<WireVersion>,
    /// Whether all other documents are requested too.
    pub all: bool,
}

/// Reply to a [`PullQuery`]: the changes that its sender lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullReply {
    /// Patches of the requested documents.
    pub patches: Vec<WirePatch>,
}

/// The configuration and hosts of a service, as its side processes need them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSlice {
    /// Version of the firm's manifest.
    pub manifest: WireObjectVersion,
    /// Hash of the manifest version and of the hosts' names, incarnations, weights
    /// and states.
    pub slice: u64,
    /// Configuration of the service, if the manifest contains it.
    pub service: Option<WireService>,
    /// All hosts of the service.
    pub hosts: Vec<WireHost>,
}

/// Relays a request to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayQuery {
    /// Id of the request.
    pub id: u64,
    /// Firm and service, as `firm/service`.
    pub service: CompactString,
    /// Incarnation of the target's side process.
    pub incarnation: u64,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Longest wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Whether the request is of the class `long`.
    pub long: bool,
    /// The whole request as received from the caller.
    pub request: Vec<u8>,
}

/// The outcome of a relayed request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayReply {
    /// The whole response of the backend server.
    Answered(Vec<u8>),
    /// No backend server started the request.
    NotRun,
    /// It is unknown whether a backend server ran the request.
    Unknown,
}

/// Cancels a relayed request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelQuery {
    /// Id of the request.
    pub id: u64,
    /// Incarnation of the target's side process.
    pub incarnation: u64,
}

/// The target's reply to a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CancelReply {
    /// The request was not started and will not be.
    NotRun,
    /// The request was started before the cancellation.
    Started,
}

/// Encodes a message, preceded by the version of the format.
pub fn write_message<T: Serialize>(message: &T) -> Vec<u8> {
    let mut buffer = vec![PEER_VERSION];
    // Writing these plain types to memory can't fail.
    let written = rmp_serde::encode::write(&mut buffer, message);
    debug_assert!(written.is_ok());
    buffer
}

/// An encoded reply to a registration or keep-alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyDatagram {
    /// The datagram, of at most [`MAX_PEER_DATAGRAM_BYTES`].
    pub bytes: Vec<u8>,
    /// Number of registration targets that did not fit.
    pub dropped_targets: usize,
}

/// Encodes a reply to a host. Registration targets that do not fit are dropped from the end,
/// as receivers reject longer datagrams and the trackers come first.
pub fn write_registration_reply(reply: &RegistrationReply) -> ReplyDatagram {
    let mut wire = WireRegistrationReply::from(reply);
    let mut bytes = write_message(&PeerMessage::Welcome(wire.clone()));
    while bytes.len() > MAX_PEER_DATAGRAM_BYTES && wire.keepers.pop().is_some() {
        bytes = write_message(&PeerMessage::Welcome(wire.clone()));
    }
    ReplyDatagram {
        bytes,
        dropped_targets: reply.targets.len() - wire.keepers.len(),
    }
}

/// Decodes a message, preceded by the version of the format.
pub fn scan_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    let (version, body) = bytes.split_first().ok_or(PeerError::Empty)?;
    if *version != PEER_VERSION {
        return Err(PeerError::Version);
    }
    rmp_serde::from_slice(body).map_err(|_| PeerError::Malformed)
}
