//! Threads of an entry VM that wait for others: for the platform and for
//! peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender};

use chestnutlb_core::{ControlEvent, DocumentId, DocumentPatch, ObjectVersion};
use chestnutlb_store::{
    EditOutcome, FeedIndex, FeedObject, FeedUpdate, LoadedDocument, StoreCalls, objects,
};
use chestnutlb_wire::StampList;
use chestnutlb_wire::peer::{
    PullAnswer, PullQuery, core_versions, scan_message, wire_versions, write_message,
};
use chestnutlb_wire::records::WireVersion;

use crate::entry_control::{PullJob, StoreJob};
use crate::entry_http::EntryShared;
use crate::http::read_body;
use crate::metrics::{Counter, CounterSet, offer};

/// Pause after a call of the platform failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Pause after the first failed call of a watch: a single one is mostly a
/// connection that was cut, and changes may have been missed. While nothing is
/// known yet, every request waits for the first answer.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Time after the first news of the project's own objects before they are
/// watched: when all start at once, each writes to them, and who is to watch is
/// known only then. Until then peers tell each other.
const SETTLE_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two watches of the project's own objects, in which changes gather:
/// each change ends a watch, and whoever wrote it tells its peers at once.
const GATHER_PAUSE: Duration = Duration::from_millis(500);

/// The feed of the operators' objects.
const OPERATORS_FEED: FeedIndex = FeedIndex(0);

/// Pause between two looks at whether to watch.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Time for a peer to answer a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// The thread that reads and writes documents.
pub fn run_store(
    client: &dyn StoreCalls,
    jobs: &Receiver<StoreJob>,
    events: &Sender<ControlEvent>,
    counters: &CounterSet,
) {
    for job in jobs {
        counters.add(Counter::PlatformCalls);
        let (id, loaded) = run_job(client, job);
        let event = match loaded {
            Ok(Some(LoadedDocument { version, items })) => {
                ControlEvent::Loaded { id, version, items }
            }
            Ok(None) => ControlEvent::Wrote(id),
            Err(cause) => {
                counters.add(Counter::PlatformFailed);
                log::warn!(target: "platform", document:% = id, cause = cause.as_str(); "failed");
                std::thread::sleep(FAILURE_PAUSE);
                ControlEvent::Wrote(id)
            }
        };
        offer(events, event, counters);
    }
}

type JobResult = Result<Option<LoadedDocument>, String>;

fn run_job(client: &dyn StoreCalls, job: StoreJob) -> (DocumentId, JobResult) {
    match job {
        StoreJob::Load(id) => {
            let loaded = objects::load(client, &id).map_err(|error| error.to_string());
            (id, loaded)
        }
        StoreJob::WriteRoster(id, edits) => {
            let outcome = objects::edit_roster(client, &id, &edits);
            (id, edit_result(outcome))
        }
        StoreJob::WriteMembers(id, edits) => {
            let outcome = objects::edit_members(client, &id, &edits);
            (id, edit_result(outcome))
        }
    }
}

fn edit_result(outcome: EditOutcome) -> JobResult {
    match outcome {
        EditOutcome::Done(loaded) => Ok(Some(loaded)),
        EditOutcome::Conflict => Err("conflict".to_owned()),
        // The next look at the roster shows whether it took effect.
        EditOutcome::Unsure(error) => Err(error.to_string()),
    }
}

/// The thread that watches a feed of the platform while it is asked to.
pub fn run_watch(
    client: &dyn StoreCalls,
    feed: FeedIndex,
    on: &AtomicBool,
    events: &Sender<ControlEvent>,
    counters: &CounterSet,
) {
    let mut after: Option<ObjectVersion> = None;
    let mut pause = FIRST_PAUSE;
    let mut known = false;
    let wait = client.watch_wait(feed);
    loop {
        if !on.load(Ordering::Relaxed) {
            after = None;
            std::thread::sleep(IDLE_PAUSE);
            continue;
        }
        counters.add(Counter::PlatformCalls);
        match client.news(feed, after, wait) {
            Ok(news) => {
                pause = FIRST_PAUSE;
                known = true;
                let (revision, stale) = hand_on(news, after, events, counters);
                if feed != OPERATORS_FEED {
                    let pause = if after.is_none() {
                        SETTLE_PAUSE
                    } else {
                        GATHER_PAUSE
                    };
                    std::thread::sleep(pause);
                }
                after = Some(revision.max(after.unwrap_or_default()));
                if stale {
                    std::thread::sleep(FAILURE_PAUSE);
                }
            }
            Err(error) => {
                counters.add(Counter::PlatformFailed);
                log::warn!(target: "platform", feed = feed.0, cause:% = error; "watch failed");
                after = None;
                std::thread::sleep(pause);
                if known {
                    pause = FAILURE_PAUSE;
                }
            }
        }
    }
}

