//! Fault soak: runs the real programs as separate processes and injects faults from
//! outside, by a plan drawn from a seed, while callers send orders and read feeds.
//!
//! The soak restarts processes that have ended, as a platform would. Afterwards
//! [`crate::soak_check`] compares what callers received with what backend servers did.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde::Serialize;
use signal_hook::consts::{SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM};

use chestnutlb_core::placement::CHAIN_HOPS;
use chestnutlb_core::{DocumentId, DocumentKind};
use chestnutlb_store::{EditOutcome, StoreCalls, WriteOutcome, objects};
use serde_json::{Value, json};

use crate::caller::{CallerLoop, CallerResult, CallerTask, TaskKind};
use crate::fabric::FabricFaults;
use crate::fleet::{Fleet, FleetError, HostPlan};
use crate::platform::{PlatformSwitch, RestorePoint};
use crate::proxy::LinkFault;
use crate::soak_check::{FaultSpan, SoakEvidence, check_soak};
use crate::soak_plan::{OddChange, PlannedStep, SoakShape, SoakStep, SoakTarget, draw_plan};
use crate::tryout::order_request;

/// Interval at which due recoveries and ended processes are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Drain grace of a leaving host; flows that are still open at its end are cut.
const DRAIN_GRACE_MS: u64 = 3_000;

/// Time from the end of the fault phase to the quiet phase. A leaving host needs up to
/// [`DRAIN_GRACE_MS`] and stays 5 s longer; watch calls and retry delays of the store
/// client expire meanwhile.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Length of the quiet phase, in which every order has to be answered.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Time between the starts of two orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(30);

/// Number of feeds that are opened at the start, one per [`TICK_INTERVAL`].
const INITIAL_FEEDS: usize = 16;

/// Time between the starts of two later feeds.
const FEED_INTERVAL: Duration = Duration::from_millis(700);

/// Time after which a caller gives up on an order.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which feeds are held open after the quiet phase, so that a frozen feed is
/// detected.
const FEED_HOLD_TIME: Duration = Duration::from_secs(1);

/// Time after which an operator checks the manifest after a restore, and tries again if that
/// failed or the platform has a failure mode.
const OPERATOR_DELAY: Duration = Duration::from_millis(700);

const FEED_SERVICE: &str = "10.20.0.1:7000";
const ORDER_SERVICE: &str = "10.30.0.1:7000";
const DATACENTERS: [usize; 2] = [1, 2];
const FIRMS: [&str; 2] = ["dalbit", "calinawan"];

/// Flow limit of a manifest without commits; that of each commit is higher by its number.
const FLOW_LIMIT: u64 = 1_000;

/// Settings of a soak.
#[derive(Debug, Clone)]
pub struct SoakSetup {
    /// Folder of the compiled programs.
    pub binaries: PathBuf,
    /// Folder for logs and settings.
    pub logs: PathBuf,
    /// Folder of the example manifests.
    pub manifests: PathBuf,
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Fleet size and duration of the fault phase.
    pub shape: SoakShape,
}

/// Result of a soak.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct SoakReport {
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Steps that were run, with their start times.
    pub steps: Vec<String>,
    /// Number of orders and feeds with each outcome, such as `order answered`.
    pub ends: BTreeMap<String, usize>,
    /// Violated conditions.
    pub violations: Vec<String>,
}

impl SoakReport {
    /// Returns whether the soak passed: no condition was violated.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            writeln!(f, "  {step}")?;
        }
        for violation in &self.violations {
            writeln!(f, "VIOLATION {violation}")?;
        }
        write!(f, "seed {}: {:?}", self.seed, self.ends)
    }
}

/// An action that ends a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Recovery {
    /// Sends SIGCONT to a frozen process.
    Continue(SoakTarget),
    /// Restarts a process that has ended.
    Restart(SoakTarget),
    /// Clears the fault of a process's link.
    Link(SoakTarget),
    /// Clears the failure mode of the platform.
    Platform,
    /// Clears loss and duplication in the fabric.
    Fabric,
    /// Restores the platform from a copy of this age, and clears its failure mode.
    Restore(Duration),
    /// Lets an operator take back the data centre with this number.
    Undrain(usize),
    /// Lets the operator of a firm commit again what a restore has lost.
    Operator(&'static str),
}

