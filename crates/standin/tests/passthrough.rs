//! A side process with passthrough flows, run as a separate process. The test takes the
//! roles of the entry VM, the fabric, the next host and the backend server.

mod common;

use std::fs::OpenOptions;
use std::net::{SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::{Duration, Instant};

use chestnutlb_core::{
    DrainNotice, FlowKey, HostRecord, HostState, ObjectVersion, OpeningRules, OwnershipReply,
    RegistrationReply, ServiceId, TimePoint,
};
use chestnutlb_stack::FlowStack;
use chestnutlb_standin::fleet::{process_state, send_signal};
use chestnutlb_standin::free_ports::{free_address, lock_ports};
use chestnutlb_standin::http::send_request;
use chestnutlb_standin::tryout::program_folder;
use chestnutlb_wire::packet::{WireLookupQuery, mark_returned, write_data, write_lookup_query};
use chestnutlb_wire::peer::{PeerMessage, scan_message, write_registration_reply};
use chestnutlb_wire::{PacketFrame, PacketHeader, WireHop, scan_frame, scan_segment};
use serde_json::{Value, json};

const SERVICE: &str = "dalbit/catalogue";
const REPORT_PERIOD: Duration = Duration::from_millis(200);
// Timeout for the start of the side process and for the receipt of each packet.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

// A running side process and the sockets of its peers.
struct TestSetup {
    side: Child,
    // Input of the side process, which ends when it closes.
    input: Option<ChildStdin>,
    // Settings and log, in a folder of this run.
    folder: PathBuf,
    packets: SocketAddrV4,
    outbound: SocketAddrV4,
    status: SocketAddrV4,
    entry: UdpSocket,
    next_host: UdpSocket,
    fabric: UdpSocket,
    backend: UdpSocket,
}

impl Drop for TestSetup {
    fn drop(&mut self) {
        // Both calls fail if the process has ended already.
        let _ = self.side.kill();
        let _ = self.side.wait();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn bind_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let timeout = Some(Duration::from_millis(50));
    socket.set_read_timeout(timeout).unwrap();
    socket
}

fn local_address(socket: &UdpSocket) -> SocketAddrV4 {
    socket.local_addr().unwrap().to_string().parse().unwrap()
}

// Starts a side process. Waiting for its end would close an input that it still holds.
fn spawn_side(folder: &Path) -> (Child, Option<ChildStdin>) {
    let mut options = OpenOptions::new();
    let log = options.create(true).append(true).open(folder.join("log"));
    let log = log.unwrap();
    // A process that starts while another test tries a port blocks that port for a moment.
    let _guard = lock_ports();
    let mut child = Command::new(program_folder().unwrap().join("chestnutlbd"))
        .arg("--end-with-input")
        .arg("--settings")
        .arg(folder.join("settings.json"))
        .stdin(Stdio::piped())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap();
    let input = child.stdin.take();
    (child, input)
}

impl TestSetup {
    fn start(name: &str) -> Self {
        Self::start_with_report_period(name, None)
    }

    // Starts a side process that takes its backend server for absent without reports.
    fn start_with_report_period(name: &str, period: Option<Duration>) -> Self {
        let report_period = period.map_or(String::new(), |period| {
            format!(r#", "report_period_ms": {}"#, period.as_millis())
        });
        let [packets, outbound, announce, status] =
            std::array::from_fn(|_| free_address().unwrap());
        let (entry, next_host, fabric, backend) =
            (bind_socket(), bind_socket(), bind_socket(), bind_socket());
        let text = format!(
            r#"{{"role": "side", "name": "feed-1", "datacenter": "dc-1", "service": "{SERVICE}",
            "packets": "{packets}", "announce": "{announce}", "status": "{status}",
            "fabric": "{}", "seeds": ["{}"], "backend": "{}",
            "passthrough": {{"outbound": "{outbound}"{report_period}}}}}"#,
            local_address(&fabric),
            local_address(&entry),
            local_address(&backend),
        );
        let folder = common::output_folder(name);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("settings.json"), text).unwrap();
        let (side, input) = spawn_side(&folder);
        let setup = Self {
            side,
            input,
            folder,
            packets,
            outbound,
            status,
            entry,
            next_host,
            fabric,
            backend,
        };
        setup.wait_until_started();
        setup
    }

    fn wait_until_started(&self) {
        let start = Instant::now();
        while send_request(self.status, "GET", "/v1/status", "").is_err() {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "the side process did not answer in time: {}",
                self.describe_side()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    // Returns the state, the settings and the log of the side process.
    fn describe_side(&self) -> String {
        let read = |name| std::fs::read_to_string(self.folder.join(name)).unwrap_or_default();
        let state = process_state(self.side.id());
        format!("{state}\n{}\n{}", read("settings.json"), read("log"))
    }

    fn restart(&mut self) {
        self.side.kill().unwrap();
        self.side.wait().unwrap();
        (self.side, self.input) = spawn_side(&self.folder);
        self.wait_until_started();
    }

    // Returns the report of a backend server of the epoch that began at `born`.
    fn report_body(&self, state: &str, sequence: u64, born: u64) -> Value {
        json!({
            "service": "catalogue", "address": local_address(&self.backend).to_string(),
            "zone": "dc-1", "version": "v1", "slots": 3, "state": state, "cold_left_ms": 0,
            "seq": sequence, "born": born,
        })
    }

    // Sends a report of the backend server called `name` and returns the status of the reply.
    fn send_report(&self, name: &str, body: &Value) -> u16 {
        let path = format!("/v1/backend/{name}");
        let (status, _) = send_request(self.status, "PUT", &path, &body.to_string()).unwrap();
        status
    }

    // Reports a state of the backend server to the side process.
    fn report(&self, state: &str, sequence: u64) {
        let body = self.report_body(state, sequence, 100);
        assert_eq!(self.send_report("b-1", &body), 200);
    }

    // Sends a caller's packet as an entry VM does, with `next_host` as the second hop.
    fn send_packet(&self, packet: &[u8]) {
        let service: ServiceId = SERVICE.parse().unwrap();
        let entry = local_address(&self.entry);
        let header = PacketHeader {
            tag: service.tag().0,
            generation: 1,
            complete: true,
            entry: (u32::from(*entry.ip()), entry.port()),
            hops: vec![
                WireHop::from(self.packets),
                WireHop::from(local_address(&self.next_host)),
            ],
        };
        let mut bytes = Vec::new();
        write_data(&mut bytes, &header, packet);
        self.entry.send_to(&bytes, self.packets).unwrap();
    }

    // Returns the state in the next full registration that the entry VM receives.
    fn registered_state(&self) -> HostState {
        loop {
            if let Ok(PeerMessage::Announce(registration)) = scan_message(&receive(&self.entry)) {
                return HostRecord::try_from(&registration.host).unwrap().state;
            }
        }
    }

    // Sends a lookup query for the flow of a caller's packet, as an entry VM does, and
    // returns the reply.
    fn query_owner(&self, packet: &[u8]) -> OwnershipReply {
        let key = scan_segment(packet).unwrap().key;
        let flows = vec![key.into()];
        let mut bytes = Vec::new();
        write_lookup_query(&mut bytes, &WireLookupQuery { flows });
        self.entry.send_to(&bytes, self.packets).unwrap();
        loop {
            // The same socket receives load reports and owner notices.
            if let PacketFrame::LookupReply(replies) = scan_frame(&receive(&self.entry)).unwrap() {
                let replies: Vec<_> = replies.replies().collect();
                assert_eq!(replies[0].0, key);
                return replies[0].1;
            }
        }
    }
}

fn receive(socket: &UdpSocket) -> Vec<u8> {
    let start = Instant::now();
    let mut bytes = [0; 4096];
    while start.elapsed() < TEST_TIMEOUT {
        if let Ok((len, _)) = socket.recv_from(&mut bytes) {
            return bytes[..len].to_vec();
        }
    }
    panic!("no packet received in time");
}

// Returns the caller's packet that the next host receives, without the tunnel header.
fn receive_forwarded(socket: &UdpSocket) -> Vec<u8> {
    let bytes = receive(socket);
    match scan_frame(&bytes).unwrap() {
        PacketFrame::Data {
            inner, position, ..
        } => {
            assert_eq!(position, 1);
            inner.to_vec()
        }
        other => panic!("expected a data packet, received {other:?}"),
    }
}

// The packets of a TCP handshake and of the caller's first data.
struct Handshake {
    syn: Vec<u8>,
    syn_ack: Vec<u8>,
    ack: Vec<u8>,
    data: Vec<u8>,
}

fn build_handshake(port: u16) -> Handshake {
    let key = FlowKey {
        caller: SocketAddrV4::new("10.9.1.200".parse().unwrap(), port),
        service: "10.20.0.1:7000".parse().unwrap(),
    };
    let now = TimePoint(0);
    let mut caller = FlowStack::connect(key, 1, now).unwrap();
    caller.poll(now);
    let syn = caller.pop_packet().unwrap();
    let mut server = FlowStack::listen(key.service, 2, now).unwrap();
    server.deliver(&syn);
    server.poll(now);
    let syn_ack = server.pop_packet().unwrap();
    caller.deliver(&syn_ack);
    caller.poll(now);
    let ack = caller.pop_packet().unwrap();
    caller.socket_mut().send_slice(b"hello").unwrap();
    caller.poll(now);
    let data = caller.pop_packet().unwrap();
    Handshake {
        syn,
        syn_ack,
        ack,
        data,
    }
}

// Opens a flow through the side process.
fn open_flow(setup: &TestSetup, packets: &Handshake) {
    setup.send_packet(&packets.syn);
    assert_eq!(receive(&setup.backend), packets.syn);
    setup
        .backend
        .send_to(&packets.syn_ack, setup.outbound)
        .unwrap();
    assert_eq!(receive(&setup.fabric), packets.syn_ack);
    setup.send_packet(&packets.ack);
    assert_eq!(receive(&setup.backend), packets.ack);
}

#[test]
fn packets_pass_unchanged_and_flow_survives_side_process_restart() {
    let mut setup = TestSetup::start("passthrough-restart");
    setup.report("ready", 9);
    let packets = build_handshake(4001);
    open_flow(&setup, &packets);
    setup.restart();
    setup.send_packet(&packets.data);
    assert_eq!(
        receive(&setup.backend),
        packets.data,
        "the restarted side process queries the backend server, which owns the flow"
    );
}

#[test]
fn returned_packet_continues_its_walk_unchanged() {
    let setup = TestSetup::start("passthrough-returned");
    setup.report("ready", 9);
    let packets = build_handshake(4002);
    setup.send_packet(&packets.data);
    let mut delivered = receive(&setup.backend);
    assert_eq!(delivered, packets.data);
    mark_returned(&mut delivered);
    setup.backend.send_to(&delivered, setup.outbound).unwrap();
    assert_eq!(receive_forwarded(&setup.next_host), packets.data);
    // The side process does not query the backend server again for this flow.
    setup.send_packet(&packets.data);
    assert_eq!(receive_forwarded(&setup.next_host), packets.data);
}

#[test]
fn draining_backend_server_gets_no_syn_and_keeps_its_flows() {
    let setup = TestSetup::start("passthrough-draining");
    setup.report("ready", 1);
    let kept = build_handshake(4003);
    open_flow(&setup, &kept);
    setup.report("draining", 2);
    let forwarded = build_handshake(4004);
    setup.send_packet(&forwarded.syn);
    assert_eq!(receive_forwarded(&setup.next_host), forwarded.syn);
    setup.send_packet(&kept.data);
    assert_eq!(receive(&setup.backend), kept.data);
}

// Guards against new flows at a backend server that drains: the report of another program took
// its place, and its own reports were acknowledged without effect.
#[test]
fn reports_that_can_not_be_of_the_backend_do_not_hide_that_it_drains() {
    let setup = TestSetup::start("passthrough-other-reports");
    setup.report("ready", 1);
    let other = setup.report_body("ready", 1, 200);
    let odd_values = [
        ("service", json!("patterns")),
        ("address", json!("nowhere")),
        ("address", json!("10.1.0.9:8080")),
        ("zone", json!("dc-9")),
        ("version", Value::Null),
        ("version", json!(7)),
        ("slots", json!(0)),
        ("state", json!("resting")),
        ("cold_left_ms", json!(u64::MAX)),
        ("seq", json!(1.5)),
        ("born", json!("200")),
    ];
    let mut statuses = Vec::new();
    for (index, (field, value)) in odd_values.iter().enumerate() {
        let mut body = other.clone();
        body[*field] = value.clone();
        statuses.push(setup.send_report(&format!("other-{index}"), &body));
    }
    let mut incomplete = other.clone();
    incomplete.as_object_mut().unwrap().remove("version");
    statuses.push(setup.send_report("incomplete", &incomplete));
    setup.report("draining", 2);
    let packets = build_handshake(4010);
    setup.send_packet(&packets.syn);
    assert_eq!(receive_forwarded(&setup.next_host), packets.syn);
    assert!(statuses.iter().all(|status| *status == 400), "{statuses:?}");
}

// Guards against new flows at a backend server that drains: its reports were acknowledged without
// effect after a complete report of a later epoch, which no backend server sends again.
#[test]
fn draining_is_acknowledged_only_once_it_has_an_effect() {
    let period = Some(REPORT_PERIOD);
    let setup = TestSetup::start_with_report_period("passthrough-later-epoch", period);
    setup.report("ready", 1);
    let later = setup.report_body("ready", 1, 200);
    assert_eq!(setup.send_report("other", &later), 200);
    let start = Instant::now();
    let mut replies = Vec::new();
    for sequence in 2.. {
        let draining = setup.report_body("draining", sequence, 100);
        replies.push(setup.send_report("b-1", &draining));
        if replies.ends_with(&[200]) || start.elapsed() >= TEST_TIMEOUT {
            break;
        }
        std::thread::sleep(REPORT_PERIOD);
    }
    assert_eq!(replies.last(), Some(&200));
    let packets = build_handshake(4011);
    setup.send_packet(&packets.syn);
    assert_eq!(receive_forwarded(&setup.next_host), packets.syn);
    assert_eq!(replies.first(), Some(&409));
}

#[test]
fn metrics_route_serves_counters_and_quantiles() {
    let setup = TestSetup::start("passthrough-metrics");
    setup.report("ready", 1);
    open_flow(&setup, &build_handshake(4006));
    let (status, text) = send_request(setup.status, "GET", "/metrics", "").unwrap();
    assert_eq!(status, 200);
    assert!(text.contains("chestnutlb_packets_owned 2\n"), "{text}");
    assert!(text.contains("chestnutlb_opening_count 1\n"), "{text}");
    assert!(
        text.contains("chestnutlb_opening_ms{quantile=\"0.99\"}"),
        "{text}"
    );
}

#[test]
fn reload_signal_keeps_process_running() {
    let mut setup = TestSetup::start("passthrough-reload");
    send_signal(setup.side.id(), signal_hook::consts::SIGHUP).unwrap();
    setup.report("ready", 1);
    let packets = build_handshake(4005);
    open_flow(&setup, &packets);
    assert!(setup.side.try_wait().unwrap().is_none());
}

#[test]
fn lookup_reply_is_unknown_until_ownership_is_established() {
    let mut setup = TestSetup::start("passthrough-lookup");
    setup.report("ready", 9);
    let unowned = build_handshake(4007);
    // The flow may be older than this side process.
    assert_eq!(setup.query_owner(&unowned.data), OwnershipReply::Unknown);
    setup.send_packet(&unowned.data);
    let mut delivered = receive(&setup.backend);
    assert_eq!(
        setup.query_owner(&unowned.data),
        OwnershipReply::Unknown,
        "the backend server has not replied yet"
    );
    mark_returned(&mut delivered);
    setup.backend.send_to(&delivered, setup.outbound).unwrap();
    assert_eq!(receive_forwarded(&setup.next_host), unowned.data);
    assert_eq!(setup.query_owner(&unowned.data), OwnershipReply::NotOwned);

    let owned = build_handshake(4008);
    open_flow(&setup, &owned);
    assert_eq!(setup.query_owner(&owned.data), OwnershipReply::Owned);
    setup.restart();
    assert_eq!(setup.query_owner(&owned.data), OwnershipReply::Unknown);
}

// After a loss of power, the side process of a host that was leaving starts again without a
// backend server.
#[test]
fn side_process_without_backend_reports_registers_its_departure() {
    let period = Some(REPORT_PERIOD);
    let setup = TestSetup::start_with_report_period("passthrough-absent", period);
    assert_eq!(setup.registered_state(), HostState::Gone);
    let unowned = build_handshake(4009);
    assert_eq!(setup.query_owner(&unowned.data), OwnershipReply::NotOwned);
    // It was only late.
    setup.report("ready", 9);
    assert_eq!(setup.registered_state(), HostState::Serving);
}

#[test]
fn side_process_stopped_after_its_start_registers_its_departure() {
    let period = Some(5 * REPORT_PERIOD);
    let mut setup = TestSetup::start_with_report_period("passthrough-stopped", period);
    send_signal(setup.side.id(), signal_hook::consts::SIGTERM).unwrap();
    assert_eq!(setup.registered_state(), HostState::Gone);
    let status = setup.side.wait().unwrap();
    assert!(status.success(), "{status}");
}

// The backend server lives on with its flows.
#[test]
fn stopped_side_process_whose_backend_has_reported_registers_as_leaving() {
    let period = Some(TEST_TIMEOUT);
    let mut setup = TestSetup::start_with_report_period("passthrough-rolled", period);
    setup.report("ready", 9);
    assert_eq!(setup.registered_state(), HostState::Serving);
    send_signal(setup.side.id(), signal_hook::consts::SIGTERM).unwrap();
    // It registers again from time to time.
    let mut states = std::iter::repeat_with(|| setup.registered_state());
    let next = states.find(|state| *state != HostState::Serving);
    assert_eq!(next, Some(HostState::Leaving));
    let status = setup.side.wait().unwrap();
    assert!(status.success(), "{status}");
}

impl TestSetup {
    // Answers the next registration or keep-alive as an entry VM whose documents have this drain.
    fn reply_with_drain(&self, version: u64, drained: bool) {
        let reply = RegistrationReply {
            targets: Vec::new(),
            slice_hash: 1,
            fresh: true,
            resend: false,
            opening: OpeningRules {
                drain: Some(DrainNotice {
                    version: ObjectVersion(version.into()),
                    drained,
                }),
                ..OpeningRules::default()
            },
        };
        let bytes = write_registration_reply(&reply).bytes;
        let start = Instant::now();
        let mut datagram = [0; 4096];
        while start.elapsed() < TEST_TIMEOUT {
            let Ok((len, from)) = self.entry.recv_from(&mut datagram) else {
                continue;
            };
            if let Ok(PeerMessage::Announce(_) | PeerMessage::Alive(_)) =
                scan_message(&datagram[..len])
            {
                self.entry.send_to(&bytes, from).unwrap();
                return;
            }
        }
        panic!("no registration in time");
    }

    fn is_drained(&self) -> bool {
        let (_, body) = send_request(self.status, "GET", "/v1/status", "").unwrap();
        let status: Value = serde_json::from_str(&body).unwrap();
        status["drained"] == json!(true)
    }

    // Replies until the side process knows the drain: a reply may be lost.
    fn set_drained(&self, version: u64, drained: bool) {
        let start = Instant::now();
        while self.is_drained() != drained {
            assert!(start.elapsed() < TEST_TIMEOUT, "the reply has no effect");
            self.reply_with_drain(version, drained);
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn host_of_drained_data_centre_passes_syns_on_and_keeps_its_flows() {
    let setup = TestSetup::start("drained");
    setup.report("ready", 1);
    let open = build_handshake(4101);
    open_flow(&setup, &open);
    setup.set_drained(7, true);
    let refused = build_handshake(4102);
    setup.send_packet(&refused.syn);
    assert_eq!(receive_forwarded(&setup.next_host), refused.syn);
    setup.send_packet(&open.data);
    assert_eq!(receive(&setup.backend), open.data);
    // An entry VM that was cut off before the drain.
    setup.reply_with_drain(3, false);
    std::thread::sleep(Duration::from_millis(200));
    assert!(setup.is_drained());
    setup.set_drained(8, false);
    setup.send_packet(&refused.syn);
    assert_eq!(receive(&setup.backend), refused.syn);
}
