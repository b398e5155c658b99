//! The process of an entry VM: starts its threads and connects them by rings
//! (bounded channels).

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Builder;
use std::time::Duration;

use crossbeam_channel::{Receiver, bounded};

use chestnutlb_core::{ControlEvent, EntryControl, EntryRecord, FeedIndex};
use chestnutlb_platform::PlatformStore;
use chestnutlb_store::{StoreCalls, StoreClient};

use crate::entry_control::{ControlLoop, ControlRings, receive_peers};
use crate::entry_feeds::{WatchedFeed, run_probes, run_watch};
use crate::entry_http::{EntryShared, server};
use crate::entry_packets::PacketLoop;
use crate::entry_store::{run_pulls, run_store};
use crate::event_ring::EventRing;
use crate::flow_questions::FlowQuestions;
use crate::metrics::CounterSet;
use crate::reload::SettingsFile;
use crate::settings::{Dialect, EntrySettings};
use crate::{StopSignal, clock, http};

/// Capacity of each ring of jobs: store calls and pulls from peers.
const JOB_RING: usize = 256;

/// Capacity of the ring of routing views for the packet thread.
const VIEW_RING: usize = 2;

/// Longest wait of the packet thread for a packet before it checks for a new view.
const PACKET_TIMEOUT: Duration = Duration::from_millis(20);

/// Runs an entry VM until it has stopped after a stop signal.
///
/// After the first signal it continues to forward packets for `stop_linger`; a second
/// signal ends it at once.
pub fn run(
    settings: &EntrySettings,
    file: SettingsFile,
    counters: Arc<CounterSet>,
    stops: &Receiver<StopSignal>,
) -> std::io::Result<()> {
    let own_record = EntryRecord {
        name: settings.name.clone(),
        datacenter: settings.datacenter.clone(),
        peers: settings.peers,
        status: settings.status,
        incarnation: clock::incarnation(),
    };
    let packet_socket = UdpSocket::bind(settings.packets)?;
    packet_socket.set_read_timeout(Some(PACKET_TIMEOUT))?;
    let peer_socket = UdpSocket::bind(settings.peers)?;

    // Logged before the threads start, so that it precedes their lines in the log.
    log::info!(
        target: "process",
        role = "entry", name:% = settings.name, datacenter:% = settings.datacenter,
        incarnation = own_record.incarnation.0;
        "started"
    );

    let shared = Arc::new(EntryShared::new(own_record.clone(), Arc::clone(&counters)));
    let (event_ring, events) = EventRing::new(Arc::clone(&counters));
    let (store_ring, store_jobs) = bounded(JOB_RING);
    let (probe_ring, probe_jobs) = bounded(JOB_RING);
    let (pull_ring, pull_jobs) = bounded(JOB_RING);
    let (view_ring, views) = bounded(VIEW_RING);
    // Until other entry VMs are known, this one watches the platform.
    let watching = Arc::new(AtomicBool::new(true));

    let (questions, asked) = FlowQuestions::new();
    http::start(server(Arc::clone(&shared), questions, settings.status))?;

    let packets = PacketLoop::new(packet_socket, settings, views, asked, Arc::clone(&shared));
    Builder::new()
        .name("packets".to_owned())
        .spawn(move || packets.run())?;

    let socket = peer_socket.try_clone()?;
    let (ring, thread_shared) = (event_ring.clone(), Arc::clone(&shared));
    Builder::new()
        .name("peers".to_owned())
        .spawn(move || receive_peers(&socket, &ring, &thread_shared))?;

    let mut clients = store_clients(settings).into_iter();
    if let Some(client) = clients.next() {
        let (ring, thread_counters) = (event_ring.clone(), Arc::clone(&counters));
        Builder::new()
            .name("store".to_owned())
            .spawn(move || run_store(client.as_ref(), &store_jobs, &ring, &thread_counters))?;
    }
    if let Some(client) = clients.next() {
        let (ring, thread_counters) = (event_ring.clone(), Arc::clone(&counters));
        Builder::new()
            .name("probes".to_owned())
            .spawn(move || run_probes(client.as_ref(), &probe_jobs, &ring, &thread_counters))?;
    }
    let mut feed_scopes = Vec::new();
    for (index, client) in clients.enumerate() {
        let (ring, thread_counters) = (event_ring.clone(), Arc::clone(&counters));
        let feed = FeedIndex(index);
        feed_scopes.push(client.feed_scope(feed));
        let watched = WatchedFeed::new(client.as_ref(), feed, settings.change_deadline, &watching);
        Builder::new()
            .name(format!("watch-{index}"))
            .spawn(move || run_watch(client.as_ref(), &watched, &ring, &thread_counters))?;
    }

    let (ring, thread_shared) = (event_ring.clone(), Arc::clone(&shared));
    Builder::new()
        .name("pulls".to_owned())
        .spawn(move || run_pulls(&pull_jobs, &ring, &thread_shared))?;

    let control = EntryControl::new(
        own_record.clone(),
        settings.seeds.clone(),
        own_record.incarnation.0,
        clock::now(),
    )
    .with_feeds(&feed_scopes)
    .with_flow_age(settings.flow_age)
    .with_change_deadline(settings.change_deadline);
    let ring = event_ring.clone();
    file.watch(move |seeds| {
        // If the ring is full, the new seeds are dropped: the members already known
        // suffice to reach the other entry VMs.
        ring.push(ControlEvent::SeedsChanged(seeds.to_vec()));
    })?;
    let rings = ControlRings {
        store: store_ring,
        probes: probe_ring,
        pulls: pull_ring,
        views: view_ring,
    };
    let thread_shared = Arc::clone(&shared);
    let control = ControlLoop::new(control, peer_socket, events, rings, watching, thread_shared);
    Builder::new()
        .name("control".to_owned())
        .spawn(move || control.run())?;

    // The main thread only waits for stop signals.
    if stops.recv().is_err() {
        return Ok(());
    }
    log::info!(target: "process", name:% = settings.name; "stopping");
    shared.stopping.store(true, Ordering::Relaxed);
    // If the ring is full, this entry VM does not remove itself from the members;
    // its neighbours then remove it.
    event_ring.push(ControlEvent::Stop);
    match stops.recv_timeout(settings.stop_linger) {
        Ok(_) => log::warn!(
            target: "process",
            name:% = settings.name;
            "stopped at once; packets still sent to this entry VM are lost"
        ),
        Err(_) => log::info!(target: "process", name:% = settings.name; "stopped"),
    }
    Ok(())
}

// Returns one store client for each thread that calls the store: one for reads and
// writes, one for probes, then one for each feed.
fn store_clients(settings: &EntrySettings) -> Vec<Box<dyn StoreCalls>> {
    match settings.dialect {
        Dialect::Own => clone_client(&StoreClient::new(&settings.platform)),
        Dialect::Platform => {
            let datacenters = settings.host_datacenters.clone();
            let store = PlatformStore::new(&settings.platform, datacenters);
            let store = store.with_drains(settings.reads_drains);
            clone_client(&store.with_learned_capacity(settings.learns_capacity))
        }
    }
}

// Clones of a client share its connections and any cached objects.
fn clone_client<T: StoreCalls + Clone + 'static>(client: &T) -> Vec<Box<dyn StoreCalls>> {
    let threads = client.feeds() + 2;
    (0..threads)
        .map(|_| Box::new(client.clone()) as Box<dyn StoreCalls>)
        .collect()
}
