//! The process of an entry VM: its threads and the rings between them.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Builder;
use std::time::Duration;

use crossbeam_channel::{Receiver, bounded};

use chestnutlb_core::{ControlEvent, EntryControl, EntryRecord};
use chestnutlb_platform::PlatformStore;
use chestnutlb_store::{FeedIndex, StoreCalls, StoreClient};

use crate::entry_control::{ControlLoop, ControlRings, receive_peers};
use crate::entry_http::{EntryShared, server};
use crate::entry_packets::PacketLoop;
use crate::entry_store::{run_pulls, run_store, run_watch};
use crate::metrics::CounterSet;
use crate::reload::SettingsFile;
use crate::settings::{Dialect, EntrySettings};
use crate::{StopSignal, clock, http};

const EVENT_RING: usize = 4096;
const JOB_RING: usize = 256;
const VIEW_RING: usize = 2;

/// Time after which the packet thread looks for a new view.
const PACKET_TIMEOUT: Duration = Duration::from_millis(20);

/// Runs an entry VM until it was asked to stop and has stopped.
pub fn run(
    settings: &EntrySettings,
    file: SettingsFile,
    counters: Arc<CounterSet>,
    stops: &Receiver<StopSignal>,
) -> std::io::Result<()> {
    let me = EntryRecord {
        name: settings.name.clone(),
        datacenter: settings.datacenter.clone(),
        peers: settings.peers,
        status: settings.status,
        incarnation: clock::incarnation(),
    };
    let packet_socket = UdpSocket::bind(settings.packets)?;
    packet_socket.set_read_timeout(Some(PACKET_TIMEOUT))?;
    let peer_socket = UdpSocket::bind(settings.peers)?;

    // Before any thread says a word, so that a log shows where a life begins.
    log::info!(
        target: "process",
        role = "entry", name:% = settings.name, datacenter:% = settings.datacenter,
        incarnation = me.incarnation.0;
        "started"
    );

    let shared = Arc::new(EntryShared::new(me.clone(), Arc::clone(&counters)));
    let (event_ring, events) = bounded(EVENT_RING);
    let (store_ring, store_jobs) = bounded(JOB_RING);
    let (pull_ring, pull_jobs) = bounded(JOB_RING);
    let (view_ring, views) = bounded(VIEW_RING);
    // It knows of no other entry VM yet, so the watch falls to it.
    let watching = Arc::new(AtomicBool::new(true));

    http::start(server(Arc::clone(&shared), settings.status))?;

    let packets = PacketLoop::new(packet_socket, settings, views, Arc::clone(&shared));
    Builder::new()
        .name("packets".to_owned())
        .spawn(move || packets.run())?;

    let socket = peer_socket.try_clone()?;
    let (ring, sharing) = (event_ring.clone(), Arc::clone(&shared));
    Builder::new()
        .name("peers".to_owned())
        .spawn(move || receive_peers(&socket, &ring, &sharing))?;

    let mut clients = open_stores(settings).into_iter();
    if let Some(client) = clients.next() {
        let (ring, counting) = (event_ring.clone(), Arc::clone(&counters));
        Builder::new()
            .name("store".to_owned())
            .spawn(move || run_store(client.as_ref(), &store_jobs, &ring, &counting))?;
    }
    for (feed, client) in clients.enumerate() {
        let (ring, counting) = (event_ring.clone(), Arc::clone(&counters));
        let on = Arc::clone(&watching);
        Builder::new()
            .name(format!("watch-{feed}"))
            .spawn(move || {
                run_watch(client.as_ref(), FeedIndex(feed), &on, &ring, &counting);
            })?;
    }

    let (ring, sharing) = (event_ring.clone(), Arc::clone(&shared));
    Builder::new()
        .name("pulls".to_owned())
        .spawn(move || run_pulls(&pull_jobs, &ring, &sharing))?;

    let control = EntryControl::new(
        me.clone(),
        settings.seeds.clone(),
        me.incarnation.0,
        clock::now(),
    );
    let ring = event_ring.clone();
    file.watch(move |settings| {
        // Should the ring be full, the members that are known serve as well.
        let _ = ring.try_send(ControlEvent::Seeds(settings.seeds().to_vec()));
    })?;
    let rings = ControlRings {
        store: store_ring,
        pulls: pull_ring,
        views: view_ring,
    };
    let sharing = Arc::clone(&shared);
    let control = ControlLoop::new(control, peer_socket, events, rings, watching, sharing);
    Builder::new()
        .name("control".to_owned())
        .spawn(move || control.run())?;

    // The main thread just waits for the signals.
    if stops.recv().is_err() {
        return Ok(());
    }
    log::info!(target: "process", name:% = settings.name; "stopping");
    shared.stopping.store(true, Ordering::Relaxed);
    // If the ring is full the members are repaired by the neighbours.
    let _ = event_ring.try_send(ControlEvent::Stop);
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

// One client for each thread that calls the store; they share what they saw.
fn open_stores(settings: &EntrySettings) -> Vec<Box<dyn StoreCalls>> {
    match settings.dialect {
        Dialect::Own => share_store(&StoreClient::new(&settings.platform)),
        Dialect::Platform => {
            let places = settings.places.clone();
            share_store(&PlatformStore::new(&settings.platform, places))
        }
    }
}

fn share_store<T: StoreCalls + Clone + 'static>(client: &T) -> Vec<Box<dyn StoreCalls>> {
    let threads = client.feeds() + 1;
    (0..threads)
        .map(|_| Box::new(client.clone()) as Box<dyn StoreCalls>)
        .collect()
}
