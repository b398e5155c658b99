//! Plan of a soak: its steps and their times, drawn from a seed alone.
//!
//! Faults come in short series and may overlap. The plan sets how long each one lasts,
//! and all of them end before the quiet phase.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::platform::PlatformSwitch;
use crate::proxy::LinkFault;

/// Start of the first series of steps.
const FIRST_SERIES_AT: Duration = Duration::from_millis(500);

/// Approximate mean time between the starts of two series; the time is drawn from 100 ms
/// to twice this value.
const SERIES_GAP: Duration = Duration::from_millis(900);

/// Largest number of steps in a series; all steps of a series are the same.
const SERIES_LIMIT: u32 = 3;

/// Combined with the seed for the restores, which have random numbers of their own: the
/// other steps of a seed are the same as before there were restores.
const RESTORE_STREAM: u64 = 0x7265_7374_6f72_6573;

/// Approximate mean time between two restores; the time is drawn from 100 ms to twice this
/// value.
const RESTORE_GAP: Duration = Duration::from_secs(4);

/// Largest age of a copy that the platform is restored from, in milliseconds.
const RESTORE_AGE_LIMIT_MS: u64 = 5_000;

/// Longest time for which the platform is down before a restore, in milliseconds.
const AWAY_LIMIT_MS: u64 = 1_500;

/// Combined with the seed for the records of other programs, as [`RESTORE_STREAM`] is.
const RECORD_STREAM: u64 = 0x7265_636f_7264_7300;

/// Approximate mean time between two records of other programs; the time is drawn from 100 ms
/// to twice this value.
const RECORD_GAP: Duration = Duration::from_secs(2);

/// Combined with the seed for the drains of data centres, as [`RESTORE_STREAM`] is.
const DRAIN_STREAM: u64 = 0x6472_6169_6e73_0000;

/// Approximate mean time between the end of a drain and the next one; the time is drawn from
/// 100 ms to twice this value.
const DRAIN_GAP: Duration = Duration::from_secs(2);

/// Longest drain of a data centre, in milliseconds.
const DRAIN_LIMIT_MS: u64 = 3_000;

/// Size of the fleet and duration of the fault phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakShape {
    /// Number of entry VMs.
    pub entries: usize,
    /// Number of hosts of each service.
    pub hosts: usize,
    /// Duration of the fault phase.
    pub fault_time: Duration,
}

/// A process of the fleet that a step applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SoakTarget {
    /// The entry VM with this number, from 1.
    Entry(usize),
    /// The side process of the feed host with this number, from 1.
    FeedSide(usize),
    /// The side process of the order host with this number, from 1.
    OrderSide(usize),
}

impl fmt::Display for SoakTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(number) => write!(f, "entry-{number}"),
            Self::FeedSide(number) => write!(f, "feed-{number}"),
            Self::OrderSide(number) => write!(f, "order-{number}"),
        }
    }
}

/// A change of the platform's objects by another program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OddChange {
    /// A roster gets a record with a name and a port out of range.
    NamedRecord,
    /// A roster gets a record without a name.
    UnnamedRecord,
    /// The record of the first host of a roster gets a port out of range.
    DamagedHost,
    /// The record of the first entry VM of a members document gets a port out of range.
    DamagedMember,
    /// A roster is replaced by an empty object.
    EmptyObject,
}

/// One step of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakStep {
    /// Sends SIGKILL; the process is restarted shortly after.
    Kill(SoakTarget),
    /// Sends SIGKILL to all entry VMs.
    KillEntries,
    /// Sends SIGTERM; the process is restarted after it has ended.
    Stop(SoakTarget),
    /// Sends SIGSTOP, and SIGCONT after the given time.
    Freeze(SoakTarget, Duration),
    /// Sends SIGHUP.
    Reload(SoakTarget),
    /// A fault on the link from an entry VM to the platform, or from a side process to its
    /// backend server, for the given time.
    Link(SoakTarget, LinkFault, Duration),
    /// A failure mode of the platform, for the given time.
    Platform(PlatformSwitch, Duration),
    /// Loss and duplication in the fabric, in percent of packets, for the given time.
    Fabric(u32, u32, Duration),
    /// Commits a changed manifest.
    Commit,
    /// Restores the platform from a copy of the first age, after it was down for the second
    /// time.
    Restore(Duration, Duration),
    /// Another program changes the roster or members of the data centre with this number.
    Odd(OddChange, usize),
    /// Operators drain the data centre with this number, for the given time.
    Drain(usize, Duration),
}

