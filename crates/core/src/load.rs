//! Load reports of hosts, and the order in which an entry VM offers them a new flow.
//!
//! Hosts are ranked by the time in which they would complete one more request: the
//! service time of the host, scaled by the queue for a slot. Hosts of another data centre
//! get a penalty for the distance. Flows that this entry VM placed since a host's last
//! report count as if the host had reported them, so that a burst spreads over all hosts
//! in proportion to their slots before the first reports of it arrive.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::DatacenterName;
use crate::units::TimePoint;

/// Service time assumed of a host that has reported none.
pub const ASSUMED_SERVICE: Duration = Duration::from_millis(20);

/// Slots assumed of a host that has reported none.
pub const ASSUMED_SLOTS: u16 = 3;

/// Penalty of a host in another data centre, since traffic between data centres is
/// expensive.
pub const REMOTE_PENALTY: Duration = Duration::from_millis(12);

/// Time after which a report no longer describes the requests in progress.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Share of its service time that is added to the cost of a fully busy host, so that
/// hosts of equal speed without a queue are used alike.
const BUSY_WEIGHT: f64 = 0.5;

/// Penalty of a host all of whose responses look like failures: the other hosts have to be
/// slower by this time for it to be preferred. Failing takes little time, so without the
/// penalty such a host would attract all callers.
pub const FAILING_PENALTY: Duration = Duration::from_millis(300);

/// A host from which nothing was received for this time after a SYN is unresponsive. Hosts
/// report a changed load every 100 ms; the interval grows with the number of entry VMs, of
/// which at most 16 get reports.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// Time after which an unresponsive host is tried again.
const UNRESPONSIVE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Penalty of an unresponsive host, which may be down. Callers retransmit after 200 ms.
pub const UNRESPONSIVE_PENALTY: Duration = Duration::from_millis(200);

/// Factor by which a cold host is slower.
const COLD_FACTOR: f64 = 1.6;

/// Load report of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLoad {
    /// Requests that its backend server runs concurrently.
    pub slots: u16,
    /// Requests in progress or queued at its backend server.
    pub at_work: u16,
    /// Average of `at_work` over the last half second, in hundredths.
    pub busy_hundredths: u16,
    /// Number of flows.
    pub flows: u16,
    /// Mean time of a request that was not queued, in microseconds; zero if none was
    /// measured.
    pub service_us: u32,
    /// Share of its recent responses that look like failures.
    pub failing_percent: u8,
    /// Whether it accepts new flows.
    pub takes: bool,
    /// Whether its backend server is slow because it has just started.
    pub cold: bool,
}

#[derive(Debug, Clone, Copy)]
struct LoadEntry {
    load: HostLoad,
    // Arrival of the report; without one, time of the first placement.
    last_seen: TimePoint,
    // Flows placed since then.
    placed: u16,
}

/// The newest report of each host, and the number of flows placed at it since.
#[derive(Debug, Default)]
pub struct LoadTable {
    entries: HashMap<SocketAddrV4, LoadEntry>,
    // Time of the first SYN sent to a host since something was last received from it.
    unanswered_since: HashMap<SocketAddrV4, TimePoint>,
}

/// Facts about a host, besides its reports, that its rank depends on.
#[derive(Debug, Clone, Copy)]
pub struct RankingInput<'a> {
    /// Packet address of the host.
    pub packets: SocketAddrV4,
    /// Data centre of the host.
    pub datacenter: &'a DatacenterName,
    /// Whether the host is cold according to the roster.
    pub cold: bool,
}

impl LoadTable {
    /// Records a report.
    pub fn record_report(&mut self, host: SocketAddrV4, load: HostLoad, now: TimePoint) {
        let entry = LoadEntry {
            load,
            last_seen: now,
            placed: 0,
        };
        self.entries.insert(host, entry);
        self.record_activity(host);
    }

    /// Records that something was received from a host.
    pub fn record_activity(&mut self, host: SocketAddrV4) {
        self.unanswered_since.remove(&host);
    }

    /// Returns whether a SYN was sent to the host at least `timeout` ago and nothing was
    /// received from it since.
    pub fn is_silent(&self, host: SocketAddrV4, timeout: Duration, now: TimePoint) -> bool {
        self.unanswered_since
            .get(&host)
            .is_some_and(|since| now.since(*since) >= timeout)
    }

    /// Records that a flow was placed at a host.
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
            last_seen: now,
            placed: 0,
        });
        entry.placed = entry.placed.saturating_add(1);
        self.unanswered_since.entry(host).or_insert(now);
    }

    /// Removes outdated reports, and lets unresponsive hosts be tried again.
    pub fn expire(&mut self, now: TimePoint) {
        self.entries
            .retain(|_, entry| now.since(entry.last_seen) < REPORT_LIFETIME);
        self.unanswered_since
            .retain(|_, since| now.since(*since) < UNRESPONSIVE_RETRY_AFTER);
    }

    /// Returns the newest report of a host and its age.
    pub fn report(&self, host: SocketAddrV4, now: TimePoint) -> Option<(HostLoad, Duration)> {
        let entry = self.entries.get(&host)?;
        Some((entry.load, now.since(entry.last_seen)))
    }

    /// Returns whether the current report of the host rejects new flows.
    pub fn refuses(&self, host: SocketAddrV4, now: TimePoint) -> bool {
        self.report(host, now)
            .is_some_and(|(load, age)| !load.takes && age < REPORT_LIFETIME)
    }

    /// Returns the time in milliseconds in which the host would complete one more
    /// request, plus penalties. The host with the lowest cost gets the flow.
    pub fn cost(
        &self,
        input: &RankingInput<'_>,
        local_datacenter: &DatacenterName,
        now: TimePoint,
    ) -> f64 {
        let entry = self
            .entries
            .get(&input.packets)
            .filter(|entry| now.since(entry.last_seen) < REPORT_LIFETIME);
        let cold = input.cold || entry.is_some_and(|entry| entry.load.cold);
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
        if self.is_silent(input.packets, UNRESPONSIVE_AFTER, now) {
            cost += UNRESPONSIVE_PENALTY.as_secs_f64() * 1000.0;
        }
        if input.datacenter != local_datacenter {
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
