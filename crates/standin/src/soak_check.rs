//! Checks the results of a soak: what callers received, what backend servers did, and
//! the logs of the processes.
//!
//! A flow may break only if the process of its owner ended, and an order may remain
//! unanswered only if a process on its path had a fault meanwhile.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use compact_str::CompactString;

use chestnutlb_core::FlowKey;

use crate::caller::{CallerEnd, CallerResult};
use crate::fleet::Fleet;
use crate::soak::SoakReport;

/// Time after the end of a fault in which it still has effects: callers retransmit after
/// at most this time, and cut connections are detected within it.
const FAULT_EFFECT_TIME: Duration = Duration::from_secs(4);

/// Time without a line after which a feed counts as frozen; a feed sends a line every 100 ms.
const FROZEN_FEED_TIME: Duration = Duration::from_secs(3);

/// The time span of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultSpan {
    /// Name of the process, or `fabric`.
    pub target: CompactString,
    /// Start of the fault, as the time since the start of the soak.
    pub from: Duration,
    /// End of the fault, as the time since the start of the soak.
    pub until: Duration,
    /// Whether the process ended, which ends the flows that it owned.
    pub ends_flows: bool,
}

/// Data that the results of the callers are checked against.
#[derive(Debug)]
pub struct SoakEvidence<'a> {
    /// The fleet, for its logs and the reports of backend servers.
    pub fleet: &'a Fleet,
    /// Faults that were injected.
    pub faults: &'a [FaultSpan],
    /// Start of the quiet phase, in which every order has to be answered.
    pub quiet_start: Duration,
}

/// The hosts that accepted each flow, according to their logs.
type FlowOwners = HashMap<String, Vec<CompactString>>;

/// Checks a soak, and adds outcomes and violations to its report.
pub fn check_soak(
    evidence: &SoakEvidence<'_>,
    orders: &[CallerResult],
    feeds: &[CallerResult],
    report: &mut SoakReport,
) {
    let owners = evidence.find_owners();
    evidence.check_orders(orders, &owners, report);
    evidence.check_feeds(feeds, &owners, report);
    for entry in evidence.fleet.entries() {
        let log = evidence.fleet.log(&entry);
        report.violations.extend(find_regressions(&entry, &log));
    }
}

/// Returns a violation for each document version in an entry VM's log that is not above
/// the previous one of the same document since the last start of the process. Versions are
/// ordered by the platform's era first: `1.7` is in era 1, and a number in era 0.
pub fn find_regressions(entry: &str, log: &str) -> Vec<String> {
    let mut versions: HashMap<String, (u64, u64)> = HashMap::new();
    let mut violations = Vec::new();
    for line in log_lines(log) {
        if line["part"] == "process" && line["event"] == "started" {
            versions.clear();
        }
        if line["event"] != "in force" {
            continue;
        }
        let Some(document) = line["document"].as_str() else {
            continue;
        };
        let Some(version) = parse_logged_version(&line["version"]) else {
            violations.push(format!("{entry} logged no version of {document}: {line}"));
            continue;
        };
        let previous = versions.insert(document.to_owned(), version);
        if let Some(previous) = previous.filter(|previous| *previous >= version) {
            let [from, to] = [previous, version].map(|(era, revision)| format!("{era}.{revision}"));
            violations.push(format!(
                "{entry} went from version {from} of {document} to {to}"
            ));
        }
    }
    violations
}

// Parses a logged version into its era and the number within the era.
fn parse_logged_version(logged: &serde_json::Value) -> Option<(u64, u64)> {
    let Some(text) = logged.as_str() else {
        return Some((0, logged.as_u64()?));
    };
    let (era, revision) = text.split_once('.').unwrap_or(("0", text));
    Some((era.parse().ok()?, revision.parse().ok()?))
}

fn log_lines(log: &str) -> impl Iterator<Item = serde_json::Value> {
    // Libraries print lines at start-up that are not JSON.
    log.lines()
        .filter_map(|line| serde_json::from_str(line).ok())
}

