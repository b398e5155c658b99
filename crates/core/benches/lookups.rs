//! Time that an entry VM spends on the lookup of one flow that no host owns, without its
//! datagrams.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use criterion::Criterion;

use chestnutlb_core::{FlowKey, OwnerLookups, OwnershipReply, TcpSegment, TimePoint};

// Time between two lookups, in which the rate limit allows all queries.
const INTERVAL: Duration = Duration::from_secs(1);

fn host(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a40_0000 + number), 9000)
}

fn segment(number: u32) -> TcpSegment {
    TcpSegment {
        key: FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::from(0x0b00_0000 + number), 4000),
            service: SocketAddrV4::new(Ipv4Addr::from(0x0a14_0000), 7000),
        },
        is_syn: false,
        is_syn_ack: false,
        syn_copies: 0,
        is_fin: false,
        is_rst: false,
        sequence: 1,
        acknowledgement: Some(1),
        payload: 100,
    }
}

fn bench_lookups(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("lookup of one flow");
    for count in [55, 136, 256] {
        let hosts: Arc<[SocketAddrV4]> = (0..count).map(host).collect();
        let mut lookups = OwnerLookups::default();
        let mut now = TimePoint(0);
        let mut flow = 0;
        group.bench_function(format!("among {count}"), |bencher| {
            bencher.iter(|| {
                now = now + INTERVAL;
                flow += 1;
                let segment = segment(flow);
                lookups.begin(&segment, Arc::clone(&hosts), now);
                let mut result = None;
                for query in lookups.take_queries(now) {
                    let reply = OwnershipReply::NotOwned;
                    result = lookups.record_reply(segment.key, query.host, reply, now);
                }
                assert!(black_box(result).is_some());
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_lookups(&mut criterion);
    criterion.final_summary();
}
