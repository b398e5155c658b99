//! What goes into and comes out of the control part of an entry VM.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::document::{DocumentId, DocumentItem, DocumentPatch};
use crate::host_tracker::{HostRevision, RosterEdit};
use crate::ids::{HostName, Incarnation, ObjectVersion};
use crate::members::EntryRecord;
use crate::roster::HostRecord;
use crate::timer::TimerKind;

/// A change of a data centre's entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEdit {
    /// Add or replace an entry VM.
    Put(EntryRecord),
    /// Take an entry VM off, if it is still this incarnation.
    Remove(EntryRecord),
}

/// A heartbeat as the control part sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub entry: EntryRecord,
    /// Hash of all versions that it has.
    pub summary: u64,
    /// Time since the platform confirmed what it has.
    pub age: Duration,
    /// Documents that changed lately.
    pub recent: Vec<(DocumentId, ObjectVersion)>,
}

/// What the keepers tell a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrationReply {
    /// The keepers of the host, best first; empty if they were told before.
    pub trackers: Vec<EntryRecord>,
    /// Hash of what the host should know of its service.
    pub slice: u64,
    /// Whether the platform confirmed that lately.
    pub fresh: bool,
    /// Whether the host should announce itself in full.
    pub resend: bool,
}

/// What happens to an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlEvent {
    /// A host announced itself.
    HostRegistered {
        /// The host.
        record: HostRecord,
        /// Its count of changes.
        revision: HostRevision,
        /// Version of its firm's manifest that it has in force.
        manifest: ObjectVersion,
        /// Where the answer goes.
        from: SocketAddrV4,
    },
    /// A host said that it is as it announced itself before.
    HostKeepAlive {
        /// The host.
        name: HostName,
        /// Start of its side process.
        incarnation: Incarnation,
        /// Its count of changes.
        revision: HostRevision,
        /// Version of its firm's manifest that it has in force.
        manifest: ObjectVersion,
        /// Where the answer goes.
        from: SocketAddrV4,
    },
    /// An entry VM sent a heartbeat.
    HeartbeatReceived(Heartbeat),
    /// A peer answered a pull.
    Pulled(Vec<DocumentPatch>),
    /// A peer did not answer a pull for these documents, for all if the list is
    /// empty.
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
    /// The platform said which versions there are.
    Listed {
        /// The versions, all or those that changed.
        list: Vec<(DocumentId, ObjectVersion)>,
        /// Whether the platform seems to answer from an old copy.
        stale: bool,
    },
    /// A write ended, well or not.
    Wrote(DocumentId),
    /// A timer is due.
    Tick(TimerKind),
    /// Other entry VMs to begin with came into force.
    Seeds(Vec<SocketAddrV4>),
    /// The process was asked to stop.
    Stop,
}

/// What an entry VM is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAction {
    /// Send a heartbeat.
    Heartbeat(SocketAddrV4, Heartbeat),
    /// Answer an announcement.
    ReplyToHost(SocketAddrV4, RegistrationReply),
    /// Ask the peer with this status address for newer documents; the list
    /// names what is wanted, all if it is empty.
    Pull(SocketAddrV4, Vec<(DocumentId, ObjectVersion)>),
    /// Read a document from the platform.
    Load(DocumentId),
    /// Change a roster.
    WriteRoster(DocumentId, Vec<RosterEdit>),
    /// Change the members.
    WriteMembers(DocumentId, Vec<MemberEdit>),
    /// Watch the platform, or stop it.
    Watch(bool),
    /// Documents or suspicions changed; route by [`EntryControl::view`](crate::EntryControl::view).
    Publish,
    /// A document came into force.
    InForce(DocumentId, ObjectVersion),
}
