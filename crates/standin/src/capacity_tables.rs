//! The tables of docs/CAPACITY.md: measured points, and what their lines come
//! to at the target.

use std::fmt::Write;

use crate::capacity::CapacityReport;

/// The target of the developers' page.
pub mod target {
    /// Entry VMs.
    pub const NODES: f64 = 5_200.0;
    /// Hosts.
    pub const HOSTS: f64 = 43_000.0;
    /// Addresses of services.
    pub const ADDRESSES: f64 = 19_000.0;
    /// Open flows.
    pub const FLOWS: f64 = 120e6;
    /// New flows a second.
    pub const NEW_FLOWS: f64 = 570e3;
    /// Data centres.
    pub const DATACENTERS: f64 = 16.0;
    /// Changes of configuration a second.
    pub const CHANGES: f64 = 20_000.0 / 86_400.0;
    /// Hosts and entry VMs replaced a second.
    pub const REPLACED: f64 = (6_100.0 + 77.0) / 86_400.0;
    /// Share of a core for control.
    pub const CORE_PERCENT: f64 = 3.3;
    /// Memory for control, in bytes.
    pub const MEMORY: f64 = 64.0 * 1024.0 * 1024.0;
    /// Bytes a second for control.
    pub const BYTES: f64 = 15_000.0;
}

/// Writes of the roster in one host's life: warming, serving, leaving, gone.
const WRITES_PER_REPLACEMENT: f64 = 4.0;
/// The page's tables.
pub fn write_tables(report: &CapacityReport) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "| measured | unit | points (size: value) | line |\n|---|---|---|---|"
    );
    let mut seen: Vec<&str> = Vec::new();
    for point in &report.points {
        if seen.contains(&point.what) {
            continue;
        }
        seen.push(point.what);
        let points = report.of(point.what);
        let list: Vec<_> = points
            .iter()
            .map(|point| format!("{}: {}", point.size, short(point.value)))
            .collect();
        let line = if points.len() > 2 {
            let line = report.line(point.what);
            format!("{} + {:.3e} × size", short(line.base), line.slope)
        } else {
            "–".to_owned()
        };
        let _ = writeln!(
            text,
            "| {} | {} | {} | {line} |",
            point.what,
            point.unit,
            list.join(", ")
        );
    }
    let _ = writeln!(text, "\n{}", write_target(report));
    text
}

fn short(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}

// What the slopes come to at the target, row by row.
fn write_target(report: &CapacityReport) -> String {
    use target::*;
    let line = |what: &str| report.line(what);
    let message = |what: &str| report.of(what).first().map_or(0.0, |point| point.value);
    let hosts_per_node = HOSTS / NODES;
    let announcements = hosts_per_node * KEEPERS * ANNOUNCEMENTS;
    let roster_changes = REPLACED * WRITES_PER_REPLACEMENT;
    let changes = roster_changes + CHANGES;
    let pushes = FANOUT * changes;

    let cpu_ms = [
        (
            "roster and manifest changes",
            changes * line("change of a roster taken").at(HOSTS),
        ),
        (
            "members changes",
            REPLACED * line("change of members taken").at(NODES),
        ),
        (
            "announcements",
            announcements * line("announcement taken").at(HOSTS) / 1e3,
        ),
        (
            "heartbeats taken",
            (HEARTBEATS + pushes) * line("heartbeat taken").at(NODES) / 1e3,
        ),
        (
            "heartbeat and liveness ticks",
            5.0 * line("heartbeat and liveness tick").at(NODES) / 1e3,
        ),
        (
            "looks at what to write",
            5.0 * line("look at what to write").at(HOSTS) / 1e3,
        ),
    ];
    let bytes = [
        (
            "announcements and welcomes",
            announcements
                * ((1.0 - FULL_SHARE)
                    * (message("message: short announcement") + message("message: short welcome"))
                    + FULL_SHARE
                        * (message("message: announcement") + message("message: welcome"))),
        ),
        (
            "heartbeats, in and out",
            2.0 * HEARTBEATS * message("message: heartbeat"),
        ),
        (
            "pushes of changes, in and out",
            2.0 * pushes * message("message: push of a change"),
        ),
        (
            "patches, in and out",
            2.0 * (CHANGES * message("message: patch of one service")
                + roster_changes * message("message: patch of one host")),
        ),
    ];
    let memory = line("control state of an entry VM").at(HOSTS);
    let mut text = String::new();
    let mut row = |what: &str, value: String, limit: String| {
        let _ = writeln!(text, "| {what} | {value} | {limit} |");
    };
    row(
        "at the target, an entry VM",
        "value".to_owned(),
        "limit".to_owned(),
    );
    row("---", "---".to_owned(), "---".to_owned());
    for (what, value) in cpu_ms {
        row(
            &format!("processor: {what}"),
            format!("{:.3}% of a core", value / 10.0),
            String::new(),
        );
    }
    let total: f64 = cpu_ms.iter().map(|(_, value)| value).sum::<f64>() / 10.0;
    row(
        "processor: control, sum",
        format!("{total:.2}% of a core"),
        format!("{CORE_PERCENT}%"),
    );
    for (what, value) in bytes {
        row(
            &format!("bytes: {what}"),
            format!("{value:.0} B/s"),
            String::new(),
        );
    }
    let total: f64 = bytes.iter().map(|(_, value)| value).sum();
    row(
        "bytes: control, sum",
        format!("{total:.0} B/s"),
        format!("{BYTES:.0} B/s"),
    );
    let mib = |bytes: f64| format!("{:.1} MiB", bytes / 1048576.0);
    row("memory: control state", mib(memory), mib(MEMORY));
    let decision = line("decision, data without hint").at(HOSTS);
    let flows = NEW_FLOWS / NODES;
    row(
        "new flows",
        format!("{flows:.0}/s, {decision:.0} ns each"),
        String::new(),
    );
    let open = FLOWS / HOSTS;
    let flow_memory = line("side process, memory of idle flows").slope;
    row(
        "a side process: open flows",
        format!("{open:.0}, {} of stacks", mib(open * flow_memory)),
        String::new(),
    );
    let watchers = DATACENTERS * WATCHERS;
    let calls = watchers * WATCHES + watchers * changes + 2.0 * changes;
    row(
        "platform: calls of the whole fleet",
        format!("{calls:.0}/s"),
        "2000/s".to_owned(),
    );
    row(
        "platform: writes of the whole fleet",
        format!("{:.2}/s", changes + 2.0 * REPLACED),
        "a few hundred/s".to_owned(),
    );
    text
}

/// Keepers of a host.
const KEEPERS: f64 = chestnutlb_core::members::TRACKERS_PER_HOST as f64;
/// Announcements of a host to each keeper, a second.
const ANNOUNCEMENTS: f64 = 2.0;
/// Share of them that are in full: one in 5 s.
const FULL_SHARE: f64 = 0.1;
/// Heartbeats sent a second: to neighbours and a seed.
const HEARTBEATS: f64 = (chestnutlb_core::members::NEIGHBOURS as f64 + 1.0) * 2.0;
/// Peers told of a change at once.
const FANOUT: f64 = chestnutlb_core::control::GOSSIP_FANOUT as f64;
/// Watchers of a data centre.
const WATCHERS: f64 = chestnutlb_core::members::WATCHERS_PER_DATACENTER as f64;
/// Watch calls of a watcher, a second.
const WATCHES: f64 = 0.5;
