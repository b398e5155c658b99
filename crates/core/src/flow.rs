//! Flow keys, and the TCP header fields that decisions depend on.

use std::fmt;
use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets that the flows of a service are hashed into. It is the same for all
/// services and rosters, so that all nodes agree on it.
pub const BUCKET_COUNT: usize = 4096;

/// Addresses of the two ends of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the service.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Returns the hash of the key, which is the same on every node.
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
    /// Returns the bucket of the flow.
    pub fn bucket(self) -> BucketIndex {
        BucketIndex((self.0 % BUCKET_COUNT as u64) as u16)
    }
}

/// Index of a bucket, below [`BUCKET_COUNT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketIndex(pub u16);

impl BucketIndex {
    /// Returns the bucket half of the buckets away.
    pub fn opposite(self) -> Self {
        Self((self.0 + (BUCKET_COUNT / 2) as u16) % BUCKET_COUNT as u16)
    }
}

/// TCP header fields that decisions depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TcpSegment {
    /// Key of the flow.
    pub key: FlowKey,
    /// Whether the segment is a SYN without ACK, which opens a flow.
    pub is_syn: bool,
    /// Number of copies of this SYN that the caller sent before, if its packets tell;
    /// zero otherwise.
    pub syn_copies: u32,
    /// Whether the segment is a SYN-ACK.
    pub is_syn_ack: bool,
    /// Whether the segment is a FIN.
    pub is_fin: bool,
    /// Whether the segment is a reset.
    pub is_rst: bool,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgement number, if the segment carries one.
    pub acknowledgement: Option<u32>,
    /// Length of the payload in bytes.
    pub payload: u16,
}

impl TcpSegment {
    /// Returns the first SYN of a flow.
    pub fn first_syn(key: FlowKey) -> Self {
        Self {
            key,
            is_syn: true,
            syn_copies: 0,
            is_syn_ack: false,
            is_fin: false,
            is_rst: false,
            sequence: 0,
            acknowledgement: None,
            payload: 0,
        }
    }
}
