//! The process beside a backend server: its threads and the rings between
//! them.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::Builder;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::{Poll, Waker};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use chestnutlb_core::placement::HostSeed;
use chestnutlb_core::{FlowTable, HostState, Incarnation};

use crate::metrics::{Counter, CounterSet};
use crate::registration::SeedList;
use crate::reload::SettingsFile;
use crate::settings::SideSettings;
use crate::side_control::AnnounceLoop;
use crate::side_events::{SideEvent, SideRing, SideShared};
use crate::side_flows::{FlowLoop, FlowParts, WAKER_TOKEN};
use crate::side_http::{SideRoutes, server};
use crate::side_relay::{RelayJob, run_relays};
use crate::side_requests::{DeskParts, RELAY_LIMIT, RequestDesk};
use crate::{StopSignal, clock, http};

const RELAY_RING: usize = 256;

/// Threads that cancel requests at other hosts.
const CANCEL_THREADS: usize = 2;

/// Time between two looks at whether the host has left.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// Runs a side process until it was asked to stop and its flows have ended.
pub fn run(
    settings: &SideSettings,
    file: SettingsFile,
    counters: Arc<CounterSet>,
    stops: &Receiver<StopSignal>,
) -> std::io::Result<()> {
    let settings = Arc::new(settings.clone());
    let incarnation = clock::incarnation();
    let shared = Arc::new(SideShared::new(Arc::clone(&counters)));
    let poll = Poll::new()?;
    let waker = Waker::new(poll.registry(), WAKER_TOKEN)?;
    let (ring, events) = SideRing::new(waker, Arc::clone(&counters));

    let packet_socket = UdpSocket::bind(settings.packets)?;
    packet_socket.set_nonblocking(true)?;
    let announce_socket = UdpSocket::bind(settings.announce)?;

    let seeds = SeedList::new(settings.seeds.clone());
    let reloaded = seeds.clone();
    file.watch(move |settings| reloaded.set(settings.seeds()))?;
    // Before any thread says a word, so that a log shows where a life begins.
    log::info!(
        target: "process",
        role = "side", name:% = settings.name, service:% = settings.service,
        incarnation = incarnation.0;
        "started"
    );

    let announce = AnnounceLoop::new(
        Arc::clone(&settings),
        incarnation,
        announce_socket,
        seeds,
        Arc::clone(&ring),
        Arc::clone(&shared),
        clock::now(),
    )?;
    let control = Builder::new()
        .name("control".to_owned())
        .spawn(move || announce.run())?;

    let routes = SideRoutes {
        settings: Arc::clone(&settings),
        shared: Arc::clone(&shared),
        events: Arc::clone(&ring),
    };
    http::start(server(routes, settings.status))?;

    let (relay_ring, relay_jobs) = bounded(RELAY_RING);
    let (cancel_ring, cancel_jobs) = bounded(RELAY_RING);
    for number in 0..RELAY_LIMIT + CANCEL_THREADS {
        let jobs = if number < RELAY_LIMIT {
            relay_jobs.clone()
        } else {
            cancel_jobs.clone()
        };
        let events = Arc::clone(&ring);
        Builder::new()
            .name(format!("relay-{number}"))
            .spawn(move || run_relays(&jobs, &events))?;
    }

    let parts = FlowThread {
        settings: Arc::clone(&settings),
        incarnation,
        poll,
        socket: mio::net::UdpSocket::from_std(packet_socket),
        events,
        relay_ring,
        cancel_ring,
        shared: Arc::clone(&shared),
    };
    Builder::new()
        .name("flows".to_owned())
        .spawn(move || run_flows(parts))?;

    if stops.recv().is_err() {
        return Ok(());
    }
    log::info!(target: "process", name:% = settings.name; "stopping");
    shared.stopping.store(true, Ordering::Relaxed);
    wait_for_end(&shared, stops, &settings);
    // The thread announces the end; a panic there is not hidden by a join.
    if shared.state() == HostState::Gone {
        let _ = control.join();
    }
    Ok(())
}

fn wait_for_end(shared: &SideShared, stops: &Receiver<StopSignal>, settings: &SideSettings) {
    while shared.state() != HostState::Gone {
        if stops.recv_timeout(LEAVE_POLL).is_ok() {
            log::warn!(
                target: "process",
                name:% = settings.name,
                flows = shared.flows.load(Ordering::Relaxed),
                running = shared.running.load(Ordering::Relaxed),
                waiting = shared.waiting.load(Ordering::Relaxed);
                "stopped at once; these were cut"
            );
            return;
        }
    }
    log::info!(
        target: "process",
        name:% = settings.name, cut = shared.counters.get(Counter::FlowsCut);
        "stopped"
    );
}

struct FlowThread {
    settings: Arc<SideSettings>,
    incarnation: Incarnation,
    poll: Poll,
    socket: mio::net::UdpSocket,
    events: Receiver<SideEvent>,
    relay_ring: Sender<RelayJob>,
    cancel_ring: Sender<RelayJob>,
    shared: Arc<SideShared>,
}

// Nothing can be judged before the service is known, so the thread waits for
// the first news and only then takes packets.
fn run_flows(parts: FlowThread) {
    let mut early = Vec::new();
    let spec = loop {
        match parts.events.recv() {
            Ok(SideEvent::News(news)) => {
                if let Some(spec) = news.spec.clone() {
                    early.push(SideEvent::News(news));
                    break spec;
                }
            }
            Ok(SideEvent::Relay(_, reply)) => {
                let _ = reply.send(chestnutlb_wire::peer::RelayAnswer::NotRun);
            }
            Ok(event) => early.push(event),
            Err(_) => return,
        }
    };
    let mut random = StdRng::from_os_rng();
    let registry = match parts.poll.registry().try_clone() {
        Ok(registry) => registry,
        Err(error) => {
            log::error!(target: "process", cause:% = error; "event loop failed");
            std::process::exit(crate::EXIT_FAILURE);
        }
    };
    let first_id = HostSeed::of(parts.settings.name.as_str()).0 ^ random.random::<u64>();
    let desk = RequestDesk::new(DeskParts {
        settings: Arc::clone(&parts.settings),
        spec: Arc::clone(&spec),
        registry,
        relay_ring: parts.relay_ring,
        cancel_ring: parts.cancel_ring,
        shared: Arc::clone(&parts.shared),
        incarnation: parts.incarnation.0,
        random: StdRng::from_rng(&mut random),
        first_id,
    });
    let flows = FlowLoop::new(
        FlowParts {
            table: FlowTable::new(spec.id.tag(), parts.incarnation),
            settings: parts.settings,
            spec,
            desk,
            poll: parts.poll,
            socket: parts.socket,
            events: parts.events,
            shared: parts.shared,
            random,
        },
        clock::now(),
    );
    match flows {
        Ok(mut flows) => {
            for event in early {
                flows.handle(event, clock::now());
            }
            flows.run();
        }
        Err(error) => {
            log::error!(target: "process", cause:% = error; "flow thread failed");
            std::process::exit(crate::EXIT_FAILURE);
        }
    }
}
