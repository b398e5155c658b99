//! Counters and latency histograms, kept in memory, served as text over HTTP and
//! sent as StatsD metrics.

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

/// Interval at which the counters are sent to StatsD.
const METRICS_PERIOD: Duration = Duration::from_secs(1);

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)+) => {
        /// A counter of the process.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Counter { $($(#[$doc])* $variant,)+ }

        impl Counter {
            /// Every counter.
            pub const ALL: &'static [Counter] = &[$(Counter::$variant,)+];

            /// Returns the counter's name in metrics.
            pub fn as_str(self) -> &'static str {
                match self { $(Counter::$variant => $name,)+ }
            }
        }
    };
}

counters! {
    /// Callers' packets received: by an entry VM from the fabric, by a side process that
    /// ends flows from entry VMs and other hosts.
    PacketsIn = "packets.in",
    /// Datagrams sent to a side process: packets and lookup queries.
    PacketsForwarded = "packets.forwarded",
    /// Packets whose walk starts at the host of an owner hint.
    PacketsHinted = "packets.hinted",
    /// Malformed packets.
    PacketsBad = "packets.bad",
    /// Packets to an address that belongs to no service.
    PacketsNoService = "packets.no-service",
    /// Packets for a service without hosts.
    PacketsNoHost = "packets.no-host",
    /// SYNs refused since all hosts of the service are in drained data centres.
    PacketsDrained = "packets.drained",
    /// Packets kept until the configuration is read, each as often as it was tried.
    PacketsEarly = "packets.early",
    /// Packets that the socket failed to send.
    PacketsUnsent = "packets.unsent",
    /// Packets that a host returned because it does not own their flow.
    PacketsRerouted = "packets.rerouted",
    /// Owner lookups that ended, with any verdict.
    LookupsFinished = "flows.searched",
    /// Owner lookups that found the owner.
    LookupsFoundOwner = "flows.found",
    /// Owner lookups that the rate limit did not allow.
    LookupsNotStarted = "flows.limited",
    /// Flows that no host owns according to a lookup; their callers got a reset.
    FlowsWithoutOwner = "flows.dead",
    /// Owner notices received.
    OwnerNoticesIn = "notes.in",
    /// Probes sent to callers of flows that may have lost their owner.
    ProbesOut = "probes.out",
    /// Malformed datagrams from peers.
    PeerBad = "peer.bad",
    /// Registration targets left out of replies to hosts, whose datagram was full.
    PeerTargetsDropped = "peer.targets-dropped",
    /// Registrations and keep-alives that were due while no entry VM was known.
    RegistrationsUnsent = "registrations.unsent",
    /// Datagrams from peers.
    PeerIn = "peer.in",
    /// Datagrams to peers.
    PeerOut = "peer.out",
    /// Bytes of datagrams from peers.
    PeerBytesIn = "peer.bytes-in",
    /// Bytes of datagrams to peers.
    PeerBytesOut = "peer.bytes-out",
    /// Bytes of replies to pulls, which hold document patches.
    PullBytesIn = "pull.bytes-in",
    /// Pulls of documents from peers.
    Pulls = "pull.calls",
    /// Calls to the platform.
    PlatformCalls = "platform.calls",
    /// Calls to the platform that failed.
    PlatformFailed = "platform.failed",
    /// Reads of the operators' objects by an entry VM whose documents nobody confirmed.
    StoreProbes = "platform.probes",
    /// Seconds in which operators' documents were in force in an earlier version, since the platform
    /// had one that can't be read.
    OutdatedSeconds = "documents.outdated-s",
    /// Malformed or oversized HTTP bodies.
    BodiesBad = "http.bad-body",
    /// Reports and deregistrations of a backend server that were older than the current report,
    /// and not acknowledged.
    ReportsOutdated = "reports.outdated",
    /// Connections to the backend server that ask whether it runs.
    BackendConnects = "backend.connects",
    /// Items dropped because their ring was full.
    RingFull = "ring.full",
    /// Log lines left out because their flow is not in the sample.
    LogSampledOut = "log.sampled-out",
    /// Log lines dropped because the log ring was full.
    LogDropped = "log.dropped",
    /// Packets that a side process delivered to a flow or to the backend server.
    PacketsOwned = "packets.owned",
    /// Packets that a side process sent to the next host of the walk or returned to
    /// the entry VM.
    PacketsPassed = "packets.passed",
    /// Packets meant for another service or incarnation, or not sent by the backend
    /// server.
    PacketsMisdirected = "packets.misdirected",
    /// Packets for which no host on the walk owned the flow.
    PacketsNoOwner = "packets.no-owner",
    /// Resets withheld from the caller because their flow was not open at the backend
    /// server.
    ResetsWithheld = "resets.withheld",
    /// Packets refused with a reset.
    PacketsReset = "packets.reset",
    /// SYNs passed on since the data centre of the host is drained.
    SynsDrained = "syns.drained",
    /// SYNs passed on since the host is cold and has opened as many flows as it may.
    SynsCold = "syns.cold",
    /// Flows opened.
    FlowsOpened = "flows.opened",
    /// Flows that ended, including those cut by this process.
    FlowsEnded = "flows.ended",
    /// Flows cut by this process at the end of its drain grace.
    FlowsCut = "flows.cut",
    /// Requests accepted from callers.
    Requests = "requests.taken",
    /// Requests answered.
    RequestsAnswered = "requests.answered",
    /// Requests refused as not run.
    RequestsNotRun = "requests.not-run",
    /// Requests whose outcome is unknown.
    RequestsUnknown = "requests.unknown",
    /// Malformed requests.
    RequestsBad = "requests.bad",
    /// Requests relayed to another host.
    RelaysOut = "relays.out",
    /// Requests relayed here by another host.
    RelaysIn = "relays.in",
    /// Relays that were not sent or were refused.
    RelaysRefused = "relays.refused",
}