impl SoakEvidence<'_> {
    fn find_owners(&self) -> FlowOwners {
        let mut owners = FlowOwners::new();
        for host in self.fleet.hosts() {
            for line in log_lines(&self.fleet.log(&host)) {
                if line["part"] == "flow"
                    && line["event"] == "accepted"
                    && let Some(flow) = line["flow"].as_str()
                {
                    let hosts = owners.entry(flow.to_owned()).or_default();
                    hosts.push(host.as_str().into());
                }
            }
        }
        owners
    }

    // Returns the faults that had effects at some time from `from` until `until`.
    fn faults_between(&self, from: Duration, until: Duration) -> impl Iterator<Item = &FaultSpan> {
        self.faults
            .iter()
            .filter(move |fault| fault.from <= until && from <= fault.until + FAULT_EFFECT_TIME)
    }

    // Returns whether a fault of an owner had effects while the flow ran. If no host accepted
    // the flow, faults of any process and of the fabric count.
    fn is_explained_by_fault(&self, result: &CallerResult, owners: &FlowOwners) -> bool {
        let start = result.ended.saturating_sub(result.took);
        let hosts = hosts_of_flow(owners, result.flow);
        self.faults_between(start, result.ended)
            .any(|fault| hosts.is_empty() || hosts.contains(&fault.target))
    }

    // Returns whether a fault of any order host had effects while the caller waited; each of
    // them may have run the order.
    fn can_be_unknown(&self, result: &CallerResult) -> bool {
        let start = result.ended.saturating_sub(result.took);
        self.faults_between(start, result.ended)
            .any(|fault| fault.target.starts_with("order"))
    }

    // Returns whether the side process of an owner ended while the flow ran, or at most
    // `FAULT_EFFECT_TIME` before.
    fn has_lost_owner(&self, result: &CallerResult, owners: &FlowOwners) -> bool {
        let start = result.ended.saturating_sub(result.took);
        let hosts = hosts_of_flow(owners, result.flow);
        self.faults_between(start, result.ended)
            .any(|fault| fault.ends_flows && hosts.contains(&fault.target))
    }

    // Returns how often each order was started, over all backend servers.
    fn count_starts(&self) -> BTreeMap<String, u32> {
        let mut starts: BTreeMap<String, u32> = BTreeMap::new();
        for host in self.fleet.hosts() {
            let report = self.fleet.backend_report(&host);
            for (order, count) in report.into_iter().flat_map(|report| report.starts) {
                *starts.entry(order).or_default() += count;
            }
        }
        starts
    }

    fn check_orders(&self, orders: &[CallerResult], owners: &FlowOwners, report: &mut SoakReport) {
        let starts = self.count_starts();
        for (order, count) in &starts {
            if *count > 1 {
                let text = format!("{order} was started {count} times");
                report.violations.push(text);
            }
        }
        for result in orders {
            let order = format!("o{}", result.id);
            let started = starts.contains_key(&order);
            let in_quiet_phase = result.ended.saturating_sub(result.took) >= self.quiet_start;
            let (label, is_violation) = match &result.end {
                CallerEnd::Answered {
                    status: 200, body, ..
                } => {
                    let has_nonce = body.contains(&format!("\"nonce\":\"n-{order}\""));
                    ("answered", !has_nonce || !started)
                }
                CallerEnd::Answered { outcome, .. } => match outcome.as_deref() {
                    Some("not-run") => ("not-run", started || in_quiet_phase),
                    Some("unknown") => ("unknown", in_quiet_phase || !self.can_be_unknown(result)),
                    _ => ("other", true),
                },
                CallerEnd::Refused => (
                    "refused",
                    started || !self.is_explained_by_fault(result, owners),
                ),
                CallerEnd::Broken(_) => ("broken", !self.has_lost_owner(result, owners)),
                CallerEnd::Timeout => ("timeout", !self.is_explained_by_fault(result, owners)),
                CallerEnd::FeedHeld { .. } => ("held", true),
            };
            *report.ends.entry(format!("order {label}")).or_default() += 1;
            if is_violation {
                report.violations.push(describe(&order, result, owners));
            }
        }
    }

    fn check_feeds(&self, feeds: &[CallerResult], owners: &FlowOwners, report: &mut SoakReport) {
        for result in feeds {
            let (label, is_violation) = match &result.end {
                CallerEnd::FeedHeld { silent, .. } if *silent >= FROZEN_FEED_TIME => {
                    ("frozen", !self.has_lost_owner(result, owners))
                }
                CallerEnd::FeedHeld { .. } => ("held", false),
                CallerEnd::Broken(_) => ("broken", !self.has_lost_owner(result, owners)),
                _ => ("not opened", !self.is_explained_by_fault(result, owners)),
            };
            *report.ends.entry(format!("feed {label}")).or_default() += 1;
            if is_violation {
                let name = format!("feed {}", result.id);
                report.violations.push(describe(&name, result, owners));
            }
        }
    }
}

fn hosts_of_flow(owners: &FlowOwners, flow: FlowKey) -> &[CompactString] {
    owners.get(&flow.to_string()).map_or(&[], Vec::as_slice)
}

fn describe(name: &str, result: &CallerResult, owners: &FlowOwners) -> String {
    format!(
        "{name} ended {} ms after the start of the soak, {} ms after its own start, \
         accepted by {:?}: {} {:?}",
        result.ended.as_millis(),
        result.took.as_millis(),
        hosts_of_flow(owners, result.flow),
        result.flow,
        result.end,
    )
}
