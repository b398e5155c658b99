//! Client of the platform's object API. All versions carry the era that the answer with them
//! names; no version is sent to the platform in a later era than its own. A write has a type of outcome instead of
//! a `Result`: a write whose response was lost is neither a success nor a
//! failure.

use std::time::Duration;

use compact_str::CompactString;
use quick_error::quick_error;
use serde::Deserialize;
use serde_json::value::RawValue;

use chestnutlb_core::{DocumentId, FeedIndex, ObjectVersion};
use chestnutlb_wire::object::ERA_HEADER;
use chestnutlb_wire::{ObjectListEntry, WriteReply};

use crate::answer::{EraReader, StoreAnswer};
use crate::calls::{FeedUpdate, ListedObject, ReadObject, StoreCalls, VersionList};

/// Timeout of a call other than a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait of a watch. A lost connection is detected at most
/// [`CALL_TIMEOUT`] after its end.
const WATCH_WAIT: Duration = Duration::from_secs(2);

quick_error! {
    /// The reason why a call failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The platform could not be reached, or its response was lost.
        Unreachable(text: String) {
            display("the platform does not answer: {}", text)
        }
        /// The platform responded with an unexpected status.
        Status(code: u16) {
            display("the platform answered with status {}", code)
        }
        /// The store was restored from an older copy during the call, so the answer does not
        /// belong to the revisions of the call.
        Restored {
            display("the platform was restored from an older copy during the call")
        }
        /// The response or the object has the wrong format.
        Format(text: String) {
            display("the platform's answer can't be read: {}", text)
        }
    }
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the object has this version now.
    Written(ObjectVersion),
    /// The object had this version instead of the expected one; nothing was
    /// written. Revision zero stands for an object that does not exist or, after a restore
    /// of the store, for one that has to be read again. With its content, if the answer contains
    /// it.
    Conflict(ObjectVersion, Option<serde_json::Value>),
    /// The write may or may not have taken effect.
    Unknown(StoreError),
}

// An object list whose entries are decoded one by one.
#[derive(Debug)]
#[derive(Deserialize)]
struct ListBody<'a> {
    revision: u64,
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

// An object reply whose content is decoded separately.
#[derive(Debug)]
#[derive(Deserialize)]
struct ReplyBody<'a> {
    version: u64,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
}

/// A client of the object API.
#[derive(Debug, Clone)]
pub struct StoreClient {
    base: CompactString,
    agent: ureq::Agent,
    eras: EraReader,
}

impl StoreClient {
    /// Creates a client of the platform at `base`, such as
    /// `http://10.0.0.1:7100`.
    pub fn new(base: &str) -> Self {
        Self {
            base: CompactString::from(base.trim_end_matches('/')),
            agent: ureq::AgentBuilder::new()
                .timeout_connect(CALL_TIMEOUT)
                .build(),
            eras: EraReader::new(ERA_HEADER),
        }
    }

    fn object_url(&self, id: &DocumentId) -> String {
        format!("{}/v1/objects/{}/{}", self.base, id.kind.as_str(), id.name)
    }

    /// Lists all objects with their versions.
    pub fn list(&self) -> Result<VersionList, StoreError> {
        let call = self.agent.get(&format!("{}/v1/objects", self.base));
        let answer = self.eras.read(call.timeout(CALL_TIMEOUT).call())?;
        read_version_list(answer)
    }

