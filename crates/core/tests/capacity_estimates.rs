//! What callers get from servers of unequal speed, if their side processes learn what each takes
//! well, if they do not, and if all servers are taken for equal. Two entry VMs place the flows,
//! each knows only what it placed itself and what hosts report every 100 ms.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::SocketAddrV4;
use std::num::NonZeroUsize;
use std::time::Duration;

use chestnutlb_core::opening_rules::KnownColdLimit;
use chestnutlb_core::{
    BackendInfo, CapacityEstimate, FlowKey, HostState, PassthroughArrival, PassthroughFlows,
    PassthroughRouter, PassthroughVerdict, RoutingView, TcpSegment, TimePoint,
};
use common::{SEED, host, passthrough_view, syn};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: u16 = 3;
const QUEUE_LIMIT: usize = 12;
const ENTRIES: usize = 2;
const REPORT_MS: u64 = 100;
/// Times of a caller's SYNs.
const SYNS_MS: [u64; 3] = [0, 200, 600];
const AIM_MS: u64 = 200;
/// Later than the time in which a new service address is not refused.
const START_MS: u64 = 20_000;
const RUN_MS: u64 = 40_000;
const WORK_MS: f64 = 40.0;
/// Share and length of long requests.
const TAIL: (f64, f64) = (0.02, 7.0);

/// How entry VMs and side processes see the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// All servers are reported alike: with all slots and one service time.
    Equal,
    /// The mean time of requests that found a free slot.
    Measured,
    /// The learned capacity.
    Learned,
}

// How long a server takes for a request, relative to an ordinary one.
#[derive(Debug, Clone, Copy)]
struct Speed {
    /// Factor of the time of a request.
    time: f64,
    /// Factor that each further request at once adds to it.
    contention: f64,
}

const ORDINARY: Speed = Speed {
    time: 1.0,
    contention: 0.0,
};

struct Server {
    flows: PassthroughFlows,
    // Ends and callers of the requests that run, and callers that wait with their work.
    running: Vec<(u64, usize)>,
    waiting: Vec<(f64, usize)>,
}

struct Caller {
    segment: TcpSegment,
    router: usize,
    work_ms: f64,
    begun_at: u64,
    ended_at: Option<u64>,
    refused: bool,
}

struct World {
    mode: Mode,
    view: RoutingView,
    routers: Vec<PassthroughRouter>,
    servers: Vec<Server>,
    by_address: HashMap<SocketAddrV4, usize>,
    callers: Vec<Caller>,
    // Callers that send a SYN, by time.
    syns: BTreeMap<u64, Vec<(usize, usize)>>,
    random: StdRng,
}

const BACKEND: BackendInfo = BackendInfo {
    accepts_flows: true,
    slots: SLOTS,
    flow_limit: 2_000,
    cold: false,
    cold_limit: KnownColdLimit::Unlimited,
    observed_from_start: true,
};

fn new_flows(mode: Mode, now: u64) -> PassthroughFlows {
    let mut flows = PassthroughFlows::new(Duration::from_secs(60), TimePoint(now));
    flows.set_learning(mode == Mode::Learned);
    flows
}

impl World {
    fn new(mode: Mode, servers: usize) -> Self {
        let view = passthrough_view(servers);
        let router = |_| {
            let limit = NonZeroUsize::new(100_000).unwrap();
            let mut router = PassthroughRouter::new("honam-1".parse().unwrap(), limit);
            router.update_view(&view, TimePoint(0));
            router.record_freshness(true, TimePoint(0));
            router
        };
        let by_address =
            (0..servers).map(|number| (host(number, HostState::Serving).packets, number));
        Self {
            mode,
            routers: (0..ENTRIES).map(router).collect(),
            by_address: by_address.collect(),
            servers: (0..servers)
                .map(|_| Server {
                    flows: new_flows(mode, 0),
                    running: Vec::new(),
                    waiting: Vec::new(),
                })
                .collect(),
            view,
            callers: Vec::new(),
            syns: BTreeMap::new(),
            random: StdRng::seed_from_u64(SEED),
        }
    }

