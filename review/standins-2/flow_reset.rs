//! Cases: a host starts again, and soon after it the process on its machine is killed.
//!
//! Flows that consumers opened at the new lifetime before the kill must live on. Each carries a
//! request, rests for some seconds and carries another one.

use std::thread;
use std::time::{Duration, Instant};

use crate::consumer::{Consumer, ConsumerFlow, Failure};
use crate::deployment::{Deployment, DeploymentPlan, SidePlan, side_name};
use crate::packet::End;
use crate::record::Record;
use crate::{Outcome, SERVICE_IP};

const CONSUMERS: usize = 48;
const SERVICE_PORT: u16 = 8443;
const BUDGET: Duration = Duration::from_millis(2500);

/// Interval at which consumers open their flows.
const OPENING_INTERVAL: Duration = Duration::from_millis(1);

/// How long the host is down.
const HOST_DOWN: Duration = Duration::from_millis(700);
/// Time after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Rest of the flows after the disruption. With all before it, a flow rests for less than
/// `idle_timeout_ms`.
const REST: Duration = Duration::from_secs(7);

/// When the process is killed, and what the host's clock shows at its start.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    /// Time from the start of the host to the kill of the process beside it.
    kill_after: Duration,
    /// How far the time of day of the host's machine is ahead when the host starts. It has jumped
    /// back before the process starts again.
    clock_ahead: Duration,
}

/// Before the second ping of the host.
pub const EARLY_KILL: Trouble = Trouble {
    kill_after: Duration::from_millis(600),
    clock_ahead: Duration::ZERO,
};

/// Between the second ping and the third.
pub const CLOCK_STEP: Trouble = Trouble {
    kill_after: Duration::from_millis(1600),
    clock_ahead: Duration::from_millis(2200),
};

/// `stability_window_ms`.
const STABILITY_WINDOW: Duration = Duration::from_secs(5);

fn plan() -> DeploymentPlan {
    let zones = ["honam-a", "honam-b", "honam-c"];
    let catalogue = (0..7).map(|index| SidePlan {
        service: "catalogue",
        zone: zones[index % zones.len()],
    });
    let patterns = zones.map(|zone| SidePlan {
        service: "patterns",
        zone,
    });
    let sides: Vec<SidePlan> = catalogue.chain(patterns).collect();
    DeploymentPlan {
        entry_zones: vec!["honam-a", "honam-a", "honam-b", "honam-c"],
        running_sides: sides.len(),
        sides,
        slots: 2,
        queue: 8,
        work: Duration::from_millis(19),
        cold_start: Duration::from_secs(2),
        cold_slack: None,
        has_evacuations: false,
        config_apply_ms: 5000,
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[
{{"name":"r-1","host":"{SERVICE_IP}","path_prefix":"/{SERVICE_PORT}/","kind":"safe","timeout_ms":2500,"target_latency_ms":250,"priority":2,"service":"catalogue","max_attempts":2}},
{{"name":"r-2","host":"{SERVICE_IP}","path_prefix":"/8080/","kind":"upload","timeout_ms":10000,"target_latency_ms":800,"priority":2,"service":"patterns","max_attempts":2}}],
"services":[{{"name":"catalogue","health_path":"/health","max_connections":2000,"protocol":"h1","tls":false}},{{"name":"patterns","health_path":"/health","max_connections":2000,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

// A consumer's flow with its first request answered, or why there is none.
type OpenedFlow = Result<ConsumerFlow, Failure>;

fn open_flow(consumer: &Consumer, index: usize, record: &Record) -> OpenedFlow {
    let service: End = (SERVICE_IP, SERVICE_PORT);
    let port = 40_001;
    thread::sleep(OPENING_INTERVAL * index as u32);
    let (_, opened) = consumer.open(port, service);
    let mut flow = opened?;
    let id = format!("first-{index}");
    record.line(&format!("consumer {index} sends {id}"));
    let answer = consumer.request(&mut flow, &id, BUDGET);
    record.line(&format!("consumer {index}, {id}: {answer:?}"));
    answer.map(|_| flow)
}

/// Plays a case; without trouble neither the host nor the process ends.
pub fn run(trouble: Option<Trouble>, record: &Record) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(plan(), &config(), record)?;
    let consumers = deployment.consumers(CONSUMERS)?;
    let host = deployment.hosts[0].clone();
    if let Some(trouble) = trouble {
        host.crash();
        thread::sleep(HOST_DOWN);
        host.start_with_clock(true, trouble.clock_ahead);
    }
    let started_at = Instant::now();
    let opened: Vec<OpenedFlow> = thread::scope(|scope| {
        let threads: Vec<_> = consumers
            .iter()
            .enumerate()
            .map(|(index, consumer)| scope.spawn(move || open_flow(consumer, index, record)))
            .collect();
        if let Some(trouble) = trouble {
            thread::sleep(trouble.kill_after.saturating_sub(started_at.elapsed()));
            restart_process(&mut deployment)?;
        }
        let joined = threads.into_iter().map(|thread| thread.join());
        joined
            .collect::<Result<Vec<_>, _>>()
            .map_err(|_| "a consumer failed".to_owned())
    })?;
    let disturbed_until = Instant::now();
    thread::sleep(REST);
    if disturbed_until.elapsed() < STABILITY_WINDOW {
        return Err("the machines are not in touch yet".to_owned());
    }
    Ok(check(&mut deployment, &consumers, opened, record))
}

fn restart_process(deployment: &mut Deployment) -> Result<(), String> {
    let process = deployment.fleet.process(&side_name(0));
    let process = process.ok_or("no such process")?;
    process.kill();
    thread::sleep(RESTART_DELAY);
    process.start().map_err(|error| error.to_string())
}

fn check(
    deployment: &mut Deployment,
    consumers: &[Consumer],
    opened: Vec<OpenedFlow>,
    record: &Record,
) -> Outcome {
    let mut flows = 0;
    let mut at_first_host = 0;
    let mut broken = 0;
    for (index, flow) in opened.into_iter().enumerate() {
        let Ok(mut flow) = flow else {
            continue;
        };
        let mut hosts = deployment.hosts.iter();
        let host = hosts.position(|host| host.holds(flow.src, flow.dst));
        let Some(host) = host else {
            record.line(&format!("consumer {index}: no host holds its flow"));
            continue;
        };
        flows += 1;
        at_first_host += u32::from(host == 0);
        let id = format!("second-{index}");
        record.line(&format!(
            "consumer {index} sends {id}, its host is host-{}",
            host + 1
        ));
        let answer = consumers[index].request(&mut flow, &id, BUDGET);
        record.line(&format!("consumer {index}, {id}: {answer:?}"));
        let still_held = deployment.hosts[host].holds(flow.src, flow.dst);
        if answer == Err(Failure::SystemReset) && still_held {
            broken += 1;
            record.line(&format!(
                "FLOW broken: consumer {index} got a reset of the system, host-{} holds the flow",
                host + 1
            ));
        }
        consumers[index].close(&flow);
    }
    record.line(&format!(
        "{flows} flows rested, {at_first_host} of them at host-1; {broken} reset"
    ));
    if at_first_host == 0 {
        return Outcome::CouldNotRun("no flow was opened at host-1".to_owned());
    }
    Outcome::of(broken > 0)
}
