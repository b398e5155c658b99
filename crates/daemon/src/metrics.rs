//! Counters and latency histograms, kept in memory, served as text and sent as
//! StatsD metrics.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use cadence::{Counted, StatsdClient, UdpMetricSink};
use compact_str::CompactString;
use crossbeam_channel::Sender;
use hdrhistogram::Histogram;

/// Time between two sendings of metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(1);

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)+) => {
        /// What is counted.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Counter { $($(#[$doc])* $variant,)+ }

        impl Counter {
            /// Every counter.
            pub const ALL: &'static [Counter] = &[$(Counter::$variant,)+];

            /// Its name.
            pub fn as_str(self) -> &'static str {
                match self { $(Counter::$variant => $name,)+ }
            }
        }
    };
}

counters! {
    /// Packets from the fabric.
    PacketsIn = "packets.in",
    /// Packets sent to a side process.
    PacketsForwarded = "packets.forwarded",
    /// Packets whose plan started with a hint.
    PacketsHinted = "packets.hinted",
    /// Packets that can't be read.
    PacketsBad = "packets.bad",
    /// Packets for no service.
    PacketsNoService = "packets.no-service",
    /// Packets for a service without hosts.
    PacketsNoHost = "packets.no-host",
    /// Packets that the socket did not take.
    PacketsUnsent = "packets.unsent",
    /// Packets that a host returned since it does not know their flow.
    PacketsRerouted = "packets.rerouted",
    /// Flows that every host was asked for.
    FlowsSearched = "flows.searched",
    /// Searches that found the owner.
    FlowsFound = "flows.found",
    /// Flows whose callers were told that their backend server is lost.
    FlowsDead = "flows.dead",
    /// Notes about owners.
    NotesIn = "notes.in",
    /// Probes to callers of flows that may have lost their owner.
    ProbesOut = "probes.out",
    /// Datagrams from peers that can't be read.
    PeerBad = "peer.bad",
    /// Datagrams from peers.
    PeerIn = "peer.in",
    /// Datagrams to peers.
    PeerOut = "peer.out",
    /// Bytes of datagrams from peers.
    PeerBytesIn = "peer.bytes-in",
    /// Bytes of datagrams to peers.
    PeerBytesOut = "peer.bytes-out",
    /// Bytes of pulled patches.
    PullBytesIn = "pull.bytes-in",
    /// Pulls.
    Pulls = "pull.calls",
    /// Calls of the platform.
    PlatformCalls = "platform.calls",
    /// Calls of the platform that failed.
    PlatformFailed = "platform.failed",
    /// Bodies over HTTP that can't be read.
    BodiesBad = "http.bad-body",
    /// Items that found a ring full.
    RingFull = "ring.full",
    /// Log lines about flows that are not in the sample.
    LogSampledOut = "log.sampled-out",
    /// Log lines that found the ring full.
    LogDropped = "log.dropped",
    /// Packets that a side process delivered to a flow.
    PacketsOwned = "packets.owned",
    /// Packets that it passed on.
    PacketsPassed = "packets.passed",
    /// Packets for another service or incarnation.
    PacketsMisdirected = "packets.misdirected",
    /// Packets whose walk found no owner.
    PacketsNoOwner = "packets.no-owner",
    /// Resets of a backend server at which the flow was not open.
    ResetsWithheld = "resets.withheld",
    /// Packets answered with a reset.
    PacketsReset = "packets.reset",
    /// Flows opened.
    FlowsOpened = "flows.opened",
    /// Flows that ended by themselves.
    FlowsEnded = "flows.ended",
    /// Flows that were cut by this process.
    FlowsCut = "flows.cut",
    /// Requests taken from callers.
    Requests = "requests.taken",
    /// Requests answered.
    RequestsAnswered = "requests.answered",
    /// Requests refused as not run.
    RequestsNotRun = "requests.not-run",
    /// Requests whose fate is unknown.
    RequestsUnknown = "requests.unknown",
    /// Requests that can't be read.
    RequestsBad = "requests.bad",
    /// Requests handed to another host.
    RelaysOut = "relays.out",
    /// Requests taken from another host.
    RelaysIn = "relays.in",
    /// Relays that were refused.
    RelaysRefused = "relays.refused",
}

