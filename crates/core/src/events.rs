//! Events and actions of the control plane of an entry VM.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::confirmations::FeedConfirmation;
use crate::document::{DocumentId, DocumentItem, DocumentPatch};
use crate::host_tracker::{HostRevision, RosterEdit};
use crate::ids::{HostName, Incarnation, ObjectVersion, StoreEra};
use crate::members::EntryRecord;
use crate::opening_rules::OpeningRules;
use crate::roster::HostRecord;
use crate::timer::TimerKind;
use crate::unreadable_items::UnreadableItems;

/// A change to the members document of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEdit {
    /// Adds or replaces an entry VM.
    Put(EntryRecord),
    /// Removes an entry VM if its incarnation is unchanged.
    Remove(EntryRecord),
}

/// A heartbeat between entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub entry: EntryRecord,
    /// Hash of the versions of all documents held by the sender.
    pub summary: u64,
    /// Time since the platform confirmed that the sender's documents of operators are current.
    pub operators_age: Duration,
    /// The same for its rosters and members.
    pub fleet_age: Duration,
    /// Time since the platform last had a document of operators that can't be read; the largest
    /// duration if never.
    pub unreadable_age: Duration,
    /// Recently changed documents with their versions.
    pub recent: Vec<(DocumentId, ObjectVersion)>,
}

/// Reply to the registration or keep-alive of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrationReply {
    /// The registration targets of the host, its trackers first, best rank first. Empty
    /// in replies to keep-alives.
    pub targets: Vec<EntryRecord>,
    /// Hash of the host's service view; the host fetches its slice when this changes.
    pub slice_hash: u64,
    /// Whether the platform recently confirmed the documents of this entry VM.
    pub fresh: bool,
    /// Whether the host has to send a full registration.
    pub resend: bool,
    /// What operators demand of the flows that it opens.
    pub opening: OpeningRules,
}

/// The documents that a list of the platform contains in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// All rosters and members documents.
    Fleet,
    /// All documents of drained data centres.
    Drains,
    /// Both.
    All,
}

impl ListScope {
    /// Returns whether the list contains all rosters and members documents.
    pub fn has_fleet(self) -> bool {
        matches!(self, Self::Fleet | Self::All)
    }

    /// Returns whether the list contains the documents of all drained data centres.
    pub fn has_drains(self) -> bool {
        matches!(self, Self::Drains | Self::All)
    }
}

/// An event for the control plane of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlEvent {
    /// A registration of a host was received.
    HostRegistered {
        /// The record of the host.
        record: HostRecord,
        /// Revision of the record.
        revision: HostRevision,
        /// Version of the manifest that the host has in force.
        manifest: ObjectVersion,
        /// Address for the reply.
        from: SocketAddrV4,
    },
    /// A keep-alive of a host was received: its record is unchanged since the last
    /// registration.
    HostKeepAlive {
        /// Name of the host.
        name: HostName,
        /// Incarnation of its side process.
        incarnation: Incarnation,
        /// Revision of its record.
        revision: HostRevision,
        /// Version of the manifest that the host has in force.
        manifest: ObjectVersion,
        /// Address for the reply.
        from: SocketAddrV4,
    },
    /// A heartbeat of an entry VM was received.
    HeartbeatReceived(Heartbeat),
    /// A peer answered a pull.
    Pulled(Vec<DocumentPatch>),
    /// A pull of these documents failed; an empty list stands for all documents.
    PullFailed(Vec<DocumentId>),
    /// The platform answered a read.
    Loaded {
        /// The document.
        id: DocumentId,
        /// Its version.
        version: ObjectVersion,
        /// Its items.
        items: Vec<DocumentItem>,
    },
    /// The platform answered a read of a roster or members document, of which a part can't be
    /// read.
    LoadedPartly {
        /// The document.
        id: DocumentId,
        /// Its version.
        version: ObjectVersion,
        /// Its other items.
        items: Vec<DocumentItem>,
        /// The items that can't be read.
        unreadable: UnreadableItems,
    },
    /// A document of operators was read from the platform.
    DocumentRead {
        /// The document.
        id: DocumentId,
        /// Version of its object, zero if it could not be read either. It orders reads; a document
        /// may have another version, which its content states.
        stored: ObjectVersion,
        /// Whether its content can be read.
        is_readable: bool,
    },
    /// The platform listed all documents of some kinds that it has.
    AllListed {
        /// These kinds.
        scope: ListScope,
        /// Version of the store at the time of the list.
        version: ObjectVersion,
        /// The listed documents.
        listed: Vec<DocumentId>,
        /// Era of the store in which the first roster was written, if the store has it.
        first_era: Option<StoreEra>,
    },
    /// The platform listed the current versions.
    VersionsListed {
        /// Versions of all documents or of those that changed.
        list: Vec<(DocumentId, ObjectVersion)>,
        /// What the answer confirms; `None` if the platform appears to respond from an outdated
        /// replica.
        confirms: Option<FeedConfirmation>,
    },
    /// A write has succeeded or failed.
    WriteFinished(DocumentId),
    /// The platform answered a [`ControlAction::ProbeStore`].
    StoreAnswered,
    /// A timer is due.
    Tick(TimerKind),
    /// The addresses of the seed entry VMs have changed.
    SeedsChanged(Vec<SocketAddrV4>),
    /// The process was requested to stop.
    Stop,
}

/// An action for the entry VM to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAction {
    /// Send a heartbeat to this address.
    Heartbeat(SocketAddrV4, Heartbeat),
    /// Reply to a registration or keep-alive.
    ReplyToHost(SocketAddrV4, RegistrationReply),
    /// Pull newer documents from the peer with this status address. The list contains
    /// the wanted documents with their local versions; if empty, all are wanted.
    Pull(SocketAddrV4, Vec<(DocumentId, ObjectVersion)>),
    /// Read a document from the platform.
    Load(DocumentId),
    /// Write edits to a roster. The version is that of the roster that they are based on.
    WriteRoster(DocumentId, ObjectVersion, Vec<RosterEdit>),
    /// Write edits to a members document. The version is that of the document that they are
    /// based on.
    WriteMembers(DocumentId, ObjectVersion, Vec<MemberEdit>),
    /// Write a document of this version without the items that can't be read.
    RemoveUnreadable(DocumentId, ObjectVersion),
    /// Record the era of the store in which the first roster is written.
    RecordFirstEra(StoreEra),
    /// Start or stop watching the platform.
    Watch(bool),
    /// Read the operators' documents once, to find out whether the platform can be reached.
    ProbeStore,
    /// Route by the new [`EntryControl::view`](crate::EntryControl::view).
    Publish,
    /// Report that the record of this host was dropped: the roster no longer lists the
    /// host, which had registered here before.
    OutdatedHostDropped(HostName),
    /// Report that this version of a document has come into force.
    InForce(DocumentId, ObjectVersion),
}
