//! What hosts report of their load, and the order in which an entry VM asks
//! them to open a flow.
//!
//! A host is ranked by the time in which it would complete one more request:
//! its own service time, stretched by what waits for a slot. Hosts of another
//! data centre pay for the way. What this entry VM placed since a host's last
//! report counts as if the host had reported it, so that a burst spreads over
//! all hosts by their slots before the first report of it arrives.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::DatacenterName;
use crate::units::TimePoint;

/// Service time that is assumed of a host which has reported none.
pub const ASSUMED_SERVICE: Duration = Duration::from_millis(20);

/// Slots that are assumed of a host which has reported none.
pub const ASSUMED_SLOTS: u16 = 3;

/// By this much faster a host of another data centre has to be: the bytes of
/// a flow between data centres are dear.
pub const REMOTE_PENALTY: Duration = Duration::from_millis(12);

/// A report older than this says nothing about the requests at work.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Share of its service time that a fully busy host is ranked down by, so that
/// hosts of equal speed and no queue are used alike.
const BUSY_WEIGHT: f64 = 0.5;

/// By this much faster the others have to be for a host to be asked all of
/// whose answers look like failures. Failing costs little time, so such a host
/// would else draw all callers to itself.
pub const FAILING_PENALTY: Duration = Duration::from_millis(300);

/// A host that got an opening answers an entry VM with a report within this time:
/// it sends one every 100 ms, shared among at most 16 entry VMs.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// A mute host is tried again after this time.
const UNRESPONSIVE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// By this much faster the others have to be for a mute host to be asked: it may
/// be dead, and callers send again after 200 ms.
pub const UNRESPONSIVE_PENALTY: Duration = Duration::from_millis(200);

/// A cold host takes this much longer.
const COLD_FACTOR: f64 = 1.6;

/// What a host says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLoad {
    /// Requests that its backend server runs at once.
    pub slots: u16,
    /// Requests at work or queued at its backend server.
    pub at_work: u16,
    /// The same, averaged over the last half second, in hundredths.
    pub busy_hundredths: u16,
    /// Flows that are open.
    pub flows: u16,
    /// Mean time of a request that did not wait, in microseconds; zero if
    /// none was seen.
    pub service_us: u32,
    /// Share of its latest answers that look like failures.
    pub failing_percent: u8,
    /// Whether it opens flows.
    pub takes: bool,
    /// Whether its backend server is slow since it has just started.
    pub cold: bool,
}

#[derive(Debug, Clone, Copy)]
struct LoadEntry {
    load: HostLoad,
    heard: TimePoint,
    placed: u16,
}

/// The newest report of each host, and what was placed since.
#[derive(Debug, Default)]
pub struct LoadTable {
    entries: HashMap<SocketAddrV4, LoadEntry>,
    // When a host got the first opening since its last word.
    unanswered: HashMap<SocketAddrV4, TimePoint>,
}

/// What the ranking looks at beside the board.
#[derive(Debug, Clone, Copy)]
pub struct RankingInput<'a> {
    /// Where the host takes packets.
    pub packets: SocketAddrV4,
    /// Where it stands.
    pub datacenter: &'a DatacenterName,
    /// Whether the roster calls it cold.
    pub cold: bool,
}

impl LoadTable {
    /// Notes a report.
    pub fn record_report(&mut self, host: SocketAddrV4, load: HostLoad, now: TimePoint) {
        let entry = LoadEntry {
            load,
            heard: now,
            placed: 0,
        };
        self.entries.insert(host, entry);
        self.record_activity(host);
    }

    /// Notes that a host sent something.
    pub fn record_activity(&mut self, host: SocketAddrV4) {
        self.unanswered.remove(&host);
    }

    /// Whether a host has not said a word since it got an opening `patience` ago.
    pub fn is_silent(&self, host: SocketAddrV4, patience: Duration, now: TimePoint) -> bool {
        self.unanswered
            .get(&host)
            .is_some_and(|since| now.since(*since) >= patience)
    }

    /// Notes that a flow was placed at a host.
    pub fn record_placement(&mut self, host: SocketAddrV4, now: TimePoint) {
        let entry = self.entries.entry(host).or_insert(LoadEntry {
            load: HostLoad {
                slots: ASSUMED_SLOTS,
                at_work: 0,
                busy_hundredths: 0,
                flows: 0,
                service_us: 0,
                failing_percent: 0,
                takes: true,
                cold: false,
            },
            heard: now,
            placed: 0,
        });
        entry.placed = entry.placed.saturating_add(1);
        self.unanswered.entry(host).or_insert(now);
    }

    /// Forgets hosts that have been silent for long.
    pub fn expire(&mut self, now: TimePoint) {
        self.entries
            .retain(|_, entry| now.since(entry.heard) < REPORT_LIFETIME);
        self.unanswered
            .retain(|_, since| now.since(*since) < UNRESPONSIVE_RETRY_AFTER);
    }

    /// The newest report of a host and its age.
    pub fn report(&self, host: SocketAddrV4, now: TimePoint) -> Option<(HostLoad, Duration)> {
        let entry = self.entries.get(&host)?;
        Some((entry.load, now.since(entry.heard)))
    }

    /// Whether the host's last report says that it opens no flows.
    pub fn refuses(&self, host: SocketAddrV4, now: TimePoint) -> bool {
        self.report(host, now)
            .is_some_and(|(load, age)| !load.takes && age < REPORT_LIFETIME)
    }

    /// Milliseconds in which the host would complete one more request, with
    /// the penalty for the way; the lowest is asked first.
    pub fn cost(&self, place: &RankingInput<'_>, here: &DatacenterName, now: TimePoint) -> f64 {
        let entry = self
            .entries
            .get(&place.packets)
            .filter(|entry| now.since(entry.heard) < REPORT_LIFETIME);
        let cold = place.cold || entry.is_some_and(|entry| entry.load.cold);
        let mut cost = match entry {
            Some(entry) => completion_ms(&entry.load, entry.placed),
            None => ASSUMED_SERVICE.as_secs_f64() * 1000.0,
        };
        if cold {
            cost *= COLD_FACTOR;
        }
        if let Some(entry) = entry {
            let share = f64::from(entry.load.failing_percent) / 100.0;
            cost += share * FAILING_PENALTY.as_secs_f64() * 1000.0;
        }
        if self.is_silent(place.packets, UNRESPONSIVE_AFTER, now) {
            cost += UNRESPONSIVE_PENALTY.as_secs_f64() * 1000.0;
        }
        if place.datacenter != here {
            cost += REMOTE_PENALTY.as_secs_f64() * 1000.0;
        }
        cost
    }
}

fn completion_ms(load: &HostLoad, placed: u16) -> f64 {
    let slots = f64::from(load.slots.max(1));
    let service = match load.service_us {
        0 => ASSUMED_SERVICE.as_secs_f64() * 1000.0,
        micros => f64::from(micros) / 1000.0,
    };
    let queue = f64::from(load.at_work) + f64::from(placed);
    let waiting = (queue + 1.0 - slots).max(0.0) / slots;
    let busy = f64::from(load.busy_hundredths) / 100.0 / slots;
    service * (1.0 + waiting + BUSY_WEIGHT * busy)
}