#[derive(Debug)]
struct SoakRun {
    fleet: Fleet,
    // Start of the fault phase, to which all times of the plan refer.
    started: Instant,
    shape: SoakShape,
    // Recoveries that are still to be run, each with the time at which it is due.
    pending_recoveries: Vec<(Duration, Recovery)>,
    // Processes that were sent SIGKILL or SIGTERM, with the time of the first signal.
    terminating: BTreeMap<SoakTarget, Duration>,
    faults: Vec<FaultSpan>,
    commits: u64,
    // Number of the last acknowledged commit of each firm.
    acknowledged: BTreeMap<&'static str, u64>,
    setup: SoakSetup,
    report: SoakReport,
}

/// Runs one soak and returns its report.
pub fn run(setup: &SoakSetup) -> Result<SoakReport, FleetError> {
    let plan = draw_plan(setup.seed, setup.shape);
    let mut run = SoakRun::start(setup)?;
    let orders = run.spawn_orders()?;
    let feeds = run.spawn_feeds()?;
    run.inject(&plan)?;
    run.settle()?;
    let convergence_violations = run.check_convergence()?;
    let orders = join_callers(orders, "orders")?;
    let feeds = join_callers(feeds, "feeds")?;
    let mut report = run.report;
    report.violations.extend(convergence_violations);
    let evidence = SoakEvidence {
        fleet: &run.fleet,
        faults: &run.faults,
        quiet_start: setup.shape.fault_time + SETTLE_TIME,
    };
    check_soak(&evidence, &orders, &feeds, &mut report);
    Ok(report)
}

fn join_callers(
    thread: JoinHandle<Vec<CallerResult>>,
    what: &str,
) -> Result<Vec<CallerResult>, FleetError> {
    thread
        .join()
        .map_err(|_| FleetError::Failed(format!("caller thread for {what} panicked")))
}

// Returns the number of the commit that a manifest of the soak was written for.
fn commit_number(manifest: &str) -> u64 {
    serde_json::from_str::<serde_json::Value>(manifest)
        .ok()
        .and_then(|manifest| manifest["services"][0]["limits"]["flows"].as_u64())
        .map_or(0, |flows| flows.saturating_sub(FLOW_LIMIT))
}

fn apply_odd_change(change: OddChange, value: &mut Value) {
    let records = |value: &mut Value, list: &str| {
        let records = value.get_mut(list).and_then(Value::as_array_mut);
        records.map(std::mem::take).unwrap_or_default()
    };
    match change {
        OddChange::NamedRecord => {
            let mut hosts = records(value, "hosts");
            hosts.push(json!({"name": "nobody", "packets": "10.1.0.9:70000"}));
            *value = json!({"hosts": hosts});
        }
        OddChange::UnnamedRecord => {
            let mut hosts = records(value, "hosts");
            hosts.push(json!(7));
            *value = json!({"hosts": hosts});
        }
        OddChange::DamagedHost => {
            let mut hosts = records(value, "hosts");
            if let Some(host) = hosts.first_mut().and_then(Value::as_object_mut) {
                host.insert("packets".to_owned(), json!("10.1.0.9:70000"));
            }
            *value = json!({"hosts": hosts});
        }
        OddChange::DamagedMember => {
            let mut entries = records(value, "entries");
            if let Some(entry) = entries.first_mut().and_then(Value::as_object_mut) {
                entry.insert("peers".to_owned(), json!("10.2.0.9:70000"));
            }
            *value = json!({"entries": entries});
        }
        OddChange::EmptyObject => *value = json!({}),
    }
}

fn datacenter_name(number: usize) -> String {
    format!("dc-{number}")
}

fn address(text: &str) -> Result<SocketAddrV4, FleetError> {
    text.parse()
        .map_err(|_| FleetError::Failed(format!("invalid address {text}")))
}

