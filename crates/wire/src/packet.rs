//! Packets between entry VMs and side processes.
//!
//! A datagram has a fixed prefix (magic, version, kind, position, length of
//! the header), a MessagePack header and, for data, the caller's IP packet as
//! it came from the fabric. Only the position changes from hop to hop.

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::{
    IpHeaders, NetSlice, PacketBuilder, PacketBuilderStep, SlicedPacket, TcpHeader, TransportSlice,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use chestnutlb_core::entry::FlowProbe;
use chestnutlb_core::{
    FlowKey, HostLoad, HostRecord, Incarnation, ObjectVersion, OwnershipReply, ServiceTag,
    TcpSegment,
};

/// Version of this form.
pub const PACKET_VERSION: u8 = 1;
/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 2048;
/// Largest header, in bytes.
pub const MAX_HEADER_BYTES: usize = 400;
/// Largest IP packet that callers may send, in bytes.
pub const MAX_INNER_BYTES: usize = 1500;

const MAGIC: [u8; 2] = *b"CL";
const PREFIX_BYTES: usize = 7;
const POSITION_OFFSET: usize = 4;

quick_error! {
    /// Why a datagram is dropped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
    pub enum PacketError {
        /// It ends too early.
        Truncated {
            display("truncated")
        }
        /// It is none of the system's datagrams.
        Magic {
            display("bad-magic")
        }
        /// It was sent by another version of the system.
        Version {
            display("wrong-version")
        }
        /// Its header is larger than allowed.
        Oversized {
            display("oversized")
        }
        /// Its header can't be read.
        Header {
            display("bad-header")
        }
        /// It holds no IPv4 packet with a TCP segment.
        Segment {
            display("bad-segment")
        }
    }
}

/// One hop of a plan. Hosts of carried flows have no incarnation: the flows
/// outlive the side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireHop {
    /// Address of the side process.
    pub address: u32,
    /// Its port.
    pub port: u16,
    /// The incarnation that is meant.
    pub incarnation: u64,
}

impl WireHop {
    /// Where to send the packet.
    pub fn target(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.address), self.port)
    }

    /// The incarnation that is meant.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }
}

impl From<SocketAddrV4> for WireHop {
    fn from(target: SocketAddrV4) -> Self {
        Self {
            address: u32::from(*target.ip()),
            port: target.port(),
            incarnation: 0,
        }
    }
}

impl From<&HostRecord> for WireHop {
    fn from(record: &HostRecord) -> Self {
        Self {
            address: u32::from(*record.packets.ip()),
            port: record.packets.port(),
            incarnation: record.incarnation.0,
        }
    }
}

/// Header of a data packet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PacketHeader {
    /// The service.
    pub tag: u64,
    /// Roster generation of the plan.
    pub generation: u64,
    /// Whether the plan names every possible owner.
    pub complete: bool,
    /// The entry VM's address for hints.
    pub entry: (u32, u16),
    /// The plan.
    pub hops: Vec<WireHop>,
}

impl PacketHeader {
    /// The service.
    pub fn tag(&self) -> ServiceTag {
        ServiceTag(self.tag)
    }

    /// Roster generation of the plan.
    pub fn generation(&self) -> ObjectVersion {
        ObjectVersion(self.generation)
    }

    /// Where hints go.
    pub fn entry(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.entry.0), self.entry.1)
    }
}

/// A host's word that it owns a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerNotice {
    /// The caller's end.
    pub caller: (u32, u16),
    /// The service.
    pub service: (u32, u16),
    /// Incarnation of the owner.
    pub incarnation: u64,
}

impl OwnerNotice {
    /// A note about this flow.
    pub fn new(key: FlowKey, owner: Incarnation) -> Self {
        Self {
            caller: pair(key.caller),
            service: pair(key.service),
            incarnation: owner.0,
        }
    }

    /// The flow.
    pub fn key(&self) -> FlowKey {
        FlowKey {
            caller: address(self.caller),
            service: address(self.service),
        }
    }

    /// The owner.
    pub fn owner(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }
}

/// A host's load on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that its backend server runs at once.
    pub slots: u16,
    /// Requests at work or queued.
    pub at_work: u16,
    /// The same in hundredths, averaged.
    pub busy_hundredths: u16,
    /// Open flows.
    pub flows: u16,
    /// Mean time of a request that did not wait, in microseconds.
    pub service_us: u32,
    /// Share of its latest answers that look like failures.
    pub failing_percent: u8,
    /// Whether it opens flows.
    pub takes: bool,
    /// Whether its backend server has just started.
    pub cold: bool,
}

