//! Threads of an entry VM that make blocking calls to the platform and to peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use compact_str::CompactString;
use crossbeam_channel::Receiver;

use chestnutlb_core::{
    ControlEvent, DocumentId, DocumentPatch, FeedConfirmation, FeedIndex, FeedScope, ListScope,
    ObjectVersion, StoreEra, TimePoint,
};
use chestnutlb_store::{
    EditOutcome, FeedObject, FeedPosition, FeedStep, FeedUpdate, LoadedDocument, StoreCalls,
    objects,
};
use chestnutlb_wire::ObjectList;
use chestnutlb_wire::peer::{
    PullQuery, PullReply, core_versions, scan_message, wire_versions, write_message,
};
use chestnutlb_wire::records::WireVersion;

use crate::clock;
use crate::entry_control::{ProbeJob, PullJob, StoreJob};
use crate::entry_http::EntryShared;
use crate::event_ring::EventRing;
use crate::http::read_body;
use crate::logs::LoggedVersion;
use crate::metrics::{Counter, CounterSet};

/// Delay after a failed call to the platform or a stale reply.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay after the first failed call of a watch. A single failure is usually a
/// lost connection, and changes may have been missed in the meantime. Until the
/// first successful call every retry uses this delay, since all requests wait for
/// the result of that call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Delay between a full listing of the project's own objects and their first watch.
/// When all entry VMs start at once, each of them writes to these objects, and only
/// then is it settled which of them watch. Until then peers exchange changes directly.
const FIRST_WATCH_DELAY: Duration = Duration::from_secs(2);

/// Delay between two watches of the project's own objects, in which changes
/// accumulate. Every change ends a watch, and the entry VM that wrote it notifies its
/// peers at once.
const WATCH_DELAY: Duration = Duration::from_millis(500);

/// Number of confirmations of operators' documents within the change deadline. With one third of
/// it, the heartbeats of a data centre pass one on before an entry VM reads in place of a watcher.
const CONFIRMATIONS_PER_DEADLINE: u32 = 3;

/// Shortest wait of a watch.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(100);

/// Interval at which a thread whose watch is disabled checks whether it was enabled.
const DISABLED_POLL_PERIOD: Duration = Duration::from_millis(100);

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
                let loaded = objects::load(client, &id).map_err(|error| error.to_string());
                if let Ok(Some(loaded)) = &loaded {
                    report_unreadable_items(&id, loaded, counters);
                }
                (id, loaded)
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

