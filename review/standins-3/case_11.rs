//! Flows of a service that has no route any more, and a planned restart of the front machines.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::world::{Consumer, Deployment, Record, TryEnd, config, dalbit_machines, ms, start_deployment};

const CONSUMERS: u8 = 24;
const BUDGET: Duration = Duration::from_secs(2);

/// `trouble`: 1, 0, or only one part of it, `config` or `roll`.
pub fn run(folder: &str, trouble: &str) -> i32 {
    let record = Record::new();
    let (fronts, sides) = dalbit_machines();
    let deployment = Deployment::new(&record, fronts, sides);
    let feed = SocketAddrV4::new(Ipv4Addr::new(127, 65, 0, 1), 8443);
    let other = SocketAddrV4::new(Ipv4Addr::new(127, 65, 0, 2), 8443);
    let first = config(7, &[(feed, "catalogue"), (other, "patterns")]);
    let (store, hosts) = start_deployment(&deployment, first);

    // Each consumer keeps one flow open, with a request a second on it.
    let traffic_ends = Instant::now() + ms(28_000);
    let consumers: Vec<_> = (1..=CONSUMERS)
        .map(|number| {
            let deployment = Arc::clone(&deployment);
            let hosts = hosts.clone();
            spawn(move || {
                let zone = deployment.zones[usize::from(number) % deployment.zones.len()];
                let mut consumer = Consumer::new(&deployment, number, zone);
                let mut resets = 0;
                let mut answers = 0;
                while Instant::now() < traffic_ends {
                    if !consumer.has_flow() && consumer.open(feed, None).is_err() {
                        sleep(ms(500));
                        continue;
                    }
                    let key = consumer.key();
                    match consumer.request(BUDGET, None) {
                        TryEnd::Answered => answers += 1,
                        TryEnd::ResetBySystem => {
                            let holder = hosts.iter().find(|host| {
                                key.is_some_and(|key| host.open.lock().unwrap().contains(&key))
                            });
                            let holder = holder.map(|host| host.name.clone());
                            deployment.record.note(&format!(
                                "{}: reset of flow {key:?}, which is open at {holder:?}",
                                consumer.name
                            ));
                            resets += u32::from(holder.is_some());
                        }
                        _ => {}
                    }
                    sleep(ms(1000));
                }
                consumer.close();
                (answers, resets)
            })
        })
        .collect();

    sleep(ms(4000));
    if ["1", "config"].contains(&trouble) {
        // The operator moves the route to the other service. Open flows stay where they are.
        let second = config(11, &[(feed, "patterns"), (other, "patterns")]);
        let revision = store.put_as_operator("config", "main", second);
        record.note(&format!("config version 11 acknowledged, revision {revision}"));
    }
    sleep(ms(5000));
    if ["1", "roll"].contains(&trouble) {
        // Planned work: the fronts are stopped and started in turn.
        for front in deployment.fronts.clone() {
            deployment.stop(&front.name);
            sleep(ms(500));
            deployment.start(&front);
            sleep(ms(1300));
        }
    }
    let (mut answers, mut resets) = (0, 0);
    for consumer in consumers {
        let (answered, reset) = consumer.join().unwrap_or_default();
        answers += answered;
        resets += reset;
    }
    let crashed = deployment.ended_by_itself();
    record.note(&format!(
        "answers {answers}, resets of flows that were open at a live host {resets}, ended by itself {crashed:?}"
    ));
    deployment.shut_down();
    record.write(&format!("{folder}/record.txt"));
    println!("answers {answers}, resets of open flows {resets}");
    if answers < 100 {
        return 2;
    }
    i32::from(resets > 0)
}
