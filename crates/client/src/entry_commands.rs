//! Commands that query running entry VMs: status, wait and explain.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde::Serialize;

use chestnutlb_core::{FirmName, ObjectVersion};
use chestnutlb_wire::records::VersionField;
use chestnutlb_wire::status::{
    CandidateExplanation, EntryStatus, FlowExplanation, HopExplanation, HostStatus,
};

use crate::output::{CommandError, CommandOutcome, finish, print_result};

/// Timeout of one HTTP request to an entry VM.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two status queries of the wait command.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// show all entry VMs and the document versions in force
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --entry 10.0.0.2:7003"
)]
pub struct StatusOptions {
    /// status address of any entry VM
    #[argh(option)]
    entry: SocketAddrV4,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

/// wait until a manifest is in force on every entry VM and host
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "wait",
    example = "{command_name} --entry 10.0.0.2:7003 --firm dalbit --manifest 13",
    note = "Exit codes: 0 in force everywhere, 1 not in force in time, 3 no answer from --entry."
)]
pub struct WaitOptions {
    /// status address of any entry VM
    #[argh(option)]
    entry: SocketAddrV4,
    /// name of the firm
    #[argh(option)]
    firm: FirmName,
    /// manifest version, as printed by commit
    #[argh(option)]
    manifest: ObjectVersion,
    /// maximum time to wait, in seconds (default: 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

/// show which hosts an entry VM sends the packets of a flow to, and why
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} --entry 10.0.0.2:7003 --caller 10.9.0.1:10000 --service 10.20.0.1:7000"
)]
pub struct ExplainOptions {
    /// status address of the entry VM to query
    #[argh(option)]
    entry: SocketAddrV4,
    /// address and port of the caller
    #[argh(option)]
    caller: SocketAddrV4,
    /// address and port of the service, or its name as firm/service
    #[argh(option)]
    service: String,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

// Returns the JSON response to a GET request, or an error text. The body of an error response
// is the error text.
fn query<T: serde::de::DeserializeOwned>(address: SocketAddrV4, path: &str) -> Result<T, String> {
    let url = format!("http://{address}{path}");
    match ureq::get(&url).timeout(REQUEST_TIMEOUT).call() {
        Ok(response) => response.into_json().map_err(|error| error.to_string()),
        Err(ureq::Error::Status(_, response)) => Err(response
            .into_string()
            .unwrap_or_else(|error| error.to_string())),
        Err(error) => Err(error.to_string()),
    }
}

// Returns the highest manifest version that is reported for each host.
fn highest_versions<'a>(
    hosts: impl Iterator<Item = &'a HostStatus>,
) -> BTreeMap<String, ObjectVersion> {
    let mut versions: BTreeMap<String, ObjectVersion> = BTreeMap::new();
    for host in hosts {
        let version = versions.entry(host.name.to_string()).or_default();
        *version = host.manifest.0.max(*version);
    }
    versions
}

/// Status of one entry VM.
#[derive(Debug)]
#[derive(Serialize)]
struct EntryRow {
    name: String,
    datacenter: String,
    /// Whether the status of the entry VM could be read.
    answers: bool,
    /// Time since the platform confirmed the documents, in milliseconds.
    age_ms: Option<u64>,
    /// Versions of the documents in force, by `kind/name`.
    versions: BTreeMap<String, VersionField>,
}

/// Status of all entry VMs and hosts.
#[derive(Debug)]
#[derive(Serialize)]
struct SystemStatus {
    entries: Vec<EntryRow>,
    /// Data centres that are drained according to an entry VM.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    drained: BTreeSet<String>,
    /// Highest manifest version that an entry VM reports for each host.
    hosts: BTreeMap<String, VersionField>,
}

impl fmt::Display for SystemStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<16} {:<12} {:>8}  versions",
            "entry", "datacentre", "age"
        )?;
        for entry in &self.entries {
            let age = match (entry.answers, entry.age_ms) {
                (false, _) => "silent".to_owned(),
                (true, None) => "never".to_owned(),
                (true, Some(age)) => format!("{age}ms"),
            };
            write!(f, "\n{:<16} {:<12} {age:>8} ", entry.name, entry.datacenter)?;
            for (document, version) in &entry.versions {
                write!(f, " {document}@{version}")?;
            }
        }
        if !self.drained.is_empty() {
            let names: Vec<&str> = self.drained.iter().map(String::as_str).collect();
            write!(f, "\ndrained: {}", names.join(", "))?;
        }
        write!(f, "\n{:<16} manifest in force", "host")?;
        self.hosts
            .iter()
            .try_for_each(|(host, version)| write!(f, "\n{host:<16} {version}"))
    }
}

