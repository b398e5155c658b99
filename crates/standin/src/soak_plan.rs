//! What a soak does and when, drawn from a seed alone.
//!
//! Faults come in short series and overlap. Each lasts for a while; its end is
//! part of the plan. All have ended when the quiet phase begins.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::platform::PlatformSwitch;
use crate::proxy::LinkFault;

/// Time before the first fault.
const LEAD: Duration = Duration::from_millis(500);

/// Time between two series, on average.
const SERIES_GAP: Duration = Duration::from_millis(900);

/// Longest series of the same fault.
const SERIES_LIMIT: u32 = 3;

/// How large the fleet is and how long there are faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakShape {
    /// Entry VMs.
    pub entries: usize,
    /// Hosts of each service.
    pub hosts: usize,
    /// Time with faults.
    pub fault_time: Duration,
}

/// A process of the fleet that a fault hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SoakTarget {
    /// An entry VM by number.
    Entry(usize),
    /// The side process of a feed host by number.
    FeedSide(usize),
    /// The side process of an order host by number.
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

/// One thing that is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakStep {
    /// SIGKILL; the process is started again soon.
    Kill(SoakTarget),
    /// SIGKILL to all entry VMs.
    KillEntries,
    /// SIGTERM; the process is started again when it has ended.
    Stop(SoakTarget),
    /// SIGSTOP for a time.
    Freeze(SoakTarget, Duration),
    /// SIGHUP.
    Reload(SoakTarget),
    /// A fault of the link to the platform or the backend server.
    Link(SoakTarget, LinkFault, Duration),
    /// The platform misbehaves for a time.
    Platform(PlatformSwitch, Duration),
    /// The fabric loses and repeats this many percent of packets for a time.
    Fabric(u32, u32, Duration),
    /// The operators commit another manifest.
    Commit,
}

impl SoakStep {
    /// How long it lasts by itself.
    pub fn lasts(&self) -> Duration {
        match self {
            Self::Freeze(_, time)
            | Self::Link(_, _, time)
            | Self::Platform(_, time)
            | Self::Fabric(_, _, time) => *time,
            Self::Kill(_) | Self::KillEntries | Self::Stop(_) | Self::Reload(_) | Self::Commit => {
                Duration::ZERO
            }
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
        }
    }
}

/// A step and when it begins, since the start of the soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStep {
    /// When it begins.
    pub at: Duration,
    /// What is done.
    pub step: SoakStep,
}

impl fmt::Display for PlannedStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms  {}", self.at.as_millis(), self.step)?;
        match self.step.lasts() {
            Duration::ZERO => Ok(()),
            time => write!(f, " for {} ms", time.as_millis()),
        }
    }
}

/// The steps of a seed in the order of their beginnings.
pub fn draw_plan(seed: u64, shape: SoakShape) -> Vec<PlannedStep> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = LEAD;
    while at < shape.fault_time {
        let step = draw_step(&mut random, shape);
        let gap = millis(&mut random, 300, 1500);
        for turn in 0..random.random_range(1..=SERIES_LIMIT) {
            steps.push(PlannedStep {
                at: at + gap * turn,
                step,
            });
        }
        at += millis(&mut random, 100, 2 * SERIES_GAP.as_millis() as u64);
    }
    steps.retain(|planned| planned.at + planned.step.lasts() < shape.fault_time);
    steps.sort_by_key(|planned| planned.at);
    steps
}

fn millis(random: &mut StdRng, from: u64, to: u64) -> Duration {
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
        4 => SoakStep::Freeze(target, millis(random, 300, 3500)),
        5 => SoakStep::Reload(target),
        6 | 7 => SoakStep::Link(
            target,
            draw_fault(random, target),
            millis(random, 300, 3000),
        ),
        8 | 9 => SoakStep::Platform(draw_switch(random), millis(random, 500, 4000)),
        10 => {
            let (loss, repeat) = (random.random_range(0..15), random.random_range(0..15));
            SoakStep::Fabric(loss, repeat, millis(random, 500, 3000))
        }
        _ => SoakStep::Commit,
    }
}

// The bytes of a feed pass through its host's link, so a cut there would break
// it rightly; there the link is only slow.
fn draw_fault(random: &mut StdRng, target: SoakTarget) -> LinkFault {
    let delay = LinkFault::Delay(millis(random, 5, 200));
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
    let calm = PlatformSwitch::default();
    match random.random_range(0..4) {
        0 => PlatformSwitch { down: true, ..calm },
        1 => PlatformSwitch {
            delay_ms: random.random_range(50..600),
            ..calm
        },
        2 => PlatformSwitch {
            lose_answers: random.random_range(1..6),
            ..calm
        },
        _ => PlatformSwitch {
            stale: true,
            ..calm
        },
    }
}
