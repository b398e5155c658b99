//! The decision of a side process: is this packet's flow mine?
//!
//! The host has the last word on its flows. It delivers what it owns, opens
//! what it has room for and passes everything else to the next hop of the
//! packet's plan.
//!
//! A flow is established at one host at most, even when its SYN was taken by
//! two: each answers with an initial sequence number of its own, and the
//! caller acknowledges only one of them. A host whose number was not
//! acknowledged passes the packet on.
//!
//! A packet that nobody owns is answered with a reset only if three things
//! hold: every host that this one knows of has passed the packet on, what this
//! host knows was confirmed lately, and the flow has been without an owner for
//! longer than news takes to spread. Otherwise it is dropped, and the caller
//! sends it again.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::chart::{FlowEvent, FlowState};
use crate::flow::{BucketIndex, FlowKey, TcpSegment};
use crate::ids::{Incarnation, ServiceTag};
use crate::units::TimePoint;

/// Acknowledgements this far behind what was sent still belong to the flow.
pub const ACK_WINDOW_BYTES: u32 = 1 << 20;

/// A half-open flow is given up after this time.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// A flow without an owner is reset when it has been so for this time, which
/// is longer than a new host needs to become known everywhere.
pub const UNOWNED_TIME_BEFORE_RESET: Duration = Duration::from_secs(6);

/// Flows without an owner that are remembered.
const DOUBT_LIMIT: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// What a packet's header says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketArrival {
    /// The service that the entry VM meant.
    pub tag: ServiceTag,
    /// The incarnation that it meant.
    pub incarnation: Incarnation,
    /// Whether the plan has another hop after this one.
    pub more_hops: bool,
    /// Whether the plan names every host that could own the flow, as far as
    /// the entry VM and this host know, and this host's knowledge is fresh.
    pub proved: bool,
}

/// Why a side process drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PacketDrop {
    /// The packet is for another service or another incarnation.
    Misdirected,
    /// The walk ended without an owner, and it was not proved that there is
    /// none.
    NoOwner,
    /// A reset of a flow that nobody here knows.
    StrayReset,
}

impl PacketDrop {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Misdirected => "misdirected",
            Self::NoOwner => "no-owner",
            Self::StrayReset => "stray-reset",
        }
    }
}

/// What a side process does with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketVerdict {
    /// Hand it to the flow.
    Deliver,
    /// Open a flow with it.
    Open,
    /// Send it to the next hop.
    PassOn,
    /// Answer it with a reset.
    Reset,
    /// Drop it.
    Drop(PacketDrop),
}

#[derive(Debug, Clone, Copy)]
struct FlowRecord {
    state: FlowState,
    initial_sequence: u32,
    sent_sequence: u32,
    last_seen: TimePoint,
}

/// Whether the host may open flows just now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionGate {
    /// The host takes new work.
    pub open: bool,
    /// Most flows at once.
    pub flow_limit: usize,
}

/// What a verdict depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerdictInputs {
    /// The flow is this host's.
    pub owned: bool,
    /// The packet asks to open a flow.
    pub is_syn: bool,
    /// The packet is a reset.
    pub is_rst: bool,
    /// The host takes a new flow.
    pub takes: bool,
    /// The plan has another hop.
    pub more_hops: bool,
    /// It is certain that the flow has no owner.
    pub may_reset: bool,
}

/// The verdict on a packet of this host's service.
pub fn judge_facts(facts: VerdictInputs) -> PacketVerdict {
    match facts {
        VerdictInputs { owned: true, .. } => PacketVerdict::Deliver,
        VerdictInputs {
            is_syn: true,
            takes: true,
            ..
        } => PacketVerdict::Open,
        VerdictInputs {
            more_hops: true, ..
        } => PacketVerdict::PassOn,
        VerdictInputs { is_rst: true, .. } => PacketVerdict::Drop(PacketDrop::StrayReset),
        VerdictInputs { is_syn: true, .. } => PacketVerdict::Reset,
        VerdictInputs {
            may_reset: true, ..
        } => PacketVerdict::Reset,
        _ => PacketVerdict::Drop(PacketDrop::NoOwner),
    }
}

/// Whether a flow in this state takes a segment with this acknowledgement: one
/// whose handshake is not complete only that of its own first number.
pub fn is_acknowledged(state: FlowState, initial: u32, sent: u32, number: Option<u32>) -> bool {
    match (state, number) {
        (_, None) => true,
        (FlowState::Opening, Some(number)) => number == initial.wrapping_add(1),
        (_, Some(number)) => sent.wrapping_sub(number) <= ACK_WINDOW_BYTES,
    }
}

