//! Hosts that leave, are killed, pause or restart while requests and feeds are in progress.

mod common;

use std::net::{SocketAddrV4, UdpSocket};

use chestnutlb_core::{FlowKey, ServiceId, TimePoint};
use chestnutlb_stack::FlowStack;
use chestnutlb_standin::fabric::FabricFaults;
use chestnutlb_standin::fleet::Fleet;
use chestnutlb_wire::packet::write_data;
use chestnutlb_wire::{PacketHeader, WireHop, WireHost};
use common::{
    count_starts, end_name, find_host_of_order, new_caller, open_feeds, order_task, start_fleet,
};

const TERMINATE: i32 = signal_hook::consts::SIGTERM;
const PAUSE: i32 = signal_hook::consts::SIGSTOP;
const RESUME: i32 = signal_hook::consts::SIGCONT;

#[test]
fn stopping_host_finishes_uploads_and_keeps_feeds() {
    let mut fleet = start_fleet("graceful");
    let mut feeds = open_feeds(&fleet, 12);
    let mut callers = new_caller(&fleet, 2);
    for id in 0..9 {
        callers.add(order_task(id, 0, 2_000, 40_000));
    }
    // All orders are running when order-1 gets the signal to stop.
    callers.run(|_| (0..9).all(|id| count_starts(&fleet, &format!("o{id}")) > 0));
    fleet.signal("order-1", TERMINATE).unwrap();
    fleet.signal("feed-1", TERMINATE).unwrap();
    for id in 9..30 {
        callers.add(order_task(
            id,
            callers.elapsed().as_millis() as u64 + id as u64 * 20,
            5,
            10,
        ));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(end_name(&result.end), "answered", "{result:?}");
        assert_eq!(count_starts(&fleet, &format!("o{}", result.id)), 1);
    }
    assert_eq!(fleet.wait_for_exit("order-1").unwrap(), Some(0));
    feeds.end_feeds();
    for result in feeds.results() {
        assert_eq!(end_name(&result.end), "held", "{result:?}");
    }
    assert_eq!(fleet.wait_for_exit("feed-1").unwrap(), Some(0));
}

#[test]
fn leaving_host_gets_no_flows_from_outdated_entry() {
    let mut fleet = start_fleet("outdated-entry");
    // entry-1 is paused while the host leaves, and forwards all packets right after it
    // resumes.
    fleet.signal("entry-1", PAUSE).unwrap();
    fleet.signal("order-2", TERMINATE).unwrap();
    fleet
        .wait_for("order-2 to leave", || {
            fleet
                .side_status("order-2")
                .is_some_and(|status| status.state == "leaving")
        })
        .unwrap();
    let before = fleet.side_status("order-2").unwrap();
    fleet.kill("entry-2").unwrap();
    fleet.signal("entry-1", RESUME).unwrap();
    let mut callers = new_caller(&fleet, 1);
    for id in 0..30 {
        callers.add(order_task(id, id as u64 * 10, 5, 10));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(end_name(&result.end), "answered", "{result:?}");
    }
    if let Some(after) = fleet.side_status("order-2") {
        let opened = |status: &chestnutlb_wire::status::SideStatus| {
            status.counters.get("flows.opened").copied().unwrap_or(0)
        };
        assert_eq!(opened(&before), opened(&after));
    }
}

#[test]
fn order_on_killed_backend_server_is_unknown_and_not_rerun() {
    let mut fleet = start_fleet("backend-killed");
    let mut callers = new_caller(&fleet, 1);
    callers.add(order_task(1, 0, 3_000, 10));
    callers.run(|_| count_starts(&fleet, "o1") > 0);
    let host = find_host_of_order(&fleet, "o1").unwrap();
    fleet.kill(&format!("{host}-backend")).unwrap();
    callers.run(|_| false);
    assert_eq!(end_name(&callers.results()[0].end), "unknown");
    assert_eq!(
        count_starts(&fleet, "o1"),
        0,
        "no other backend server ran it"
    );
}