    fn play(
        &mut self,
        per_second: f64,
        speed: impl Fn(usize, u64) -> Speed,
        restart_at: Option<u64>,
    ) {
        let mut next = START_MS as f64;
        for now in START_MS..START_MS + RUN_MS + 2_000 {
            while next <= now as f64 && now < START_MS + RUN_MS {
                next += -(1.0 - self.random.random::<f64>()).ln() * 1_000.0 / per_second;
                self.add_caller(now);
            }
            if restart_at == Some(now) {
                let mode = self.mode;
                self.servers
                    .iter_mut()
                    .for_each(|server| server.flows = new_flows(mode, now));
            }
            self.finish_requests(now, &speed);
            for (caller, copies) in self.syns.remove(&now).unwrap_or_default() {
                self.open(caller, copies, now, &speed);
            }
            if now.is_multiple_of(REPORT_MS) {
                self.report(now);
            }
        }
    }

    fn add_caller(&mut self, now: u64) {
        let caller = self.callers.len();
        let (share, length) = TAIL;
        let tail = if self.random.random_bool(share) {
            length
        } else {
            1.0
        };
        let address = SocketAddrV4::new((0x0a09_0000 + caller as u32).into(), 1);
        self.callers.push(Caller {
            segment: TcpSegment {
                key: FlowKey {
                    caller: address,
                    ..syn(1).key
                },
                ..syn(1)
            },
            router: caller % ENTRIES,
            work_ms: WORK_MS * self.random.random_range(0.5..1.5) * tail,
            begun_at: now,
            ended_at: None,
            refused: false,
        });
        for (copies, delay) in SYNS_MS.into_iter().enumerate() {
            self.syns
                .entry(now + delay)
                .or_default()
                .push((caller, copies));
        }
    }

    fn report(&mut self, now: u64) {
        for (address, number) in &self.by_address {
            let flows = &mut self.servers[*number].flows;
            flows.sweep(Duration::from_secs(60), TimePoint(now));
            let mut load = flows.load(&BACKEND, TimePoint(now));
            if self.mode == Mode::Equal {
                load.service_us = (WORK_MS * 1_000.0) as u32;
            }
            for router in &mut self.routers {
                router.record_load(*address, load, TimePoint(now));
            }
        }
    }

    fn open(
        &mut self,
        caller: usize,
        copies: usize,
        now: u64,
        speed: &impl Fn(usize, u64) -> Speed,
    ) {
        let entry = &self.callers[caller];
        if entry.ended_at.is_some() || entry.refused || entry.segment.syn_copies == u32::MAX {
            return;
        }
        let segment = TcpSegment {
            syn_copies: copies as u32,
            ..entry.segment
        };
        let at = TimePoint(now);
        let plan = self.routers[entry.router]
            .route(&self.view, &segment, at)
            .unwrap();
        for (position, hop) in plan.hops.iter().enumerate() {
            let number = self.by_address[hop];
            let arrival = PassthroughArrival {
                more_hops: position + 1 < plan.hops.len(),
                complete: plan.complete,
            };
            let flows = &mut self.servers[number].flows;
            match flows.judge(&segment, arrival, &BACKEND, at) {
                PassthroughVerdict::Open => {
                    flows.record_delivered(&segment, &BACKEND, at);
                    // Marks the caller as open.
                    self.callers[caller].segment.syn_copies = u32::MAX;
                    self.begin(caller, number, &segment, now, speed);
                    return;
                }
                PassthroughVerdict::Refuse => {
                    self.callers[caller].refused = true;
                    return;
                }
                _ => {}
            }
        }
    }

    // The handshake and the request, which arrives at once.
    fn begin(
        &mut self,
        caller: usize,
        number: usize,
        opening: &TcpSegment,
        now: u64,
        speed: &impl Fn(usize, u64) -> Speed,
    ) {
        let at = TimePoint(now);
        let server = &mut self.servers[number];
        let syn_ack = TcpSegment {
            is_syn: false,
            is_syn_ack: true,
            syn_copies: 0,
            ..*opening
        };
        server.flows.record_reply_segment(&syn_ack, at);
        let request = TcpSegment {
            is_syn: false,
            syn_copies: 0,
            sequence: opening.sequence + 1,
            acknowledgement: Some(opening.sequence + 1),
            payload: 100,
            ..*opening
        };
        server.flows.judge(
            &request,
            PassthroughArrival {
                more_hops: false,
                complete: false,
            },
            &BACKEND,
            at,
        );
        server.flows.record_delivered(&request, &BACKEND, at);
        let work_ms = self.callers[caller].work_ms;
        if server.running.len() < usize::from(SLOTS) {
            run(server, number, work_ms, caller, now, speed);
        } else if server.waiting.len() < QUEUE_LIMIT {
            server.waiting.push((work_ms, caller));
        }
    }

