//! Tables of docs/CAPACITY.md: the measured points, and their lines evaluated at the
//! target size.

use std::fmt::Write;

use crate::capacity::CapacityReport;

/// Target size of the fleet, and limits of the control work of an entry VM there, as the
/// developers' page gives them.
pub mod target {
    /// Number of entry VMs.
    pub const ENTRIES: f64 = 5_200.0;
    /// Number of hosts.
    pub const HOSTS: f64 = 43_000.0;
    /// Number of service addresses.
    pub const ADDRESSES: f64 = 19_000.0;
    /// Number of open flows.
    pub const FLOWS: f64 = 120e6;
    /// New flows per second.
    pub const NEW_FLOWS_PER_SECOND: f64 = 570e3;
    /// Number of data centres.
    pub const DATACENTERS: f64 = 16.0;
    /// Configuration changes per second.
    pub const CHANGES_PER_SECOND: f64 = 20_000.0 / 86_400.0;
    /// Hosts and entry VMs that are replaced per second.
    pub const REPLACEMENTS_PER_SECOND: f64 = (6_100.0 + 77.0) / 86_400.0;
    /// Limit of processor time for control, in percent of a core.
    pub const CORE_PERCENT: f64 = 3.3;
    /// Limit of memory for control, in bytes.
    pub const MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;
    /// Limit of control traffic, in bytes per second.
    pub const BYTES_PER_SECOND: f64 = 15_000.0;
}

/// Roster writes for each replaced host: warming, serving, leaving, gone.
const WRITES_PER_REPLACEMENT: f64 = 4.0;

/// Returns the tables in Markdown.
pub fn write_tables(report: &CapacityReport) -> String {
    let mut text = String::new();
    // Writing to a `String` does not fail.
    let _ = writeln!(
        text,
        "| measured | unit | points (size: value) | line |\n|---|---|---|---|"
    );
    let mut written: Vec<&str> = Vec::new();
    for point in &report.points {
        if written.contains(&point.what) {
            continue;
        }
        written.push(point.what);
        let points = report.points_of(point.what);
        let list: Vec<_> = points
            .iter()
            .map(|point| format!("{}: {}", point.size, format_value(point.value)))
            .collect();
        let line = if points.len() > 2 {
            let fitted = report.line(point.what);
            format!(
                "{} + {:.3e} × size",
                format_value(fitted.base),
                fitted.slope
            )
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

// Formats a value with two decimals if it is below 100.
fn format_value(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}

// Returns the table of the figures at the target size, one row for each kind of work.
fn write_target(report: &CapacityReport) -> String {
    use target::*;
    let line = |what: &str| report.line(what);
    let bytes_of = |what: &str| {
        report
            .points_of(what)
            .first()
            .map_or(0.0, |point| point.value)
    };
    let hosts_per_entry = HOSTS / ENTRIES;
    let registrations = hosts_per_entry * TRACKERS_PER_HOST * REGISTRATIONS_PER_SECOND;
    let roster_changes = REPLACEMENTS_PER_SECOND * WRITES_PER_REPLACEMENT;
    let changes = roster_changes + CHANGES_PER_SECOND;
    let gossip_messages = FANOUT * changes;

    let cpu_ms = [
        (
            "roster and manifest changes",
            changes * line("change of a roster taken").value_at(HOSTS),
        ),
        (
            "members changes",
            REPLACEMENTS_PER_SECOND * line("change of members taken").value_at(ENTRIES),
        ),
        (
            "announcements",
            registrations * line("announcement taken").value_at(HOSTS) / 1e3,
        ),
        (
            "heartbeats taken",
            (HEARTBEATS_PER_SECOND + gossip_messages) * line("heartbeat taken").value_at(ENTRIES)
                / 1e3,
        ),
        (
            "heartbeat and liveness ticks",
            5.0 * line("heartbeat and liveness tick").value_at(ENTRIES) / 1e3,
        ),
        (
            "looks at what to write",
            5.0 * line("look at what to write").value_at(HOSTS) / 1e3,
        ),
    ];
    let bytes = [
        (
            "announcements and welcomes",
            registrations
                * ((1.0 - FULL_SHARE)
                    * (bytes_of("message: short announcement")
                        + bytes_of("message: short welcome"))
                    + FULL_SHARE
                        * (bytes_of("message: announcement") + bytes_of("message: welcome"))),
        ),
        (
            "heartbeats, in and out",
            2.0 * HEARTBEATS_PER_SECOND * bytes_of("message: heartbeat"),
        ),
        (
            "pushes of changes, in and out",
            2.0 * gossip_messages * bytes_of("message: push of a change"),
        ),
        (
            "patches, in and out",
            2.0 * (CHANGES_PER_SECOND * bytes_of("message: patch of one service")
                + roster_changes * bytes_of("message: patch of one host")),
        ),
    ];
    let memory = line("control state of an entry VM").value_at(HOSTS);
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
        format!("{BYTES_PER_SECOND:.0} B/s"),
    );
    let mib = |bytes: f64| format!("{:.1} MiB", bytes / 1048576.0);
    row("memory: control state", mib(memory), mib(MEMORY_BYTES));
    let decision = line("decision, data without hint").value_at(HOSTS);
    let flows = NEW_FLOWS_PER_SECOND / ENTRIES;
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
    let watchers = DATACENTERS * WATCHERS_PER_DATACENTER;
    let calls = watchers * WATCHES_PER_SECOND + watchers * changes + 2.0 * changes;
    row(
        "platform: calls of the whole fleet",
        format!("{calls:.0}/s"),
        "2000/s".to_owned(),
    );
    row(
        "platform: writes of the whole fleet",
        format!("{:.2}/s", changes + 2.0 * REPLACEMENTS_PER_SECOND),
        "a few hundred/s".to_owned(),
    );
    text
}

/// Number of trackers of a host.
const TRACKERS_PER_HOST: f64 = chestnutlb_core::members::TRACKERS_PER_HOST as f64;
/// Registrations and keep-alives that a host sends to each tracker, per second.
const REGISTRATIONS_PER_SECOND: f64 = 2.0;
/// Share of full registrations among these messages: one of the ten in 5 s.
const FULL_SHARE: f64 = 0.1;
/// Heartbeats that an entry VM sends per second, to its neighbours and one seed.
const HEARTBEATS_PER_SECOND: f64 = (chestnutlb_core::members::NEIGHBOURS as f64 + 1.0) * 2.0;
/// Number of peers that a change is sent to at once.
const FANOUT: f64 = chestnutlb_core::control::GOSSIP_FANOUT as f64;
/// Number of entry VMs of each data centre that watch the platform.
const WATCHERS_PER_DATACENTER: f64 = chestnutlb_core::members::WATCHERS_PER_DATACENTER as f64;
/// Number of watch calls of each watcher per second.
const WATCHES_PER_SECOND: f64 = 0.5;