// Hands news to the control thread. Returns the version that it leads up to,
// and whether it is older than what was known.
fn hand_on(
    news: FeedUpdate,
    after: Option<ObjectVersion>,
    events: &Sender<ControlEvent>,
    counters: &CounterSet,
) -> (ObjectVersion, bool) {
    let is_stale = |revision| after.is_some_and(|after| revision < after);
    match news {
        FeedUpdate::Stamps(stamps) => {
            let revision = ObjectVersion(stamps.revision);
            let stale = is_stale(revision);
            offer(events, listed(&stamps, stale), counters);
            (revision, stale)
        }
        FeedUpdate::Objects { revision, objects } => {
            let stale = is_stale(revision);
            for object in objects {
                load_object(object, events, counters);
            }
            let list = Vec::new();
            offer(events, ControlEvent::Listed { list, stale }, counters);
            (revision, stale)
        }
    }
}

fn load_object(object: FeedObject, events: &Sender<ControlEvent>, counters: &CounterSet) {
    let id = object.id.clone();
    match objects::parse_feed_object(object) {
        Ok(LoadedDocument { version, items }) => {
            offer(
                events,
                ControlEvent::Loaded { id, version, items },
                counters,
            );
        }
        Err(error) => {
            counters.add(Counter::BodiesBad);
            log::warn!(target: "platform", document:% = id, cause:% = error; "unreadable");
        }
    }
}

// Objects of other kinds are none of ours.
fn listed(stamps: &StampList, stale: bool) -> ControlEvent {
    let list = stamps
        .objects
        .iter()
        .filter_map(|stamp| {
            let wire = WireVersion {
                kind: stamp.kind.clone(),
                name: stamp.name.clone(),
                version: stamp.version,
            };
            let id = DocumentId::try_from(&wire).ok()?;
            Some((id, ObjectVersion(stamp.version)))
        })
        .collect();
    ControlEvent::Listed { list, stale }
}

/// The thread that pulls documents from peers.
pub fn run_pulls(
    jobs: &Receiver<PullJob>,
    events: &Sender<ControlEvent>,
    shared: &Arc<EntryShared>,
) {
    // Pulls are rare, and an idle connection may have been closed or cut.
    let agent = ureq::AgentBuilder::new()
        .timeout(PULL_TIMEOUT)
        .max_idle_connections(0)
        .build();
    for job in jobs {
        shared.counters.add(Counter::Pulls);
        match pull(&agent, &job, shared) {
            Ok(patches) => {
                offer(events, ControlEvent::Pulled(patches), &shared.counters);
            }
            Err(cause) => {
                log::warn!(target: "peer", peer:% = job.peer, cause = cause.as_str(); "pull failed");
                let wanted = job.wanted.into_iter().map(|(id, _)| id).collect();
                offer(events, ControlEvent::PullFailed(wanted), &shared.counters);
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
    let answer = agent
        .post(&format!("http://{}/peer/pull", job.peer))
        .send_bytes(&write_message(&query))
        .map_err(|error| error.to_string())?;
    let bytes = read_body(answer)?;
    shared
        .counters
        .add_many(Counter::PullBytesIn, bytes.len() as u64);
    let answer: PullAnswer = scan_message(&bytes).map_err(|error| error.to_string())?;
    answer
        .patches
        .iter()
        .map(|patch| patch.try_into().map_err(|error| format!("{error}")))
        .collect()
}

/// Answers a pull from the documents at hand.
pub fn answer_pull(shared: &EntryShared, query: &PullQuery) -> Option<PullAnswer> {
    let have = core_versions(&query.have).ok()?;
    let documents = shared.documents();
    let mut patches: Vec<_> = have
        .iter()
        .filter_map(|(id, version)| documents.get(id)?.patch(id, *version))
        .collect();
    if query.all {
        let missing = documents
            .iter()
            .filter(|(id, _)| !have.iter().any(|(known, _)| known == *id))
            .filter_map(|(id, document)| document.patch(id, ObjectVersion(0)));
        patches.extend(missing);
    }
    Some(PullAnswer {
        patches: patches.iter().map(Into::into).collect(),
    })
}