#[test]
fn killed_side_process_breaks_only_its_own_flows() {
    let mut fleet = start_fleet("side-killed");
    let mut feeds = open_feeds(&fleet, 12);
    let flows = |host: &str| fleet.side_status(host).map_or(0, |status| status.flows);
    fleet
        .wait_for("the hosts to report all 12 flows", || {
            flows("feed-1") + flows("feed-2") + flows("feed-3") == 12
        })
        .unwrap();
    let killed_host_flows = flows("feed-1") as usize;
    fleet.kill("feed-1").unwrap();
    fleet
        .wait_for("feed-1 to leave the roster", || {
            fleet
                .roster_hosts()
                .iter()
                .all(|host| host.name != "feed-1")
        })
        .unwrap();
    // The callers of feeds only receive; they are reset although they send no data.
    let limit = feeds.elapsed() + std::time::Duration::from_secs(60);
    feeds.run(|feeds| feeds.results().len() == killed_host_flows || feeds.elapsed() > limit);
    assert_eq!(feeds.results().len(), killed_host_flows);
    feeds.end_feeds();
    let ends: Vec<_> = feeds
        .results()
        .iter()
        .map(|result| end_name(&result.end))
        .collect();
    let (broken, held) = ends.split_at(killed_host_flows);
    assert!(broken.iter().all(|end| *end == "broken"), "{ends:?}");
    assert!(held.iter().all(|end| *end == "held"), "{ends:?}");
    assert_eq!(held.len(), 12 - killed_host_flows);
}

#[test]
fn resumed_host_repeats_no_order() {
    let fleet = start_fleet("paused-host");
    let mut callers = new_caller(&fleet, 1);
    for id in 0..6 {
        callers.add(order_task(id, 0, 500, 10));
    }
    callers.run(|_| (0..6).all(|id| count_starts(&fleet, &format!("o{id}")) > 0));
    fleet.signal("order-3", PAUSE).unwrap();
    for id in 6..24 {
        callers.add(order_task(
            id,
            callers.elapsed().as_millis() as u64 + id as u64 * 50,
            5,
            10,
        ));
    }
    let resume_at = callers.elapsed() + std::time::Duration::from_secs(4);
    callers.run(|callers| callers.elapsed() > resume_at);
    fleet.signal("order-3", RESUME).unwrap();
    callers.run(|_| false);
    for result in callers.results() {
        let start_count = count_starts(&fleet, &format!("o{}", result.id));
        match end_name(&result.end) {
            "answered" => assert_eq!(start_count, 1, "{result:?}"),
            "not-run" => assert_eq!(start_count, 0, "{result:?}"),
            "unknown" => assert!(start_count <= 1, "{result:?}"),
            other => panic!("unexpected result {other}: {result:?}"),
        }
    }
}

#[test]
fn orders_run_once_under_packet_loss_and_duplication() {
    let mut fleet = start_fleet("lossy-fabric");
    fleet
        .set_faults(FabricFaults { loss: 3, repeat: 5 })
        .unwrap();
    let mut callers = new_caller(&fleet, 1);
    for id in 0..60 {
        callers.add(order_task(id, id as u64 * 20, 5, 3_000));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(end_name(&result.end), "answered", "{result:?}");
        assert_eq!(count_starts(&fleet, &format!("o{}", result.id)), 1);
    }
}

// Returns a caller's packet with this host as its only hop, as an entry VM sends it.
fn build_packet(host: &WireHost, service: &str, incarnation: u64, inner: &[u8]) -> Vec<u8> {
    let address: SocketAddrV4 = host.packets.parse().unwrap();
    let service: ServiceId = service.parse().unwrap();
    let header = PacketHeader {
        tag: service.tag().0,
        generation: 1,
        complete: true,
        entry: (u32::from(*address.ip()), 1),
        hops: vec![WireHop {
            address: u32::from(*address.ip()),
            port: address.port(),
            incarnation,
        }],
    };
    let mut bytes = Vec::new();
    write_data(&mut bytes, &header, inner);
    bytes
}

