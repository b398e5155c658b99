//! User-space TCP stack of one flow.
//!
//! Each flow has its own stack, which is looked up by the flow's key, so the cost of a packet
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

/// Maximum size of a sent IP packet, in bytes. Leaves room for an encapsulation header.
const MTU_BYTES: usize = 1400;
/// Size of the receive buffer, in bytes: the data that the peer may send before it is read.
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
/// Size of the send buffer, in bytes: the data that is unsent or that the peer has not
/// acknowledged.
const SEND_BUFFER_BYTES: usize = 8 << 10;
/// Interval of keep-alive probes on an idle flow.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// Time without a packet from the peer after which the flow is aborted.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(120);

/// Value of [`KEEP_ALIVE_INTERVAL`] on a leaving host.
const LEAVING_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Value of [`SILENCE_TIMEOUT`] on a leaving host.
const LEAVING_SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Network device that exchanges IP packets through two queues.
#[derive(Debug, Default)]
struct QueueDevice {
    rx_queue: VecDeque<Vec<u8>>,
    tx_queue: VecDeque<Vec<u8>>,
}

struct QueueRxToken(Vec<u8>);

impl RxToken for QueueRxToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(&self.0)
    }
}

struct QueueTxToken<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for QueueTxToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, write: F) -> R {
        let mut packet = vec![0; len];
        let result = write(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl Device for QueueDevice {
    type RxToken<'a> = QueueRxToken;
    type TxToken<'a> = QueueTxToken<'a>;

    fn receive(&mut self, _: Instant) -> Option<(QueueRxToken, QueueTxToken<'_>)> {
        let packet = self.rx_queue.pop_front()?;
        Some((QueueRxToken(packet), QueueTxToken(&mut self.tx_queue)))
    }

    fn transmit(&mut self, _: Instant) -> Option<QueueTxToken<'_>> {
        Some(QueueTxToken(&mut self.tx_queue))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        capabilities
    }
}

/// Sequence numbers of a TCP packet that a stack sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentSegment {
    /// Whether the packet is a SYN or a SYN-ACK.
    pub is_syn: bool,
    /// Sequence number of the packet.
    pub sequence: u32,
    /// Sequence number after the payload of the packet; a SYN and a FIN each count as one byte.
    pub next_sequence: u32,
}

/// User-space TCP stack of one flow, with a single socket.
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
    /// Creates a stack that listens at the address of a service. The random `seed` makes its
    /// initial sequence number unpredictable. Returns `None` if the port is 0.
    pub fn listen(service: SocketAddrV4, seed: u64, now: TimePoint) -> Option<Self> {
        let mut stack = Self::new(service, seed, now)?;
        let endpoint = (*service.ip(), service.port());
        stack.socket_mut().listen(endpoint).ok()?;
        Some(stack)
    }

    /// Creates a stack that opens a flow from the caller's address to the service's. Returns
    /// `None` if either port is 0 or the service's address is unspecified.
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

    fn new(local: SocketAddrV4, seed: u64, now: TimePoint) -> Option<Self> {
        let mut device = QueueDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, instant(now));
        interface.update_ip_addrs(|addresses| {
            // The push can't fail: the list has room for more than one address.
            let _ = addresses.push(IpCidr::new((*local.ip()).into(), 32));
        });
        interface
            .routes_mut()
            .add_default_ipv4_route(*local.ip())
            .ok()?;
        let mut socket = Socket::new(
            SocketBuffer::new(vec![0; RECEIVE_BUFFER_BYTES]),
            SocketBuffer::new(vec![0; SEND_BUFFER_BYTES]),
        );
        socket.set_nagle_enabled(false);
        socket.set_ack_delay(None);
        socket.set_keep_alive(Some(KEEP_ALIVE_INTERVAL.into()));
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

    /// Shortens the keep-alive interval and the timeout, so that a leaving host, which waits
    /// for its flows to end, detects the loss of a caller sooner.
    pub fn shorten_keep_alive(&mut self) {
        let socket = self.socket_mut();
        socket.set_keep_alive(Some(LEAVING_KEEP_ALIVE_INTERVAL.into()));
        socket.set_timeout(Some(LEAVING_SILENCE_TIMEOUT.into()));
    }

    /// Queues a received packet for the next [`poll`](Self::poll).
    pub fn deliver(&mut self, packet: &[u8]) {
        self.device.rx_queue.push_back(packet.to_vec());
    }

    /// Processes the queued packets and the timers that are due.
    pub fn poll(&mut self, now: TimePoint) {
        self.interface
            .poll(instant(now), &mut self.device, &mut self.sockets);
    }

    /// Returns the time at which the stack has to be polled next, if any.
    pub fn next_due(&mut self, now: TimePoint) -> Option<TimePoint> {
        self.interface
            .poll_at(instant(now), &self.sockets)
            .map(|due| TimePoint(due.total_millis().max(0) as u64))
    }

    /// Removes and returns the next packet to send.
    pub fn pop_packet(&mut self) -> Option<Vec<u8>> {
        self.device.tx_queue.pop_front()
    }

    /// Returns the TCP socket.
    pub fn socket(&self) -> &Socket<'static> {
        self.sockets.get(self.handle)
    }

    /// Returns the TCP socket, mutably.
    pub fn socket_mut(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    /// Returns whether the handshake is complete and the socket is not closed. TIME-WAIT counts
    /// as established.
    pub fn is_established(&self) -> bool {
        !matches!(
            self.socket().state(),
            State::Listen | State::SynReceived | State::SynSent | State::Closed
        )
    }

    /// Returns whether the flow has ended, which includes TIME-WAIT.
    pub fn is_closed(&self) -> bool {
        matches!(self.socket().state(), State::Closed | State::TimeWait)
    }
}

/// Returns the sequence numbers of an IP packet that a stack sends, or `None` if it is not a valid
/// TCP packet.
pub fn parse_sent_segment(packet: &[u8]) -> Option<SentSegment> {
    let ip = Ipv4Packet::new_checked(packet).ok()?;
    let tcp = TcpPacket::new_checked(ip.payload()).ok()?;
    let sequence = tcp.seq_number().0 as u32;
    let flags = u32::from(tcp.syn()) + u32::from(tcp.fin());
    let len = tcp.payload().len() as u32 + flags;
    Some(SentSegment {
        is_syn: tcp.syn(),
        sequence,
        next_sequence: sequence.wrapping_add(len),
    })
}

/// Returns the seed of a flow's stack, derived from the flow's key and a random number.
pub fn flow_seed(key: FlowKey, random: u64) -> u64 {
    key.hash().0 ^ random
}
