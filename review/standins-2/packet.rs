//! Packets of flows: a head of 34 bytes, then up to 1,200 bytes of data.

use std::net::Ipv4Addr;

pub const SYN: u8 = 32;
pub const ACK: u8 = 128;
pub const FIN: u8 = 1;
pub const RST: u8 = 64;
pub const BOUNCED: u8 = 2;

const HEAD_BYTES: usize = 34;

/// Secret of the two ends of a flow: the system does not know it.
const SUM_KEY: u32 = 0x5bd1_e995;

/// The address and port of one end of a flow.
pub type End = (Ipv4Addr, u16);

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub src: End,
    pub dst: End,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// Returns the packet as its sender writes it, with the keyed sum.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_BYTES];
        bytes[0..4].copy_from_slice(&self.dst.0.octets());
        bytes[4..6].copy_from_slice(&self.dst.1.to_be_bytes());
        bytes[6..8].copy_from_slice(&self.src.1.to_be_bytes());
        bytes[8..12].copy_from_slice(&self.src.0.octets());
        bytes[20..22].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[22..26].copy_from_slice(&self.seq.to_be_bytes());
        bytes[26..30].copy_from_slice(&self.ack.to_be_bytes());
        bytes[30] = self.flags;
        bytes.extend_from_slice(&self.data);
        let sum = keyed_sum(&bytes);
        bytes[12..16].copy_from_slice(&sum.to_be_bytes());
        bytes
    }
}

/// What arrived at an end of a flow.
#[derive(Debug)]
pub enum Arrival {
    /// A packet with its sender's sum.
    Genuine(Packet),
    /// A reset of the system's own.
    SystemReset(Packet),
    /// Bytes that no end of a flow wrote so.
    Forged,
}

pub fn read(bytes: &[u8]) -> Arrival {
    if bytes.len() < HEAD_BYTES {
        return Arrival::Forged;
    }
    let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    let u32_at =
        |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let packet = Packet {
        dst: (Ipv4Addr::from(u32_at(0)), u16_at(4)),
        src: (Ipv4Addr::from(u32_at(8)), u16_at(6)),
        seq: u32_at(22),
        ack: u32_at(26),
        flags: bytes[30],
        data: bytes[HEAD_BYTES..].to_vec(),
    };
    let sum = u32_at(12);
    if usize::from(u16_at(20)) != packet.data.len() {
        Arrival::Forged
    } else if sum == keyed_sum(bytes) {
        Arrival::Genuine(packet)
    } else if sum == 0 && packet.has(RST) && packet.data.is_empty() {
        Arrival::SystemReset(packet)
    } else {
        Arrival::Forged
    }
}

/// Returns a packet as a host returns it: BOUNCED set, `pad` zero, the rest as it arrived.
pub fn bounce(bytes: &[u8]) -> Vec<u8> {
    let mut bounced = bytes.to_vec();
    bounced[30] |= BOUNCED;
    bounced[31..34].fill(0);
    bounced
}

// The sum covers all fields except itself, `echo` (16 to 20), `pad` (31 to 34) and BOUNCED.
fn keyed_sum(bytes: &[u8]) -> u32 {
    let mut sum: u32 = 0x811c_9dc5 ^ SUM_KEY;
    for (at, byte) in bytes.iter().enumerate() {
        let covered = !(12..20).contains(&at) && !(31..34).contains(&at);
        if covered {
            let byte = if at == 30 { byte & !BOUNCED } else { *byte };
            sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        }
    }
    // Zero marks a reset of the system.
    sum.max(1)
}