impl SoakRun {
    fn start(setup: &SoakSetup) -> Result<Self, FleetError> {
        let shape = setup.shape;
        let mut fleet = Fleet::start(&setup.binaries, &setup.logs)?;
        fleet.use_proxies = true;
        fleet.grant(&[("10.20.0.0/16", "dalbit"), ("10.30.0.0/16", "calinawan")])?;
        let datacenter = |number: usize| datacenter_name(number % 2 + 1);
        let mut entries = Vec::new();
        for number in 1..=shape.entries {
            let name = SoakTarget::Entry(number).to_string();
            fleet.start_entry(&name, &datacenter(number))?;
            entries.push(name);
        }
        let mut hosts = Vec::new();
        for number in 1..=shape.hosts {
            for (target, service) in [
                (SoakTarget::FeedSide(number), "dalbit/catalogue"),
                (SoakTarget::OrderSide(number), "calinawan/order-desk"),
            ] {
                let serves_feeds = matches!(target, SoakTarget::FeedSide(_));
                let name = target.to_string();
                fleet.start_host(&HostPlan::new(
                    &name,
                    &datacenter(number),
                    service,
                    serves_feeds,
                ))?;
                hosts.push(name);
            }
        }
        let mut run = Self {
            fleet,
            started: Instant::now(),
            shape,
            pending_recoveries: Vec::new(),
            terminating: BTreeMap::new(),
            faults: Vec::new(),
            commits: 0,
            acknowledged: BTreeMap::new(),
            setup: setup.clone(),
            report: SoakReport {
                seed: setup.seed,
                ..SoakReport::default()
            },
        };
        for firm in FIRMS {
            run.commit(firm)?;
        }
        run.fleet.wait_ready(&entries, &hosts)?;
        run.started = Instant::now();
        Ok(run)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    // Commits a firm's example manifest with shorter times. The number of the commit is in its
    // flow limit and in the address of its second service, which has no hosts.
    fn commit(&mut self, firm: &'static str) -> Result<(), FleetError> {
        self.commits += 1;
        let text = std::fs::read_to_string(self.setup.manifests.join(format!("{firm}.json")))?;
        let grace = format!("\"drain_grace_ms\": {DRAIN_GRACE_MS}");
        let flows = format!("\"flows\": {}", FLOW_LIMIT + self.commits);
        let port = format!(".0.2:{}", FLOW_LIMIT + self.commits);
        let text = text
            .replace("\"drain_grace_ms\": 600000", &grace)
            .replace("\"warm_up_ms\": 1000", "\"warm_up_ms\": 100")
            .replace("\"flows\": 2000", &flows)
            .replace(".0.2:7000", &port);
        std::fs::write(self.manifest_path(firm), text)?;
        self.commit_written(firm, self.commits)
    }

    fn manifest_path(&self, firm: &str) -> PathBuf {
        self.setup.logs.join(format!("{firm}-soak.json"))
    }

    // Commits the last manifest that was written for a firm.
    fn commit_written(&mut self, firm: &'static str, number: u64) -> Result<(), FleetError> {
        self.fleet.commit(&self.manifest_path(firm))?;
        self.acknowledged.insert(firm, number);
        Ok(())
    }

    // Commits the manifest of a firm again if the platform does not have it, as an operator
    // does after a restore.
    fn repeat_commit(&mut self, firm: &'static str) -> Result<(), FleetError> {
        let path = self.manifest_path(firm);
        let number = commit_number(&std::fs::read_to_string(&path)?);
        let (_, changes) = self.fleet.plan(&path)?;
        if changes > 0 {
            self.commit_written(firm, number)?;
            let step = format!("           commit {number} of {firm} repeated");
            self.report.steps.push(step);
        }
        Ok(())
    }

    fn spawn_orders(&self) -> Result<JoinHandle<Vec<CallerResult>>, FleetError> {
        let ip = Ipv4Addr::new(10, 9, 0, 2);
        let mut callers = CallerLoop::new(ip, self.fleet.fabric, self.setup.seed)?;
        let quiet_start = self.shape.fault_time + SETTLE_TIME;
        let fault_phase = (0..).map(|step| ORDER_INTERVAL * step);
        let fault_phase = fault_phase.take_while(|start| *start < self.shape.fault_time);
        let quiet_phase = (0..).map(|step| quiet_start + ORDER_INTERVAL * step);
        let quiet_phase = quiet_phase.take_while(|start| *start < quiet_start + QUIET_TIME);
        for (id, start) in fault_phase.chain(quiet_phase).enumerate() {
            // Every ninth order runs for 150 ms, and every seventh has a body of 20,000 bytes.
            let work_ms = if id.is_multiple_of(9) { 150 } else { 10 };
            let body = if id.is_multiple_of(7) { 20_000 } else { 60 };
            let request = order_request("/orders", &format!("o{id}"), work_ms, body);
            callers.add(CallerTask {
                id,
                start,
                service: address(ORDER_SERVICE)?,
                kind: TaskKind::Request(request),
                timeout: CALLER_TIMEOUT,
            });
        }
        Ok(std::thread::spawn(move || {
            callers.run(|_| false);
            callers.results().to_vec()
        }))
    }

    fn spawn_feeds(&self) -> Result<JoinHandle<Vec<CallerResult>>, FleetError> {
        let ip = Ipv4Addr::new(10, 9, 0, 1);
        let mut callers = CallerLoop::new(ip, self.fleet.fabric, self.setup.seed + 1)?;
        let end = self.shape.fault_time + SETTLE_TIME + QUIET_TIME + FEED_HOLD_TIME;
        let first = (0..INITIAL_FEEDS).map(|step| TICK_INTERVAL * step as u32);
        let later = (1..).map(|step| FEED_INTERVAL * step);
        let later = later.take_while(|start| *start < end - FEED_HOLD_TIME);
        for (id, start) in first.chain(later).enumerate() {
            callers.add(CallerTask {
                id,
                start,
                service: address(FEED_SERVICE)?,
                kind: TaskKind::Feed,
                timeout: end + CALLER_TIMEOUT,
            });
        }
        Ok(std::thread::spawn(move || {
            callers.run(|callers| callers.elapsed() > end);
            callers.end_feeds();
            callers.results().to_vec()
        }))
    }

    fn inject(&mut self, plan: &[PlannedStep]) -> Result<(), FleetError> {
        for planned in plan {
            while self.now() < planned.start {
                self.tick()?;
            }
            self.apply_step(planned.step)?;
        }
        while self.now() < self.shape.fault_time {
            self.tick()?;
        }
        Ok(())
    }

    // Runs the pending recoveries during the settling time. A signalled process that has not
    // ended by its end is a violation.
    fn settle(&mut self) -> Result<(), FleetError> {
        let until = self.shape.fault_time + SETTLE_TIME;
        while self.now() < until {
            self.tick()?;
        }
        let remaining: Vec<_> = self.terminating.keys().map(ToString::to_string).collect();
        for name in remaining {
            let text = format!(
                "{name} has not ended {} s after the fault phase",
                SETTLE_TIME.as_secs()
            );
            self.report.violations.push(text);
        }
        Ok(())
    }

    // Waits for one interval, then runs due recoveries and handles ended processes.
    fn tick(&mut self) -> Result<(), FleetError> {
        std::thread::sleep(TICK_INTERVAL);
        let now = self.now();
        let due_recoveries: Vec<_> = self
            .pending_recoveries
            .extract_if(.., |(due_at, _)| *due_at <= now)
            .collect();
        for (_, recovery) in due_recoveries {
            self.recover(recovery)?;
        }
        self.handle_ended_processes()
    }

    // Schedules a restart of each process that has ended. An end that was not requested is
    // a violation, and so is a requested one with an exit code other than 0.
    fn handle_ended_processes(&mut self) -> Result<(), FleetError> {
        for target in self.targets() {
            let name = target.to_string();
            let Some(code) = self.fleet.take_exit_code(&name)? else {
                continue;
            };
            let now = self.now();
            match self.terminating.remove(&target) {
                Some(since) => {
                    self.record_fault(&name, since, now + RESTART_DELAY, true);
                    // A killed process has no exit code; a stopped one exits with 0.
                    if code.is_some_and(|code| code != 0) {
                        let text = format!(
                            "{name} exited with code {code:?} after SIGTERM or SIGKILL, not 0"
                        );
                        self.report.violations.push(text);
                    }
                }
                None => {
                    let text =
                        format!("{name} ended without a signal of the soak, exit code {code:?}");
                    self.report.violations.push(text);
                }
            }
            self.pending_recoveries
                .push((now + RESTART_DELAY, Recovery::Restart(target)));
        }
        Ok(())
    }

    fn targets(&self) -> Vec<SoakTarget> {
        let entries = (1..=self.shape.entries).map(SoakTarget::Entry);
        let feeds = (1..=self.shape.hosts).map(SoakTarget::FeedSide);
        let orders = (1..=self.shape.hosts).map(SoakTarget::OrderSide);
        entries.chain(feeds).chain(orders).collect()
    }

    fn record_fault(&mut self, name: &str, from: Duration, until: Duration, ends_flows: bool) {
        self.faults.push(FaultSpan {
            target: name.into(),
            from,
            until,
            ends_flows,
        });
    }

    fn apply_step(&mut self, step: SoakStep) -> Result<(), FleetError> {
        let now = self.now();
        self.report
            .steps
            .push(PlannedStep { start: now, step }.to_string());
        let until = now + step.duration();
        match step {
            SoakStep::Kill(target) => self.terminate(target, SIGKILL)?,
            SoakStep::KillEntries => {
                for number in 1..=self.shape.entries {
                    self.terminate(SoakTarget::Entry(number), SIGKILL)?;
                }
            }
            SoakStep::Stop(target) => self.terminate(target, SIGTERM)?,
            SoakStep::Freeze(target, _) => {
                if self.signal(target, SIGSTOP)? {
                    self.record_fault(&target.to_string(), now, until, false);
                    self.pending_recoveries
                        .push((until, Recovery::Continue(target)));
                }
            }
            SoakStep::Reload(target) => {
                self.signal(target, SIGHUP)?;
            }
            SoakStep::Link(target, fault, _) => {
                self.fleet.set_link(&target.to_string(), fault)?;
                self.record_fault(&target.to_string(), now, until, false);
                self.pending_recoveries
                    .push((until, Recovery::Link(target)));
            }
            SoakStep::Platform(switch, _) => {
                self.fleet.switch(switch)?;
                self.pending_recoveries.push((until, Recovery::Platform));
            }
            SoakStep::Fabric(loss, repeat, _) => {
                self.fleet.set_faults(FabricFaults { loss, repeat })?;
                self.record_fault("fabric", now, until, false);
                self.pending_recoveries.push((until, Recovery::Fabric));
            }
            SoakStep::Commit => {
                let firm = FIRMS[self.commits as usize % FIRMS.len()];
                // The platform may be down; operators would retry the commit.
                if let Err(error) = self.commit(firm) {
                    self.report
                        .steps
                        .push(format!("           not committed: {error}"));
                }
            }
            SoakStep::Restore(age, Duration::ZERO) => self.restore(age)?,
            SoakStep::Restore(age, _) => {
                self.fleet.switch(PlatformSwitch {
                    down: true,
                    ..PlatformSwitch::default()
                })?;
                self.pending_recoveries
                    .push((until, Recovery::Restore(age)));
            }
            SoakStep::Drain(datacenter, _) => {
                if let Err(error) = self.set_drained(datacenter, true) {
                    self.report
                        .steps
                        .push(format!("           not drained: {error}"));
                }
                self.pending_recoveries
                    .push((until, Recovery::Undrain(datacenter)));
            }
            SoakStep::Odd(change, datacenter) => {
                if let Err(error) = self.change_object(change, datacenter) {
                    self.report
                        .steps
                        .push(format!("           not changed: {error}"));
                }
            }
        }
        Ok(())
    }

    // Changes a roster or members object once, as another program does. The platform may be
    // down, or the object may change in between.
    fn change_object(&self, change: OddChange, datacenter: usize) -> Result<(), FleetError> {
        let kind = match change {
            OddChange::DamagedMember => DocumentKind::Members,
            _ => DocumentKind::Roster,
        };
        let id = DocumentId::new(kind, &format!("dc-{datacenter}"));
        let failed = |text: &dyn fmt::Display| FleetError::Failed(text.to_string());
        let client = self.fleet.client();
        let object = client.read(&id).map_err(|error| failed(&error))?;
        let mut object = object.ok_or_else(|| failed(&"not stored"))?;
        apply_odd_change(change, &mut object.value);
        match client.write(&id, object.version, &object.value) {
            WriteOutcome::Written(_) => Ok(()),
            outcome => Err(failed(&format!("{outcome:?}"))),
        }
    }

    fn set_drained(&self, datacenter: usize, drained: bool) -> Result<(), FleetError> {
        let name = datacenter_name(datacenter)
            .parse()
            .map_err(|_| FleetError::Failed("no data centre".to_owned()))?;
        match objects::set_drained(&self.fleet.client(), &name, drained) {
            EditOutcome::Done(_) => Ok(()),
            outcome => Err(FleetError::Failed(format!("{outcome:?}"))),
        }
    }

    // Lets an operator take back a data centre; repeats this later if it fails.
    fn take_back(&mut self, datacenter: usize) {
        if self.has_platform_failure() || self.set_drained(datacenter, false).is_err() {
            let due_at = self.now() + OPERATOR_DELAY;
            self.pending_recoveries
                .push((due_at, Recovery::Undrain(datacenter)));
        }
    }

    fn restore(&mut self, age: Duration) -> Result<(), FleetError> {
        let point = RestorePoint::AgeMs(age.as_millis() as u64);
        let reply = self.fleet.restore(point)?;
        let step = format!(
            "           era {} from version {}",
            reply.era, reply.revision
        );
        self.report.steps.push(step);
        self.schedule_operators();
        Ok(())
    }

    fn schedule_operators(&mut self) {
        let due_at = self.now() + OPERATOR_DELAY;
        let firms = FIRMS.map(|firm| (due_at, Recovery::Operator(firm)));
        self.pending_recoveries.extend(firms);
        // The copy may have a drain that has ended since.
        let drains = DATACENTERS.map(|number| (due_at, Recovery::Undrain(number)));
        self.pending_recoveries.extend(drains);
    }

    fn has_platform_failure(&self) -> bool {
        self.pending_recoveries
            .iter()
            .any(|(_, recovery)| matches!(recovery, Recovery::Platform | Recovery::Restore(_)))
    }

    // Lets an operator check a manifest; repeats this later if it fails. Calls to a platform
    // with a failure mode would delay other recoveries.
    fn check_manifest(&mut self, firm: &'static str) {
        if self.has_platform_failure() || self.repeat_commit(firm).is_err() {
            let due_at = self.now() + OPERATOR_DELAY;
            self.pending_recoveries
                .push((due_at, Recovery::Operator(firm)));
        }
    }

    // Sends a signal; returns false if the process is not running.
    fn signal(&mut self, target: SoakTarget, signal: i32) -> Result<bool, FleetError> {
        let name = target.to_string();
        if !self.fleet.is_running(&name) {
            return Ok(false);
        }
        self.fleet.signal(&name, signal)?;
        Ok(true)
    }

    fn terminate(&mut self, target: SoakTarget, signal: i32) -> Result<(), FleetError> {
        let now = self.now();
        if self.signal(target, signal)? {
            self.terminating.entry(target).or_insert(now);
        }
        Ok(())
    }

    fn recover(&mut self, recovery: Recovery) -> Result<(), FleetError> {
        match recovery {
            Recovery::Continue(target) => {
                self.signal(target, SIGCONT)?;
            }
            Recovery::Restart(target) => self.fleet.respawn(&target.to_string())?,
            Recovery::Link(target) => self.fleet.set_link(&target.to_string(), LinkFault::None)?,
            Recovery::Platform => self.fleet.switch(PlatformSwitch::default())?,
            Recovery::Fabric => self.fleet.set_faults(FabricFaults::default())?,
            Recovery::Restore(age) => {
                self.restore(age)?;
                self.fleet.switch(PlatformSwitch::default())?;
            }
            Recovery::Operator(firm) => self.check_manifest(firm),
            Recovery::Undrain(datacenter) => self.take_back(datacenter),
        }
        Ok(())
    }

    // Waits until all hosts are serving, also in the rosters, and all entry VMs have the newest
    // documents of the platform. Returns a violation if that does not happen in time.
    fn check_convergence(&mut self) -> Result<Vec<String>, FleetError> {
        let entries: Vec<_> = (1..=self.shape.entries)
            .map(|number| SoakTarget::Entry(number).to_string())
            .collect();
        let hosts: Vec<_> = self
            .targets()
            .into_iter()
            .filter(|target| !matches!(target, SoakTarget::Entry(_)))
            .map(|target| target.to_string())
            .collect();
        let mut violations = Vec::new();
        if let Err(error) = self.fleet.wait_ready(&entries, &hosts) {
            violations.push(format!("no convergence after all faults: {error}"));
        }
        for entry in &entries {
            if let Err(error) = self.check_no_drain(entry) {
                violations.push(format!("drains after all faults: {error}"));
            }
            if let Err(error) = self.check_routes(entry) {
                violations.push(format!("routes after all faults: {error}"));
            }
        }
        for firm in FIRMS {
            if let Err(error) = self.check_stored_manifest(firm, &entries) {
                violations.push(format!("manifest of {firm} after all faults: {error}"));
            }
        }
        Ok(violations)
    }

    // Checks that an entry VM knows that all drains have ended.
    fn check_no_drain(&self, entry: &str) -> Result<(), FleetError> {
        let what = format!("{entry} to know that all drains have ended");
        self.fleet.wait_for(&what, || {
            let status = self.fleet.entry_status(entry);
            status.is_some_and(|status| status.drained.is_empty())
        })
    }

    // Checks that an entry VM routes to exactly the hosts in the platform's rosters; of a large
    // service, to as many of them as a walk has.
    fn check_routes(&self, entry: &str) -> Result<(), FleetError> {
        for (address, service) in [
            (FEED_SERVICE, "dalbit/catalogue"),
            (ORDER_SERVICE, "calinawan/order-desk"),
        ] {
            let what = format!("{entry} to route {service} as the platform lists it");
            self.fleet.wait_for(&what, || {
                let hosts = self.fleet.roster_hosts().into_iter();
                let listed: BTreeMap<_, _> = hosts
                    .filter(|host| host.service == service)
                    .map(|host| (host.name, host.packets))
                    .collect();
                self.fleet
                    .explain(entry, address)
                    .is_some_and(|explanation| {
                        let mut hops = explanation.walk.iter();
                        explanation.walk.len() >= listed.len().min(CHAIN_HOPS)
                            && hops.all(|hop| listed.get(&hop.host) == Some(&hop.packets))
                    })
            })?;
        }
        Ok(())
    }

    // Checks that the platform has the last acknowledged commit of a firm or a later one, and
    // that exactly this manifest is in force everywhere.
    fn check_stored_manifest(&self, firm: &str, entries: &[String]) -> Result<(), FleetError> {
        let id = DocumentId::new(DocumentKind::Manifest, firm);
        let stored = self.fleet.client().read(&id).ok().flatten();
        let stored = stored.ok_or(FleetError::Failed("not stored".to_owned()))?;
        let manifest = &stored.value["manifest"];
        let number = commit_number(&manifest.to_string());
        let acknowledged = self.acknowledged.get(firm).copied().unwrap_or_default();
        if number < acknowledged {
            return Err(FleetError::Failed(format!(
                "commit {acknowledged} was acknowledged, commit {number} is stored"
            )));
        }
        let address = manifest["services"][1]["address"].as_str();
        let address = address.unwrap_or_default();
        for entry in entries {
            self.fleet
                .wait_for(&format!("{entry} to know the service at {address}"), || {
                    self.fleet.explain(entry, address).is_some()
                })?;
        }
        let (version, _) = self.fleet.plan(&self.manifest_path(firm))?;
        self.fleet.wait_in_force(firm, version).map(|_| ())
    }
}