impl From<HostLoad> for LoadReport {
    fn from(load: HostLoad) -> Self {
        Self {
            slots: load.slots,
            at_work: load.at_work,
            busy_hundredths: load.busy_hundredths,
            flows: load.flows,
            service_us: load.service_us,
            failing_percent: load.failing_percent,
            takes: load.takes,
            cold: load.cold,
        }
    }
}

impl From<LoadReport> for HostLoad {
    fn from(report: LoadReport) -> Self {
        Self {
            slots: report.slots,
            at_work: report.at_work,
            busy_hundredths: report.busy_hundredths,
            flows: report.flows,
            service_us: report.service_us,
            failing_percent: report.failing_percent.min(100),
            takes: report.takes,
            cold: report.cold,
        }
    }
}

type AddressPair = (u32, u16);

fn pair(address: SocketAddrV4) -> AddressPair {
    (u32::from(*address.ip()), address.port())
}

fn address((ip, port): AddressPair) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(ip), port)
}

/// A flow on the wire: its caller's end and its service's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireFlow(AddressPair, AddressPair);

impl From<FlowKey> for WireFlow {
    fn from(key: FlowKey) -> Self {
        Self(pair(key.caller), pair(key.service))
    }
}

impl From<WireFlow> for FlowKey {
    fn from(flow: WireFlow) -> Self {
        Self {
            caller: address(flow.0),
            service: address(flow.1),
        }
    }
}

/// Flows that an entry VM asks a host for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireLookupQuery {
    /// The flows.
    pub flows: Vec<WireFlow>,
}

/// What a host says of the flows that it was asked for, in their order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireLookupReply {
    /// The flows.
    pub flows: Vec<WireFlow>,
    words: Vec<u8>,
}

const WORD_HERE: u8 = 1;
const WORD_NEVER: u8 = 2;

impl WireLookupReply {
    /// The answer for these flows.
    pub fn new(words: impl Iterator<Item = (FlowKey, OwnershipReply)>) -> Self {
        let code = |word| match word {
            OwnershipReply::Owned => WORD_HERE,
            OwnershipReply::NotOwned => WORD_NEVER,
            OwnershipReply::Unknown => 0,
        };
        let (flows, words) = words
            .map(|(key, word)| (WireFlow::from(key), code(word)))
            .unzip();
        Self { flows, words }
    }

    /// Each flow with its word. A code that is not known says nothing.
    pub fn words(&self) -> impl Iterator<Item = (FlowKey, OwnershipReply)> {
        let word = |code: &u8| match *code {
            WORD_HERE => OwnershipReply::Owned,
            WORD_NEVER => OwnershipReply::NotOwned,
            _ => OwnershipReply::Unknown,
        };
        let flows = self.flows.iter().map(|flow| FlowKey::from(*flow));
        flows.zip(self.words.iter().map(word))
    }
}

/// A datagram that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PacketFrame<'a> {
    /// A caller's packet on its way.
    Data {
        /// The header.
        header: PacketHeader,
        /// Index of the current hop.
        position: usize,
        /// The caller's IP packet.
        inner: &'a [u8],
    },
    /// A note about an owner.
    OwnerNotice(OwnerNotice),
    /// A caller's packet that comes back to the entry VM: the host that it
    /// remembered does not know the flow.
    Returned(&'a [u8]),
    /// A host's load.
    Load(LoadReport),
    /// Flows that a host is asked for.
    LookupQuery(WireLookupQuery),
    /// What a host says of flows.
    LookupReply(WireLookupReply),
}

const KIND_DATA: u8 = 1;
const KIND_NOTE: u8 = 2;
const KIND_RETURNED: u8 = 3;
const KIND_LOAD: u8 = 4;
const KIND_QUESTION: u8 = 5;
const KIND_WORDS: u8 = 6;

fn write_frame<T: Serialize>(buffer: &mut Vec<u8>, kind: u8, header: &T) {
    buffer.clear();
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&[PACKET_VERSION, kind, 0, 0, 0]);
    // Writing these plain types to memory can't fail.
    let written = rmp_serde::encode::write(buffer, header);
    debug_assert!(written.is_ok());
    let len = (buffer.len() - PREFIX_BYTES) as u16;
    buffer[POSITION_OFFSET + 1..PREFIX_BYTES].copy_from_slice(&len.to_be_bytes());
}

