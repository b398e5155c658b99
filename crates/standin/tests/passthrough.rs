//! A side process that carries flows through, as a process of its own. The test
//! plays the entry VM, the fabric, the next host and the backend server.

use std::net::{SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use chestnutlb_core::{FlowKey, OwnershipReply, ServiceId, TimePoint};
use chestnutlb_stack::FlowStack;
use chestnutlb_standin::fleet::send_signal;
use chestnutlb_standin::free_ports::free_address;
use chestnutlb_standin::http::send_request;
use chestnutlb_standin::tryout::program_folder;
use chestnutlb_wire::packet::{WireLookupQuery, mark_returned, write_data, write_lookup_query};
use chestnutlb_wire::{PacketFrame, PacketHeader, WireHop, scan_frame, scan_segment};

const SERVICE: &str = "dalbit/catalogue";
const PATIENCE: Duration = Duration::from_secs(20);

struct World {
    side: Child,
    settings: PathBuf,
    packets: SocketAddrV4,
    outbound: SocketAddrV4,
    status: SocketAddrV4,
    entry: UdpSocket,
    next: UdpSocket,
    fabric: UdpSocket,
    backend: UdpSocket,
}

impl Drop for World {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.side.kill();
        let _ = self.side.wait();
    }
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let timeout = Some(Duration::from_millis(50));
    socket.set_read_timeout(timeout).unwrap();
    socket
}

fn address(socket: &UdpSocket) -> SocketAddrV4 {
    socket.local_addr().unwrap().to_string().parse().unwrap()
}

fn spawn(settings: &Path) -> Child {
    Command::new(program_folder().unwrap().join("chestnutlbd"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap()
}

impl World {
    fn start(name: &str) -> Self {
        let [packets, outbound, announce, status] =
            std::array::from_fn(|_| free_address().unwrap());
        let (entry, next, fabric, backend) = (socket(), socket(), socket(), socket());
        let text = format!(
            r#"{{"role": "side", "name": "feed-1", "datacenter": "dc-1", "service": "{SERVICE}",
            "packets": "{packets}", "announce": "{announce}", "status": "{status}",
            "fabric": "{}", "seeds": ["{}"], "backend": "{}",
            "passthrough": {{"outbound": "{outbound}"}}}}"#,
            address(&fabric),
            address(&entry),
            address(&backend),
        );
        let settings = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&settings, text).unwrap();
        let world = Self {
            side: spawn(&settings),
            settings,
            packets,
            outbound,
            status,
            entry,
            next,
            fabric,
            backend,
        };
        world.wait_up();
        world
    }

    fn wait_up(&self) {
        let begin = Instant::now();
        while send_request(self.status, "GET", "/v1/status", "").is_err() {
            assert!(
                begin.elapsed() < PATIENCE,
                "the side process does not answer"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn restart(&mut self) {
        self.side.kill().unwrap();
        self.side.wait().unwrap();
        self.side = spawn(&self.settings);
        self.wait_up();
    }

    fn report(&self, state: &str, sequence: u64) {
        let body = format!(
            r#"{{"service": "catalogue", "address": "a", "zone": "dc-1", "slots": 3,
            "state": "{state}", "cold_left_ms": 0, "seq": {sequence}, "born": 100}}"#
        );
        let (status, _) = send_request(self.status, "PUT", "/v1/backend/b-1", &body).unwrap();
        assert_eq!(status, 200);
    }

    // Sends a caller's packet as an entry VM would, with another host to follow.
    fn send(&self, packet: &[u8]) {
        let service: ServiceId = SERVICE.parse().unwrap();
        let own = address(&self.entry);
        let header = PacketHeader {
            tag: service.tag().0,
            generation: 1,
            complete: true,
            entry: (u32::from(*own.ip()), own.port()),
            hops: vec![
                WireHop::from(self.packets),
                WireHop::from(address(&self.next)),
            ],
        };
        let mut bytes = Vec::new();
        write_data(&mut bytes, &header, packet);
        self.entry.send_to(&bytes, self.packets).unwrap();
    }

    // Asks for the flow of a caller's packet, as an entry VM that searches it.
    fn ask(&self, packet: &[u8]) -> OwnershipReply {
        let key = scan_segment(packet).unwrap().key;
        let flows = vec![key.into()];
        let mut bytes = Vec::new();
        write_lookup_query(&mut bytes, &WireLookupQuery { flows });
        self.entry.send_to(&bytes, self.packets).unwrap();
        loop {
            // Reports and notes arrive here too.
            if let PacketFrame::LookupReply(words) = scan_frame(&receive(&self.entry)).unwrap() {
                let words: Vec<_> = words.replies().collect();
                assert_eq!(words[0].0, key);
                return words[0].1;
            }
        }
    }
}

fn receive(socket: &UdpSocket) -> Vec<u8> {
    let begin = Instant::now();
    let mut bytes = [0; 4096];
    while begin.elapsed() < PATIENCE {
        if let Ok((len, _)) = socket.recv_from(&mut bytes) {
            return bytes[..len].to_vec();
        }
    }
    panic!("nothing arrives");
}