fn loaded_event(id: DocumentId, loaded: LoadedDocument) -> ControlEvent {
    let LoadedDocument {
        version,
        items,
        unreadable,
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

// Counts and logs the items of a document that were left out.
fn report_unreadable_items(id: &DocumentId, loaded: &LoadedDocument, counters: &CounterSet) {
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
        names = names.join(" ").as_str(), whole = unreadable.is_whole;
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

/// Runs the thread that reads the operators' objects when nobody has confirmed them for some time.
/// No other call delays it.
pub fn run_probes(
    client: &dyn StoreCalls,
    jobs: &Receiver<ProbeJob>,
    events: &EventRing,
    counters: &CounterSet,
) {
    for ProbeJob in jobs {
        probe(client, events, counters);
    }
}

// Reads the feeds of the operators' objects, each as a whole. A failed read is not repeated: the
// next probe causes another one.
fn probe(client: &dyn StoreCalls, events: &EventRing, counters: &CounterSet) {
    let feeds = (0..client.feeds()).map(FeedIndex);
    for feed in feeds.filter(|feed| client.feed_scope(*feed).has_operators()) {
        counters.add(Counter::PlatformCalls);
        let asked_at = clock::now();
        match client.fetch_updates(feed, None, Duration::ZERO) {
            Ok(update) => {
                let at = asked_at;
                let confirms = Some(FeedConfirmation { feed, at });
                forward_update(update, confirms, events, counters);
            }
            Err(error) => {
                counters.add(Counter::PlatformFailed);
                log::warn!(target: "platform", feed = feed.0, cause:% = error; "probe failed");
                return;
            }
        }
    }
    events.push(ControlEvent::StoreAnswered);
}

fn edit_result(outcome: EditOutcome) -> JobResult {
    match outcome {
        EditOutcome::Done(loaded) => Ok(Some(loaded)),
        EditOutcome::Conflict => Err("conflict".to_owned()),
        // The next read of the document shows whether the write took effect.
        EditOutcome::Unknown(error) => Err(error.to_string()),
    }
}

/// What a thread watches.
#[derive(Debug)]
pub struct WatchedFeed {
    /// The feed.
    pub feed: FeedIndex,
    /// The documents that it brings.
    pub scope: FeedScope,
    /// Time within which an answer confirms the documents again.
    pub period: Duration,
    /// Whether this entry VM watches the platform.
    pub enabled: Arc<AtomicBool>,
}

impl WatchedFeed {
    /// Returns the feed of a client, which is watched while `enabled` holds. Operators' documents
    /// are confirmed several times within the change deadline.
    pub fn new(
        client: &dyn StoreCalls,
        feed: FeedIndex,
        change_deadline: Duration,
        enabled: &Arc<AtomicBool>,
    ) -> Self {
        let wait = client.watch_wait(feed);
        let scope = client.feed_scope(feed);
        let period = if scope.has_operators() {
            wait.min(change_deadline / CONFIRMATIONS_PER_DEADLINE)
        } else {
            wait
        };
        Self {
            feed,
            scope,
            period,
            enabled: Arc::clone(enabled),
        }
    }

    // Returns how long the platform may wait for changes, so that its answer comes a period after
    // what was confirmed last.
    fn wait(&self, confirmed_at: Option<TimePoint>, now: TimePoint) -> Duration {
        let due = confirmed_at.map_or(now, |confirmed_at| confirmed_at + self.period);
        due.since(now).clamp(MIN_WATCH_WAIT, self.period)
    }

    // Returns the delay after an answer, which is a list of all objects or not. Changes of operators
    // are read at once.
    fn delay(&self, is_list: bool) -> Duration {
        match (self.scope.has_operators(), is_list) {
            (true, _) => Duration::ZERO,
            (false, true) => FIRST_WATCH_DELAY,
            (false, false) => WATCH_DELAY,
        }
    }
}

/// Runs the thread that watches a feed of the platform while this is enabled.
pub fn run_watch(
    client: &dyn StoreCalls,
    watched: &WatchedFeed,
    events: &EventRing,
    counters: &CounterSet,
) {
    let feed = watched.feed;
    let mut position = FeedPosition::default();
    let mut confirmed_at = None;
    let mut retry_delay = FIRST_RETRY_DELAY;
    let mut has_succeeded = false;
    loop {
        if !watched.enabled.load(Ordering::Relaxed) {
            position.reset();
            std::thread::sleep(DISABLED_POLL_PERIOD);
            continue;
        }
        counters.add(Counter::PlatformCalls);
        let after = position.after();
        let asked_at = clock::now();
        let wait = after.map_or(Duration::ZERO, |_| watched.wait(confirmed_at, asked_at));
        match client.fetch_updates(feed, after, wait) {
            Ok(update) => {
                retry_delay = FIRST_RETRY_DELAY;
                has_succeeded = true;
                let answered_at = clock::now();
                let has_changes = update.has_changes();
                let confirmation =
                    FeedConfirmation::of_answer(feed, asked_at, answered_at, wait, has_changes);
                let step = position.advance(update.version());
                if let FeedStep::Restored(earlier_era) = step {
                    log_restore(earlier_era, update.version().era(), feed);
                }
                let is_stale = step == FeedStep::Stale;
                let confirms = (!is_stale).then_some(confirmation);
                if forward_update(update, confirms, events, counters) {
                    confirmed_at = confirms.map(|confirmation| confirmation.at);
                } else {
                    position.reset();
                }
                std::thread::sleep(watched.delay(after.is_none()));
                if is_stale {
                    std::thread::sleep(RETRY_DELAY);
                }
            }
            Err(error) => {
                counters.add(Counter::PlatformFailed);
                log::warn!(target: "platform", feed = feed.0, cause:% = error; "watch failed");
                position.reset();
                std::thread::sleep(retry_delay);
                if has_succeeded {
                    retry_delay = RETRY_DELAY;
                }
            }
        }
    }
}

fn log_restore(earlier_era: StoreEra, era: StoreEra, feed: FeedIndex) {
    log::warn!(
        target: "platform",
        feed = feed.0, from = earlier_era.0, era = era.0;
        "store restored from an older copy"
    );
}

// Sends the content of a feed update to the control thread, with what it confirms. Returns whether
// the ring had room for all of it; if not, it confirms nothing.
fn forward_update(
    update: FeedUpdate,
    confirms: Option<FeedConfirmation>,
    events: &EventRing,
    counters: &CounterSet,
) -> bool {
    let version = update.version();
    let mut is_whole = true;
    let all_listed = |scope, listed: Vec<DocumentId>, first_era: Option<StoreEra>| {
        let event = ControlEvent::AllListed {
            scope,
            version,
            listed,
            first_era,
        };
        events.push(event)
    };
    let list = match update {
        FeedUpdate::Versions {
            list,
            has_all,
            unreadable,
        } => {
            report_unreadable(unreadable, counters);
            let list = document_versions(&list);
            if has_all {
                let listed = list.iter().map(|(id, _)| id.clone());
                is_whole &= all_listed(ListScope::All, listed.collect(), None);
            }
            list
        }
        FeedUpdate::Objects {
            objects,
            scope,
            first_era,
            unreadable,
            ..
        } => {
            report_unreadable(unreadable, counters);
            if let Some(scope) = scope {
                let listed = objects.iter().map(|object| object.id.clone());
                is_whole &= all_listed(scope, listed.collect(), first_era);
            }
            for object in objects {
                is_whole &= load_object(object, events, counters);
            }
            Vec::new()
        }
    };
    let confirms = confirms.filter(|_| is_whole);
    is_whole & events.push(ControlEvent::VersionsListed { list, confirms })
}

// Counts and logs the objects of an update that were left out.
fn report_unreadable(objects: usize, counters: &CounterSet) {
    if objects > 0 {
        counters.add_many(Counter::BodiesBad, objects as u64);
        log::warn!(target: "platform", objects = objects; "unreadable objects left out");
    }
}

// Parses an object of a feed and sends its document to the control thread. Returns false if the
// ring was full.
fn load_object(object: FeedObject, events: &EventRing, counters: &CounterSet) -> bool {
    let id = object.id.clone();
    match objects::parse_feed_object(object) {
        Ok(loaded) => {
            report_unreadable_items(&id, &loaded, counters);
            events.push(loaded_event(id, loaded))
        }
        Err(error) => {
            counters.add(Counter::BodiesBad);
            log::warn!(target: "platform", document:% = id, cause:% = error; "malformed document");
            true
        }
    }
}

// Returns the listed documents with their versions. Objects that are not documents of the
// project are skipped.
fn document_versions(object_list: &ObjectList) -> Vec<(DocumentId, ObjectVersion)> {
    let objects = object_list.objects.iter();
    objects
        .filter_map(|object| {
            let wire = WireVersion {
                kind: object.kind.clone(),
                name: object.name.clone(),
                version: object.version,
            };
            let id = DocumentId::try_from(&wire).ok()?;
            Some((id, ObjectVersion(object.version)))
        })
        .collect()
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
