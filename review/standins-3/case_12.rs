//! A config whose version number is a date and a time, as 20261207153000.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::thread::sleep;
use std::time::Duration;

use crate::world::{Consumer, Deployment, Record, TryEnd, config, dalbit_machines, ms, start_deployment};

const BUDGET: Duration = Duration::from_secs(2);

/// `config_apply_ms` of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(3000);

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
    deployment.shut_down();
    record.write(&format!("{folder}/record.txt"));
    println!("serving (dropped, added): before {before:?}, after {after:?}, later {later:?}");
    if before != (fronts.len(), 0) {
        return 2;
    }
    i32::from(after.0 > 0 || later.0 > 0)
}