// What the next host gets, without the envelope.
fn receive_passed(socket: &UdpSocket) -> Vec<u8> {
    let bytes = receive(socket);
    match scan_frame(&bytes).unwrap() {
        PacketFrame::Data {
            inner, position, ..
        } => {
            assert_eq!(position, 1);
            inner.to_vec()
        }
        other => panic!("{other:?}"),
    }
}

// The packets of a handshake and a first piece of data, from both ends.
struct Handshake {
    opening: Vec<u8>,
    answer: Vec<u8>,
    acknowledgement: Vec<u8>,
    data: Vec<u8>,
}

fn handshake(port: u16) -> Handshake {
    let key = FlowKey {
        caller: SocketAddrV4::new("10.9.1.200".parse().unwrap(), port),
        service: "10.20.0.1:7000".parse().unwrap(),
    };
    let now = TimePoint(0);
    let mut caller = FlowStack::connect(key, 1, now).unwrap();
    caller.poll(now);
    let opening = caller.pop_packet().unwrap();
    let mut server = FlowStack::listen(key.service, 2, now).unwrap();
    server.deliver(&opening);
    server.poll(now);
    let answer = server.pop_packet().unwrap();
    caller.deliver(&answer);
    caller.poll(now);
    let acknowledgement = caller.pop_packet().unwrap();
    caller.socket_mut().send_slice(b"hello").unwrap();
    caller.poll(now);
    let data = caller.pop_packet().unwrap();
    Handshake {
        opening,
        answer,
        acknowledgement,
        data,
    }
}

fn open(world: &World, packets: &Handshake) {
    world.send(&packets.opening);
    assert_eq!(receive(&world.backend), packets.opening);
    world
        .backend
        .send_to(&packets.answer, world.outbound)
        .unwrap();
    assert_eq!(receive(&world.fabric), packets.answer);
    world.send(&packets.acknowledgement);
    assert_eq!(receive(&world.backend), packets.acknowledgement);
}

#[test]
fn packets_pass_unchanged_and_a_flow_outlives_the_side_process() {
    let mut world = World::start("carried-through");
    world.report("ready", 9);
    let packets = handshake(4001);
    open(&world, &packets);
    world.restart();
    world.send(&packets.data);
    assert_eq!(
        receive(&world.backend),
        packets.data,
        "asked once, and owned"
    );
}

#[test]
fn a_packet_that_the_backend_returns_walks_on_as_it_was() {
    let world = World::start("carried-returned");
    world.report("ready", 9);
    let packets = handshake(4002);
    world.send(&packets.data);
    let mut asked = receive(&world.backend);
    assert_eq!(asked, packets.data);
    mark_returned(&mut asked);
    world.backend.send_to(&asked, world.outbound).unwrap();
    assert_eq!(receive_passed(&world.next), packets.data);
    // The backend server is not bothered again.
    world.send(&packets.data);
    assert_eq!(receive_passed(&world.next), packets.data);
}

#[test]
fn a_leaving_backend_gets_no_opening_and_keeps_its_flows() {
    let world = World::start("carried-leaving");
    world.report("ready", 1);
    let kept = handshake(4003);
    open(&world, &kept);
    world.report("draining", 2);
    let refused = handshake(4004);
    world.send(&refused.opening);
    assert_eq!(receive_passed(&world.next), refused.opening);
    world.send(&kept.data);
    assert_eq!(receive(&world.backend), kept.data);
}

#[test]
fn counters_and_times_are_served_as_text() {
    let world = World::start("carried-metrics");
    world.report("ready", 1);
    open(&world, &handshake(4006));
    let (status, text) = send_request(world.status, "GET", "/metrics", "").unwrap();
    assert_eq!(status, 200);
    assert!(text.contains("chestnutlb_packets_owned 2\n"), "{text}");
    assert!(text.contains("chestnutlb_opening_count 1\n"), "{text}");
    assert!(
        text.contains("chestnutlb_opening_ms{quantile=\"0.99\"}"),
        "{text}"
    );
}

#[test]
fn a_reload_signal_does_not_end_the_process() {
    let mut world = World::start("carried-reload");
    send_signal(world.side.id(), signal_hook::consts::SIGHUP).unwrap();
    world.report("ready", 1);
    let packets = handshake(4005);
    open(&world, &packets);
    assert!(world.side.try_wait().unwrap().is_none());
}

#[test]
fn an_entry_that_searches_a_flow_is_told_what_is_certain() {
    let mut world = World::start("carried-searched");
    world.report("ready", 9);
    let lost = handshake(4007);
    // It may have begun before this process.
    assert_eq!(world.ask(&lost.data), OwnershipReply::Unknown);
    world.send(&lost.data);
    let mut asked = receive(&world.backend);
    assert_eq!(
        world.ask(&lost.data),
        OwnershipReply::Unknown,
        "not answered yet"
    );
    mark_returned(&mut asked);
    world.backend.send_to(&asked, world.outbound).unwrap();
    assert_eq!(receive_passed(&world.next), lost.data);
    assert_eq!(world.ask(&lost.data), OwnershipReply::NotOwned);

    let held = handshake(4008);
    open(&world, &held);
    assert_eq!(world.ask(&held.data), OwnershipReply::Owned);
    world.restart();
    assert_eq!(world.ask(&held.data), OwnershipReply::Unknown);
}