// Returns a caller's SYN to the service at this address.
fn build_syn(service: &str) -> Vec<u8> {
    let key = FlowKey {
        caller: "10.9.1.200:4000".parse().unwrap(),
        service: service.parse().unwrap(),
    };
    let now = TimePoint(0);
    let mut stack = FlowStack::connect(key, 1, now).unwrap();
    stack.poll(now);
    stack.pop_packet().unwrap()
}

fn find_host(fleet: &Fleet, name: &str) -> WireHost {
    let mut hosts = fleet.roster_hosts().into_iter();
    hosts.find(|host| host.name == name).unwrap()
}

#[test]
fn packet_for_other_service_or_earlier_incarnation_is_dropped() {
    let fleet = start_fleet("misdirected");
    let feed = find_host(&fleet, "feed-1");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let inner = build_syn(common::FEED_SERVICE);
    for (service, incarnation) in [
        ("dalbit/catalogue", feed.incarnation - 1),
        ("calinawan/order-desk", feed.incarnation),
    ] {
        let bytes = build_packet(&feed, service, incarnation, &inner);
        socket.send_to(&bytes, feed.packets.as_str()).unwrap();
    }
    fleet
        .wait_for("both packets to be dropped", || {
            fleet
                .side_status("feed-1")
                .is_some_and(|status| status.counters.get("packets.misdirected") == Some(&2))
        })
        .unwrap();
}

#[test]
fn second_signal_stops_at_once_and_logs_flow_count() {
    let mut fleet = start_fleet("second-signal");
    let feeds = open_feeds(&fleet, 12);
    assert_eq!(feeds.live_feeds(), 12);
    fleet.signal("feed-1", TERMINATE).unwrap();
    fleet
        .wait_for("feed-1 to leave", || {
            fleet
                .side_status("feed-1")
                .is_some_and(|status| status.state == "leaving" && status.flows > 0)
        })
        .unwrap();
    assert_eq!(fleet.stop("feed-1").unwrap(), Some(0));
    let log = fleet.log("feed-1");
    let line = log
        .lines()
        .find(|line| line.contains("stopped at once"))
        .unwrap();
    let fields: serde_json::Value = serde_json::from_str(line).unwrap();
    assert!(fields["flows"].as_u64().unwrap() > 0, "{line}");
}

#[test]
fn syn_with_leaving_host_as_only_hop_reaches_another_host() {
    let fleet = start_fleet("single-hop");
    fleet.signal("order-2", TERMINATE).unwrap();
    fleet
        .wait_for("the roster to show order-2 as leaving", || {
            let hosts = fleet.roster_hosts();
            hosts
                .iter()
                .any(|host| host.name == "order-2" && host.state == "leaving")
        })
        .unwrap();
    let leaving = find_host(&fleet, "order-2");
    let inner = build_syn(common::ORDER_SERVICE);
    let bytes = build_packet(
        &leaving,
        "calinawan/order-desk",
        leaving.incarnation,
        &inner,
    );
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&bytes, leaving.packets.as_str()).unwrap();
    fleet
        .wait_for("another host to open the flow", || {
            ["order-1", "order-3"].iter().any(|host| {
                fleet
                    .side_status(host)
                    .is_some_and(|status| status.counters.contains_key("flows.opened"))
            })
        })
        .unwrap();
}

#[test]
fn orders_are_answered_while_one_backend_server_is_down() {
    let mut fleet = start_fleet("no-backend");
    fleet.kill("order-1-backend").unwrap();
    fleet
        .wait_for("order-1 to become suspect", || {
            fleet
                .side_status("order-1")
                .is_some_and(|status| status.state == "suspect")
        })
        .unwrap();
    let mut callers = new_caller(&fleet, 1);
    for id in 0..30 {
        callers.add(order_task(id, id as u64 * 10, 5, 10));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(end_name(&result.end), "answered", "{result:?}");
    }
}
