//! The fault soak: the real programs as separate processes, with faults from outside
//! by a plan drawn from a seed, while callers use them.
//!
//! A platform would start a process again that has ended; here the soak does.
//! What callers got is compared with what backend servers did in
//! [`crate::soak_check`], when all is over.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde::Serialize;
use signal_hook::consts::{SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM};

use crate::caller::{CallerLoop, CallerResult, CallerTask, TaskKind};
use crate::fabric::FabricFaults;
use crate::fleet::{Fleet, FleetError, HostPlan};
use crate::platform::PlatformSwitch;
use crate::proxy::LinkFault;
use crate::soak_check::{FaultSpan, SoakEvidence, judge};
use crate::soak_plan::{PlannedStep, SoakShape, SoakStep, SoakTarget, draw_plan};
use crate::tryout::order_request;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Time from the end of a process to its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Time in which leaving hosts let flows end; then they cut them.
const DRAIN_GRACE_MS: u64 = 3_000;

/// Time after the last fault until the quiet phase: a leaving host uses its
/// grace and stays 5 s more, and the store's watches and pauses run out.
const SETTLE: Duration = Duration::from_secs(12);

/// Length of the quiet phase.
const QUIET: Duration = Duration::from_secs(2);

/// Time between two orders.
const ORDER_SPACING: Duration = Duration::from_millis(30);

/// Feeds that are opened at once.
const FIRST_FEEDS: usize = 16;

/// Time between two feeds that are opened later.
const FEED_SPACING: Duration = Duration::from_millis(700);

/// Time after which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time that feeds are held after the quiet phase, so that a frozen one shows.
const LISTENING: Duration = Duration::from_secs(1);

const FEEDS: &str = "10.20.0.1:7000";
const ORDERS: &str = "10.30.0.1:7000";
const FIRMS: [&str; 2] = ["dalbit", "calinawan"];

/// What a soak is asked for.
#[derive(Debug, Clone)]
pub struct SoakSetup {
    /// Folder of the programs.
    pub binaries: PathBuf,
    /// Folder for logs and settings.
    pub logs: PathBuf,
    /// Folder of the example manifests.
    pub manifests: PathBuf,
    /// Seed of the plan and the callers.
    pub seed: u64,
    /// Sizes.
    pub shape: SoakShape,
}

/// What came of a soak.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// What was done, with times.
    pub steps: Vec<String>,
    /// How often each end was met by orders and feeds.
    pub ends: BTreeMap<String, usize>,
    /// What did not hold.
    pub violations: Vec<String>,
}

