//! A config whose version number is a date and a time, as 20261207153000.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::world::{
    Consumer, Deployment, Record, SIGKILL, TryEnd, config, dalbit_machines, ms, start_deployment,
};

const BUDGET: Duration = Duration::from_secs(2);

/// `config_apply_ms` of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(3000);

/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

/// Requests sent before and after the final fault.
const TRIES: usize = 12;

pub fn run(folder: &str, trouble: &str) -> i32 {
    let record = Record::new();
    let (fronts, sides) = dalbit_machines();
    let deployment = Deployment::new(&record, fronts, sides);
    let route = |number| SocketAddrV4::new(Ipv4Addr::new(127, 65, 0, number), 8443);
    let (feed, patterns, dropped, added) = (route(1), route(2), route(3), route(4));
    let first = config(7, &[(feed, "catalogue"), (patterns, "patterns"), (dropped, "catalogue")]);
    let (store, _hosts) = start_deployment(&deployment, first);

    let mut consumer = Consumer::new(&deployment, 1, deployment.zones[0]);
    let fronts = deployment.fronts.clone();
    let mut serves = |address: SocketAddrV4| -> usize {
        let mut answered = 0;
        for front in &fronts {
            if consumer.open(address, Some(front)).is_ok()
                && consumer.request(BUDGET, Some(front)) == TryEnd::Answered
            {
                answered += 1;
            }
            consumer.close();
        }
        answered
    };
    let before = (serves(dropped), serves(added));

    let version = if trouble == "0" { 11 } else { 20_261_207_153_000 };
    let second = config(version, &[(feed, "catalogue"), (patterns, "patterns"), (added, "catalogue")]);
    let revision = store.put_as_operator("config", "main", second);
    record.note(&format!("config version {version} acknowledged, revision {revision}"));
    sleep(CONFIG_APPLY + ms(1000));
    let after = (serves(dropped), serves(added));
    sleep(ms(8000));
    let later = (serves(dropped), serves(added));
    record.note(&format!(
        "fronts that serve (the dropped route, the added route): before {before:?}, 4 s after the ack {after:?}, and again later {later:?}"
    ));
    let crashed = deployment.ended_by_itself();
    record.note(&format!("ended by itself {crashed:?}"));

    // A final fault: all processes are killed at once and start again.
    let served_before = served_feeds(&deployment, &record, 2, feed);
    let machines: Vec<_> = deployment.fronts.iter().chain(&deployment.sides).cloned().collect();
    for machine in &machines {
        deployment.signal(&machine.name, SIGKILL);
    }
    for machine in &machines {
        deployment.wait_end(&machine.name, ms(1000));
    }
    sleep(ms(1000));
    for machine in &machines {
        deployment.start(machine);
    }
    sleep(RECOVERY + ms(1000));
    let served_after = served_feeds(&deployment, &record, 3, feed);
    record.note(&format!(
        "requests served of {TRIES}: before all processes were killed {served_before}, later than recovery_s after they were back {served_after}"
    ));
    deployment.shut_down();
    record.write(&format!("{folder}/record.txt"));
    println!(
        "serving (dropped, added): before {before:?}, after {after:?}, later {later:?}; feeds served of {TRIES} before a kill of all {served_before}, after it {served_after}"
    );
    if before != (fronts.len(), 0) || served_before < TRIES / 4 {
        return 2;
    }
    let breaks_config = after.0 > 0 || later.0 > 0;
    let breaks_recover = served_after < TRIES / 4;
    i32::from(breaks_config || breaks_recover)
}

// Returns how many of [`TRIES`] requests to a route are answered, each on a flow of its own.
fn served_feeds(deployment: &Arc<Deployment>, record: &Record, number: u8, feed: SocketAddrV4) -> usize {
    let mut consumer = Consumer::new(deployment, number, deployment.zones[0]);
    let mut served = 0;
    for _ in 0..TRIES {
        if consumer.open(feed, None).is_ok() && consumer.request(BUDGET, None) == TryEnd::Answered {
            served += 1;
        }
        consumer.close();
    }
    record.note(&format!("{served} of {TRIES} requests to {feed} are served"));
    served
}