impl SoakStep {
    /// Returns how long the fault lasts; zero for a step without a set duration.
    pub fn duration(&self) -> Duration {
        match self {
            Self::Freeze(_, time)
            | Self::Link(_, _, time)
            | Self::Platform(_, time)
            | Self::Fabric(_, _, time)
            | Self::Restore(_, time)
            | Self::Drain(_, time) => *time,
            Self::Kill(_)
            | Self::KillEntries
            | Self::Stop(_)
            | Self::Reload(_)
            | Self::Commit
            | Self::Odd(..) => Duration::ZERO,
        }
    }
}

impl fmt::Display for SoakStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(target) => write!(f, "kill {target}"),
            Self::KillEntries => f.write_str("kill all entry VMs"),
            Self::Stop(target) => write!(f, "stop {target}"),
            Self::Freeze(target, _) => write!(f, "freeze {target}"),
            Self::Reload(target) => write!(f, "reload {target}"),
            Self::Link(target, fault, _) => write!(f, "link of {target}: {fault}"),
            Self::Platform(switch, _) => write!(f, "platform: {switch:?}"),
            Self::Fabric(loss, repeat, _) => write!(f, "fabric: {loss}% lost, {repeat}% twice"),
            Self::Commit => f.write_str("commit"),
            Self::Restore(age, Duration::ZERO) => {
                write!(f, "restore of {} ms ago", age.as_millis())
            }
            Self::Restore(age, _) => write!(
                f,
                "platform: down before a restore of {} ms ago",
                age.as_millis()
            ),
            Self::Odd(change, datacenter) => {
                write!(f, "another program in dc-{datacenter}: {change:?}")
            }
            Self::Drain(datacenter, _) => write!(f, "drain dc-{datacenter}"),
        }
    }
}

/// A step and its start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStep {
    /// Start of the step, as the time since the start of the soak.
    pub start: Duration,
    /// The step.
    pub step: SoakStep,
}

impl fmt::Display for PlannedStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms  {}", self.start.as_millis(), self.step)?;
        match self.step.duration() {
            Duration::ZERO => Ok(()),
            time => write!(f, " for {} ms", time.as_millis()),
        }
    }
}

/// Returns the plan for a seed, sorted by start time.
pub fn draw_plan(seed: u64, shape: SoakShape) -> Vec<PlannedStep> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut series_start = FIRST_SERIES_AT;
    while series_start < shape.fault_time {
        let step = draw_step(&mut random, shape);
        let gap = random_millis(&mut random, 300, 1500);
        for repetition in 0..random.random_range(1..=SERIES_LIMIT) {
            steps.push(PlannedStep {
                start: series_start + gap * repetition,
                step,
            });
        }
        series_start += random_millis(&mut random, 100, 2 * SERIES_GAP.as_millis() as u64);
    }
    steps.extend(draw_restores(seed, shape));
    steps.extend(draw_odd_changes(seed, shape));
    steps.extend(draw_drains(seed, shape));
    steps.retain(|planned| planned.start + planned.step.duration() < shape.fault_time);
    steps.sort_by_key(|planned| planned.start);
    steps
}

// Draws restores of copies that were taken after the start of the soak. Before half of them
// the platform is down.
fn draw_restores(seed: u64, shape: SoakShape) -> Vec<PlannedStep> {
    let mut random = StdRng::seed_from_u64(seed ^ RESTORE_STREAM);
    let gap_limit = 2 * RESTORE_GAP.as_millis() as u64;
    let mut restores = Vec::new();
    let mut start = random_millis(&mut random, 100, gap_limit);
    while start < shape.fault_time {
        let age = random_millis(&mut random, 100, RESTORE_AGE_LIMIT_MS).min(start);
        let away = random_millis(&mut random, 100, AWAY_LIMIT_MS) * random.random_range(0..2);
        let step = SoakStep::Restore(age, away);
        restores.push(PlannedStep { start, step });
        start += random_millis(&mut random, 100, gap_limit);
    }
    restores
}

