//! Answers of a store: the era that each names, and bodies that are decoded in parts.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use chestnutlb_core::{ObjectVersion, StoreEra, StoreRevision};

use crate::client::StoreError;

/// Largest body of an answer, in bytes. Stores list about one megabyte at once, and objects are
/// no larger.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Levels at which a part of an object that can't be read leaves the rest in use: the fields of
/// the object, the records of a list and the fields of a record.
const CONTENT_LEVELS: usize = 3;

fn format_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Format(error.to_string())
}

/// An answer of a store with the era that it names.
#[derive(Debug)]
pub struct StoreAnswer {
    /// The era, zero if the answer names none.
    pub era: StoreEra,
    response: ureq::Response,
}

impl StoreAnswer {
    /// Returns the status.
    pub fn status(&self) -> u16 {
        self.response.status()
    }

    /// Returns the version that a revision in this answer stands for.
    pub fn version(era: StoreEra, revision: u64) -> Result<ObjectVersion, StoreError> {
        ObjectVersion::new(era, StoreRevision(revision.into())).map_err(format_error)
    }

    /// Reads the body of a successful answer; any other status is an error.
    pub fn read(self) -> Result<AnswerBody, StoreError> {
        match self.status() {
            200..300 => self.read_body(),
            status => Err(StoreError::Status(status)),
        }
    }

    /// Reads the body, whatever the status.
    pub fn read_body(self) -> Result<AnswerBody, StoreError> {
        let mut bytes = Vec::new();
        let reader = self.response.into_reader().take(MAX_BODY_BYTES + 1);
        let len = { reader }.read_to_end(&mut bytes).map_err(format_error)?;
        if len as u64 > MAX_BODY_BYTES {
            return Err(StoreError::Format("the body is too large".to_owned()));
        }
        Ok(AnswerBody::from(bytes))
    }
}

/// The body of an answer. It is decoded in parts, so that one which can't be read, such as an
/// object of another program, leaves the others in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerBody {
    text: String,
    // Whether bytes that are no text were replaced.
    is_repaired: bool,
}

impl From<Vec<u8>> for AnswerBody {
    fn from(bytes: Vec<u8>) -> Self {
        match String::from_utf8(bytes) {
            Ok(text) => Self {
                text,
                is_repaired: false,
            },
            Err(error) => Self {
                text: String::from_utf8_lossy(error.as_bytes()).into_owned(),
                is_repaired: true,
            },
        }
    }
}

impl AnswerBody {
    /// Decodes the body. Fields of type [`RawValue`] are decoded by the other functions; nothing
    /// in them can make this fail.
    pub fn decode<'a, T: Deserialize<'a>>(&'a self) -> Result<T, StoreError> {
        serde_json::from_str(&self.text).map_err(format_error)
    }

    /// Decodes a part of the body that contains further parts, as [`Self::decode`] does.
    pub fn envelope<'a, T: Deserialize<'a>>(&self, part: &'a RawValue) -> Result<T, StoreError> {
        serde_json::from_str(part.get()).map_err(format_error)
    }

    /// Decodes a part of the body.
    pub fn part<'a, T: Deserialize<'a>>(&self, part: &'a RawValue) -> Result<T, StoreError> {
        if self.is_repaired && part.get().contains(char::REPLACEMENT_CHARACTER) {
            return Err(StoreError::Format("not UTF-8".to_owned()));
        }
        self.envelope(part)
    }

    /// Decodes those of the parts that can be read. Returns them with the number of the others.
    pub fn parts<'a, T: Deserialize<'a>>(&self, parts: &[&'a RawValue]) -> (Vec<T>, usize) {
        let decoded: Vec<T> = parts
            .iter()
            .filter_map(|part| self.part(part).ok())
            .collect();
        let unreadable = parts.len() - decoded.len();
        (decoded, unreadable)
    }

    /// Decodes the content of an object. Null stands for what can't be read in it, down to a
    /// field of a record in a list: whoever uses the object has to learn that it exists.
    pub fn content(&self, part: Option<&RawValue>) -> Value {
        part.map_or(Value::Null, |part| {
            self.readable_value(part, CONTENT_LEVELS)
        })
    }

    fn readable_value(&self, part: &RawValue, levels: usize) -> Value {
        if let Ok(value) = self.part(part) {
            return value;
        }
        if levels == 0 {
            return Value::Null;
        }
        let readable = |part| self.readable_value(part, levels - 1);
        if let Ok(fields) = self.envelope::<BTreeMap<String, &RawValue>>(part) {
            let fields = fields.into_iter();
            Value::Object(
                fields
                    .map(|(name, field)| (name, readable(field)))
                    .collect(),
            )
        } else if let Ok(items) = self.envelope::<Vec<&RawValue>>(part) {
            Value::Array(items.into_iter().map(readable).collect())
        } else {
            Value::Null
        }
    }
}

/// Reads the era of each answer and remembers the latest. Clones share it.
#[derive(Debug, Clone)]
pub struct EraReader {
    header: &'static str,
    latest: Arc<AtomicU64>,
}

impl EraReader {
    /// Creates a reader of the header with this name.
    pub fn new(header: &'static str) -> Self {
        Self {
            header,
            latest: Arc::default(),
        }
    }

    /// Returns the latest era that an answer named.
    pub fn latest(&self) -> StoreEra {
        StoreEra(self.latest.load(Ordering::SeqCst))
    }

    /// Returns whether a later era than that of the version is known. An object that does not
    /// exist is the same in all eras.
    pub fn is_outdated(&self, version: ObjectVersion) -> bool {
        !version.is_absent() && version.era() < self.latest()
    }

    /// Stands for the version of an object that has not been read in the latest era.
    pub fn unread_version(&self) -> ObjectVersion {
        StoreAnswer::version(self.latest(), 0).unwrap_or_default()
    }

    /// Reads the era of an answer, whatever its status.
    pub fn read(
        &self,
        result: Result<ureq::Response, ureq::Error>,
    ) -> Result<StoreAnswer, StoreError> {
        let response = match result {
            Ok(response) | Err(ureq::Error::Status(_, response)) => response,
            Err(error) => return Err(error.into()),
        };
        let era = match response.header(self.header) {
            Some(text) => text.trim().parse().map_err(format_error)?,
            None => StoreEra(0),
        };
        // Rejects an era that does not fit before it is compared with others.
        StoreAnswer::version(era, 0)?;
        self.latest.fetch_max(era.0, Ordering::SeqCst);
        Ok(StoreAnswer { era, response })
    }
}
