//! What identifies a flow and what of a packet the decisions look at.

use std::fmt;
use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets that the flows of a service are hashed into. It is the
/// same for every service and roster, so that all nodes agree on it.
pub const BUCKET_COUNT: usize = 4096;

/// The two ends of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The address of the service.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Hash that every node computes alike.
    pub fn hash(&self) -> FlowHash {
        let mut bytes = [0; 12];
        bytes[0..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..12].copy_from_slice(&self.service.port().to_be_bytes());
        FlowHash(xxh3_64(&bytes))
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// Hash of a flow key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowHash(pub u64);

impl FlowHash {
    /// The bucket of this flow.
    pub fn bucket(self) -> BucketIndex {
        BucketIndex((self.0 % BUCKET_COUNT as u64) as u16)
    }
}

/// Index of a bucket, below [`BUCKET_COUNT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketIndex(pub u16);

/// The TCP facts that decisions look at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TcpSegment {
    /// The two ends.
    pub key: FlowKey,
    /// Whether the segment asks to open a flow (SYN without ACK).
    pub is_syn: bool,
    /// Whether the segment answers an opening (SYN with ACK).
    pub is_syn_ack: bool,
    /// Whether the sender has nothing more to send (FIN).
    pub is_fin: bool,
    /// Whether the segment is a reset.
    pub is_rst: bool,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgement number, if the segment carries one.
    pub acknowledgement: Option<u32>,
    /// Bytes of payload.
    pub payload: u16,
}
