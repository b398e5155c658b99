//! Case: a zone loses power and comes back within 1.5 s.
//!
//! Its host is cold then: it may get `cold_per_s` x `cold_overshoot` +
//! `cold_slack` requests in any second, counted by the opening packets that it takes.

use std::collections::HashMap;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::consumer::Consumer;
use crate::deployment::{Deployment, DeploymentPlan, SidePlan, entry_name, side_name};
use crate::host::Opening;
use crate::packet::End;
use crate::record::Record;
use crate::{Outcome, SERVICE_IP};

const CONSUMERS: usize = 48;
const SERVICE_PORT: u16 = 8443;
const BUDGET: Duration = Duration::from_millis(2000);
/// Pause of a consumer between two requests, each on a flow of its own.
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which consumers send requests.
const TRAFFIC: Duration = Duration::from_secs(16);

const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
/// The zone that loses power. Each zone has one front machine and one host.
const LOST_ZONE: usize = 2;
/// Time from the begin of the traffic to the loss of power.
const POWER_LOSS_AFTER: Duration = Duration::from_secs(4);
/// Times from the loss of power to the start of the host, and from that to the start of the
/// processes of the system.
const HOST_DOWN: Duration = Duration::from_millis(400);
const PROCESS_START_DELAY: Duration = Duration::from_millis(800);

const COLD_START: Duration = Duration::from_secs(2);
const COLD_PER_S: f64 = 4.0;
const COLD_OVERSHOOT: f64 = 1.5;
const COLD_SLACK: u64 = 5;
const WINDOW: Duration = Duration::from_secs(1);

/// When the first SYN of each flow was sent.
type SentOpenings = Mutex<HashMap<End, Instant>>;

fn plan() -> DeploymentPlan {
    let side = |zone| SidePlan {
        service: "desk-api",
        zone,
    };
    DeploymentPlan {
        entry_zones: ZONES.to_vec(),
        sides: ZONES.map(side).into_iter().collect(),
        running_sides: ZONES.len(),
        slots: 3,
        queue: 12,
        work: Duration::from_millis(20),
        cold_start: COLD_START,
        cold_slack: Some(COLD_SLACK),
        has_evacuations: true,
        config_apply_ms: 5000,
    }
}

fn config() -> String {
    let cold_start_s = COLD_START.as_secs_f64();
    format!(
        r#"{{"version":7,"routes":[
{{"name":"r-1","host":"{SERVICE_IP}","path_prefix":"/{SERVICE_PORT}/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk-api","max_attempts":2}}],
"services":[{{"name":"desk-api","health_path":"/health","max_connections":2000,"protocol":"h1","tls":false,"cold_start_s":{cold_start_s:.1},"cold_per_s":{COLD_PER_S:.1}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

// Sends requests, each on a flow of its own. Returns how many were answered, and how many not.
fn send_requests(
    consumer: &Consumer,
    index: usize,
    sent: &SentOpenings,
    record: &Record,
) -> (u32, u32) {
    let begin = Instant::now();
    let (mut answered, mut unanswered) = (0, 0);
    thread::sleep(PAUSE * index as u32 / CONSUMERS as u32);
    for number in 0_u16.. {
        if begin.elapsed() >= TRAFFIC {
            break;
        }
        let port = 10_000 + number;
        let (sent_at, opened) = consumer.open(port, (SERVICE_IP, SERVICE_PORT));
        let id = format!("{index}-{number}");
        if let Ok(mut flow) = opened {
            if let Ok(mut sent) = sent.lock() {
                sent.insert(flow.src, sent_at);
            }
            match consumer.request(&mut flow, &id, BUDGET) {
                Ok(_) => answered += 1,
                Err(failure) => {
                    unanswered += 1;
                    record.line(&format!("request {id}: {failure:?}"));
                }
            }
            consumer.close(&flow);
        } else {
            unanswered += 1;
            record.line(&format!("request {id}: no flow"));
        }
        thread::sleep(PAUSE);
    }
    (answered, unanswered)
}

pub fn run(has_trouble: bool, record: &Record) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(plan(), &config(), record)?;
    let consumers = deployment.consumers(CONSUMERS)?;
    let sent = SentOpenings::default();
    let totals = thread::scope(|scope| -> Result<(u32, u32), String> {
        let threads: Vec<_> = consumers
            .iter()
            .enumerate()
            .map(|(index, consumer)| {
                let sent = &sent;
                scope.spawn(move || send_requests(consumer, index, sent, record))
            })
            .collect();
        if has_trouble {
            thread::sleep(POWER_LOSS_AFTER);
            lose_power(&mut deployment)?;
        }
        let mut totals = (0, 0);
        for thread in threads {
            let (answered, unanswered) = thread.join().map_err(|_| "a consumer failed")?;
            totals.0 += answered;
            totals.1 += unanswered;
        }
        Ok(totals)
    })?;
    record.line(&format!("{} requests answered, {} not", totals.0, totals.1));
    let openings = deployment.hosts[LOST_ZONE].openings();
    Ok(check(&openings, &sent, record))
}

// All of the zone ends at once. The host is back first, then the processes of the system.
fn lose_power(deployment: &mut Deployment) -> Result<(), String> {
    let names = [entry_name(LOST_ZONE), side_name(LOST_ZONE)];
    for name in &names {
        deployment
            .fleet
            .process(name)
            .ok_or("no such process")?
            .kill();
    }
    deployment.hosts[LOST_ZONE].crash();
    thread::sleep(HOST_DOWN);
    deployment.hosts[LOST_ZONE].start(true);
    thread::sleep(PROCESS_START_DELAY);
    for name in &names {
        let process = deployment.fleet.process(name).ok_or("no such process")?;
        process.start().map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn check(openings: &[Opening], sent: &SentOpenings, record: &Record) -> Outcome {
    let Ok(sent) = sent.lock() else {
        return Outcome::CouldNotRun("no record of what was sent".to_owned());
    };
    let bound = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK as f64;
    let cold: Vec<&Opening> = openings.iter().filter(|opening| opening.is_cold).collect();
    let mut most = 0;
    for first in &cold {
        let is_inside = |opening: &&&Opening| {
            let sent_at = sent.get(&opening.consumer);
            let end = first.at + WINDOW;
            let is_sent_inside = sent_at.is_some_and(|sent_at| *sent_at + WINDOW >= end);
            opening.at >= first.at && opening.at < end && is_sent_inside
        };
        most = most.max(cold.iter().filter(is_inside).count());
    }
    record.line(&format!(
        "the cold host took {} openings, at most {most} of them in one second; the bound is {bound}",
        cold.len()
    ));
    if most as f64 > bound {
        record.line("FAILBACK broken");
    }
    Outcome::of(most as f64 > bound)
}
