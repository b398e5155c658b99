//! The platform's object API, in JSON over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/objects/KIND/NAME` | reads an object |
//! | `PUT /v1/objects/KIND/NAME?if_version=N` | writes it if its version is N, 0 for a new one |
//! | `GET /v1/objects` | lists all objects with their versions |
//! | `GET /v1/watch?after=N&wait_ms=T` | waits for a version above N |
//!
//! Versions are drawn from one counter of the platform, so they only grow.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::manifest::WireManifest;

/// An object that was read.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectReply {
    /// Its version.
    pub version: u64,
    /// Its content.
    pub value: serde_json::Value,
}

/// The outcome of a write: the new version, or the one that stood in the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WriteReply {
    /// The version.
    pub version: u64,
}

/// An object with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectStamp {
    /// Kind.
    pub kind: CompactString,
    /// Name.
    pub name: CompactString,
    /// Version.
    pub version: u64,
}

/// The answer of a list or a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StampList {
    /// The highest version of the platform.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<ObjectStamp>,
}

/// A manifest as the platform keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestObject {
    /// The commit that wrote it.
    pub commit: CompactString,
    /// Earlier commits, the latest first.
    pub earlier: Vec<CompactString>,
    /// The manifest.
    pub manifest: WireManifest,
}

/// Earlier commits that a manifest object remembers.
pub const EARLIER_COMMITS: usize = 16;