/// A measured duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timing {
    /// From the delivery of a SYN to the backend server's reply.
    SynReply,
    /// From the last packet of a request to the first packet of its response.
    Response,
    /// Age of the load report by which the host of a SYN was chosen.
    ReportAge,
    /// Time for which an event waited for the control thread of an entry VM.
    EventLag,
}

impl Timing {
    /// Every timing.
    pub const ALL: &'static [Timing] = &[
        Timing::SynReply,
        Timing::Response,
        Timing::ReportAge,
        Timing::EventLag,
    ];

    /// Returns the timing's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SynReply => "opening",
            Self::Response => "answer",
            Self::ReportAge => "report_age",
            Self::EventLag => "event_lag",
        }
    }
}

/// Longest duration that a histogram resolves; callers have timed out by then.
const MAX_TIMING: Duration = Duration::from_secs(60);

/// Significant digits of the values in a histogram.
const TIMING_DIGITS: u8 = 2;

/// Quantiles included in the text form.
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
    /// Adds one to a counter.
    pub fn add(&self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Adds `number` to a counter.
    pub fn add_many(&self, counter: Counter, number: u64) {
        self.values[counter as usize].fetch_add(number, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Records a duration, in whole milliseconds from 1 ms to [`MAX_TIMING`]; one
    /// outside that range counts as the nearest bound.
    pub fn record_timing(&self, timing: Timing, duration: Duration) {
        let millis = duration.min(MAX_TIMING).as_millis() as u64;
        let mut histogram_slot = lock(&self.timings[timing as usize]);
        if histogram_slot.is_none() {
            let max_ms = MAX_TIMING.as_millis() as u64;
            // Creation can't fail: the constant bounds are valid.
            *histogram_slot = Histogram::new_with_bounds(1, max_ms, TIMING_DIGITS).ok();
        }
        if let Some(histogram) = histogram_slot.as_mut() {
            histogram.saturating_record(millis.max(1));
        }
    }

    /// Returns counters and timings as text, one value a line: `name value` for a
    /// counter, `name_ms{quantile="0.99"} value` and `name_count value` for a timing.
    /// A timing without a recorded duration is left out.
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

    /// Returns the counters that are not zero, by name.
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

/// Sends an item to a ring without blocking. If the ring is full or its receiver is
/// gone, the item is dropped and counted. Returns whether the item was sent.
pub fn try_push<T>(ring: &Sender<T>, item: T, counters: &CounterSet) -> bool {
    let sent_to_ring = ring.try_send(item).is_ok();
    if !sent_to_ring {
        counters.add(Counter::RingFull);
        log::warn!(target: "ring", "full");
    }
    sent_to_ring
}

/// Starts the thread that sends the counters to StatsD at `target`.
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
                    // If sending fails, the increment is part of the next metric.
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