/// The flows of one host.
#[derive(Debug)]
pub struct FlowTable {
    tag: ServiceTag,
    incarnation: Incarnation,
    flows: HashMap<FlowKey, FlowRecord>,
    doubts: LruCache<FlowKey, TimePoint>,
}

impl FlowTable {
    /// The table of a host of the service `tag`.
    pub fn new(tag: ServiceTag, incarnation: Incarnation) -> Self {
        Self {
            tag,
            incarnation,
            flows: HashMap::new(),
            doubts: LruCache::new(DOUBT_LIMIT),
        }
    }

    /// Start of the side process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there is no flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Judges a packet.
    pub fn judge(
        &mut self,
        arrival: &PacketArrival,
        segment: &TcpSegment,
        gate: AdmissionGate,
        now: TimePoint,
    ) -> PacketVerdict {
        if arrival.tag != self.tag || arrival.incarnation != self.incarnation {
            return PacketVerdict::Drop(PacketDrop::Misdirected);
        }
        let facts = VerdictInputs {
            owned: self.owns(segment, now),
            is_syn: segment.is_syn,
            is_rst: segment.is_rst,
            takes: gate.open && self.flows.len() < gate.flow_limit,
            more_hops: arrival.more_hops,
            may_reset: false,
        };
        let verdict = match judge_facts(facts) {
            // Only here it matters whether there is no owner at all.
            PacketVerdict::Drop(PacketDrop::NoOwner) => judge_facts(VerdictInputs {
                may_reset: arrival.proved && self.doubted_long(segment.key, now),
                ..facts
            }),
            verdict => verdict,
        };
        if verdict == PacketVerdict::Open {
            // A flow that the caller gave up leaves its key to the new one.
            self.flows.remove(&segment.key);
        }
        verdict
    }

    fn doubted_long(&mut self, key: FlowKey, now: TimePoint) -> bool {
        let first = *self.doubts.get_or_insert(key, || now);
        let long = now.since(first) >= UNOWNED_TIME_BEFORE_RESET;
        if long {
            self.doubts.pop(&key);
        }
        long
    }

    fn owns(&mut self, segment: &TcpSegment, now: TimePoint) -> bool {
        let Some(record) = self.flows.get_mut(&segment.key) else {
            return false;
        };
        let owned = is_acknowledged(
            record.state,
            record.initial_sequence,
            record.sent_sequence,
            segment.acknowledgement,
        );
        if owned {
            record.last_seen = now;
        }
        owned
    }

    /// Adds a flow that answers with this initial sequence number.
    pub fn insert(&mut self, key: FlowKey, initial_sequence: u32, now: TimePoint) {
        self.flows.insert(
            key,
            FlowRecord {
                state: FlowState::Opening,
                initial_sequence,
                sent_sequence: initial_sequence.wrapping_add(1),
                last_seen: now,
            },
        );
    }

    /// Notes that the host sent everything before `sequence`.
    pub fn record_sent(&mut self, key: FlowKey, sequence: u32) {
        if let Some(record) = self.flows.get_mut(&key)
            && sequence.wrapping_sub(record.sent_sequence) < u32::MAX / 2
        {
            record.sent_sequence = sequence;
        }
    }

    /// Moves a flow along its chart; a closed flow is forgotten.
    pub fn apply(&mut self, key: FlowKey, event: FlowEvent) -> Option<FlowState> {
        let record = self.flows.get_mut(&key)?;
        record.state = record.state.after(event)?;
        let state = record.state;
        if state == FlowState::Closed {
            self.flows.remove(&key);
        }
        Some(state)
    }

    /// Flows whose handshake was never completed.
    pub fn expired(&self, now: TimePoint) -> Vec<FlowKey> {
        self.flows
            .iter()
            .filter(|(_, record)| {
                record.state == FlowState::Opening
                    && now.since(record.last_seen) >= HANDSHAKE_TIMEOUT
            })
            .map(|(key, _)| *key)
            .collect()
    }

    /// Buckets that have flows, without repeats, in order.
    pub fn buckets(&self) -> Vec<BucketIndex> {
        let mut buckets: Vec<_> = self.flows.keys().map(|key| key.hash().bucket()).collect();
        buckets.sort_unstable();
        buckets.dedup();
        buckets
    }
}