    fn finish_requests(&mut self, now: u64, speed: &impl Fn(usize, u64) -> Speed) {
        for number in 0..self.servers.len() {
            let server = &mut self.servers[number];
            let ended: Vec<usize> = server
                .running
                .iter()
                .filter(|(end, _)| *end <= now)
                .map(|(_, caller)| *caller)
                .collect();
            server.running.retain(|(end, _)| *end > now);
            for caller in ended {
                let entry = &mut self.callers[caller];
                entry.ended_at = Some(now);
                let reply = TcpSegment {
                    is_syn: false,
                    is_fin: true,
                    syn_copies: 0,
                    payload: 600,
                    ..entry.segment
                };
                server.flows.record_reply_segment(&reply, TimePoint(now));
                let end = TcpSegment {
                    payload: 0,
                    ..reply
                };
                server
                    .flows
                    .record_delivered(&end, &BACKEND, TimePoint(now));
                if !server.waiting.is_empty() {
                    let (work_ms, caller) = server.waiting.remove(0);
                    run(server, number, work_ms, caller, now, speed);
                }
            }
        }
    }

    // Returns a line on what callers got, between these times of the run.
    fn line(&self, from_ms: u64, to_ms: u64) -> String {
        let range = START_MS + from_ms..START_MS + to_ms;
        let callers = self
            .callers
            .iter()
            .filter(|caller| range.contains(&caller.begun_at));
        let mut waits: Vec<u64> = Vec::new();
        let (mut all, mut refused) = (0, 0);
        for caller in callers {
            all += 1;
            refused += usize::from(caller.refused);
            waits.push(
                caller
                    .ended_at
                    .map_or(u64::MAX, |end| end - caller.begun_at),
            );
        }
        waits.sort_unstable();
        let in_aim = waits.iter().filter(|wait| **wait <= AIM_MS).count();
        let percent = |count: usize| count as f64 * 100.0 / all as f64;
        format!(
            "in aim {:.1}%, median {} ms, refused {:.1}%",
            percent(in_aim),
            waits[all / 2],
            percent(refused)
        )
    }
}

fn run(
    server: &mut Server,
    number: usize,
    work_ms: f64,
    caller: usize,
    now: u64,
    speed: &impl Fn(usize, u64) -> Speed,
) {
    let speed = speed(number, now - START_MS);
    let others = server.running.len() as f64;
    let time = work_ms * speed.time * (1.0 + speed.contention * others);
    server.running.push((now + time.max(1.0) as u64, caller));
}

fn compare(
    name: &str,
    servers: usize,
    per_second: f64,
    speed: impl Fn(usize, u64) -> Speed + Copy,
    parts: &[(u64, u64)],
) -> String {
    let mut text = format!("{name}\n");
    for mode in [Mode::Equal, Mode::Measured, Mode::Learned] {
        let mut world = World::new(mode, servers);
        world.play(per_second, speed, None);
        for (from, to) in parts {
            let line = world.line(*from, *to);
            writeln!(
                text,
                "  {mode:?}, {} to {} s: {line}",
                from / 1_000,
                to / 1_000
            )
            .unwrap();
        }
    }
    text
}

const WHOLE: [(u64, u64); 1] = [(5_000, RUN_MS)];

