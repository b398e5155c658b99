//! Threads of an entry VM that read and write documents in the platform's store, and pull them from
//! peers.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use crossbeam_channel::Receiver;

use chestnutlb_core::{ControlEvent, DocumentId, DocumentPatch, ObjectVersion, StoreEra};
use chestnutlb_store::{EditOutcome, LoadedDocument, StoreCalls, StoreError, objects};
use chestnutlb_wire::peer::{
    PullQuery, PullReply, core_versions, scan_message, wire_versions, write_message,
};

use crate::entry_control::{PullJob, StoreJob};
use crate::entry_http::EntryShared;
use crate::event_ring::EventRing;
use crate::http::read_body;
use crate::logs::LoggedVersion;
use crate::metrics::{Counter, CounterSet};

/// Delay after a failed call to the platform or a stale reply.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of names of unreadable items in one log line.
const MAX_LOGGED_NAMES: usize = 8;

/// Timeout of a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the thread that reads and writes documents in the platform's store.
pub fn run_store(
    client: &dyn StoreCalls,
    jobs: &Receiver<StoreJob>,
    events: &EventRing,
    counters: &CounterSet,
) {
    for job in jobs {
        counters.add(Counter::PlatformCalls);
        let (id, loaded) = match job {
            StoreJob::Load(id) => {
                let loaded = objects::load(client, &id);
                if let Ok(Some(loaded)) = &loaded {
                    report_unreadable_items(&id, loaded, counters);
                }
                push_read(&id, &loaded, events);
                (id, loaded.map_err(|error| error.to_string()))
            }
            StoreJob::WriteRoster(id, base, edits) => {
                let outcome = objects::edit_roster(client, &id, base, &edits);
                (id, edit_result(outcome))
            }
            StoreJob::WriteMembers(id, base, edits) => {
                let outcome = objects::edit_members(client, &id, base, &edits);
                (id, edit_result(outcome))
            }
            StoreJob::RemoveUnreadable(id, base) => {
                let outcome = objects::remove_unreadable(client, &id, base);
                (id, edit_result(outcome))
            }
            StoreJob::RecordFirstEra(era) => {
                record_first_era(client, era, counters);
                continue;
            }
        };
        let event = match loaded {
            Ok(Some(loaded)) => loaded_event(id, loaded),
            Ok(None) => ControlEvent::WriteFinished(id),
            Err(cause) => {
                counters.add(Counter::PlatformFailed);
                log::warn!(target: "platform", document:% = id, cause = cause.as_str(); "failed");
                std::thread::sleep(RETRY_DELAY);
                ControlEvent::WriteFinished(id)
            }
        };
        events.push(event);
    }
}

// Tells the control thread whether a document of operators can be read. A read that failed tells
// nothing.
fn push_read(
    id: &DocumentId,
    loaded: &Result<Option<LoadedDocument>, StoreError>,
    events: &EventRing,
) {
    let (stored, is_readable) = match loaded {
        Ok(Some(loaded)) => (loaded.version, true),
        // The listed version is the one that can't be read.
        Err(StoreError::Format(_)) => (ObjectVersion::default(), false),
        Ok(None) | Err(_) => return,
    };
    if id.kind.is_of_operators() {
        events.push(ControlEvent::DocumentRead {
            id: id.clone(),
            stored,
            is_readable,
        });
    }
}

/// Returns the event of a document that was read.
pub fn loaded_event(id: DocumentId, loaded: LoadedDocument) -> ControlEvent {
    let LoadedDocument {
        version,
        items,
        unreadable,
        ..
    } = loaded;
    if unreadable.is_empty() {
        ControlEvent::Loaded { id, version, items }
    } else {
        ControlEvent::LoadedPartly {
            id,
            version,
            items,
            unreadable,
        }
    }
}

