//! Wire types of hosts, entry VMs, documents and document patches.

use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;

use compact_str::{CompactString, ToCompactString};
use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use chestnutlb_core::document::VersionedItem;
use chestnutlb_core::flow::{BUCKET_COUNT, BucketIndex};
use chestnutlb_core::{
    DocumentId, DocumentItem, DocumentKind, DocumentPatch, EntryRecord, FirmName, HostRecord,
    HostWeight, Incarnation, ObjectVersion, ServiceId,
};

use crate::manifest::{DocumentError, WireGrant, WireService, parse_text};

const NAME_FORMAT: &str = "1 to 63 of a-z, 0-9 and '-'";
const ADDRESS_FORMAT: &str = "an IPv4 address and port, neither of them zero";

// Parses an address at which a process can be reached.
fn parse_address(path: &str, text: &str) -> Result<SocketAddrV4, DocumentError> {
    let address: SocketAddrV4 = parse_text(path, text, ADDRESS_FORMAT)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        let (found, allowed) = (text.to_owned(), ADDRESS_FORMAT.to_owned());
        return Err(DocumentError::Value(path.to_owned(), found, allowed));
    }
    Ok(address)
}

/// Record of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireHost {
    /// Name of the host.
    pub name: CompactString,
    /// Firm and service, as `firm/service`.
    pub service: CompactString,
    /// Data centre of the host.
    pub datacenter: CompactString,
    /// Address at which the side process receives packets.
    pub packets: CompactString,
    /// Address at which the side process receives relayed requests.
    pub relays: CompactString,
    /// Incarnation of the side process, given by the start of the process.
    pub incarnation: u64,
    /// Relative speed of the host.
    pub weight: u16,
    /// State of the host.
    pub state: CompactString,
    /// Buckets of flows that the host owns without being a candidate for them.
    pub held: Vec<u16>,
}

impl TryFrom<&WireHost> for HostRecord {
    type Error = DocumentError;

    fn try_from(wire: &WireHost) -> Result<Self, DocumentError> {
        let weight = HostWeight::new(wire.weight)
            .map_err(|error| DocumentError::Format("weight".to_owned(), error.to_string()))?;
        if let Some(bucket) = wire
            .held
            .iter()
            .find(|bucket| usize::from(**bucket) >= BUCKET_COUNT)
        {
            let text = format!("bucket {bucket} does not exist");
            return Err(DocumentError::Format("held".to_owned(), text));
        }
        Ok(Self {
            name: parse_text("name", &wire.name, NAME_FORMAT)?,
            service: parse_text("service", &wire.service, "firm/service")?,
            datacenter: parse_text("datacenter", &wire.datacenter, NAME_FORMAT)?,
            packets: parse_address("packets", &wire.packets)?,
            relays: parse_address("relays", &wire.relays)?,
            incarnation: Incarnation(wire.incarnation),
            weight,
            state: parse_text("state", &wire.state, "a state of a host")?,
            held_buckets: wire.held.iter().copied().map(BucketIndex).collect(),
        })
    }
}

impl From<&HostRecord> for WireHost {
    fn from(record: &HostRecord) -> Self {
        Self {
            name: record.name.clone().into(),
            service: record.service.to_compact_string(),
            datacenter: record.datacenter.clone().into(),
            packets: record.packets.to_compact_string(),
            relays: record.relays.to_compact_string(),
            incarnation: record.incarnation.0,
            weight: record.weight.get(),
            state: record.state.to_compact_string(),
            held: record.held_buckets.iter().map(|bucket| bucket.0).collect(),
        }
    }
}

/// Record of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireEntry {
    /// Name of the entry VM.
    pub name: CompactString,
    /// Data centre of the entry VM.
    pub datacenter: CompactString,
    /// Address for heartbeats and registrations.
    pub peers: CompactString,
    /// Address of the HTTP server.
    pub status: CompactString,
    /// Incarnation of the entry VM, given by the start of its process.
    pub incarnation: u64,
}

impl TryFrom<&WireEntry> for EntryRecord {
    type Error = DocumentError;

    fn try_from(wire: &WireEntry) -> Result<Self, DocumentError> {
        Ok(Self {
            name: parse_text("name", &wire.name, NAME_FORMAT)?,
            datacenter: parse_text("datacenter", &wire.datacenter, NAME_FORMAT)?,
            peers: parse_address("peers", &wire.peers)?,
            status: parse_address("status", &wire.status)?,
            incarnation: Incarnation(wire.incarnation),
        })
    }
}

impl From<&EntryRecord> for WireEntry {
    fn from(record: &EntryRecord) -> Self {
        Self {
            name: record.name.clone().into(),
            datacenter: record.datacenter.clone().into(),
            peers: record.peers.to_compact_string(),
            status: record.status.to_compact_string(),
            incarnation: record.incarnation.0,
        }
    }
}

/// The roster of a data centre, as the platform stores it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireRoster {
    /// Hosts of the data centre.
    pub hosts: Vec<WireHost>,
}

/// The entry VMs of a data centre, as the platform stores them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireMembers {
    /// Entry VMs of the data centre.
    pub entries: Vec<WireEntry>,
}

/// An item of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum WireItem {
    /// A grant of addresses.
    Grant(WireGrant),
    /// The firm of a service, and the service.
    Service(CompactString, Box<WireService>),
    /// A host.
    Host(WireHost),
    /// An entry VM.
    Entry(WireEntry),
    /// A drained data centre.
    Drain(CompactString),
}

impl TryFrom<&WireItem> for DocumentItem {
    type Error = DocumentError;