impl SoakReport {
    /// Whether everything held.
    pub fn holds(&self) -> bool {
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

/// What ends a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultEnd {
    Continue(SoakTarget),
    Restart(SoakTarget),
    Link(SoakTarget),
    Platform,
    Fabric,
}

#[derive(Debug)]
struct SoakRun {
    fleet: Fleet,
    started: Instant,
    shape: SoakShape,
    due: Vec<(Duration, FaultEnd)>,
    // Processes that were told to end.
    ending: BTreeMap<SoakTarget, Duration>,
    faults: Vec<FaultSpan>,
    commits: u64,
    setup: SoakSetup,
    report: SoakReport,
}

/// Runs one soak.
pub fn run(setup: &SoakSetup) -> Result<SoakReport, FleetError> {
    let plan = draw_plan(setup.seed, setup.shape);
    let mut run = SoakRun::start(setup)?;
    let orders = run.spawn_orders()?;
    let feeds = run.spawn_feeds()?;
    run.inject(&plan)?;
    run.settle()?;
    let late = run.check_convergence()?;
    let orders = join(orders, "the orders")?;
    let feeds = join(feeds, "the feeds")?;
    let mut report = run.report;
    report.violations.extend(late);
    let evidence = SoakEvidence {
        fleet: &run.fleet,
        faults: &run.faults,
        quiet_from: setup.shape.fault_time + SETTLE,
    };
    judge(&evidence, &orders, &feeds, &mut report);
    Ok(report)
}

fn join(
    calling: JoinHandle<Vec<CallerResult>>,
    what: &str,
) -> Result<Vec<CallerResult>, FleetError> {
    calling
        .join()
        .map_err(|_| FleetError::Failed(format!("{what} stopped")))
}

fn address(text: &str) -> Result<SocketAddrV4, FleetError> {
    text.parse()
        .map_err(|_| FleetError::Failed(format!("address {text}")))
}

impl SoakRun {
    fn start(setup: &SoakSetup) -> Result<Self, FleetError> {
        let shape = setup.shape;
        let mut fleet = Fleet::start(&setup.binaries, &setup.logs)?;
        fleet.use_proxies = true;
        fleet.grant(&[("10.20.0.0/16", "dalbit"), ("10.30.0.0/16", "calinawan")])?;
        let datacenter = |number: usize| format!("dc-{}", number % 2 + 1);
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
                let feeds = matches!(target, SoakTarget::FeedSide(_));
                let name = target.to_string();
                fleet.start_host(&HostPlan::new(&name, &datacenter(number), service, feeds))?;
                hosts.push(name);
            }
        }
        let mut run = Self {
            fleet,
            started: Instant::now(),
            shape,
            due: Vec::new(),
            ending: BTreeMap::new(),
            faults: Vec::new(),
            commits: 0,
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

    // Each commit differs from the one before.
    fn commit(&mut self, firm: &str) -> Result<u64, FleetError> {
        self.commits += 1;
        let text = std::fs::read_to_string(self.setup.manifests.join(format!("{firm}.json")))?;
        let grace = format!("\"drain_grace_ms\": {DRAIN_GRACE_MS}");
        let flows = format!("\"flows\": {}", 1_000 + self.commits);
        let text = text
            .replace("\"drain_grace_ms\": 600000", &grace)
            .replace("\"warm_up_ms\": 1000", "\"warm_up_ms\": 100")
            .replace("\"flows\": 2000", &flows);
        let path = self.setup.logs.join(format!("{firm}-soak.json"));
        std::fs::write(&path, text)?;
        self.fleet.commit(&path)
    }

    fn spawn_orders(&self) -> Result<JoinHandle<Vec<CallerResult>>, FleetError> {
        let ip = Ipv4Addr::new(10, 9, 0, 2);
        let mut callers = CallerLoop::new(ip, self.fleet.fabric, self.setup.seed)?;
        let quiet = self.shape.fault_time + SETTLE;
        let during = (0..).map(|step| ORDER_SPACING * step);
        let during = during.take_while(|start| *start < self.shape.fault_time);
        let calm = (0..).map(|step| quiet + ORDER_SPACING * step);
        let calm = calm.take_while(|start| *start < quiet + QUIET);
        for (id, start) in during.chain(calm).enumerate() {
            // Some work long, some send much.
            let work_ms = if id.is_multiple_of(9) { 150 } else { 10 };
            let body = if id.is_multiple_of(7) { 20_000 } else { 60 };
            let request = order_request("/orders", &format!("o{id}"), work_ms, body);
            callers.add(CallerTask {
                id,
                start,
                service: address(ORDERS)?,
                kind: TaskKind::Request(request),
                timeout: PATIENCE,
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
        let end = self.shape.fault_time + SETTLE + QUIET + LISTENING;
        let first = (0..FIRST_FEEDS).map(|step| TICK * step as u32);
        let later = (1..).map(|step| FEED_SPACING * step);
        let later = later.take_while(|start| *start < end - LISTENING);
        for (id, start) in first.chain(later).enumerate() {
            callers.add(CallerTask {
                id,
                start,
                service: address(FEEDS)?,
                kind: TaskKind::Feed,
                timeout: end + PATIENCE,
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
            while self.now() < planned.at {
                self.tick()?;
            }
            self.begin(planned.step)?;
        }
        while self.now() < self.shape.fault_time {
            self.tick()?;
        }
        Ok(())
    }

    // Lets faults and restarts end, and gives the fleet time.
    fn settle(&mut self) -> Result<(), FleetError> {
        let until = self.shape.fault_time + SETTLE;
        while self.now() < until {
            self.tick()?;
        }
        let still: Vec<_> = self.ending.keys().map(ToString::to_string).collect();
        for name in still {
            let text = format!(
                "{name} has not ended {} s after the faults",
                SETTLE.as_secs()
            );
            self.report.violations.push(text);
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), FleetError> {
        std::thread::sleep(TICK);
        let now = self.now();
        let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, end) in due {
            self.end_fault(end)?;
        }
        self.watch_ends()
    }

    // Notices processes that have ended and plans their next start.
    fn watch_ends(&mut self) -> Result<(), FleetError> {
        for target in self.targets() {
            let name = target.to_string();
            let Some(code) = self.fleet.take_exit_code(&name)? else {
                continue;
            };
            let now = self.now();
            match self.ending.remove(&target) {
                Some(since) => {
                    self.note_fault(&name, since, now + RESTART_PAUSE, true);
                    // A signal ends a killed process, 0 is what a stop ends with.
                    if code.is_some_and(|code| code != 0) {
                        let text = format!("{name} ended with code {code:?} when asked to stop");
                        self.report.violations.push(text);
                    }
                }
                None => {
                    let text = format!("{name} ended by itself, code {code:?}");
                    self.report.violations.push(text);
                }
            }
            self.due
                .push((now + RESTART_PAUSE, FaultEnd::Restart(target)));
        }
        Ok(())
    }

    fn targets(&self) -> Vec<SoakTarget> {
        let entries = (1..=self.shape.entries).map(SoakTarget::Entry);
        let feeds = (1..=self.shape.hosts).map(SoakTarget::FeedSide);
        let orders = (1..=self.shape.hosts).map(SoakTarget::OrderSide);
        entries.chain(feeds).chain(orders).collect()
    }

    fn note_fault(&mut self, name: &str, from: Duration, until: Duration, ends_flows: bool) {
        self.faults.push(FaultSpan {
            target: name.into(),
            from,
            until,
            ends_flows,
        });
    }

    fn begin(&mut self, step: SoakStep) -> Result<(), FleetError> {
        let now = self.now();
        self.report
            .steps
            .push(PlannedStep { at: now, step }.to_string());
        let until = now + step.lasts();
        match step {
            SoakStep::Kill(target) => self.end_process(target, SIGKILL)?,
            SoakStep::KillEntries => {
                for number in 1..=self.shape.entries {
                    self.end_process(SoakTarget::Entry(number), SIGKILL)?;
                }
            }
            SoakStep::Stop(target) => self.end_process(target, SIGTERM)?,
            SoakStep::Freeze(target, _) => {
                if self.signal(target, SIGSTOP)? {
                    self.note_fault(&target.to_string(), now, until, false);
                    self.due.push((until, FaultEnd::Continue(target)));
                }
            }
            SoakStep::Reload(target) => {
                self.signal(target, SIGHUP)?;
            }
            SoakStep::Link(target, fault, _) => {
                self.fleet.set_link(&target.to_string(), fault)?;
                self.note_fault(&target.to_string(), now, until, false);
                self.due.push((until, FaultEnd::Link(target)));
            }
            SoakStep::Platform(switch, _) => {
                self.fleet.switch(switch)?;
                self.due.push((until, FaultEnd::Platform));
            }
            SoakStep::Fabric(loss, repeat, _) => {
                self.fleet.set_faults(FabricFaults { loss, repeat })?;
                self.note_fault("fabric", now, until, false);
                self.due.push((until, FaultEnd::Fabric));
            }
            SoakStep::Commit => {
                let firm = FIRMS[self.commits as usize % FIRMS.len()];
                // The platform may be away; operators would commit again.
                if let Err(error) = self.commit(firm) {
                    self.report
                        .steps
                        .push(format!("           not committed: {error}"));
                }
            }
        }
        Ok(())
    }

    // Sends a signal; false if the process is down just now.
    fn signal(&mut self, target: SoakTarget, signal: i32) -> Result<bool, FleetError> {
        let name = target.to_string();
        if !self.fleet.is_running(&name) {
            return Ok(false);
        }
        self.fleet.signal(&name, signal)?;
        Ok(true)
    }

    fn end_process(&mut self, target: SoakTarget, signal: i32) -> Result<(), FleetError> {
        let now = self.now();
        if self.signal(target, signal)? {
            self.ending.entry(target).or_insert(now);
        }
        Ok(())
    }

    fn end_fault(&mut self, end: FaultEnd) -> Result<(), FleetError> {
        match end {
            FaultEnd::Continue(target) => {
                self.signal(target, SIGCONT)?;
            }
            FaultEnd::Restart(target) => self.fleet.respawn(&target.to_string())?,
            FaultEnd::Link(target) => self.fleet.set_link(&target.to_string(), LinkFault::None)?,
            FaultEnd::Platform => self.fleet.switch(PlatformSwitch::default())?,
            FaultEnd::Fabric => self.fleet.set_faults(FabricFaults::default())?,
        }
        Ok(())
    }

    // Whether every entry VM knows the newest manifests, and rosters name all
    // hosts as serving.
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
        Ok(match self.fleet.wait_ready(&entries, &hosts) {
            Ok(()) => Vec::new(),
            Err(error) => vec![format!("after all faults: {error}")],
        })
    }
}
