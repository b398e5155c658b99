//! Malformed input on every port is counted, and the processes keep serving.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream, UdpSocket};

use chestnutlb_standin::caller::{CallerEnd, CallerTask, TaskKind};
use common::{ORDER_SERVICE, end_name, new_caller, order_task, start_fleet};

fn malformed_datagrams() -> Vec<Vec<u8>> {
    vec![
        Vec::new(),
        vec![0; 1],
        b"CL\x01\x01\x00\xff\xff".to_vec(),
        b"CL\x09\x01\x00\x00\x00".to_vec(),
        vec![0xc1; 1400],
        vec![0x45; 2048],
        vec![1; 60],
    ]
}

// Sends a request and returns the status code of the response, or "none".
fn post(address: SocketAddrV4, path: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    // The write fails if the server rejects the request before it has read the whole body.
    let _ = stream.write_all(body);
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text);
    text.split(' ').nth(1).unwrap_or("none").to_owned()
}

#[test]
fn malformed_input_is_counted_and_orders_are_still_answered() {
    let fleet = start_fleet("malformed-input");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let entry = fleet.entry_addresses("entry-1").unwrap().clone();
    let host = fleet
        .roster_hosts()
        .into_iter()
        .find(|host| host.name == "order-1")
        .unwrap();
    let side_packets: SocketAddrV4 = host.packets.parse().unwrap();
    let side_http: SocketAddrV4 = host.relays.parse().unwrap();
    let announce = fleet.side_addresses("order-1").unwrap().announce;
    for target in [entry.packets, entry.peers, side_packets, announce] {
        for datagram in malformed_datagrams() {
            socket.send_to(&datagram, target).unwrap();
        }
    }
    let bodies: [&[u8]; 3] = [b"", &[1, 0xc1], &[9, 0x90]];
    for (address, path) in [
        (entry.status, "/peer/pull"),
        (side_http, "/peer/relay"),
        (side_http, "/peer/cancel"),
    ] {
        for body in bodies {
            assert_eq!(post(address, path, body), "400", "{path}");
        }
    }
    assert_eq!(post(entry.status, "/peer/pull", &vec![1; 400 << 10]), "413");
    fleet
        .wait_for("all malformed input to be counted", || {
            let entry = fleet.entry_status("entry-1");
            let side = fleet.side_status("order-1");
            let (Some(entry), Some(side)) = (entry, side) else {
                return false;
            };
            let count = |counters: &std::collections::BTreeMap<_, u64>, name: &str| {
                counters.get(name).copied().unwrap_or(0)
            };
            count(&entry.counters, "packets.bad") >= 7
                && count(&entry.counters, "peer.bad") >= 7
                && count(&entry.counters, "http.bad-body") >= 4
                && count(&side.counters, "packets.bad") >= 7
                && count(&side.counters, "peer.bad") >= 7
                && count(&side.counters, "http.bad-body") >= 6
        })
        .unwrap();
    let mut callers = new_caller(&fleet, 1);
    for id in 0..10 {
        callers.add(order_task(id, 0, 5, 10));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(end_name(&result.end), "answered");
    }
}

#[test]
fn bad_requests_get_matching_error_status() {
    let name = "bad-requests";
    let fleet = start_fleet(name);
    let slow = [("\"receive_ms\": 10000", "\"receive_ms\": 500")];
    let version = fleet
        .commit(&common::write_manifest(name, "calinawan", &slow))
        .unwrap();
    fleet.wait_in_force("calinawan", version).unwrap();
    let long_head = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(20_000));
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("no HTTP", b"\x00\x01\x02 nonsense\r\n\r\n".to_vec()),
        ("head too large", long_head.into_bytes()),
        (
            "body too large",
            b"POST /orders HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".to_vec(),
        ),
        (
            "two lengths",
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".to_vec(),
        ),
        (
            "bad length",
            b"POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\nabcde".to_vec(),
        ),
        (
            "chunked",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_vec(),
        ),
        (
            "too slow",
            b"POST /orders HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc".to_vec(),
        ),
    ];
    let mut callers = new_caller(&fleet, 1);
    for (id, (_, bytes)) in cases.iter().enumerate() {
        callers.add(CallerTask {
            id,
            start: std::time::Duration::ZERO,
            service: ORDER_SERVICE.parse().unwrap(),
            kind: TaskKind::Request(bytes.clone()),
            timeout: std::time::Duration::from_secs(30),
        });
    }
    callers.run(|_| false);
    let mut results = callers.results().to_vec();
    results.sort_by_key(|result| result.id);
    let lines: Vec<_> = results
        .iter()
        .map(|result| {
            let (case, _) = &cases[result.id];
            match &result.end {
                CallerEnd::Answered {
                    status, outcome, ..
                } => format!("{case}: {status} {}", outcome.as_deref().unwrap_or("-")),
                other => format!("{case}: {other:?}"),
            }
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