fn draw_odd_changes(seed: u64, shape: SoakShape) -> Vec<PlannedStep> {
    let mut random = StdRng::seed_from_u64(seed ^ RECORD_STREAM);
    let gap_limit = 2 * RECORD_GAP.as_millis() as u64;
    let mut changes = Vec::new();
    let mut start = random_millis(&mut random, 100, gap_limit);
    while start < shape.fault_time {
        let change = match random.random_range(0..5) {
            0 => OddChange::NamedRecord,
            1 => OddChange::UnnamedRecord,
            2 => OddChange::DamagedHost,
            3 => OddChange::DamagedMember,
            _ => OddChange::EmptyObject,
        };
        let step = SoakStep::Odd(change, random.random_range(1..=2));
        changes.push(PlannedStep { start, step });
        start += random_millis(&mut random, 100, gap_limit);
    }
    changes
}

// Draws drains, of one data centre at a time.
fn draw_drains(seed: u64, shape: SoakShape) -> Vec<PlannedStep> {
    let mut random = StdRng::seed_from_u64(seed ^ DRAIN_STREAM);
    let gap_limit = 2 * DRAIN_GAP.as_millis() as u64;
    let mut drains = Vec::new();
    let mut start = random_millis(&mut random, 100, gap_limit);
    while start < shape.fault_time {
        let time = random_millis(&mut random, 300, DRAIN_LIMIT_MS);
        let step = SoakStep::Drain(random.random_range(1..=2), time);
        drains.push(PlannedStep { start, step });
        start += time + random_millis(&mut random, 100, gap_limit);
    }
    drains
}

fn random_millis(random: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}

fn draw_target(random: &mut StdRng, shape: SoakShape) -> SoakTarget {
    match random.random_range(0..4) {
        0 | 1 => SoakTarget::Entry(random.random_range(1..=shape.entries)),
        2 => SoakTarget::FeedSide(random.random_range(1..=shape.hosts)),
        _ => SoakTarget::OrderSide(random.random_range(1..=shape.hosts)),
    }
}

fn draw_step(random: &mut StdRng, shape: SoakShape) -> SoakStep {
    let target = draw_target(random, shape);
    match random.random_range(0..12) {
        0 | 1 => SoakStep::Kill(target),
        2 => SoakStep::KillEntries,
        3 => SoakStep::Stop(target),
        4 => SoakStep::Freeze(target, random_millis(random, 300, 3500)),
        5 => SoakStep::Reload(target),
        6 | 7 => SoakStep::Link(
            target,
            draw_fault(random, target),
            random_millis(random, 300, 3000),
        ),
        8 | 9 => SoakStep::Platform(draw_switch(random), random_millis(random, 500, 4000)),
        10 => {
            let (loss, repeat) = (random.random_range(0..15), random.random_range(0..15));
            SoakStep::Fabric(loss, repeat, random_millis(random, 500, 3000))
        }
        _ => SoakStep::Commit,
    }
}

// Links of feed hosts are only delayed: feeds pass through the link of their host, so any other
// fault breaks them, which is no error of chestnutlb.
fn draw_fault(random: &mut StdRng, target: SoakTarget) -> LinkFault {
    let delay = LinkFault::Delay(random_millis(random, 5, 200));
    if matches!(target, SoakTarget::FeedSide(_)) {
        return delay;
    }
    match random.random_range(0..4) {
        0 => delay,
        1 => LinkFault::Reset,
        2 => LinkFault::OneWay,
        _ => LinkFault::Silent,
    }
}

fn draw_switch(random: &mut StdRng) -> PlatformSwitch {
    let no_failures = PlatformSwitch::default();
    match random.random_range(0..4) {
        0 => PlatformSwitch {
            down: true,
            ..no_failures
        },
        1 => PlatformSwitch {
            delay_ms: random.random_range(50..600),
            ..no_failures
        },
        2 => PlatformSwitch {
            lose_answers: random.random_range(1..6),
            ..no_failures
        },
        _ => PlatformSwitch {
            stale: true,
            ..no_failures
        },
    }
}
