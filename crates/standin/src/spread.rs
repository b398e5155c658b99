//! How long a committed manifest takes to every entry VM, and what an idle
//! entry VM costs, measured on real processes at several sizes.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use chestnutlb_store::{CommitOutcome, commit};
use chestnutlb_wire::{WireManifest, parse_json};

use crate::fleet::{Fleet, FleetError};

/// Data centres that the entry VMs are spread over.
const DATACENTERS: usize = 4;
/// Commits at each size.
const COMMITS: u32 = 10;
/// Time over which idle costs are measured.
const IDLE_TIME: Duration = Duration::from_secs(6);
/// Kernel ticks a second, in which processor time is counted.
const TICKS_PER_SECOND: f64 = 100.0;

/// Figures at one size.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct SpreadFigures {
    /// Entry VMs.
    pub entries: usize,
    /// Time from the start of a commit until the last entry VM had it in
    /// force, in milliseconds, sorted.
    pub in_force_ms: Vec<u64>,
    /// Processor time of an idle entry VM, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory of an entry VM, in bytes.
    pub memory: f64,
    /// Bytes a second of peer datagrams at an idle entry VM, in and out.
    pub bytes: f64,
    /// Calls of the platform a second by all entry VMs.
    pub platform_calls: f64,
}

/// Measures one size.
pub fn measure(
    binaries: &Path,
    logs: &Path,
    manifest: &Path,
    entries: usize,
) -> Result<SpreadFigures, FleetError> {
    let mut fleet = Fleet::start(binaries, &logs.join(format!("spread-{entries}")))?;
    fleet.grant(&[("10.20.0.0/16", "dalbit"), ("10.30.0.0/16", "calinawan")])?;
    let names: Vec<_> = (0..entries)
        .map(|number| format!("entry-{number}"))
        .collect();
    for (number, name) in names.iter().enumerate() {
        fleet.start_entry(name, &format!("dc-{}", number % DATACENTERS + 1))?;
    }
    fleet.wait_ready(&names, &[])?;
    fleet.wait_for("all entry VMs to know each other", || {
        names.iter().all(|name| {
            fleet
                .entry_status(name)
                .is_some_and(|status| status.entries.len() == entries)
        })
    })?;
    let idle = measure_idle(&fleet, &names);
    let mut in_force_ms = commit_often(&fleet, manifest, &names)?;
    in_force_ms.sort_unstable();
    Ok(SpreadFigures {
        entries,
        in_force_ms,
        ..idle
    })
}

struct CostReading {
    ticks: f64,
    memory: f64,
    bytes: f64,
    calls: f64,
}

fn read_costs(fleet: &Fleet, names: &[String]) -> CostReading {
    let mut reading = CostReading {
        ticks: 0.0,
        memory: 0.0,
        bytes: 0.0,
        calls: 0.0,
    };
    for name in names {
        let (ticks, memory) = fleet.process_costs(name).unwrap_or_default();
        reading.ticks += ticks;
        reading.memory += memory;
        if let Some(status) = fleet.entry_status(name) {
            let count = |name: &str| status.counters.get(name).copied().unwrap_or(0) as f64;
            reading.bytes += count("peer.bytes-in") + count("peer.bytes-out");
            reading.calls += count("platform.calls");
        }
    }
    reading
}

fn measure_idle(fleet: &Fleet, names: &[String]) -> SpreadFigures {
    let before = read_costs(fleet, names);
    std::thread::sleep(IDLE_TIME);
    let after = read_costs(fleet, names);
    let (count, seconds) = (names.len() as f64, IDLE_TIME.as_secs_f64());
    SpreadFigures {
        entries: names.len(),
        in_force_ms: Vec::new(),
        cpu_percent: (after.ticks - before.ticks) / TICKS_PER_SECOND / seconds / count * 100.0,
        memory: after.memory / count,
        bytes: (after.bytes - before.bytes) / seconds / count,
        platform_calls: (after.calls - before.calls) / seconds,
    }
}

fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn commit_often(fleet: &Fleet, manifest: &Path, names: &[String]) -> Result<Vec<u64>, FleetError> {
    let text = std::fs::read_to_string(manifest)?;
    let wrong = |text: String| FleetError::Failed(text);
    let mut wire: WireManifest = parse_json(&text).map_err(|error| wrong(error.to_string()))?;
    let client = fleet.client();
    let mut times = Vec::new();
    for number in 0..COMMITS {
        wire.services[0].limits.queue = 100 + u64::from(number);
        let base = commit::current(&client, &wire).map_err(|error| wrong(error.to_string()))?;
        let start = unix_ms(SystemTime::now());
        let id = format!("spread-{number}");
        let version = match commit::commit(&client, &wire, base.version, &id) {
            CommitOutcome::Committed(version) => version,
            other => return Err(wrong(format!("{other:?}"))),
        };
        let mark = format!("\"version\":{version}}}");
        let mut last = 0;
        for name in names {
            fleet.wait_for("the version in force", || {
                match in_force_at(&fleet.log(name), &mark) {
                    Some(at) => {
                        last = last.max(at);
                        true
                    }
                    None => false,
                }
            })?;
        }
        times.push(last.saturating_sub(start));
    }
    Ok(times)
}

// When a log says that the version came into force.
fn in_force_at(log: &str, mark: &str) -> Option<u64> {
    let line = log
        .lines()
        .find(|line| line.contains("\"document\":\"manifest/") && line.ends_with(mark))?;
    let fields: serde_json::Value = serde_json::from_str(line).ok()?;
    let time = humantime::parse_rfc3339(fields["time"].as_str()?).ok()?;
    Some(unix_ms(time))
}
