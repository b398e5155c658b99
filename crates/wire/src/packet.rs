//! Datagrams between entry VMs and side processes.
//!
//! A datagram consists of a fixed prefix (magic, version, kind, position, length
//! of the header), a MessagePack header and, for data, the caller's IP packet as
//! received from the fabric. Only the position changes from hop to hop.

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::{
    IpHeaders, NetSlice, PacketBuilder, PacketBuilderStep, SlicedPacket, TcpHeader, TransportSlice,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use chestnutlb_core::entry::FlowProbe;
use chestnutlb_core::{
    FlowKey, HostLoad, HostRecord, Incarnation, OwnershipReply, ServiceTag, StoreRevision,
    TcpSegment,
};

/// Version of the datagram format.
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
    /// The reason why a datagram is dropped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
    pub enum PacketError {
        /// It ends before its header does.
        Truncated {
            display("truncated")
        }
        /// It does not start with the magic bytes of the system's datagrams.
        Magic {
            display("bad-magic")
        }
        /// It has another version of the datagram format.
        Version {
            display("wrong-version")
        }
        /// It, its header or its payload is larger than allowed.
        Oversized {
            display("oversized")
        }
        /// Its header can't be decoded, or its kind or position is invalid.
        Header {
            display("bad-header")
        }
        /// Its payload is not a valid IPv4 packet with a TCP segment.
        Segment {
            display("bad-segment")
        }
    }
}

/// One hop of a packet's hop plan. Hops of passthrough flows have incarnation
/// zero, since these flows outlive the side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireHop {
    /// IPv4 address of the side process.
    pub address: u32,
    /// Port of the side process.
    pub port: u16,
    /// Incarnation of the side process that the packet is meant for.
    pub incarnation: u64,
}

impl WireHop {
    /// Returns the address that the packet is sent to.
    pub fn target(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.address), self.port)
    }

    /// Returns the incarnation of the side process that the packet is meant for.
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
    /// Tag of the service.
    pub tag: u64,
    /// Revision of the roster generation that the hop plan was made from. Side processes only
    /// log it; without its era the header is shorter.
    pub generation: u64,
    /// Whether the hop plan contains every possible owner of the flow.
    pub complete: bool,
    /// Address at which the entry VM receives owner notices.
    pub entry: (u32, u16),
    /// The hop plan: the hosts that the packet visits, in order.
    pub hops: Vec<WireHop>,
}

impl PacketHeader {
    /// Returns whether the hop plan contains this host, in the incarnation of its record.
    pub fn visits(&self, host: &HostRecord) -> bool {
        self.hops.contains(&WireHop::from(host))
    }

    /// Returns the tag of the service.
    pub fn tag(&self) -> ServiceTag {
        ServiceTag(self.tag)
    }

    /// Returns the revision of the roster generation that the hop plan was made from.
    pub fn generation(&self) -> StoreRevision {
        StoreRevision(self.generation.into())
    }

    /// Returns the address that owner notices are sent to.
    pub fn entry(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.entry.0), self.entry.1)
    }
}

/// A host's notice that it owns a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerNotice {
    /// Address of the caller.
    pub caller: (u32, u16),
    /// Address of the service.
    pub service: (u32, u16),
    /// Incarnation of the owner's side process.
    pub incarnation: u64,
}

impl OwnerNotice {
    /// Creates the notice that `owner` owns the flow `key`.
    pub fn new(key: FlowKey, owner: Incarnation) -> Self {
        Self {
            caller: address_pair(key.caller),
            service: address_pair(key.service),
            incarnation: owner.0,
        }
    }

    /// Returns the key of the flow.
    pub fn key(&self) -> FlowKey {
        FlowKey {
            caller: socket_address(self.caller),
            service: socket_address(self.service),
        }
    }

    /// Returns the incarnation of the owner's side process.
    pub fn owner(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }
}

/// A host's report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the backend server runs concurrently.
    pub slots: u16,
    /// Requests in progress or queued.
    pub at_work: u16,
    /// Average of `at_work` over the last half second, in hundredths of a request.
    pub busy_hundredths: u16,
    /// Open flows.
    pub flows: u16,
    /// Mean time of a request that was not queued, in microseconds; zero if there
    /// was none.
    pub service_us: u32,
    /// Percentage of the latest responses that look like failures.
    pub failing_percent: u8,
    /// Whether the host accepts new flows.
    pub takes: bool,
    /// Whether the backend server is slow because it has just started.
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

fn address_pair(address: SocketAddrV4) -> AddressPair {
    (u32::from(*address.ip()), address.port())
}

