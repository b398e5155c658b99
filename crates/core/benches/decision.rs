//! Routing decision of an entry VM with 10,000 hosts in its view, compared with plain
//! hashing.

mod common;

use std::hint::black_box;
use std::sync::Arc;

use criterion::Criterion;

use chestnutlb_core::view::{PlacementLimits, ServiceView};
use chestnutlb_core::{
    EntryRouter, FlowKey, HostRecord, HostState, HostWeight, Incarnation, ObjectVersion,
    RoutingView, ServiceKind, ServiceSpec, TcpSegment, TimePoint,
};
use common::{address, service_address, spec};

const HOSTS: u32 = 10_000;
const HOSTS_PER_SERVICE: u32 = 5;
const FLOWS: usize = 4096;
const NOW: TimePoint = TimePoint(0);

fn host(number: u32, spec: &ServiceSpec) -> Arc<HostRecord> {
    Arc::new(HostRecord {
        name: format!("host-{number}").parse().unwrap(),
        service: spec.id.clone(),
        datacenter: "dc-1".parse().unwrap(),
        packets: address(0x0a40_0000, number, 9000),
        relays: address(0x0a40_0000, number, 9001),
        incarnation: Incarnation(u64::from(number) + 1),
        weight: HostWeight::ORDINARY,
        state: HostState::Serving,
        held_buckets: Vec::new(),
    })
}

fn view() -> Arc<RoutingView> {
    let mut view = RoutingView::default();
    for service in 0..HOSTS / HOSTS_PER_SERVICE {
        let spec = Arc::new(spec(service, ServiceKind::Stream));
        let first = service * HOSTS_PER_SERVICE;
        let hosts: Vec<_> = (first..first + HOSTS_PER_SERVICE)
            .map(|number| host(number, &spec))
            .collect();
        let version = ObjectVersion(1);
        view.put(ServiceView::build(
            spec,
            version,
            &hosts,
            &PlacementLimits::default(),
        ));
    }
    Arc::new(view)
}

fn segments(is_syn: bool) -> Vec<TcpSegment> {
    (0..FLOWS as u32)
        .map(|flow| TcpSegment {
            key: FlowKey {
                caller: address(0x0b00_0000, flow, 4000),
                service: service_address(flow * 7 % (HOSTS / HOSTS_PER_SERVICE)),
            },
            is_syn,
            is_syn_ack: false,
            syn_copies: 0,
            is_fin: false,
            is_rst: false,
            sequence: 1,
            acknowledgement: (!is_syn).then_some(1),
            payload: 100,
        })
        .collect()
}

fn bench_decisions(criterion: &mut Criterion) {
    let view = view();
    let mut group = criterion.benchmark_group("decision");
    for (name, is_syn) in [("syn", true), ("data", false)] {
        let segments = segments(is_syn);
        let mut router = EntryRouter::new(FLOWS * 2);
        router.replace_view(Arc::clone(&view), NOW);
        let mut step = 0;
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                step += 1;
                black_box(router.route(&segments[step % FLOWS], NOW))
            });
        });
    }
    let segments = segments(false);
    let mut step = 0;
    group.bench_function("plain-hash", |bencher| {
        bencher.iter(|| {
            step += 1;
            let key = segments[step % FLOWS].key;
            let hosts = view.service_at(key.service).map(|service| service.hosts());
            black_box(hosts.map(|hosts| &hosts[key.hash().0 as usize % hosts.len()]))
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_decisions(&mut criterion);
    criterion.final_summary();
}