// Returns the name and status of every entry VM that the given one lists; a status that can't be
// read is `None`. If the list is empty, returns the name and status of the given entry VM.
fn query_entries(entry: SocketAddrV4) -> Result<Vec<(String, Option<EntryStatus>)>, String> {
    let first: EntryStatus = query(entry, "/v1/status")?;
    let mut entry_statuses = Vec::new();
    for member in &first.entries {
        let status = member
            .status
            .parse()
            .map_err(|_| "invalid status address".to_owned())
            .and_then(|address| query(address, "/v1/status"));
        entry_statuses.push((member.name.to_string(), status.ok()));
    }
    if entry_statuses.is_empty() {
        entry_statuses.push((first.name.to_string(), Some(first)));
    }
    Ok(entry_statuses)
}

impl StatusOptions {
    /// Prints the state of all entry VMs and hosts.
    pub fn run(&self) -> CommandOutcome {
        let result = query_entries(self.entry).map(SystemStatus::from);
        finish(self.json, result.map_err(CommandError::unknown))
    }
}

impl From<Vec<(String, Option<EntryStatus>)>> for SystemStatus {
    fn from(entry_statuses: Vec<(String, Option<EntryStatus>)>) -> Self {
        let statuses = entry_statuses
            .iter()
            .filter_map(|(_, status)| status.as_ref());
        let drained = statuses.clone().flat_map(|status| &status.drained);
        let drained = drained.map(ToString::to_string).collect();
        let hosts = highest_versions(statuses.flat_map(|status| &status.hosts));
        let hosts = hosts
            .into_iter()
            .map(|(host, version)| (host, version.into()));
        Self {
            hosts: hosts.collect(),
            drained,
            entries: entry_statuses.into_iter().map(EntryRow::from).collect(),
        }
    }
}

