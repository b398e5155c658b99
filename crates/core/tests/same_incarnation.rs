//! Hosts that started in the same millisecond have the same incarnation, as after a loss of power:
//! no host may be taken for another one because of it.

mod common;

use std::net::SocketAddrV4;
use std::sync::Arc;

use chestnutlb_core::view::{PlacementLimits, ServiceView};
use chestnutlb_core::{
    EntryRouter, HostRecord, HostState, Incarnation, ObjectVersion, RouteDecision, RoutingView,
    TimePoint,
};
use common::{data, host, key, spec};

const HOSTS: usize = 5;

fn hosts() -> Vec<HostRecord> {
    let started_together = |number| HostRecord {
        incarnation: Incarnation(1_796_669_658_822),
        ..host(number, HostState::Serving)
    };
    (0..HOSTS).map(started_together).collect()
}

fn view(hosts: &[HostRecord]) -> Arc<RoutingView> {
    let records: Vec<_> = hosts.iter().cloned().map(Arc::new).collect();
    let limits = PlacementLimits::default();
    let mut view = RoutingView::default();
    view.put(ServiceView::build(
        Arc::new(spec()),
        ObjectVersion(1),
        &records,
        &limits,
    ));
    Arc::new(view)
}

// Returns the host that a packet of the flow visits first.
fn first_hop(router: &mut EntryRouter) -> SocketAddrV4 {
    let RouteDecision::Forward(plan) = router.route(&data(1, 700), TimePoint(0)) else {
        panic!("dropped");
    };
    let service = router.view().service_at(key(1).service).unwrap();
    service.host(plan.hops()[0]).record.packets
}

#[test]
fn owner_notice_names_its_sender_and_no_host_of_the_same_incarnation() {
    let mut router = EntryRouter::new(16);
    router.replace_view(view(&hosts()), TimePoint(0));
    for owner in hosts() {
        first_hop(&mut router);
        router.record_owner(key(1), owner.packets, owner.incarnation);
        assert_eq!(first_hop(&mut router), owner.packets);
    }
}

// Callers of its flows are probed, so that they learn of the loss.
#[test]
fn loss_of_a_host_is_noticed_though_others_have_its_incarnation() {
    let all = view(&hosts());
    for lost in 0..HOSTS {
        let mut others = hosts();
        others.remove(lost);
        let services = view(&others).services_with_lost_hosts(&all);
        assert!(services.contains(&spec().address), "host {lost}");
    }
    assert!(all.services_with_lost_hosts(&view(&hosts())).is_empty());
}

// Guards against side processes that wait for the end of their drain grace: each looked for its own
// record by the incarnation, and found that of another host, which was not leaving.
#[test]
fn own_record_is_that_of_the_own_name() {
    let hosts = hosts();
    for own in &hosts {
        let is_own = |record: &&HostRecord| record.is_of_process(&own.name, own.incarnation);
        let found: Vec<_> = hosts.iter().filter(is_own).collect();
        assert_eq!(found, [own]);
    }
    let mut restarted = hosts[0].clone();
    restarted.incarnation.0 += 1;
    assert!(!restarted.is_of_process(&hosts[0].name, hosts[0].incarnation));
}
