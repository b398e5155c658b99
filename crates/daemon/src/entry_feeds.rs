//! Threads of an entry VM that read the feeds of the platform: a watch for each feed, and reads of
//! operators' documents in place of watchers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam_channel::Receiver;

use chestnutlb_core::{
    ControlEvent, DocumentId, FeedConfirmation, FeedIndex, FeedScope, ListScope, ObjectVersion,
    StoreEra, TimePoint,
};
use chestnutlb_store::{
    FeedObject, FeedPosition, FeedStep, FeedUpdate, StoreCalls, VersionList, objects,
};
use chestnutlb_wire::records::WireVersion;

use crate::clock;
use crate::entry_control::ProbeJob;
use crate::entry_store::{RETRY_DELAY, loaded_event, report_unreadable_items};
use crate::event_ring::EventRing;
use crate::metrics::{Counter, CounterSet};

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
        FeedUpdate::Versions { list, has_all } => {
            report_unreadable(list.unreadable, counters);
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

// Parses an object of a feed and sends its document to the control thread, and whether a document of
// operators can be read. Returns false if the ring was full.
fn load_object(object: FeedObject, events: &EventRing, counters: &CounterSet) -> bool {
    let (id, stored) = (object.id.clone(), object.stored);
    let parsed = objects::parse_feed_object(object);
    let is_readable = parsed.is_ok();
    let mut is_sent = match parsed {
        Ok(loaded) => {
            report_unreadable_items(&id, &loaded, counters);
            events.push(loaded_event(id.clone(), loaded))
        }
        Err(error) => {
            counters.add(Counter::BodiesBad);
            log::warn!(target: "platform", document:% = id, cause:% = error; "malformed document");
            true
        }
    };
    if id.kind.is_of_operators() {
        is_sent &= events.push(ControlEvent::DocumentRead {
            id,
            stored,
            is_readable,
        });
    }
    is_sent
}

// Returns the listed documents with their versions. Objects that are not documents of the
// project are skipped.
fn document_versions(list: &VersionList) -> Vec<(DocumentId, ObjectVersion)> {
    let objects = list.objects.iter();
    objects
        .filter_map(|object| {
            let wire = WireVersion {
                kind: object.kind.clone(),
                name: object.name.clone(),
                version: object.version.into(),
            };
            Some((DocumentId::try_from(&wire).ok()?, object.version))
        })
        .collect()
}
