//! What must hold in a soak, judged by what callers got, what backend servers
//! did, and the logs of the processes.
//!
//! A flow may break only with the host that owns it, and an order may stay
//! without an answer only if a process on its way had a fault meanwhile.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use compact_str::CompactString;

use chestnutlb_core::FlowKey;

use crate::caller::{CallerEnd, CallerResult};
use crate::fleet::Fleet;
use crate::soak::SoakReport;

/// A fault is felt until this time after its end: callers send again after at
/// most this time, and connections that were cut are noticed within it.
const AFTERMATH: Duration = Duration::from_secs(4);

/// A feed sends a line every 100 ms; one without a line for this time is frozen.
const FROZEN_AFTER: Duration = Duration::from_secs(3);

/// A time in which something had a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultSpan {
    /// The process, or `fabric`.
    pub target: CompactString,
    /// Beginning, since the start of the soak.
    pub from: Duration,
    /// End.
    pub until: Duration,
    /// Whether the process ended, with the flows that it owned.
    pub ends_flows: bool,
}

/// What a soak is judged by, beside the callers' results.
#[derive(Debug)]
pub struct SoakEvidence<'a> {
    /// The fleet, for logs and for what backend servers did.
    pub fleet: &'a Fleet,
    /// The faults.
    pub faults: &'a [FaultSpan],
    /// When everything has to work again.
    pub quiet_from: Duration,
}

/// The hosts that accepted each flow, by their logs.
type FlowOwners = HashMap<String, Vec<CompactString>>;

/// Judges a soak.
pub fn judge(
    evidence: &SoakEvidence<'_>,
    orders: &[CallerResult],
    feeds: &[CallerResult],
    report: &mut SoakReport,
) {
    let owners = evidence.find_owners();
    evidence.judge_orders(orders, &owners, report);
    evidence.judge_feeds(feeds, &owners, report);
    for entry in evidence.fleet.entries() {
        let log = evidence.fleet.log(&entry);
        report.violations.extend(find_regressions(&entry, &log));
    }
}

/// Versions that did not rise within one life of an entry VM's process.
pub fn find_regressions(entry: &str, log: &str) -> Vec<String> {
    let mut newest: HashMap<String, u64> = HashMap::new();
    let mut found = Vec::new();
    for line in log_lines(log) {
        if line["part"] == "process" && line["event"] == "started" {
            newest.clear();
        }
        if line["event"] != "in force" {
            continue;
        }
        let (Some(document), Some(version)) = (line["document"].as_str(), line["version"].as_u64())
        else {
            continue;
        };
        let known = newest.insert(document.to_owned(), version);
        if let Some(known) = known.filter(|known| *known >= version) {
            found.push(format!(
                "{entry} went from version {known} of {document} to {version}"
            ));
        }
    }
    found
}

fn log_lines(log: &str) -> impl Iterator<Item = serde_json::Value> {
    // What libraries print when they start is no JSON.
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

    // Faults that were felt between two times.
    fn faults_between(&self, from: Duration, until: Duration) -> impl Iterator<Item = &FaultSpan> {
        self.faults
            .iter()
            .filter(move |fault| fault.from <= until && from <= fault.until + AFTERMATH)
    }

    // Whether an owner of the flow had a fault in its time, or anything had while
    // nobody had accepted it.
    fn is_excused(&self, result: &CallerResult, owners: &FlowOwners) -> bool {
        let begun = result.at.saturating_sub(result.took);
        let hosts = find_hosts(owners, result.flow);
        self.faults_between(begun, result.at)
            .any(|fault| hosts.is_empty() || hosts.contains(&fault.target))
    }

    // Whether a host that may have taken the order over had a fault in its time.
    fn may_be_unknown(&self, result: &CallerResult) -> bool {
        let begun = result.at.saturating_sub(result.took);
        self.faults_between(begun, result.at)
            .any(|fault| fault.target.starts_with("order"))
    }

    fn has_lost_owner(&self, result: &CallerResult, owners: &FlowOwners) -> bool {
        let begun = result.at.saturating_sub(result.took);
        let hosts = find_hosts(owners, result.flow);
        self.faults_between(begun, result.at)
            .any(|fault| fault.ends_flows && hosts.contains(&fault.target))
    }

    fn starts(&self) -> BTreeMap<String, u32> {
        let mut starts: BTreeMap<String, u32> = BTreeMap::new();
        for host in self.fleet.hosts() {
            let report = self.fleet.backend_report(&host);
            for (order, count) in report.into_iter().flat_map(|report| report.starts) {
                *starts.entry(order).or_default() += count;
            }
        }
        starts
    }

    fn judge_orders(&self, orders: &[CallerResult], owners: &FlowOwners, report: &mut SoakReport) {
        let starts = self.starts();
        for (order, count) in &starts {
            if *count > 1 {
                let text = format!("{order} was started {count} times");
                report.violations.push(text);
            }
        }
        for result in orders {
            let order = format!("o{}", result.id);
            let started = starts.contains_key(&order);
            let quiet = result.at.saturating_sub(result.took) >= self.quiet_from;
            let (word, wrong) = match &result.end {
                CallerEnd::Answered {
                    status: 200, body, ..
                } => {
                    let own = body.contains(&format!("\"nonce\":\"n-{order}\""));
                    ("answered", !own || !started)
                }
                CallerEnd::Answered { outcome, .. } => match outcome.as_deref() {
                    Some("not-run") => ("not-run", started || quiet),
                    Some("unknown") => ("unknown", quiet || !self.may_be_unknown(result)),
                    _ => ("other", true),
                },
                CallerEnd::Refused => ("refused", started || !self.is_excused(result, owners)),
                CallerEnd::Broken(_) => ("broken", !self.has_lost_owner(result, owners)),
                CallerEnd::Timeout => ("timeout", !self.is_excused(result, owners)),
                CallerEnd::FeedHeld { .. } => ("held", true),
            };
            *report.ends.entry(format!("order {word}")).or_default() += 1;
            if wrong {
                report.violations.push(describe(&order, result, owners));
            }
        }
    }

    fn judge_feeds(&self, feeds: &[CallerResult], owners: &FlowOwners, report: &mut SoakReport) {
        for result in feeds {
            let (word, wrong) = match &result.end {
                CallerEnd::FeedHeld { silent, .. } if *silent >= FROZEN_AFTER => {
                    ("frozen", !self.has_lost_owner(result, owners))
                }
                CallerEnd::FeedHeld { .. } => ("held", false),
                CallerEnd::Broken(_) => ("broken", !self.has_lost_owner(result, owners)),
                _ => ("not opened", !self.is_excused(result, owners)),
            };
            *report.ends.entry(format!("feed {word}")).or_default() += 1;
            if wrong {
                let name = format!("feed {}", result.id);
                report.violations.push(describe(&name, result, owners));
            }
        }
    }
}

fn find_hosts(owners: &FlowOwners, flow: FlowKey) -> &[CompactString] {
    owners.get(&flow.to_string()).map_or(&[], Vec::as_slice)
}

fn describe(name: &str, result: &CallerResult, owners: &FlowOwners) -> String {
    format!(
        "{name} ended {} ms after the start, {} ms after its own, accepted by {:?}: {} {:?}",
        result.at.as_millis(),
        result.took.as_millis(),
        find_hosts(owners, result.flow),
        result.flow,
        result.end,
    )
}
