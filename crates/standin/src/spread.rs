//! Measures how long a committed manifest takes to come into force on every entry VM, and
//! the costs of an idle entry VM, with real processes at several fleet sizes.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use chestnutlb_store::{CommitOutcome, commit};
use chestnutlb_wire::{WireManifest, parse_json};

use crate::fleet::{Fleet, FleetError};

/// Number of data centres that the entry VMs are spread over.
const DATACENTERS: usize = 4;
/// Number of commits at each size.
const COMMITS: u32 = 10;
/// Time over which idle costs are measured.
const IDLE_TIME: Duration = Duration::from_secs(6);
/// Kernel clock ticks per second, the unit of processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Figures of one fleet size.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct SpreadFigures {
    /// Number of entry VMs.
    pub entries: usize,
    /// Times from the start of a commit until the manifest was in force on the last
    /// entry VM, in milliseconds, sorted.
    pub in_force_ms: Vec<u64>,
    /// Processor time of an idle entry VM, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory of an entry VM, in bytes.
    pub memory: f64,
    /// Peer datagrams of an idle entry VM, received and sent, in bytes per second.
    pub bytes: f64,
    /// Platform calls of all entry VMs per second.
    pub platform_calls: f64,
}

/// Starts a fleet with this number of entry VMs and measures it.
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
    fleet.wait_for("every entry VM to list all others", || {
        names.iter().all(|name| {
            fleet
                .entry_status(name)
                .is_some_and(|status| status.entries.len() == entries)
        })
    })?;
    let idle = measure_idle(&fleet, &names);
    let mut in_force_ms = measure_commits(&fleet, manifest, &names)?;
    in_force_ms.sort_unstable();
    Ok(SpreadFigures {
        entries,
        in_force_ms,
        ..idle
    })
}

// Sums over all entry VMs at one moment: kernel ticks of processor time, resident memory and peer
// datagrams in bytes, and platform calls.
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
            let counter = |key: &str| status.counters.get(key).copied().unwrap_or(0) as f64;
            reading.bytes += counter("peer.bytes-in") + counter("peer.bytes-out");
            reading.calls += counter("platform.calls");
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

// Commits the manifest several times, each time with another queue limit, and returns the
// time in milliseconds until each version was in force on all entry VMs.
fn measure_commits(
    fleet: &Fleet,
    manifest: &Path,
    names: &[String],
) -> Result<Vec<u64>, FleetError> {
    let text = std::fs::read_to_string(manifest)?;
    let failure = |text: String| FleetError::Failed(text);
    let mut wire: WireManifest = parse_json(&text).map_err(|error| failure(error.to_string()))?;
    let client = fleet.client();
    let mut times = Vec::new();
    for number in 0..COMMITS {
        wire.services[0].limits.queue = 100 + u64::from(number);
        let base = commit::current(&client, &wire).map_err(|error| failure(error.to_string()))?;
        let start_ms = unix_ms(SystemTime::now());
        let id = format!("spread-{number}");
        let version = match commit::commit(&client, &wire, base.version, &id) {
            CommitOutcome::Committed(version) => version,
            other => return Err(failure(format!("{other:?}"))),
        };
        let line_end = format!("\"version\":{version}}}");
        let mut last_in_force_ms = 0;
        for name in names {
            fleet.wait_for("the manifest in force", || {
                match in_force_time(&fleet.log(name), &line_end) {
                    Some(in_force_ms) => {
                        last_in_force_ms = last_in_force_ms.max(in_force_ms);
                        true
                    }
                    None => false,
                }
            })?;
        }
        times.push(last_in_force_ms.saturating_sub(start_ms));
    }
    Ok(times)
}

// Returns the Unix time in milliseconds at which a manifest version came into force, from the
// log line with this end.
fn in_force_time(log: &str, line_end: &str) -> Option<u64> {
    let line = log
        .lines()
        .find(|line| line.contains("\"document\":\"manifest/") && line.ends_with(line_end))?;
    let fields: serde_json::Value = serde_json::from_str(line).ok()?;
    let time = humantime::parse_rfc3339(fields["time"].as_str()?).ok()?;
    Some(unix_ms(time))
}
