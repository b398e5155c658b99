//! Packets that arrive at an entry VM before it has read the configuration and the rosters.
//!
//! An entry VM gets packets as soon as it runs, and knows where to send them a moment later.
//! Callers would notice a dropped packet only by its missing reply, and send it again after
//! 200 ms or more. So the newest packet of each flow is kept until the first view that the
//! platform has confirmed, and tried again with each view up to that one.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::flow::FlowKey;
use crate::units::TimePoint;

/// Maximum number of flows with a packet, 0.6 MB in all.
pub const EARLY_PACKET_LIMIT: NonZeroUsize = NonZeroUsize::new(512).unwrap();

/// Time for which a packet is kept. Callers have sent a later one, or given up, by then.
pub const EARLY_PACKET_LIFETIME: Duration = Duration::from_secs(1);

/// A packet that came before the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlyPacket {
    /// The packet as it arrived.
    pub bytes: Vec<u8>,
    /// Its arrival.
    pub arrived_at: TimePoint,
}

/// The newest packet of each flow until the configuration is known.
#[derive(Debug)]
pub struct EarlyPackets {
    // `None` once the configuration is known.
    packets: Option<LruCache<FlowKey, EarlyPacket>>,
}

impl Default for EarlyPackets {
    fn default() -> Self {
        Self {
            packets: Some(LruCache::new(EARLY_PACKET_LIMIT)),
        }
    }
}

impl EarlyPackets {
    /// Keeps a packet that can't be forwarded. Returns whether it is kept: the configuration
    /// is not known yet.
    pub fn keep(&mut self, key: FlowKey, packet: &[u8], arrived_at: TimePoint) -> bool {
        let Some(packets) = &mut self.packets else {
            return false;
        };
        let bytes = packet.to_vec();
        packets.put(key, EarlyPacket { bytes, arrived_at });
        true
    }

    /// Returns the packets to try with a new view, oldest first. `is_known` states whether the
    /// platform has confirmed a view; no packet is kept from then on.
    pub fn take(&mut self, is_known: bool, now: TimePoint) -> Vec<EarlyPacket> {
        let Some(packets) = self.packets.take() else {
            return Vec::new();
        };
        if !is_known {
            self.packets = Some(LruCache::new(EARLY_PACKET_LIMIT));
        }
        let mut kept: Vec<EarlyPacket> = packets
            .into_iter()
            .map(|(_, early)| early)
            .filter(|early| now.since(early.arrived_at) < EARLY_PACKET_LIFETIME)
            .collect();
        kept.sort_by_key(|early| early.arrived_at);
        kept
    }

    /// Returns whether no packet is kept.
    pub fn is_empty(&self) -> bool {
        self.packets.as_ref().is_none_or(LruCache::is_empty)
    }
}