fn socket_address((ip, port): AddressPair) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(ip), port)
}

/// A flow on the wire: the addresses of its caller and of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireFlow(AddressPair, AddressPair);

impl From<FlowKey> for WireFlow {
    fn from(key: FlowKey) -> Self {
        Self(address_pair(key.caller), address_pair(key.service))
    }
}

impl From<WireFlow> for FlowKey {
    fn from(flow: WireFlow) -> Self {
        Self {
            caller: socket_address(flow.0),
            service: socket_address(flow.1),
        }
    }
}

/// A lookup query: flows whose owner an entry VM looks up at a host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireLookupQuery {
    /// The flows to look up.
    pub flows: Vec<WireFlow>,
}

/// A lookup reply: a host's ownership reply for each flow of a lookup query, in
/// the order of the query.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireLookupReply {
    /// The flows of the query.
    pub flows: Vec<WireFlow>,
    // Codes of the ownership replies, one for each flow.
    words: Vec<u8>,
}

const CODE_OWNED: u8 = 1;
const CODE_NOT_OWNED: u8 = 2;

impl WireLookupReply {
    /// Creates the lookup reply from each flow and its ownership reply.
    pub fn new(replies: impl Iterator<Item = (FlowKey, OwnershipReply)>) -> Self {
        let code = |reply| match reply {
            OwnershipReply::Owned => CODE_OWNED,
            OwnershipReply::NotOwned => CODE_NOT_OWNED,
            OwnershipReply::Unknown => 0,
        };
        let (flows, words) = replies
            .map(|(key, reply)| (WireFlow::from(key), code(reply)))
            .unzip();
        Self { flows, words }
    }

    /// Returns each flow with its ownership reply. An unrecognized code is read as
    /// [`OwnershipReply::Unknown`].
    pub fn replies(&self) -> impl Iterator<Item = (FlowKey, OwnershipReply)> {
        let reply = |code: &u8| match *code {
            CODE_OWNED => OwnershipReply::Owned,
            CODE_NOT_OWNED => OwnershipReply::NotOwned,
            _ => OwnershipReply::Unknown,
        };
        let flows = self.flows.iter().map(|flow| FlowKey::from(*flow));
        flows.zip(self.words.iter().map(reply))
    }
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PacketFrame<'a> {
    /// A caller's packet on its way along the hop plan.
    Data {
        /// Header of the packet.
        header: PacketHeader,
        /// Index of the current hop.
        position: usize,
        /// The caller's IP packet.
        inner: &'a [u8],
    },
    /// A host's notice that it owns a flow.
    OwnerNotice(OwnerNotice),
    /// A caller's packet that is returned to the entry VM, because the host of its
    /// owner hint does not own the flow.
    Returned(&'a [u8]),
    /// A host's report of its load.
    Load(LoadReport),
    /// A lookup query to a host.
    LookupQuery(WireLookupQuery),
    /// A host's reply to a lookup query.
    LookupReply(WireLookupReply),
}

const KIND_DATA: u8 = 1;
const KIND_OWNER_NOTICE: u8 = 2;
const KIND_RETURNED: u8 = 3;
const KIND_LOAD: u8 = 4;
const KIND_LOOKUP_QUERY: u8 = 5;
const KIND_LOOKUP_REPLY: u8 = 6;

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

/// Writes an owner notice.
pub fn write_owner_notice(buffer: &mut Vec<u8>, notice: &OwnerNotice) {
    write_frame(buffer, KIND_OWNER_NOTICE, notice);
}

/// Writes a caller's packet that is returned to the entry VM.
pub fn write_returned(buffer: &mut Vec<u8>, inner: &[u8]) {
    write_frame(buffer, KIND_RETURNED, &());
    buffer.extend_from_slice(inner);
}

/// Writes a report of a host's load.
pub fn write_load(buffer: &mut Vec<u8>, report: &LoadReport) {
    write_frame(buffer, KIND_LOAD, report);
}

/// Writes a lookup query.
pub fn write_lookup_query(buffer: &mut Vec<u8>, query: &WireLookupQuery) {
    write_frame(buffer, KIND_LOOKUP_QUERY, query);
}

/// Writes a lookup reply.
pub fn write_lookup_reply(buffer: &mut Vec<u8>, reply: &WireLookupReply) {
    write_frame(buffer, KIND_LOOKUP_REPLY, reply);
}

/// Advances the position of a data packet to its next hop.
pub fn advance(datagram: &mut [u8]) {
    if let Some(position) = datagram.get_mut(POSITION_OFFSET) {
        *position = position.saturating_add(1);
    }
}

/// Returns whether a datagram is in the system's own format. No IPv4 packet starts
/// with the same bytes.
pub fn is_frame(datagram: &[u8]) -> bool {
    datagram.starts_with(&[MAGIC[0], MAGIC[1], PACKET_VERSION])
}

/// Decodes a datagram.
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
        KIND_OWNER_NOTICE => rmp_serde::from_slice(header)
            .map(PacketFrame::OwnerNotice)
            .map_err(|_| PacketError::Header),
        KIND_RETURNED => Ok(PacketFrame::Returned(inner)),
        KIND_LOAD => rmp_serde::from_slice(header)
            .map(PacketFrame::Load)
            .map_err(|_| PacketError::Header),
        KIND_LOOKUP_QUERY => rmp_serde::from_slice(header)
            .map(PacketFrame::LookupQuery)
            .map_err(|_| PacketError::Header),
        KIND_LOOKUP_REPLY => rmp_serde::from_slice(header)
            .map(PacketFrame::LookupReply)
            .map_err(|_| PacketError::Header),
        _ => Err(PacketError::Header),
    }
}