impl From<(String, Option<EntryStatus>)> for EntryRow {
    fn from((name, status): (String, Option<EntryStatus>)) -> Self {
        let versions = |status: &EntryStatus| {
            let documents = status.documents.iter().map(|document| {
                let document_path = format!("{}/{}", document.kind, document.name);
                (document_path, document.version.0.into())
            });
            documents.collect()
        };
        let status = status.as_ref();
        Self {
            name,
            datacenter: status.map_or_else(String::new, |status| status.datacenter.to_string()),
            answers: status.is_some(),
            age_ms: status.and_then(|status| status.age_ms),
            versions: status.map_or_else(BTreeMap::new, versions),
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct WaitResult {
    in_force: bool,
    /// Time waited, in milliseconds.
    after_ms: u64,
    /// Entry VMs and hosts on which the manifest version is not in force.
    behind: Vec<String>,
    /// Whether a version of a later era is in force, so that the platform may have lost this
    /// one in a restore from an older copy.
    restored: bool,
}

impl fmt::Display for WaitResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.in_force {
            write!(f, "in force everywhere after {} ms", self.after_ms)
        } else {
            write!(f, "not in force on: {}", self.behind.join(", "))?;
            if self.restored {
                let text = "the platform was restored from an older copy since: plan again";
                write!(f, "\n{text}")?;
            }
            Ok(())
        }
    }
}

impl WaitOptions {
    /// Polls the entry VMs until the manifest is in force everywhere or `seconds` have passed.
    pub fn run(&self) -> CommandOutcome {
        let start = Instant::now();
        let limit = Duration::from_secs(self.seconds);
        loop {
            let entry_statuses = query_entries(self.entry);
            let behind = entry_statuses
                .as_ref()
                .map(|entry_statuses| self.find_behind(entry_statuses));
            if let Ok(behind) = &behind
                && behind.is_empty()
            {
                let result = WaitResult {
                    in_force: true,
                    after_ms: start.elapsed().as_millis() as u64,
                    behind: Vec::new(),
                    restored: false,
                };
                print_result(self.json, &result);
                return CommandOutcome::Done;
            }
            if start.elapsed() >= limit {
                let restored = entry_statuses
                    .as_ref()
                    .is_ok_and(|entry_statuses| self.is_restored(entry_statuses));
                let behind = behind.map_err(Clone::clone);
                return self.report_timeout(behind, restored, start.elapsed());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn report_timeout(
        &self,
        behind: Result<Vec<String>, String>,
        restored: bool,
        waited: Duration,
    ) -> CommandOutcome {
        let result = behind.map(|behind| WaitResult {
            in_force: false,
            after_ms: waited.as_millis() as u64,
            behind,
            restored,
        });
        match finish(self.json, result.map_err(CommandError::unknown)) {
            CommandOutcome::Done => CommandOutcome::NotMet,
            failed => failed,
        }
    }

    // A version of a later era may lack what the manifest version contains.
    fn is_met_by(&self, version: ObjectVersion) -> bool {
        version.era() == self.manifest.era() && version >= self.manifest
    }

    fn is_restored(&self, entry_statuses: &[(String, Option<EntryStatus>)]) -> bool {
        let statuses = entry_statuses
            .iter()
            .filter_map(|(_, status)| status.as_ref());
        let mut versions = statuses.filter_map(|status| self.version_in_force(status));
        versions.any(|version| version.era() > self.manifest.era())
    }

    // Returns the manifest version of the firm that is in force on an entry VM.
    fn version_in_force(&self, status: &EntryStatus) -> Option<ObjectVersion> {
        let mut documents = status.documents.iter();
        let document = documents
            .find(|document| document.kind == "manifest" && document.name == self.firm.as_str())?;
        Some(document.version.0)
    }

    // Returns the entry VMs and hosts on which the manifest version is not in force, including
    // entry VMs whose status can't be read.
    fn find_behind(&self, entry_statuses: &[(String, Option<EntryStatus>)]) -> Vec<String> {
        let mut behind = Vec::new();
        for (name, status) in entry_statuses {
            let Some(status) = status else {
                behind.push(name.clone());
                continue;
            };
            let version = self.version_in_force(status);
            if !version.is_some_and(|version| self.is_met_by(version)) {
                behind.push(name.clone());
            }
        }
        let service_prefix = format!("{}/", self.firm);
        let statuses = entry_statuses
            .iter()
            .filter_map(|(_, status)| status.as_ref());
        let hosts = statuses
            .flat_map(|status| &status.hosts)
            .filter(|host| host.service.starts_with(&service_prefix));
        let outdated = highest_versions(hosts)
            .into_iter()
            .filter(|(_, version)| !self.is_met_by(*version));
        behind.extend(outdated.map(|(name, _)| name));
        behind
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct ExplainResult(FlowExplanation);

fn write_hops(f: &mut fmt::Formatter<'_>, hops: &[HopExplanation]) -> fmt::Result {
    hops.iter().enumerate().try_for_each(|(index, hop)| {
        write!(
            f,
            "\n  {}. {} at {} ({}, weight {})",
            index + 1,
            hop.host,
            hop.packets,
            hop.state,
            hop.weight
        )
    })
}

fn write_candidates(
    f: &mut fmt::Formatter<'_>,
    candidates: &[CandidateExplanation],
) -> fmt::Result {
    if candidates.is_empty() {
        return Ok(());
    }
    write!(f, "\ncandidates, by the time for one more request:")?;
    candidates.iter().try_for_each(|candidate| {
        write!(
            f,
            "\n  {:<16} {:<12} {:>6.0} ms",
            candidate.host, candidate.datacenter, candidate.cost_ms
        )?;
        match &candidate.report {
            Some(report) => write!(
                f,
                "  {} at work, {} slots, {:.1} ms each, reported {} ms ago",
                report.at_work,
                report.slots,
                f64::from(report.service_us) / 1000.0,
                report.age_ms
            )?,
            None => write!(f, "  no report")?,
        }
        match &candidate.left_out {
            Some(cause) => write!(f, "  left out: {cause}"),
            None => Ok(()),
        }
    })
}

impl fmt::Display for ExplainResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flow = &self.0;
        write!(
            f,
            "service {}, bucket {}, roster {}",
            flow.service, flow.bucket, flow.generation
        )?;
        if !flow.drained.is_empty() {
            let names = flow.drained.join(", ");
            write!(
                f,
                "\ndrained, so that their hosts get no new flows: {names}"
            )?;
        }
        write!(f, "\nhosts that a SYN visits, in order:")?;
        write_hops(f, &flow.opening)?;
        if let Some(cause) = &flow.dropped {
            write!(f, "\n  none ({cause})")?;
        }
        write_candidates(f, &flow.candidates)?;
        write!(
            f,
            "\nhosts that any other packet visits, in order (the walk):"
        )?;
        write_hops(f, &flow.walk)?;
        let coverage = if flow.complete {
            "contains every"
        } else {
            "does not contain every"
        };
        write!(f, "\nthe walk {coverage} host that may own the flow")
    }
}

impl ExplainOptions {
    /// Prints the hops that an entry VM chooses for the flow's packets.
    pub fn run(&self) -> CommandOutcome {
        let path = format!(
            "/v1/explain?caller={}&service={}",
            self.caller, self.service
        );
        let result = query::<FlowExplanation>(self.entry, &path).map(ExplainResult);
        finish(self.json, result.map_err(CommandError::unknown))
    }
}