/// Writes a data packet at its first hop.
pub fn write_data(buffer: &mut Vec<u8>, header: &PacketHeader, inner: &[u8]) {
    write_frame(buffer, KIND_DATA, header);
    buffer.extend_from_slice(inner);
}

/// Writes a note.
pub fn write_owner_notice(buffer: &mut Vec<u8>, note: &OwnerNotice) {
    write_frame(buffer, KIND_NOTE, note);
}

/// Writes a packet that comes back to the entry VM.
pub fn write_returned(buffer: &mut Vec<u8>, inner: &[u8]) {
    write_frame(buffer, KIND_RETURNED, &());
    buffer.extend_from_slice(inner);
}

/// Writes a report of a host's load.
pub fn write_load(buffer: &mut Vec<u8>, report: &LoadReport) {
    write_frame(buffer, KIND_LOAD, report);
}

/// Writes a question for flows.
pub fn write_lookup_query(buffer: &mut Vec<u8>, question: &WireLookupQuery) {
    write_frame(buffer, KIND_QUESTION, question);
}

/// Writes what a host says of flows.
pub fn write_lookup_reply(buffer: &mut Vec<u8>, words: &WireLookupReply) {
    write_frame(buffer, KIND_WORDS, words);
}

/// Moves a data packet to its next hop.
pub fn advance(datagram: &mut [u8]) {
    if let Some(position) = datagram.get_mut(POSITION_OFFSET) {
        *position = position.saturating_add(1);
    }
}

/// Whether a datagram is one of the system's own. Its first bytes are those of
/// no IPv4 packet.
pub fn is_frame(datagram: &[u8]) -> bool {
    datagram.starts_with(&[MAGIC[0], MAGIC[1], PACKET_VERSION])
}

/// Reads a datagram.
pub fn scan_frame(datagram: &[u8]) -> Result<PacketFrame<'_>, PacketError> {
    let prefix = datagram.get(..PREFIX_BYTES).ok_or(PacketError::Truncated)?;
    if prefix[..2] != MAGIC {
        return Err(PacketError::Magic);
    }
    if prefix[2] != PACKET_VERSION {
        return Err(PacketError::Version);
    }
    let len = usize::from(u16::from_be_bytes([prefix[5], prefix[6]]));
    if len > MAX_HEADER_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(PacketError::Oversized);
    }
    let rest = &datagram[PREFIX_BYTES..];
    let header = rest.get(..len).ok_or(PacketError::Truncated)?;
    let inner = &rest[len..];
    match prefix[3] {
        KIND_DATA => {
            let header: PacketHeader =
                rmp_serde::from_slice(header).map_err(|_| PacketError::Header)?;
            let position = usize::from(prefix[POSITION_OFFSET]);
            if position >= header.hops.len() {
                return Err(PacketError::Header);
            }
            Ok(PacketFrame::Data {
                header,
                position,
                inner,
            })
        }
        KIND_NOTE => rmp_serde::from_slice(header)
            .map(PacketFrame::OwnerNotice)
            .map_err(|_| PacketError::Header),
        KIND_RETURNED => Ok(PacketFrame::Returned(inner)),
        KIND_LOAD => rmp_serde::from_slice(header)
            .map(PacketFrame::Load)
            .map_err(|_| PacketError::Header),
        KIND_QUESTION => rmp_serde::from_slice(header)
            .map(PacketFrame::LookupQuery)
            .map_err(|_| PacketError::Header),
        KIND_WORDS => rmp_serde::from_slice(header)
            .map(PacketFrame::LookupReply)
            .map_err(|_| PacketError::Header),
        _ => Err(PacketError::Header),
    }
}