/// Decodes the addresses, flags and sequence numbers of a caller's IP packet.
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
        syn_copies: 0,
        is_fin: tcp.fin(),
        is_rst: tcp.rst(),
        sequence: tcp.sequence_number(),
        acknowledgement: tcp.ack().then(|| tcp.acknowledgment_number()),
        payload: tcp.payload().len() as u16,
    })
}

const TYPE_OF_SERVICE_OFFSET: usize = 1;
const CHECKSUM_OFFSET: usize = 10;

/// Type of service of a packet that a backend server returns because it does not
/// own the flow or can't open it.
pub const RETURNED_TYPE_OF_SERVICE: u8 = 0x04;

/// Returns whether a backend server returned this IP packet of a caller.
pub fn is_returned(packet: &[u8]) -> bool {
    packet.get(TYPE_OF_SERVICE_OFFSET) == Some(&RETURNED_TYPE_OF_SERVICE)
}

/// Clears the returned mark, which restores the IP packet as its sender wrote it.
pub fn clear_returned(packet: &mut [u8]) {
    set_type_of_service(packet, 0);
}

/// Marks a caller's IP packet as returned.
pub fn mark_returned(packet: &mut [u8]) {
    set_type_of_service(packet, RETURNED_TYPE_OF_SERVICE);
}

fn set_type_of_service(packet: &mut [u8], value: u8) {
    let Some(header) = packet.get_mut(..CHECKSUM_OFFSET + 2) else {
        return;
    };
    let old = u16::from_be_bytes([header[0], header[1]]);
    header[TYPE_OF_SERVICE_OFFSET] = value;
    let new = u16::from_be_bytes([header[0], header[1]]);
    let checksum = u16::from_be_bytes([header[CHECKSUM_OFFSET], header[CHECKSUM_OFFSET + 1]]);
    let checksum = updated_checksum(checksum, old, new).to_be_bytes();
    header[CHECKSUM_OFFSET..].copy_from_slice(&checksum);
}

// Updates an Internet checksum after one word has changed (RFC 1624, equation 3).
fn updated_checksum(checksum: u16, old: u16, new: u16) -> u16 {
    let mut total = u32::from(!checksum) + u32::from(!old) + u32::from(new);
    while total > 0xffff {
        total = (total & 0xffff) + (total >> 16);
    }
    !(total as u16)
}

const TIME_TO_LIVE: u8 = 64;

// Starts an IP packet from the service to the caller.
fn ip_builder(key: FlowKey) -> PacketBuilderStep<IpHeaders> {
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

/// Returns the reset that responds to a segment, as RFC 9293 section 3.10.7.1
/// requires.
pub fn write_reset(segment: &TcpSegment) -> Vec<u8> {
    let key = segment.key;
    let (source, target) = (key.service.port(), key.caller.port());
    let builder = ip_builder(key);
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

/// Returns a keep-alive probe to the caller of a flow (RFC 9293 section 3.8.4).
pub fn write_probe(probe: &FlowProbe) -> Vec<u8> {
    const WINDOW_BYTES: u16 = 1024;
    let key = probe.key;
    let (source, target) = (key.service.port(), key.caller.port());
    let tcp = ip_builder(key).tcp(source, target, probe.sequence, WINDOW_BYTES);
    write_segment(tcp.ack(probe.acknowledgement))
}
