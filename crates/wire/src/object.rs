//! The platform's object API, in JSON over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/objects/KIND/NAME` | reads an object |
//! | `PUT /v1/objects/KIND/NAME?if_version=N` | writes it if its version is N, 0 for a new one |
//! | `GET /v1/objects` | lists all objects with their versions |
//! | `GET /v1/watch?after=N&wait_ms=T` | waits for a version above N |
//!
//! The platform draws all versions from one counter, so they only increase. If it was restored
//! from an older copy, it loses what was written since and assigns versions again. The response
//! header `Object-Era`, a whole number in every response, whatever its status, is then higher by
//! one. A missing header stands for era 0. In queries and responses a version is the number
//! within the era; the clients keep both and order versions by era first.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::manifest::WireManifest;

/// Response header with the era of the platform.
pub const ERA_HEADER: &str = "Object-Era";

/// Response to a read.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectReply {
    /// Version of the object.
    pub version: u64,
    /// Content of the object.
    pub value: serde_json::Value,
}

/// Response to a write: the new version, or after a conflict the stored one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WriteReply {
    /// Version of the object.
    pub version: u64,
}

/// The kind, name and version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectListEntry {
    /// Kind of the object.
    pub kind: CompactString,
    /// Name of the object.
    pub name: CompactString,
    /// Version of the object.
    pub version: u64,
}

/// Response to a list or a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectList {
    /// Highest version that the platform has assigned.
    pub revision: u64,
    /// The listed objects.
    pub objects: Vec<ObjectListEntry>,
}

/// A manifest as the platform stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestObject {
    /// Id of the commit that wrote the object.
    pub commit: CompactString,
    /// Ids of earlier commits, the latest first.
    pub earlier: Vec<CompactString>,
    /// The manifest.
    pub manifest: WireManifest,
}

/// Whether a data centre is drained, as the platform stores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireDrain {
    /// Whether its hosts get no new flows.
    pub drained: bool,
}

/// Maximum number of earlier commits that a manifest object lists.
pub const MAX_EARLIER_COMMITS: usize = 16;