    // Waits up to `wait` for a version above `after`. Returns `None` if the platform was
    // restored since: versions above `after` do not show what has changed.
    fn watch(
        &self,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<VersionList>, StoreError> {
        if after.era() < self.eras.latest() {
            return Ok(None);
        }
        let call = self
            .agent
            .get(&format!("{}/v1/watch", self.base))
            .query("after", &after.revision().to_string())
            .query("wait_ms", &wait.as_millis().to_string());
        let answer = self.eras.read(call.timeout(wait + CALL_TIMEOUT).call())?;
        if answer.era != after.era() {
            return Ok(None);
        }
        read_version_list(answer).map(Some)
    }

    fn write_outcome(
        &self,
        expected: ObjectVersion,
        answer: StoreAnswer,
    ) -> Result<WriteOutcome, StoreError> {
        let (era, status) = (answer.era, answer.status());
        let body = match status {
            409 => answer.read_body()?,
            _ => answer.read()?,
        };
        let reply: WriteReply = body.decode()?;
        let version = StoreAnswer::version(era, reply.version)?;
        if status == 409 {
            return Ok(WriteOutcome::Conflict(version, None));
        }
        if !expected.is_absent() && era != expected.era() {
            // The object may have been another one that has the same version in this era.
            return Err(StoreError::Restored);
        }
        Ok(WriteOutcome::Written(version))
    }
}

impl StoreCalls for StoreClient {
    fn feeds(&self) -> usize {
        1
    }

    fn watch_wait(&self, _feed: FeedIndex) -> Duration {
        WATCH_WAIT
    }

    fn fetch_updates(
        &self,
        _feed: FeedIndex,
        after: Option<ObjectVersion>,
        wait: Duration,
    ) -> Result<FeedUpdate, StoreError> {
        let changes = match after {
            None => None,
            Some(after) => self.watch(after, wait)?,
        };
        let has_all = changes.is_none();
        let list = match changes {
            Some(changes) => changes,
            None => self.list()?,
        };
        Ok(FeedUpdate::Versions { list, has_all })
    }

    fn read(&self, id: &DocumentId) -> Result<Option<ReadObject>, StoreError> {
        let call = self.agent.get(&self.object_url(id)).timeout(CALL_TIMEOUT);
        let answer = self.eras.read(call.call())?;
        if answer.status() == 404 {
            return Ok(None);
        }
        let era = answer.era;
        let body = answer.read()?;
        let reply: ReplyBody = body.decode()?;
        Ok(Some(ReadObject {
            version: StoreAnswer::version(era, reply.version)?,
            value: match (id.kind, reply.value) {
                // Valid as a whole.
                (kind, Some(value)) if kind.is_of_operators() => body.part(value)?,
                (_, value) => body.content(value),
            },
        }))
    }

    fn write(
        &self,
        id: &DocumentId,
        expected: ObjectVersion,
        value: &serde_json::Value,
    ) -> WriteOutcome {
        if self.eras.is_outdated(expected) {
            return WriteOutcome::Conflict(self.eras.unread_version(), None);
        }
        let call = self
            .agent
            .put(&self.object_url(id))
            .timeout(CALL_TIMEOUT)
            .query("if_version", &expected.revision().to_string());
        self.eras
            .read(call.send_json(value))
            .and_then(|answer| self.write_outcome(expected, answer))
            .unwrap_or_else(WriteOutcome::Unknown)
    }
}

// Reads a list, with the era in all its versions.
fn read_version_list(answer: StoreAnswer) -> Result<VersionList, StoreError> {
    let era = answer.era;
    let body = answer.read()?;
    let list: ListBody = body.decode()?;
    let (entries, unreadable): (Vec<ObjectListEntry>, usize) = body.parts(&list.objects);
    let objects = entries.into_iter().map(|entry| {
        Ok(ListedObject {
            version: StoreAnswer::version(era, entry.version)?,
            kind: entry.kind,
            name: entry.name,
        })
    });
    Ok(VersionList {
        revision: StoreAnswer::version(era, list.revision)?,
        objects: objects.collect::<Result<_, StoreError>>()?,
        unreadable,
    })
}

impl From<ureq::Error> for StoreError {
    fn from(error: ureq::Error) -> Self {
        match error {
            ureq::Error::Status(code, _) => Self::Status(code),
            ureq::Error::Transport(transport) => Self::Unreachable(transport.to_string()),
        }
    }
}