    fn try_from(wire: &WireItem) -> Result<Self, DocumentError> {
        Ok(match wire {
            WireItem::Grant(grant) => Self::Grant(
                parse_text("block", &grant.block, "an address block")?,
                grant.firm.clone(),
            ),
            WireItem::Service(firm, service) => {
                let firm: FirmName = parse_text("firm", firm, NAME_FORMAT)?;
                Self::Service(Arc::new(service.check(&firm, "service")?))
            }
            WireItem::Host(host) => Self::Host(Arc::new(host.try_into()?)),
            WireItem::Entry(entry) => Self::Entry(entry.try_into()?),
            WireItem::Drain(datacenter) => {
                Self::Drain(parse_text("datacenter", datacenter, NAME_FORMAT)?)
            }
        })
    }
}

impl From<&DocumentItem> for WireItem {
    fn from(item: &DocumentItem) -> Self {
        match item {
            DocumentItem::Grant(block, firm) => Self::Grant(WireGrant {
                block: block.to_compact_string(),
                firm: firm.clone(),
            }),
            DocumentItem::Service(spec) => {
                let ServiceId { firm, .. } = &spec.id;
                Self::Service(firm.clone().into(), Box::new(spec.as_ref().into()))
            }
            DocumentItem::Host(record) => Self::Host(record.as_ref().into()),
            DocumentItem::Entry(record) => Self::Entry(record.into()),
            DocumentItem::Drain(datacenter) => Self::Drain(datacenter.clone().into()),
        }
    }
}

/// A version in messages: a number where the compact form holds it, as in earlier releases, else
/// the text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WireObjectVersion(pub ObjectVersion);

impl From<ObjectVersion> for WireObjectVersion {
    fn from(version: ObjectVersion) -> Self {
        Self(version)
    }
}

impl From<WireObjectVersion> for ObjectVersion {
    fn from(wire: WireObjectVersion) -> Self {
        wire.0
    }
}

impl Serialize for WireObjectVersion {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.0.compact() {
            Some(number) => serializer.serialize_u64(number),
            None => serializer.collect_str(&self.0),
        }
    }
}

impl<'de> Deserialize<'de> for WireObjectVersion {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(VersionVisitor)
    }
}

struct VersionVisitor;

impl Visitor<'_> for VersionVisitor {
    type Value = WireObjectVersion;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a version: a whole number, or text like 1.20261207153000")
    }

    fn visit_u64<E: serde::de::Error>(self, number: u64) -> Result<Self::Value, E> {
        Ok(WireObjectVersion(ObjectVersion::from_compact(number)))
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Self::Value, E> {
        text.parse().map(WireObjectVersion).map_err(E::custom)
    }
}

/// A version for operators, in logs and in the client's output: a number in era zero, and
/// text with the era in later ones.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum VersionField {
    /// The revision of a version of era zero.
    Revision(u64),
    /// The text of a version of a later era, or with a revision beyond 64 bits.
    Text(CompactString),
}

impl From<ObjectVersion> for VersionField {
    fn from(version: ObjectVersion) -> Self {
        match u64::try_from(version.0) {
            Ok(revision) => Self::Revision(revision),
            Err(_) => Self::Text(version.to_compact_string()),
        }
    }
}

impl fmt::Display for VersionField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Revision(revision) => revision.fmt(f),
            Self::Text(text) => text.fmt(f),
        }
    }
}

/// A version of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireVersion {
    /// Kind of the document.
    pub kind: CompactString,
    /// Name of the document.
    pub name: CompactString,
    /// Version of the document.
    pub version: WireObjectVersion,
}

impl From<(&DocumentId, ObjectVersion)> for WireVersion {
    fn from((id, version): (&DocumentId, ObjectVersion)) -> Self {
        Self {
            kind: id.kind.as_str().into(),
            name: id.name.clone(),
            version: version.into(),
        }
    }
}

impl TryFrom<&WireVersion> for DocumentId {
    type Error = DocumentError;

    fn try_from(wire: &WireVersion) -> Result<Self, DocumentError> {
        let kind = DocumentKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == wire.kind)
            .ok_or_else(|| {
                DocumentError::Format("kind".to_owned(), format!("{:?} is unknown", wire.kind))
            })?;
        Ok(Self::new(kind, &wire.name))
    }
}

/// The changes from one version of a document to a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WirePatch {
    /// The document and its version after the patch.
    pub document: WireVersion,
    /// Version that the patch applies to; `None` if the patch contains the whole
    /// document.
    pub since: Option<WireObjectVersion>,
    /// New and changed items, each with the version that changed it.
    pub items: Vec<(WireObjectVersion, WireItem)>,
    /// Keys of removed items, each with the version that removed it.
    pub removed: Vec<(CompactString, WireObjectVersion)>,
}

impl From<&DocumentPatch> for WirePatch {
    fn from(patch: &DocumentPatch) -> Self {
        Self {
            document: (&patch.id, patch.version).into(),
            since: patch.since.map(Into::into),
            items: patch
                .items
                .iter()
                .map(|versioned| (versioned.changed_in.into(), (&versioned.item).into()))
                .collect(),
            removed: patch
                .removed
                .iter()
                .map(|(key, version)| (key.clone(), (*version).into()))
                .collect(),
        }
    }
}

impl TryFrom<&WirePatch> for DocumentPatch {
    type Error = DocumentError;

    fn try_from(wire: &WirePatch) -> Result<Self, DocumentError> {
        let items = wire
            .items
            .iter()
            .map(|(version, item)| {
                Ok(VersionedItem {
                    changed_in: version.0,
                    item: item.try_into()?,
                })
            })
            .collect::<Result<_, DocumentError>>()?;
        Ok(Self {
            id: (&wire.document).try_into()?,
            since: wire.since.map(Into::into),
            version: wire.document.version.0,
            items,
            removed: wire
                .removed
                .iter()
                .map(|(key, version)| (key.clone(), version.0))
                .collect(),
        })
    }
}
