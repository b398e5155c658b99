//! The user-space TCP of one flow.
//!
//! Each flow has a stack of its own, found by its key, so the cost of a packet
//! does not grow with the number of flows.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp::{Socket, SocketBuffer, State};
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpCidr, Ipv4Packet, TcpPacket};

use chestnutlb_core::{FlowKey, TimePoint};

/// Largest IP packet to a caller, in bytes; leaves room for a header.
const MTU_BYTES: usize = 1400;
/// Bytes that a caller may send before they are taken.
const RECEIVE_BYTES: usize = 8 << 10;
/// Bytes that wait for the caller's acknowledgement.
const SEND_BYTES: usize = 8 << 10;
/// Silence after which a flow is probed.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Time without any answer after which a flow is taken for lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(120);

/// The same for a host that is leaving.
const LEAVING_KEEP_ALIVE: Duration = Duration::from_secs(5);
const LEAVING_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct QueueDevice {
    arrived: VecDeque<Vec<u8>>,
    leaving: VecDeque<Vec<u8>>,
}

struct ArrivedToken(Vec<u8>);

impl RxToken for ArrivedToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(&self.0)
    }
}

struct LeavingToken<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for LeavingToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, write: F) -> R {
        let mut packet = vec![0; len];
        let result = write(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl Device for QueueDevice {
    type RxToken<'a> = ArrivedToken;
    type TxToken<'a> = LeavingToken<'a>;

    fn receive(&mut self, _: Instant) -> Option<(ArrivedToken, LeavingToken<'_>)> {
        let packet = self.arrived.pop_front()?;
        Some((ArrivedToken(packet), LeavingToken(&mut self.leaving)))
    }

    fn transmit(&mut self, _: Instant) -> Option<LeavingToken<'_>> {
        Some(LeavingToken(&mut self.leaving))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        capabilities
    }
}

/// What a leaving packet tells about the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentFacts {
    /// Whether it answers the caller's SYN.
    pub is_syn: bool,
    /// Its sequence number.
    pub sequence: u32,
    /// The sequence number after it.
    pub next_sequence: u32,
}

/// The stack of one flow.
pub struct FlowStack {
    device: QueueDevice,
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
}

impl std::fmt::Debug for FlowStack {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "FlowStack({})", self.socket().state())
    }
}

fn instant(now: TimePoint) -> Instant {
    Instant::from_millis(now.0 as i64)
}

impl FlowStack {
    /// A stack that listens at the address of a service; `seed` makes its
    /// initial sequence number unpredictable.
    pub fn listen(service: SocketAddrV4, seed: u64, now: TimePoint) -> Option<Self> {
        let mut stack = Self::new(service, seed, now)?;
        let endpoint = (*service.ip(), service.port());
        stack.socket_mut().listen(endpoint).ok()?;
        Some(stack)
    }

    /// A stack that opens a flow from the caller's end to the service's.
    pub fn connect(key: FlowKey, seed: u64, now: TimePoint) -> Option<Self> {
        let mut stack = Self::new(key.caller, seed, now)?;
        let remote = (*key.service.ip(), key.service.port());
        let context = stack.interface.context();
        stack
            .sockets
            .get_mut::<Socket<'_>>(stack.handle)
            .connect(context, remote, key.caller.port())
            .ok()?;
        Some(stack)
    }

    fn new(own: SocketAddrV4, seed: u64, now: TimePoint) -> Option<Self> {
        let mut device = QueueDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, instant(now));
        interface.update_ip_addrs(|addresses| {
            // The list holds more than one address.
            let _ = addresses.push(IpCidr::new((*own.ip()).into(), 32));
        });
        interface
            .routes_mut()
            .add_default_ipv4_route(*own.ip())
            .ok()?;
        let mut socket = Socket::new(
            SocketBuffer::new(vec![0; RECEIVE_BYTES]),
            SocketBuffer::new(vec![0; SEND_BYTES]),
        );
        socket.set_nagle_enabled(false);
        socket.set_ack_delay(None);
        socket.set_keep_alive(Some(KEEP_ALIVE.into()));
        socket.set_timeout(Some(SILENCE_TIMEOUT.into()));
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        Some(Self {
            device,
            interface,
            sockets,
            handle,
        })
    }

    /// Looks more closely whether the caller is still there, since the host
    /// waits for the flow's end.
    pub fn shorten_keep_alive(&mut self) {
        let socket = self.socket_mut();
        socket.set_keep_alive(Some(LEAVING_KEEP_ALIVE.into()));
        socket.set_timeout(Some(LEAVING_TIMEOUT.into()));
    }

    /// Hands in a packet of the caller.
    pub fn deliver(&mut self, packet: &[u8]) {
        self.device.arrived.push_back(packet.to_vec());
    }

    /// Does what is due.
    pub fn poll(&mut self, now: TimePoint) {
        self.interface
            .poll(instant(now), &mut self.device, &mut self.sockets);
    }

    /// When something is due next.
    pub fn next_due(&mut self, now: TimePoint) -> Option<TimePoint> {
        self.interface
            .poll_at(instant(now), &self.sockets)
            .map(|due| TimePoint(due.total_millis().max(0) as u64))
    }

    /// The next packet for the caller.
    pub fn pop_packet(&mut self) -> Option<Vec<u8>> {
        self.device.leaving.pop_front()
    }

    /// The socket.
    pub fn socket(&self) -> &Socket<'static> {
        self.sockets.get(self.handle)
    }

    /// The socket, to be changed.
    pub fn socket_mut(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    /// Whether the handshake is complete and the flow has not ended.
    pub fn is_established(&self) -> bool {
        !matches!(
            self.socket().state(),
            State::Listen | State::SynReceived | State::SynSent | State::Closed
        )
    }

    /// Whether the flow has ended.
    pub fn is_closed(&self) -> bool {
        matches!(self.socket().state(), State::Closed | State::TimeWait)
    }
}

/// Reads what a leaving packet tells.
pub fn scan_sent(packet: &[u8]) -> Option<SentFacts> {
    let ip = Ipv4Packet::new_checked(packet).ok()?;
    let tcp = TcpPacket::new_checked(ip.payload()).ok()?;
    let sequence = tcp.seq_number().0 as u32;
    let flags = u32::from(tcp.syn()) + u32::from(tcp.fin());
    let len = tcp.payload().len() as u32 + flags;
    Some(SentFacts {
        is_syn: tcp.syn(),
        sequence,
        next_sequence: sequence.wrapping_add(len),
    })
}

/// Seed of a flow's stack.
pub fn flow_seed(key: FlowKey, random: u64) -> u64 {
    key.hash().0 ^ random
}
