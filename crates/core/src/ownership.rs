//! Ownership of flows at a side process, for stream and request services.
//!
//! The host decides on its own flows. It delivers packets of flows that it owns, opens
//! flows if it has room, and passes all other packets to the next hop of their plan.
//!
//! A flow is established at one host at most, even if two hosts accepted its SYN: each
//! answers with its own initial sequence number, and the caller acknowledges only one of
//! them. A host whose number was not acknowledged passes the packet on.
//!
//! A packet of a flow without an owner is answered with a reset only under three
//! conditions: all hosts that this one has in its view have passed the packet on, the view
//! was confirmed recently, and the flow has been without an owner for longer than an update
//! takes to propagate. Otherwise the packet is dropped, and the caller retransmits it.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::chart::{FlowEvent, FlowState};
use crate::flow::{BucketIndex, FlowKey, TcpSegment};
use crate::ids::{Incarnation, ServiceTag};
use crate::units::TimePoint;

/// Acknowledgements up to this far behind the sent data belong to the flow.
pub const ACK_WINDOW_BYTES: u32 = 1 << 20;

/// Time after which a half-open flow is abandoned.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without an owner after which a flow is reset. It is longer than the record of a new
/// host takes to reach every entry VM and host.
pub const UNOWNED_TIME_BEFORE_RESET: Duration = Duration::from_secs(6);

/// Maximum number of flows without an owner that are recorded.
const UNOWNED_LIMIT: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Facts about the arrival of a packet, from its header and the view of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketArrival {
    /// The service that the entry VM sent the packet to.
    pub tag: ServiceTag,
    /// The incarnation of the host that the entry VM sent the packet to.
    pub incarnation: Incarnation,
    /// Whether the plan has another hop after this one.
    pub more_hops: bool,
    /// Whether the plan names every host that could own the flow, according to the views
    /// of the entry VM and of this host, and the view of this host is fresh.
    pub no_owner_proved: bool,
}

/// Reason for which a side process drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PacketDrop {
    /// The packet is for another service or another incarnation.
    Misdirected,
    /// No host on the walk owned the flow, but it is not certain that no host does.
    NoOwner,
    /// A reset of a flow that no host on the walk owned.
    StrayReset,
}

impl PacketDrop {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Misdirected => "misdirected",
            Self::NoOwner => "no-owner",
            Self::StrayReset => "stray-reset",
        }
    }
}

/// Action of a side process on a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketVerdict {
    /// Deliver it to its flow.
    Deliver,
    /// Open a flow with it.
    Open,
    /// Send it to the next hop.
    NextHop,
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

/// Conditions under which the host opens flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionGate {
    /// Whether the host accepts new flows.
    pub open: bool,
    /// Maximum number of flows.
    pub flow_limit: usize,
}

/// Inputs of the verdict on a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerdictInputs {
    /// Whether this host owns the flow.
    pub owned: bool,
    /// Whether the packet is a SYN.
    pub is_syn: bool,
    /// Whether the packet is a reset.
    pub is_rst: bool,
    /// Whether the host accepts a new flow.
    pub accepts: bool,
    /// Whether the plan has another hop after this one.
    pub more_hops: bool,
    /// Whether the flow certainly has no owner.
    pub may_reset: bool,
}

/// Returns the verdict on a packet of this host's service.
pub fn judge_packet(inputs: VerdictInputs) -> PacketVerdict {
    match inputs {
        VerdictInputs { owned: true, .. } => PacketVerdict::Deliver,
        VerdictInputs {
            is_syn: true,
            accepts: true,
            ..
        } => PacketVerdict::Open,
        VerdictInputs {
            more_hops: true, ..
        } => PacketVerdict::NextHop,
        VerdictInputs { is_rst: true, .. } => PacketVerdict::Drop(PacketDrop::StrayReset),
        VerdictInputs { is_syn: true, .. } => PacketVerdict::Reset,
        VerdictInputs {
            may_reset: true, ..
        } => PacketVerdict::Reset,
        _ => PacketVerdict::Drop(PacketDrop::NoOwner),
    }
}

/// Returns whether a flow in this state accepts a segment with this acknowledgement
/// number. While the handshake is not complete, only the acknowledgement of the flow's
/// initial sequence number is accepted. A segment without one is always accepted.
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
    unowned_since: LruCache<FlowKey, TimePoint>,
}

impl FlowTable {
    /// Returns an empty table for a host of the service `tag`.
    pub fn new(tag: ServiceTag, incarnation: Incarnation) -> Self {
        Self {
            tag,
            incarnation,
            flows: HashMap::new(),
            unowned_since: LruCache::new(UNOWNED_LIMIT),
        }
    }

    /// Returns the incarnation of the side process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Decides what to do with a packet.
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
        let inputs = VerdictInputs {
            owned: self.owns(segment, now),
            is_syn: segment.is_syn,
            is_rst: segment.is_rst,
            accepts: gate.open && self.flows.len() < gate.flow_limit,
            more_hops: arrival.more_hops,
            may_reset: false,
        };
        let verdict = match judge_packet(inputs) {
            // The time without an owner is measured only if the verdict depends on it.
            PacketVerdict::Drop(PacketDrop::NoOwner) => judge_packet(VerdictInputs {
                may_reset: arrival.no_owner_proved && self.is_unowned_long_enough(segment.key, now),
                ..inputs
            }),
            verdict => verdict,
        };
        if verdict == PacketVerdict::Open {
            // The caller abandoned its earlier flow with this key.
            self.flows.remove(&segment.key);
        }
        verdict
    }

    fn is_unowned_long_enough(&mut self, key: FlowKey, now: TimePoint) -> bool {
        let since = *self.unowned_since.get_or_insert(key, || now);
        let long_enough = now.since(since) >= UNOWNED_TIME_BEFORE_RESET;
        if long_enough {
            self.unowned_since.pop(&key);
        }
        long_enough
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

    /// Adds a half-open flow, whose SYN-ACK has this initial sequence number.
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

    /// Records that the host sent all data before `sequence`.
    pub fn record_sent(&mut self, key: FlowKey, sequence: u32) {
        if let Some(record) = self.flows.get_mut(&key)
            && sequence.wrapping_sub(record.sent_sequence) < u32::MAX / 2
        {
            record.sent_sequence = sequence;
        }
    }

    /// Applies an event to the state of a flow and returns the new state, if any. A
    /// closed flow is removed.
    pub fn apply(&mut self, key: FlowKey, event: FlowEvent) -> Option<FlowState> {
        let record = self.flows.get_mut(&key)?;
        record.state = record.state.after(event)?;
        let state = record.state;
        if state == FlowState::Closed {
            self.flows.remove(&key);
        }
        Some(state)
    }

    /// Returns the half-open flows whose handshake timed out.
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

    /// Returns the buckets that have flows, sorted and without duplicates.
    pub fn buckets(&self) -> Vec<BucketIndex> {
        let mut buckets: Vec<_> = self.flows.keys().map(|key| key.hash().bucket()).collect();
        buckets.sort_unstable();
        buckets.dedup();
        buckets
    }
}
