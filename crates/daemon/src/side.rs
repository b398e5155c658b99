//! Start and stop of a side process for stream and request flows: creates its
//! threads and the rings between them.

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
use crate::side_control::SideControl;
use crate::side_events::{SideEvent, SideRing, SideShared};
use crate::side_flows::{FlowLoop, FlowLoopParams, WAKER_TOKEN};
use crate::side_http::{SideRoutes, server};
use crate::side_relay::{RelayJob, run_relays};
use crate::side_requests::{MAX_CONCURRENT_RELAYS, RequestHandler, RequestHandlerParams};
use crate::{StopSignal, clock, http};

/// Maximum number of relays, and of cancellations, that wait for a thread.
const RELAY_RING_CAPACITY: usize = 256;

/// Number of threads that cancel requests at other hosts.
const CANCEL_THREADS: usize = 2;

/// Interval between checks whether the host is gone.
const LEAVE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Runs a side process until it has received a stop signal and its flows have
/// ended, or until a second signal stops it at once.
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
    let registration_socket = UdpSocket::bind(settings.registration_address)?;

    let seeds = SeedList::new(settings.seeds.clone());
    let reloaded_seeds = seeds.clone();
    file.watch(move |seeds| reloaded_seeds.set(seeds))?;
    // Logged before any thread logs, so that this line marks the start of an
    // incarnation in the log.
    log::info!(
        target: "process",
        role = "side", name:% = settings.name, service:% = settings.service,
        incarnation = incarnation.0, seeds = settings.seeds.len();
        "started"
    );

    let side_control = SideControl::new(
        Arc::clone(&settings),
        incarnation,
        registration_socket,
        seeds,
        Arc::clone(&ring),
        Arc::clone(&shared),
        clock::now(),
    )?;
    let control_thread = Builder::new()
        .name("control".to_owned())
        .spawn(move || side_control.run())?;

    let routes = SideRoutes {
        settings: Arc::clone(&settings),
        shared: Arc::clone(&shared),
        events: Arc::clone(&ring),
    };
    http::start(server(routes, settings.status))?;

    let (relay_ring, relay_jobs) = bounded(RELAY_RING_CAPACITY);
    let (cancel_ring, cancel_jobs) = bounded(RELAY_RING_CAPACITY);
    for number in 0..MAX_CONCURRENT_RELAYS + CANCEL_THREADS {
        let jobs = if number < MAX_CONCURRENT_RELAYS {
            relay_jobs.clone()
        } else {
            cancel_jobs.clone()
        };
        let events = Arc::clone(&ring);
        Builder::new()
            .name(format!("relay-{number}"))
            .spawn(move || run_relays(&jobs, &events))?;
    }

    let params = FlowThreadParams {
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
        .spawn(move || run_flows(params))?;

    if stops.recv().is_err() {
        return Ok(());
    }
    log::info!(target: "process", name:% = settings.name; "stopping");
    shared.stopping.store(true, Ordering::Relaxed);
    wait_until_gone(&shared, stops, &settings);
    // Waits until the deregistrations are sent. The result is ignored, since the panic
    // hook has already reported a panic of the control thread.
    if shared.state() == HostState::Gone {
        let _ = control_thread.join();
    }
    Ok(())
}

fn wait_until_gone(shared: &SideShared, stops: &Receiver<StopSignal>, settings: &SideSettings) {
    while shared.state() != HostState::Gone {
        if stops.recv_timeout(LEAVE_POLL_PERIOD).is_ok() {
            log::warn!(
                target: "process",
                name:% = settings.name,
                flows = shared.flows.load(Ordering::Relaxed),
                running = shared.running.load(Ordering::Relaxed),
                waiting = shared.waiting.load(Ordering::Relaxed);
                "stopped at once; remaining flows and requests were cut"
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

struct FlowThreadParams {
    settings: Arc<SideSettings>,
    incarnation: Incarnation,
    poll: Poll,
    socket: mio::net::UdpSocket,
    events: Receiver<SideEvent>,
    relay_ring: Sender<RelayJob>,
    cancel_ring: Sender<RelayJob>,
    shared: Arc<SideShared>,
}

// Runs the flow thread. Packets can't be judged without the service's manifest
// entry, so the thread waits for the first update that contains it before it
// reads packets.
fn run_flows(params: FlowThreadParams) {
    let mut early_events = Vec::new();
    let spec = loop {
        match params.events.recv() {
            Ok(SideEvent::ServiceChanged(update)) => {
                if let Some(spec) = update.spec.clone() {
                    early_events.push(SideEvent::ServiceChanged(update));
                    break spec;
                }
            }
            Ok(SideEvent::Relay(_, reply)) => {
                let _ = reply.send(chestnutlb_wire::peer::RelayReply::NotRun);
            }
            Ok(event) => early_events.push(event),
            Err(_) => return,
        }
    };
    let mut random = StdRng::from_os_rng();
    let registry = match params.poll.registry().try_clone() {
        Ok(registry) => registry,
        Err(error) => {
            log::error!(target: "process", cause:% = error; "event loop failed");
            std::process::exit(crate::EXIT_FAILURE);
        }
    };
    let first_id = HostSeed::of(params.settings.name.as_str()).0 ^ random.random::<u64>();
    let request_handler = RequestHandler::new(RequestHandlerParams {
        settings: Arc::clone(&params.settings),
        spec: Arc::clone(&spec),
        registry,
        relay_ring: params.relay_ring,
        cancel_ring: params.cancel_ring,
        shared: Arc::clone(&params.shared),
        incarnation: params.incarnation.0,
        random: StdRng::from_rng(&mut random),
        first_id,
    });
    let flow_loop = FlowLoop::new(
        FlowLoopParams {
            table: FlowTable::new(spec.id.tag(), params.incarnation),
            settings: params.settings,
            spec,
            request_handler,
            poll: params.poll,
            socket: params.socket,
            events: params.events,
            shared: params.shared,
            random,
        },
        clock::now(),
    );
    match flow_loop {
        Ok(mut flow_loop) => {
            for event in early_events {
                flow_loop.handle_event(event, clock::now());
            }
            flow_loop.run();
        }
        Err(error) => {
            log::error!(target: "process", cause:% = error; "flow thread failed");
            std::process::exit(crate::EXIT_FAILURE);
        }
    }
}
