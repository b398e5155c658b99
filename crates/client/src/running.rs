//! Commands about what is running: status, wait, explain.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde::Serialize;

use chestnutlb_core::{FirmName, ObjectVersion};
use chestnutlb_wire::status::{EntryStatus, FlowExplanation, HopExplanation};

use crate::output::{CommandEnd, complain, print};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const WAIT_PAUSE: Duration = Duration::from_millis(100);

/// show the entry VMs, and which versions they have in force
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
    /// print JSON
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
    note = "Exit codes: 0 in force everywhere, 1 not in time, 3 no entry VM answers."
)]
pub struct WaitOptions {
    /// status address of any entry VM
    #[argh(option)]
    entry: SocketAddrV4,
    /// the firm
    #[argh(option)]
    firm: FirmName,
    /// version that commit printed
    #[argh(option)]
    manifest: ObjectVersion,
    /// seconds to wait, 30 if not given
    #[argh(option, default = "30")]
    seconds: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show where a flow goes, and why
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} --entry 10.0.0.2:7003 --caller 10.9.0.1:10000 --service 10.20.0.1:7000"
)]
pub struct ExplainOptions {
    /// status address of the entry VM to ask
    #[argh(option)]
    entry: SocketAddrV4,
    /// address and port of the caller
    #[argh(option)]
    caller: SocketAddrV4,
    /// address and port of the service
    #[argh(option)]
    service: SocketAddrV4,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

fn ask<T: serde::de::DeserializeOwned>(address: SocketAddrV4, path: &str) -> Result<T, String> {
    let url = format!("http://{address}{path}");
    match ureq::get(&url).timeout(CALL_TIMEOUT).call() {
        Ok(answer) => answer.into_json().map_err(|error| error.to_string()),
        Err(ureq::Error::Status(_, answer)) => Err(answer
            .into_string()
            .unwrap_or_else(|error| error.to_string())),
        Err(error) => Err(error.to_string()),
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct EntryLine {
    name: String,
    datacenter: String,
    answers: bool,
    age_ms: Option<u64>,
    versions: BTreeMap<String, u64>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct FleetStatus {
    entries: Vec<EntryLine>,
    hosts: BTreeMap<String, u64>,
}

impl fmt::Display for FleetStatus {
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
        write!(f, "\n{:<16} manifest in force", "host")?;
        self.hosts
            .iter()
            .try_for_each(|(host, version)| write!(f, "\n{host:<16} {version}"))
    }
}

// Asks one entry VM for all, and then each of them.
fn ask_fleet(entry: SocketAddrV4) -> Result<Vec<(String, Option<EntryStatus>)>, String> {
    let first: EntryStatus = ask(entry, "/v1/status")?;
    let mut fleet = Vec::new();
    for known in &first.entries {
        let status = known
            .status
            .parse()
            .map_err(|_| "bad address".to_owned())
            .and_then(|address| ask(address, "/v1/status"));
        fleet.push((known.name.to_string(), status.ok()));
    }
    if fleet.is_empty() {
        fleet.push((first.name.to_string(), Some(first)));
    }
    Ok(fleet)
}

impl StatusOptions {
    /// Runs the command.
    pub fn run(&self) -> CommandEnd {
        let fleet = match ask_fleet(self.entry) {
            Ok(fleet) => fleet,
            Err(text) => {
                complain(self.json, &text);
                return CommandEnd::Unsure;
            }
        };
        let mut hosts = BTreeMap::new();
        let mut entries = Vec::new();
        for (name, status) in fleet {
            let mut line = EntryLine {
                name,
                datacenter: String::new(),
                answers: status.is_some(),
                age_ms: None,
                versions: BTreeMap::new(),
            };
            if let Some(status) = status {
                line.datacenter = status.datacenter.to_string();
                line.age_ms = status.age_ms;
                for document in &status.documents {
                    let name = format!("{}/{}", document.kind, document.name);
                    line.versions.insert(name, document.version);
                }
                for host in &status.hosts {
                    let version = hosts.entry(host.name.to_string()).or_insert(host.manifest);
                    *version = (*version).max(host.manifest);
                }
            }
            entries.push(line);
        }
        print(self.json, &FleetStatus { entries, hosts });
        CommandEnd::Done
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct WaitResult {
    in_force: bool,
    after_ms: u64,
    behind: Vec<String>,
}

impl fmt::Display for WaitResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.in_force {
            write!(f, "in force everywhere after {} ms", self.after_ms)
        } else {
            write!(f, "not in force on: {}", self.behind.join(", "))
        }
    }
}

impl WaitOptions {
    /// Runs the command.
    pub fn run(&self) -> CommandEnd {
        let start = Instant::now();
        let limit = Duration::from_secs(self.seconds);
        loop {
            let fleet = ask_fleet(self.entry);
            let behind = fleet.as_ref().map(|fleet| self.behind(fleet));
            if let Ok(behind) = &behind
                && behind.is_empty()
            {
                let result = WaitResult {
                    in_force: true,
                    after_ms: start.elapsed().as_millis() as u64,
                    behind: Vec::new(),
                };
                print(self.json, &result);
                return CommandEnd::Done;
            }
            if start.elapsed() >= limit {
                return self.give_up(behind.map_err(Clone::clone), start.elapsed());
            }
            std::thread::sleep(WAIT_PAUSE);
        }
    }

    fn give_up(&self, behind: Result<Vec<String>, String>, waited: Duration) -> CommandEnd {
        match behind {
            Ok(behind) => {
                let result = WaitResult {
                    in_force: false,
                    after_ms: waited.as_millis() as u64,
                    behind,
                };
                print(self.json, &result);
                CommandEnd::NotSo
            }
            Err(text) => {
                complain(self.json, &text);
                CommandEnd::Unsure
            }
        }
    }

    fn behind(&self, fleet: &[(String, Option<EntryStatus>)]) -> Vec<String> {
        let mut behind = Vec::new();
        let mut hosts: BTreeMap<String, u64> = BTreeMap::new();
        for (name, status) in fleet {
            let Some(status) = status else {
                behind.push(name.clone());
                continue;
            };
            let has = status.documents.iter().any(|document| {
                document.kind == "manifest"
                    && document.name == self.firm.as_str()
                    && document.version >= self.manifest.0
            });
            if !has {
                behind.push(name.clone());
            }
            let firm = format!("{}/", self.firm);
            for host in status
                .hosts
                .iter()
                .filter(|host| host.service.starts_with(&firm))
            {
                let version = hosts.entry(host.name.to_string()).or_insert(host.manifest);
                *version = (*version).max(host.manifest);
            }
        }
        let late = hosts
            .into_iter()
            .filter(|(_, version)| *version < self.manifest.0);
        behind.extend(late.map(|(name, _)| name));
        behind
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct ExplainResult(FlowExplanation);

fn write_hops(f: &mut fmt::Formatter<'_>, hops: &[HopExplanation]) -> fmt::Result {
    hops.iter().enumerate().try_for_each(|(place, hop)| {
        write!(
            f,
            "\n  {}. {} at {} ({}, weight {})",
            place + 1,
            hop.host,
            hop.packets,
            hop.state,
            hop.weight
        )
    })
}

impl fmt::Display for ExplainResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flow = &self.0;
        write!(
            f,
            "service {}, bucket {}, roster {}\na new flow is offered to, in this order:",
            flow.service, flow.bucket, flow.generation
        )?;
        write_hops(f, &flow.opening)?;
        write!(f, "\na packet of an open flow walks:")?;
        write_hops(f, &flow.walk)?;
        let reach = if flow.complete { "every" } else { "not every" };
        write!(f, "\nthe walk reaches {reach} host that may own the flow")
    }
}

impl ExplainOptions {
    /// Runs the command.
    pub fn run(&self) -> CommandEnd {
        let path = format!(
            "/v1/explain?caller={}&service={}",
            self.caller, self.service
        );
        match ask::<FlowExplanation>(self.entry, &path) {
            Ok(explanation) => {
                print(self.json, &ExplainResult(explanation));
                CommandEnd::Done
            }
            Err(text) => {
                complain(self.json, &text);
                CommandEnd::Unsure
            }
        }
    }
}