/// What is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timing {
    /// From an opening's delivery to the backend server's answer.
    Opening,
    /// From the last packet of a request to the first of its answer.
    Answer,
    /// Age of the report by which an opening was placed.
    ReportAge,
}

impl Timing {
    /// Everything that is timed.
    pub const ALL: &'static [Timing] = &[Timing::Opening, Timing::Answer, Timing::ReportAge];

    /// Its name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Opening => "opening",
            Self::Answer => "answer",
            Self::ReportAge => "report_age",
        }
    }
}

/// Longest time that a histogram tells apart: callers have given up by then.
const LONGEST_TIMING: Duration = Duration::from_secs(60);

/// Significant digits of a histogram.
const TIMING_DIGITS: u8 = 2;

/// Quantiles that are served.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// All counters and timings of a process.
#[derive(Debug)]
pub struct CounterSet {
    values: Vec<AtomicU64>,
    timings: Vec<Mutex<Option<Histogram<u64>>>>,
}

impl Default for CounterSet {
    fn default() -> Self {
        Self {
            values: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            timings: Timing::ALL.iter().map(|_| Mutex::default()).collect(),
        }
    }
}

impl CounterSet {
    /// Adds one.
    pub fn add(&self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Adds a number.
    pub fn add_many(&self, counter: Counter, number: u64) {
        self.values[counter as usize].fetch_add(number, Ordering::Relaxed);
    }

    /// The value.
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Adds a time; one that is too long counts as the longest.
    pub fn time(&self, timing: Timing, span: Duration) {
        let millis = span.min(LONGEST_TIMING).as_millis() as u64;
        let mut slot = lock(&self.timings[timing as usize]);
        if slot.is_none() {
            let longest = LONGEST_TIMING.as_millis() as u64;
            // These bounds are constants that the library accepts.
            *slot = Histogram::new_with_bounds(1, longest, TIMING_DIGITS).ok();
        }
        if let Some(histogram) = slot.as_mut() {
            histogram.saturating_record(millis.max(1));
        }
    }

    /// Counters and timings as text, a line each: `name value`, and
    /// `name_ms{quantile="0.99"} value` with `name_count`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for counter in Counter::ALL {
            let name = counter.as_str().replace(['.', '-'], "_");
            // Writing to a string can't fail.
            let _ = writeln!(text, "chestnutlb_{name} {}", self.get(*counter));
        }
        for timing in Timing::ALL {
            let name = timing.as_str();
            if let Some(histogram) = lock(&self.timings[*timing as usize]).as_ref() {
                for quantile in QUANTILES {
                    let value = histogram.value_at_quantile(quantile);
                    let _ = writeln!(
                        text,
                        "chestnutlb_{name}_ms{{quantile=\"{quantile}\"}} {value}"
                    );
                }
                let _ = writeln!(text, "chestnutlb_{name}_count {}", histogram.len());
            }
        }
        text
    }

    /// All values that are not zero.
    pub fn snapshot(&self) -> BTreeMap<CompactString, u64> {
        Counter::ALL
            .iter()
            .map(|counter| (CompactString::from(counter.as_str()), self.get(*counter)))
            .filter(|(_, value)| *value > 0)
            .collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends an item to a ring without waiting; an item that finds it full is
/// dropped and counted. Returns whether it was taken.
pub fn offer<T>(ring: &Sender<T>, item: T, counters: &CounterSet) -> bool {
    let taken = ring.try_send(item).is_ok();
    if !taken {
        counters.add(Counter::RingFull);
        log::warn!(target: "ring", "full");
    }
    taken
}

/// Starts the thread that sends metrics.
pub fn start(
    target: SocketAddr,
    prefix: &str,
    counters: Arc<CounterSet>,
) -> std::io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    let sink = UdpMetricSink::from(target, socket).map_err(std::io::Error::other)?;
    let client = StatsdClient::from_sink(prefix, sink);
    std::thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(move || {
            let mut sent = vec![0; Counter::ALL.len()];
            loop {
                std::thread::sleep(METRICS_PERIOD);
                for (counter, sent) in Counter::ALL.iter().zip(&mut sent) {
                    let value = counters.get(*counter);
                    // A lost metric is made up for by the next one.
                    if value > *sent
                        && client
                            .count(counter.as_str(), (value - *sent) as i64)
                            .is_ok()
                    {
                        *sent = value;
                    }
                }
            }
        })
}
