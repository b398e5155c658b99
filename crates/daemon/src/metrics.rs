//! Counters, kept in memory for the status page and sent as StatsD metrics.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use cadence::{Counted, StatsdClient, UdpMetricSink};
use compact_str::CompactString;
use crossbeam_channel::Sender;

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

/// All counters of a process.
#[derive(Debug)]
pub struct CounterSet {
    values: Vec<AtomicU64>,
}

impl Default for CounterSet {
    fn default() -> Self {
        Self {
            values: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
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

    /// All values that are not zero.
    pub fn snapshot(&self) -> BTreeMap<CompactString, u64> {
        Counter::ALL
            .iter()
            .map(|counter| (CompactString::from(counter.as_str()), self.get(*counter)))
            .filter(|(_, value)| *value > 0)
            .collect()
    }
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