/// Reads the facts of a caller's IP packet.
pub fn scan_segment(packet: &[u8]) -> Result<TcpSegment, PacketError> {
    if packet.len() > MAX_INNER_BYTES {
        return Err(PacketError::Oversized);
    }
    let sliced = SlicedPacket::from_ip(packet).map_err(|_| PacketError::Segment)?;
    let (Some(NetSlice::Ipv4(ip)), Some(TransportSlice::Tcp(tcp))) = (sliced.net, sliced.transport)
    else {
        return Err(PacketError::Segment);
    };
    let header = ip.header();
    Ok(TcpSegment {
        key: FlowKey {
            caller: SocketAddrV4::new(header.source_addr(), tcp.source_port()),
            service: SocketAddrV4::new(header.destination_addr(), tcp.destination_port()),
        },
        is_syn: tcp.syn() && !tcp.ack(),
        is_syn_ack: tcp.syn() && tcp.ack(),
        is_fin: tcp.fin(),
        is_rst: tcp.rst(),
        sequence: tcp.sequence_number(),
        acknowledgement: tcp.ack().then(|| tcp.acknowledgment_number()),
        payload: tcp.payload().len() as u16,
    })
}

const TYPE_OF_SERVICE_OFFSET: usize = 1;
const CHECKSUM_OFFSET: usize = 10;

/// Type of service of a packet that a backend server returns: it does not
/// hold the flow, or can't open it.
pub const RETURNED_TYPE_OF_SERVICE: u8 = 0x04;

/// Whether a backend server returned this IP packet of a caller.
pub fn is_returned(packet: &[u8]) -> bool {
    packet.get(TYPE_OF_SERVICE_OFFSET) == Some(&RETURNED_TYPE_OF_SERVICE)
}

/// Makes a returned IP packet what its sender wrote.
pub fn clear_returned(packet: &mut [u8]) {
    set_type_of_service(packet, 0);
}

/// Marks a caller's IP packet as returned.
pub fn mark_returned(packet: &mut [u8]) {
    set_type_of_service(packet, RETURNED_TYPE_OF_SERVICE);
}

fn set_type_of_service(packet: &mut [u8], value: u8) {
    let Some(head) = packet.get_mut(..CHECKSUM_OFFSET + 2) else {
        return;
    };
    let old = u16::from_be_bytes([head[0], head[1]]);
    head[TYPE_OF_SERVICE_OFFSET] = value;
    let new = u16::from_be_bytes([head[0], head[1]]);
    let sum = u16::from_be_bytes([head[CHECKSUM_OFFSET], head[CHECKSUM_OFFSET + 1]]);
    let sum = updated_checksum(sum, old, new).to_be_bytes();
    head[CHECKSUM_OFFSET..].copy_from_slice(&sum);
}

// RFC 1624, equation 3.
fn updated_checksum(sum: u16, old: u16, new: u16) -> u16 {
    let mut total = u32::from(!sum) + u32::from(!old) + u32::from(new);
    while total > 0xffff {
        total = (total & 0xffff) + (total >> 16);
    }
    !(total as u16)
}

const TIME_TO_LIVE: u8 = 64;

// From the service to the caller.
fn builder(key: FlowKey) -> PacketBuilderStep<IpHeaders> {
    PacketBuilder::ipv4(
        key.service.ip().octets(),
        key.caller.ip().octets(),
        TIME_TO_LIVE,
    )
}

fn write_segment(builder: PacketBuilderStep<TcpHeader>) -> Vec<u8> {
    let mut packet = Vec::with_capacity(builder.size(0));
    // Writing an empty payload to memory can't fail.
    let written = builder.write(&mut packet, &[]);
    debug_assert!(written.is_ok());
    packet
}

/// A reset that answers a segment, as RFC 9293 section 3.10.7.1 asks for.
pub fn write_reset(segment: &TcpSegment) -> Vec<u8> {
    let key = segment.key;
    let (source, target) = (key.service.port(), key.caller.port());
    let builder = builder(key);
    write_segment(match segment.acknowledgement {
        Some(number) => builder.tcp(source, target, number, 0).rst(),
        None => {
            let length = u32::from(segment.payload) + u32::from(segment.is_syn);
            builder
                .tcp(source, target, 0, 0)
                .rst()
                .ack(segment.sequence.wrapping_add(length))
        }
    })
}

/// A keep-alive probe to the caller of a flow (RFC 9293 section 3.8.4).
pub fn write_probe(probe: &FlowProbe) -> Vec<u8> {
    const WINDOW_BYTES: u16 = 1024;
    let key = probe.key;
    let (source, target) = (key.service.port(), key.caller.port());
    let tcp = builder(key).tcp(source, target, probe.sequence, WINDOW_BYTES);
    write_segment(tcp.ack(probe.acknowledgement))
}
