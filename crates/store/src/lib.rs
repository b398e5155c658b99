//! Client of the platform's object API: conditional writes, watches, and
//! commits that determine whether a write with a lost response took effect.
//!
//! ```no_run
//! use chestnutlb_core::{DocumentId, DocumentKind};
//! use chestnutlb_store::{StoreCalls, StoreClient};
//!
//! let client = StoreClient::new("http://127.0.0.1:7100");
//! let roster = DocumentId::new(DocumentKind::Roster, "honam-1");
//! if let Some(reply) = client.read(&roster)? {
//!     println!("version {}", reply.version);
//! }
//! # Ok::<(), chestnutlb_store::StoreError>(())
//! ```

pub mod answer;
pub mod calls;
pub mod client;
pub mod commit;
pub mod objects;
mod stored_list;

pub use answer::{AnswerBody, EraReader, StoreAnswer};
pub use calls::{
    FeedObject, FeedPosition, FeedStep, FeedUpdate, ListedObject, ReadObject, StoreCalls,
    VersionList,
};
pub use chestnutlb_core::FeedIndex;
pub use client::{StoreClient, StoreError, WriteOutcome};
pub use commit::{CommitOutcome, CommitPlan, CurrentManifest};
pub use objects::{EditOutcome, LoadedDocument};
