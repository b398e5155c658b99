//! Hosts that leave, die, freeze and are reused, with requests under way.

mod common;

use std::net::{SocketAddrV4, UdpSocket};

use chestnutlb_core::{FlowKey, ServiceId, TimePoint};
use chestnutlb_stack::FlowStack;
use chestnutlb_standin::fabric::FabricFaults;
use chestnutlb_standin::fleet::Fleet;
use chestnutlb_wire::packet::write_data;
use chestnutlb_wire::{PacketHeader, WireHop, WireHost};
use common::{caller, open_feeds, order, runner, start, starts, word};

const TERM: i32 = signal_hook::consts::SIGTERM;
const STOP: i32 = signal_hook::consts::SIGSTOP;
const CONTINUE: i32 = signal_hook::consts::SIGCONT;

#[test]
fn a_host_that_stops_finishes_uploads_and_keeps_feeds() {
    let mut fleet = start("graceful");
    let mut feeds = open_feeds(&fleet, 12);
    let mut callers = caller(&fleet, 2);
    for id in 0..9 {
        callers.add(order(id, 0, 2_000, 40_000));
    }
    // All are running when the hosts are asked to stop.
    callers.run(|_| (0..9).all(|id| starts(&fleet, &format!("o{id}")) > 0));
    fleet.signal("order-1", TERM).unwrap();
    fleet.signal("feed-1", TERM).unwrap();
    for id in 9..30 {
        callers.add(order(
            id,
            callers.elapsed().as_millis() as u64 + id as u64 * 20,
            5,
            10,
        ));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(word(&result.end), "answered", "{result:?}");
        assert_eq!(starts(&fleet, &format!("o{}", result.id)), 1);
    }
    assert_eq!(fleet.wait_for_exit("order-1").unwrap(), Some(0));
    feeds.end_feeds();
    for result in feeds.results() {
        assert_eq!(word(&result.end), "held", "{result:?}");
    }
    assert_eq!(fleet.wait_for_exit("feed-1").unwrap(), Some(0));
}

#[test]
fn an_entry_that_never_heard_of_it_brings_a_leaving_host_nothing() {
    let mut fleet = start("unheard");
    // This entry VM sleeps while the host leaves, and alone carries the
    // packets right after it woke up.
    fleet.signal("entry-1", STOP).unwrap();
    fleet.signal("order-2", TERM).unwrap();
    fleet
        .wait_for("order-2 to leave", || {
            fleet
                .side_status("order-2")
                .is_some_and(|status| status.state == "leaving")
        })
        .unwrap();
    let before = fleet.side_status("order-2").unwrap();
    fleet.kill("entry-2").unwrap();
    fleet.signal("entry-1", CONTINUE).unwrap();
    let mut callers = caller(&fleet, 1);
    for id in 0..30 {
        callers.add(order(id, id as u64 * 10, 5, 10));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(word(&result.end), "answered", "{result:?}");
    }
    if let Some(after) = fleet.side_status("order-2") {
        let opened = |status: &chestnutlb_wire::status::SideStatus| {
            status.counters.get("flows.opened").copied().unwrap_or(0)
        };
        assert_eq!(opened(&before), opened(&after));
    }
}

#[test]
fn when_a_backend_server_dies_its_order_is_unknown_and_ran_once_at_most() {
    let mut fleet = start("backend-dies");
    let mut callers = caller(&fleet, 1);
    callers.add(order(1, 0, 3_000, 10));
    callers.run(|_| starts(&fleet, "o1") > 0);
    let host = runner(&fleet, "o1").unwrap();
    fleet.kill(&format!("{host}-backend")).unwrap();
    callers.run(|_| false);
    assert_eq!(word(&callers.results()[0].end), "unknown");
    assert_eq!(starts(&fleet, "o1"), 0, "nobody else ran it");
}

#[test]
fn when_a_side_process_dies_only_its_own_flows_break() {
    let mut fleet = start("side-dies");
    let mut feeds = open_feeds(&fleet, 12);
    let flows = |host: &str| fleet.side_status(host).map_or(0, |status| status.flows);
    fleet
        .wait_for("the hosts to count their feeds", || {
            flows("feed-1") + flows("feed-2") + flows("feed-3") == 12
        })
        .unwrap();
    let own = flows("feed-1") as usize;
    fleet.kill("feed-1").unwrap();
    fleet
        .wait_for("the roster to lose feed-1", || {
            fleet
                .roster_hosts()
                .iter()
                .all(|host| host.name != "feed-1")
        })
        .unwrap();
    // Callers that only listen are told, too: their feeds are reset.
    let limit = feeds.elapsed() + std::time::Duration::from_secs(60);
    feeds.run(|feeds| feeds.results().len() == own || feeds.elapsed() > limit);
    assert_eq!(feeds.results().len(), own);
    feeds.end_feeds();
    let words: Vec<_> = feeds
        .results()
        .iter()
        .map(|result| word(&result.end))
        .collect();
    let (broken, held) = words.split_at(own);
    assert!(broken.iter().all(|word| *word == "broken"), "{words:?}");
    assert!(held.iter().all(|word| *word == "held"), "{words:?}");
    assert_eq!(held.len(), 12 - own);
}