#[test]
fn callers_get_more_in_aim_where_servers_differ() {
    // Relative speeds 0.7, 0.7 and 1.7, at two thirds and at nine tenths of what all can do.
    let uneven = |number: usize, _| Speed {
        time: 1.0 / [0.7, 0.7, 1.7][number % 3],
        ..ORDINARY
    };
    // Two servers of six double the time of each from the second request at once on.
    let contended = |number: usize, _| Speed {
        contention: if number < 2 { 1.0 } else { 0.0 },
        ..ORDINARY
    };
    // One of six turns ten times as slow after 10 s, and recovers at 25 s.
    let changing = |number: usize, at_ms: u64| Speed {
        time: if number == 0 && (10_000..25_000).contains(&at_ms) {
            10.0
        } else {
            1.0
        },
        ..ORDINARY
    };
    let slowing = |_, at_ms: u64| Speed {
        time: if (10_000..25_000).contains(&at_ms) {
            2.0
        } else {
            1.0
        },
        ..ORDINARY
    };
    let change = [(5_000, 10_000), (10_000, 25_000), (25_000, RUN_MS)];
    let texts = [
        compare(
            "speeds 0.7, 0.7, 1.7; 300 a second",
            6,
            300.0,
            uneven,
            &WHOLE,
        ),
        compare(
            "speeds 0.7, 0.7, 1.7; 400 a second",
            6,
            400.0,
            uneven,
            &WHOLE,
        ),
        compare(
            "two of six slow down from two at once on; 250 a second",
            6,
            250.0,
            contended,
            &WHOLE,
        ),
        compare(
            "two of six slow down from two at once on; 330 a second",
            6,
            330.0,
            contended,
            &WHOLE,
        ),
        compare(
            "one turns ten times as slow and recovers; 250 a second",
            6,
            250.0,
            changing,
            &change,
        ),
        compare(
            "all turn twice as slow and recover; 180 a second",
            6,
            180.0,
            slowing,
            &change,
        ),
        compare("two requests a second", 6, 2.0, uneven, &WHOLE),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}

#[test]
fn restarted_side_processes_learn_again_without_harm() {
    let contended = |number: usize, _: u64| Speed {
        contention: if number < 2 { 1.0 } else { 0.0 },
        ..ORDINARY
    };
    let mut world = World::new(Mode::Learned, 6);
    world.play(250.0, contended, Some(START_MS + 20_000));
    let text = [
        format!("before: {}", world.line(5_000, 20_000)),
        format!("two seconds after: {}", world.line(20_000, 22_000)),
        format!("later: {}", world.line(25_000, RUN_MS)),
    ];
    insta::assert_snapshot!(text.join("\n"));
}

fn address() -> SocketAddrV4 {
    syn(1).key.service
}

// Answers at levels 1 to 3, whose times grow with each request at once as given.
fn learn(estimate: &mut CapacityEstimate, times_ms: [u64; 3], answers: u64, from: u64) {
    for answer in 0..answers {
        for (index, time) in times_ms.into_iter().enumerate() {
            let now = TimePoint(from + answer * 30);
            let time = Duration::from_millis(time);
            estimate.record_answer(address(), index as u16 + 1, time, now);
        }
    }
}

#[test]
fn usable_slots_follow_the_throughput_and_are_never_none() {
    let cases = [
        [40, 40, 40],
        [40, 80, 120],
        [40, 44, 90],
        [40, 60, 200],
        [40, 400, 4_000],
    ];
    let learned = cases.map(|times| {
        let mut estimate = CapacityEstimate::default();
        learn(&mut estimate, times, 100, 1_000);
        estimate.capacity(SLOTS, TimePoint(4_000)).slots
    });
    assert_eq!(learned, [3, 1, 2, 2, 1]);
}

#[test]
fn few_answers_and_old_ones_limit_nothing() {
    let mut estimate = CapacityEstimate::default();
    learn(&mut estimate, [40, 80, 120], 5, 1_000);
    assert_eq!(estimate.capacity(SLOTS, TimePoint(2_000)).slots, 3);
    learn(&mut estimate, [40, 80, 120], 100, 2_000);
    assert_eq!(estimate.capacity(SLOTS, TimePoint(5_000)).slots, 1);
    // It is tried again, with the few answers that judge a level.
    assert_eq!(estimate.capacity(SLOTS, TimePoint(30_000)).slots, 3);
    learn(&mut estimate, [40, 80, 120], 12, 30_000);
    assert_eq!(estimate.capacity(SLOTS, TimePoint(31_000)).slots, 1);
    // It was replaced by one that does not slow down.
    learn(&mut estimate, [40, 40, 40], 100, 31_000);
    assert_eq!(estimate.capacity(SLOTS, TimePoint(35_000)).slots, 3);
}

#[test]
fn service_time_of_a_server_without_requests_comes_back_to_its_shortest() {
    let mut estimate = CapacityEstimate::default();
    for answer in 0..50 {
        estimate.record_service_time(Duration::from_millis(40), TimePoint(1_000 + answer * 10));
    }
    for answer in 0..50 {
        estimate.record_service_time(Duration::from_millis(400), TimePoint(2_000 + answer * 10));
    }
    let service_ms = |now| estimate.capacity(SLOTS, TimePoint(now)).service_ms.round();
    let times = [2_490, 4_400, 5_500, 6_500, 9_000, 60_000].map(service_ms);
    assert_eq!(times, [398.0, 398.0, 198.0, 99.0, 40.0, 40.0]);
}