/// Counts and logs the items of a document that were left out.
pub fn report_unreadable_items(id: &DocumentId, loaded: &LoadedDocument, counters: &CounterSet) {
    let unreadable = &loaded.unreadable;
    if unreadable.is_empty() {
        return;
    }
    counters.add_many(Counter::BodiesBad, unreadable.count() as u64);
    let names: Vec<&str> = unreadable
        .keys
        .iter()
        .take(MAX_LOGGED_NAMES)
        .map(CompactString::as_str)
        .collect();
    log::warn!(
        target: "platform",
        document:% = id, version = LoggedVersion::from(loaded.version),
        readable = loaded.items.len(), unreadable = unreadable.count(),
        names = names.join(" ").as_str(), whole = unreadable.is_whole,
        cause = loaded.cause.as_ref().map(ToString::to_string).as_deref();
        "unreadable items left out"
    );
}

type JobResult = Result<Option<LoadedDocument>, String>;

// A failed call is not repeated: the next list without a roster causes another one.
fn record_first_era(client: &dyn StoreCalls, era: StoreEra, counters: &CounterSet) {
    match client.record_first_era(era) {
        Ok(()) => log::info!(target: "platform", era = era.0; "first era recorded"),
        Err(error) => {
            counters.add(Counter::PlatformFailed);
            log::warn!(target: "platform", cause:% = error; "first era not recorded");
        }
    }
}

fn edit_result(outcome: EditOutcome) -> JobResult {
    match outcome {
        EditOutcome::Done(loaded) => Ok(Some(loaded)),
        EditOutcome::Conflict => Err("conflict".to_owned()),
        // The next read of the document shows whether the write took effect.
        EditOutcome::Unknown(error) => Err(error.to_string()),
    }
}

/// Runs the thread that pulls documents from peers.
pub fn run_pulls(jobs: &Receiver<PullJob>, events: &EventRing, shared: &Arc<EntryShared>) {
    // Connections are not kept: pulls are rare, and an idle connection may have been
    // closed or lost.
    let agent = ureq::AgentBuilder::new()
        .timeout(PULL_TIMEOUT)
        .max_idle_connections(0)
        .build();
    for job in jobs {
        shared.counters.add(Counter::Pulls);
        match pull(&agent, &job, shared) {
            Ok(patches) => {
                events.push(ControlEvent::Pulled(patches));
            }
            Err(cause) => {
                log::warn!(target: "peer", peer:% = job.peer, cause = cause.as_str(); "pull failed");
                let wanted = job.wanted.into_iter().map(|(id, _)| id).collect();
                events.push(ControlEvent::PullFailed(wanted));
            }
        }
    }
}

fn pull(
    agent: &ureq::Agent,
    job: &PullJob,
    shared: &EntryShared,
) -> Result<Vec<DocumentPatch>, String> {
    let all = job.wanted.is_empty();
    let have = if all {
        shared.documents().digest()
    } else {
        job.wanted.clone()
    };
    let query = PullQuery {
        have: wire_versions(&have),
        all,
    };
    let response = agent
        .post(&format!("http://{}/peer/pull", job.peer))
        .send_bytes(&write_message(&query))
        .map_err(|error| error.to_string())?;
    let bytes = read_body(response)?;
    shared
        .counters
        .add_many(Counter::PullBytesIn, bytes.len() as u64);
    let reply: PullReply = scan_message(&bytes).map_err(|error| error.to_string())?;
    reply
        .patches
        .iter()
        .map(|patch| patch.try_into().map_err(|error| format!("{error}")))
        .collect()
}

/// Returns the reply to a pull from the current documents, or `None` if the query is
/// malformed.
pub fn pull_reply(shared: &EntryShared, query: &PullQuery) -> Option<PullReply> {
    let have = core_versions(&query.have).ok()?;
    let documents = shared.documents();
    let mut patches: Vec<_> = have
        .iter()
        .filter_map(|(id, version)| documents.get(id)?.patch(id, *version))
        .collect();
    if query.all {
        let missing = documents
            .iter()
            .filter(|(id, _)| !have.iter().any(|(have_id, _)| have_id == *id))
            .filter_map(|(id, document)| document.patch(id, ObjectVersion(0)));
        patches.extend(missing);
    }
    Some(PullReply {
        patches: patches.iter().map(Into::into).collect(),
    })
}