#[test]
fn a_frozen_host_that_wakes_up_has_doubled_nothing() {
    let fleet = start("frozen-host");
    let mut callers = caller(&fleet, 1);
    for id in 0..6 {
        callers.add(order(id, 0, 500, 10));
    }
    callers.run(|_| (0..6).all(|id| starts(&fleet, &format!("o{id}")) > 0));
    fleet.signal("order-3", STOP).unwrap();
    for id in 6..24 {
        callers.add(order(
            id,
            callers.elapsed().as_millis() as u64 + id as u64 * 50,
            5,
            10,
        ));
    }
    let wake = callers.elapsed() + std::time::Duration::from_secs(4);
    callers.run(|callers| callers.elapsed() > wake);
    fleet.signal("order-3", CONTINUE).unwrap();
    callers.run(|_| false);
    for result in callers.results() {
        let ran = starts(&fleet, &format!("o{}", result.id));
        match word(&result.end) {
            "answered" => assert_eq!(ran, 1, "{result:?}"),
            "not-run" => assert_eq!(ran, 0, "{result:?}"),
            "unknown" => assert!(ran <= 1, "{result:?}"),
            other => panic!("{other}: {result:?}"),
        }
    }
}

#[test]
fn lost_and_repeated_packets_cost_nothing_but_time() {
    let mut fleet = start("bad-fabric");
    fleet
        .set_faults(FabricFaults { loss: 3, repeat: 5 })
        .unwrap();
    let mut callers = caller(&fleet, 1);
    for id in 0..60 {
        callers.add(order(id, id as u64 * 20, 5, 3_000));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(word(&result.end), "answered", "{result:?}");
        assert_eq!(starts(&fleet, &format!("o{}", result.id)), 1);
    }
}

// A caller's packet with a plan of this one host, as an entry VM would send it.
fn packet_for(host: &WireHost, service: &str, incarnation: u64, inner: &[u8]) -> Vec<u8> {
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

// A caller's SYN to the service at this address.
fn syn_packet(service: &str) -> Vec<u8> {
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
fn a_packet_for_another_service_or_an_earlier_start_is_dropped() {
    let fleet = start("misdirected");
    let feed = find_host(&fleet, "feed-1");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let inner = syn_packet(common::FEEDS);
    for (service, incarnation) in [
        ("dalbit/catalogue", feed.incarnation - 1),
        ("calinawan/order-desk", feed.incarnation),
    ] {
        let bytes = packet_for(&feed, service, incarnation, &inner);
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
fn a_second_signal_stops_at_once_and_says_what_was_cut() {
    let mut fleet = start("second-signal");
    let feeds = open_feeds(&fleet, 12);
    assert_eq!(feeds.live_feeds(), 12);
    fleet.signal("feed-1", TERM).unwrap();
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
fn a_syn_whose_plan_knows_only_a_leaving_host_goes_on_to_others() {
    let fleet = start("short-plan");
    fleet.signal("order-2", TERM).unwrap();
    fleet
        .wait_for("the roster to show that order-2 leaves", || {
            let hosts = fleet.roster_hosts();
            hosts
                .iter()
                .any(|host| host.name == "order-2" && host.state == "leaving")
        })
        .unwrap();
    let leaving = find_host(&fleet, "order-2");
    let inner = syn_packet(common::ORDERS);
    let bytes = packet_for(
        &leaving,
        "calinawan/order-desk",
        leaving.incarnation,
        &inner,
    );
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&bytes, leaving.packets.as_str()).unwrap();
    fleet
        .wait_for("another host to take the flow", || {
            ["order-1", "order-3"].iter().any(|host| {
                fleet
                    .side_status(host)
                    .is_some_and(|status| status.counters.contains_key("flows.opened"))
            })
        })
        .unwrap();
}

#[test]
fn a_host_without_its_backend_server_gets_no_new_work() {
    let mut fleet = start("no-backend");
    fleet.kill("order-1-backend").unwrap();
    fleet
        .wait_for("order-1 to notice", || {
            fleet
                .side_status("order-1")
                .is_some_and(|status| status.state == "suspect")
        })
        .unwrap();
    let mut callers = caller(&fleet, 1);
    for id in 0..30 {
        callers.add(order(id, id as u64 * 10, 5, 10));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(word(&result.end), "answered", "{result:?}");
    }
}
