//! Client of the platform's object API. A write has a type of outcome instead of
//! a `Result`: a write whose response was lost is neither a success nor a
//! failure.

use std::time::Duration;

use compact_str::CompactString;
use quick_error::quick_error;

use chestnutlb_core::{DocumentId, ObjectVersion};
use chestnutlb_wire::{ObjectList, ObjectReply, WriteReply};

use crate::calls::{FeedIndex, FeedUpdate, StoreCalls};

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
    /// of the store, for one that has to be read again.
    Conflict(ObjectVersion),
    /// The write may or may not have taken effect.
    Unknown(StoreError),
}

/// A client of the object API.
#[derive(Debug, Clone)]
pub struct StoreClient {
    base: CompactString,
    agent: ureq::Agent,
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
        }
    }

    fn object_url(&self, id: &DocumentId) -> String {
        format!("{}/v1/objects/{}/{}", self.base, id.kind.as_str(), id.name)
    }

    /// Lists all objects with their versions.
    pub fn list(&self) -> Result<ObjectList, StoreError> {
        let call = self.agent.get(&format!("{}/v1/objects", self.base));
        read_object_list(call.timeout(CALL_TIMEOUT))
    }

    /// Waits up to `wait` for a version above `after`.
    pub fn watch(&self, after: ObjectVersion, wait: Duration) -> Result<ObjectList, StoreError> {
        let call = self
            .agent
            .get(&format!("{}/v1/watch", self.base))
            .query("after", &after.to_string())
            .query("wait_ms", &wait.as_millis().to_string());
        read_object_list(call.timeout(wait + CALL_TIMEOUT))
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
        let list = match after {
            None => self.list(),
            Some(after) => self.watch(after, wait),
        }?;
        let has_all = after.is_none();
        Ok(FeedUpdate::Versions { list, has_all })
    }

    fn read(&self, id: &DocumentId) -> Result<Option<ObjectReply>, StoreError> {
        let call = self.agent.get(&self.object_url(id)).timeout(CALL_TIMEOUT);
        match call.call() {
            Ok(response) => response
                .into_json()
                .map(Some)
                .map_err(|error| StoreError::Format(error.to_string())),
            Err(ureq::Error::Status(404, _)) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    fn write(
        &self,
        id: &DocumentId,
        expected: ObjectVersion,
        value: &serde_json::Value,
    ) -> WriteOutcome {
        let call = self
            .agent
            .put(&self.object_url(id))
            .timeout(CALL_TIMEOUT)
            .query("if_version", &expected.to_string());
        match call.send_json(value) {
            Ok(response) => match response.into_json::<WriteReply>() {
                Ok(reply) => WriteOutcome::Written(ObjectVersion(reply.version)),
                Err(error) => WriteOutcome::Unknown(StoreError::Format(error.to_string())),
            },
            Err(ureq::Error::Status(409, response)) => match response.into_json::<WriteReply>() {
                Ok(reply) => WriteOutcome::Conflict(ObjectVersion(reply.version)),
                Err(error) => WriteOutcome::Unknown(StoreError::Format(error.to_string())),
            },
            Err(error) => WriteOutcome::Unknown(error.into()),
        }
    }
}

fn read_object_list(call: ureq::Request) -> Result<ObjectList, StoreError> {
    call.call()
        .map_err(StoreError::from)?
        .into_json()
        .map_err(|error| StoreError::Format(error.to_string()))
}

impl From<ureq::Error> for StoreError {
    fn from(error: ureq::Error) -> Self {
        match error {
            ureq::Error::Status(code, _) => Self::Status(code),
            ureq::Error::Transport(transport) => Self::Unreachable(transport.to_string()),
        }
    }
}
