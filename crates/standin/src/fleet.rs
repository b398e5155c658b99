//! Starts, controls and ends the processes of a small fleet on this machine.
//!
//! The tryout, the load tools, the fault soak and the tests use it.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::{File, OpenOptions};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde_json::json;

use chestnutlb_core::{DocumentId, DocumentKind, ObjectVersion};
use chestnutlb_store::{StoreCalls, StoreClient, WriteOutcome, objects};
use chestnutlb_wire::WireHost;
use chestnutlb_wire::records::WireEntry;
use chestnutlb_wire::status::{EntryStatus, FlowExplanation, SideStatus};

use crate::fabric::{FabricEntry, FabricFaults, FabricPlan};
use crate::free_ports::{free_address, lock_ports};
use crate::http;
use crate::platform::{PlatformSwitch, RestorePoint, RestoreReply};
use crate::proxy::{LinkFault, LinkProxy};

/// Timeout for a condition, far longer than any condition takes to become true.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Number of lines of each log in the report of a failure.
const REPORTED_LINES: usize = 20;
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

quick_error! {
    /// Error of an operation on the fleet.
    #[derive(Debug)]
    pub enum FleetError {
        /// An I/O operation failed.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// A condition did not become true within [`WAIT_LIMIT`].
        Timeout(what: String, processes: ProcessReport) {
            display("timed out waiting for {}{}", what, processes)
        }
        /// An operation failed, as described by the text.
        Failed(what: String) {
            display("{}", what)
        }
    }
}

type FleetResult<T> = Result<T, FleetError>;

/// Addresses that a backend server listens on.
#[derive(Debug, Clone)]
pub struct BackendAddresses {
    /// Address for requests or feeds.
    pub work: SocketAddrV4,
    /// Address for health and reports.
    pub health: SocketAddrV4,
}

/// Configuration of a host: a backend server and its side process.
#[derive(Debug, Clone)]
pub struct HostPlan {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub datacenter: String,
    /// Service of the host, as `firm/service`.
    pub service: String,
    /// Arguments of the backend stand-in, besides its name and addresses.
    pub backend_arguments: Vec<String>,
    /// Weight of the host in the roster; 100 is ordinary.
    pub weight: u16,
}

impl HostPlan {
    /// Returns a host of ordinary speed with three slots, which serves feeds or requests.
    pub fn new(name: &str, datacenter: &str, service: &str, feeds: bool) -> Self {
        let mut backend_arguments = vec!["--slots".to_owned(), "3".to_owned()];
        if feeds {
            backend_arguments.push("--feeds".to_owned());
        }
        Self {
            name: name.to_owned(),
            datacenter: datacenter.to_owned(),
            service: service.to_owned(),
            backend_arguments,
            weight: 100,
        }
    }
}

/// Addresses that a side process listens on.
#[derive(Debug, Clone)]
pub struct SideAddresses {
    /// Address for datagrams from its trackers.
    pub announce: SocketAddrV4,
    /// Address for HTTP.
    pub status: SocketAddrV4,
}

/// Addresses that an entry VM listens on.
#[derive(Debug, Clone)]
pub struct EntryAddresses {
    /// Address for packets.
    pub packets: SocketAddrV4,
    /// Address for peer datagrams: heartbeats and registrations.
    pub peers: SocketAddrV4,
    /// Address for HTTP.
    pub status: SocketAddrV4,
}

/// What the processes of a fleet were doing when a wait failed.
#[derive(Clone, Default)]
pub struct ProcessReport(String);

impl fmt::Display for ProcessReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

// Failed tests print errors in this form.
impl fmt::Debug for ProcessReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Processes of a fleet; all of them are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    binaries: PathBuf,
    logs: PathBuf,
    processes: BTreeMap<String, Child>,
    entries: BTreeMap<String, EntryAddresses>,
    backends: BTreeMap<String, BackendAddresses>,
    sides: BTreeMap<String, SideAddresses>,
    faults: FabricFaults,
    links: BTreeMap<String, LinkProxy>,
    /// Whether entry VMs and hosts started from now on reach the platform and their
    /// backend servers through proxies.
    pub use_proxies: bool,
    /// Address that entry VMs started from now on send their metrics to.
    pub metrics: Option<SocketAddrV4>,
    /// HTTP address of the platform.
    pub platform: SocketAddrV4,
    /// Packet address of the fabric.
    pub fabric: SocketAddrV4,
    fabric_admin: SocketAddrV4,
    // Whether the folder of settings and logs is removed unless a test fails.
    is_temporary: bool,
}

/// Sends a signal to the process with this process id.
pub fn send_signal(id: u32, signal: i32) -> FleetResult<()> {
    let flag = format!("-{signal}");
    let status = Command::new("kill").args([flag, id.to_string()]).status()?;
    if status.success() {
        Ok(())
    } else {
        Err(FleetError::Failed(format!(
            "signal {signal} to process {id} failed: kill ended with {status}"
        )))
    }
}

impl Fleet {
    /// Starts the platform and the fabric.
    ///
    /// `binaries` is the folder of the programs; their settings and their output go to the
    /// folder `logs`.
    pub fn start(binaries: &Path, logs: &Path) -> FleetResult<Self> {
        std::fs::create_dir_all(logs)?;
        let mut fleet = Self {
            binaries: binaries.to_owned(),
            logs: logs.to_owned(),
            processes: BTreeMap::new(),
            entries: BTreeMap::new(),
            backends: BTreeMap::new(),
            sides: BTreeMap::new(),
            faults: FabricFaults::default(),
            links: BTreeMap::new(),
            use_proxies: false,
            metrics: None,
            platform: free_address()?,
            fabric: free_address()?,
            fabric_admin: free_address()?,
            is_temporary: false,
        };
        let address = fleet.platform.to_string();
        fleet.spawn(
            "platform",
            "chestnutlb-standin",
            &["platform", "--address", &address],
        )?;
        let (packets, admin) = (fleet.fabric.to_string(), fleet.fabric_admin.to_string());
        let arguments = ["fabric", "--packets", &packets, "--admin", &admin];
        fleet.spawn("fabric", "chestnutlb-standin", &arguments)?;
        let client = fleet.client();
        fleet.wait_for("the platform", || client.list().is_ok())?;
        let admin = fleet.fabric_admin;
        fleet.wait_for("the fabric", || {
            http::send_request(admin, "POST", "/plan", "{\"entries\":[]}").is_ok()
        })?;
        Ok(fleet)
    }

    /// Starts the platform and the fabric of a test. The folder is removed at the end of the fleet,
    /// unless its thread panics.
    pub fn start_temporary(binaries: &Path, logs: &Path) -> FleetResult<Self> {
        let mut fleet = Self::start(binaries, logs)?;
        fleet.is_temporary = true;
        Ok(fleet)
    }

    fn spawn(&mut self, name: &str, program: &str, arguments: &[&str]) -> FleetResult<()> {
        let log = File::create(self.log_path(name))?;
        self.spawn_logged(name, program, arguments, log)
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.logs.join(format!("{name}.log"))
    }

    fn spawn_logged(
        &mut self,
        name: &str,
        program: &str,
        arguments: &[&str],
        log: File,
    ) -> FleetResult<()> {
        let _guard = lock_ports();
        // The child keeps the other end of its input, which closes if this process is killed.
        let child = Command::new(self.binaries.join(program))
            .arg("--end-with-input")
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes.insert(name.to_owned(), child);
        Ok(())
    }

    /// Returns a client of the platform.
    pub fn client(&self) -> StoreClient {
        StoreClient::new(&format!("http://{}", self.platform))
    }

    /// Waits until `condition` returns true; `what` describes it in the timeout error.
    pub fn wait_for(&self, what: &str, mut condition: impl FnMut() -> bool) -> FleetResult<()> {
        let start = Instant::now();
        while !condition() {
            if start.elapsed() > WAIT_LIMIT {
                return Err(FleetError::Timeout(
                    what.to_owned(),
                    self.report_processes(),
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    // Returns the state, the settings and the end of the log of each process.
    fn report_processes(&self) -> ProcessReport {
        let mut report = format!("; settings and logs in {}", self.logs.display());
        for (name, child) in &self.processes {
            let settings = std::fs::read_to_string(self.settings_path(name)).unwrap_or_default();
            let log = self.log(name);
            let lines: Vec<_> = log.lines().collect();
            let shown = &lines[lines.len().saturating_sub(REPORTED_LINES)..];
            let state = process_state(child.id());
            report += &format!("\n== {name}, {state}\n{settings}\n{}", shown.join("\n"));
        }
        ProcessReport(report)
    }

    /// Writes the first version of the grants, each an address block and a firm. In
    /// production the staff of the platform do this once.
    pub fn grant(&self, grants: &[(&str, &str)]) -> FleetResult<()> {
        let grants: Vec<_> = grants
            .iter()
            .map(|(block, firm)| json!({"block": block, "firm": firm}))
            .collect();
        let value = json!({ "grants": grants });
        match self
            .client()
            .write(&objects::grants_id(), ObjectVersion(0), &value)
        {
            WriteOutcome::Written(_) => Ok(()),
            other => Err(FleetError::Failed(format!("grants not written: {other:?}"))),
        }
    }

    /// Sets which failures are switched on at the platform.
    pub fn switch(&self, switch: PlatformSwitch) -> FleetResult<()> {
        let body = serde_json::to_string(&switch).unwrap_or_default();
        let (status, text) = http::send_request(self.platform, "POST", "/switch", &body)?;
        if status == 200 {
            Ok(())
        } else {
            Err(FleetError::Failed(format!(
                "platform switch not set: {status} {text}"
            )))
        }
    }

    /// Puts back an older copy of the platform's objects.
    pub fn restore(&self, point: RestorePoint) -> FleetResult<RestoreReply> {
        let body = serde_json::to_string(&point).unwrap_or_default();
        let (status, text) = http::send_request(self.platform, "POST", "/restore", &body)?;
        serde_json::from_str(&text)
            .ok()
            .filter(|_| status == 200)
            .ok_or(FleetError::Failed(format!(
                "platform not restored to {point:?}: {status} {text}"
            )))
    }

    /// Runs the operators' client and returns its output.
    pub fn run_client(&self, arguments: &[&str]) -> FleetResult<Output> {
        Ok(Command::new(self.binaries.join("chestnutlb"))
            .args(arguments)
            .output()?)
    }

    /// Commits a manifest through the client and returns its version.
    pub fn commit(&self, manifest: &Path) -> FleetResult<ObjectVersion> {
        let platform = format!("http://{}", self.platform);
        let path = manifest.to_string_lossy();
        let output = self.run_client(&["commit", "--json", "--platform", &platform, &path])?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        serde_json::from_str::<serde_json::Value>(&text)
            .ok()
            .and_then(|value| parse_version(&value["version"]))
            .ok_or(FleetError::Failed(format!(
                "commit printed no version: {text}"
            )))
    }

    /// Returns what the client plans for a commit of a manifest: the version that it would
    /// replace, and the number of changes.
    pub fn plan(&self, manifest: &Path) -> FleetResult<(ObjectVersion, usize)> {
        let platform = format!("http://{}", self.platform);
        let path = manifest.to_string_lossy();
        let output = self.run_client(&["plan", "--json", "--platform", &platform, &path])?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        serde_json::from_str::<serde_json::Value>(&text)
            .ok()
            .and_then(|plan| {
                Some((
                    parse_version(&plan["base"])?,
                    plan["changes"].as_array()?.len(),
                ))
            })
            .ok_or(FleetError::Failed(format!("plan printed no base: {text}")))
    }

    /// Returns how an entry VM routes a flow to a service address, or `None` if it knows no
    /// service there.
    pub fn explain(&self, entry: &str, address: &str) -> Option<FlowExplanation> {
        let status = self.entries.get(entry)?.status;
        let path = format!("/v1/explain?caller=10.9.1.1:10000&service={address}");
        let (_, body) = http::send_request(status, "GET", &path, "").ok()?;
        serde_json::from_str(&body).ok()
    }

    /// Waits through the client until a manifest version is in force everywhere; returns
    /// the time in milliseconds that the client reports for it.
    pub fn wait_in_force(&self, firm: &str, version: ObjectVersion) -> FleetResult<u64> {
        let entry = self
            .entries
            .values()
            .next()
            .ok_or(FleetError::Failed("the fleet has no entry VM".to_owned()))?;
        let entry = entry.status.to_string();
        let version = version.to_string();
        let output = self.run_client(&[
            "wait",
            "--json",
            "--entry",
            &entry,
            "--firm",
            firm,
            "--manifest",
            &version,
        ])?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        serde_json::from_str::<serde_json::Value>(&text)
            .ok()
            .filter(|value| value["in_force"] == true)
            .and_then(|value| value["after_ms"].as_u64())
            .ok_or(FleetError::Failed(format!(
                "version {version} of {firm} not in force: {text}"
            )))
    }

    fn spawn_daemon(&mut self, name: &str, settings: &serde_json::Value) -> FleetResult<()> {
        let path = self.settings_path(name);
        std::fs::write(&path, settings.to_string())?;
        self.spawn(
            name,
            "chestnutlbd",
            &["--settings", &path.to_string_lossy()],
        )
    }

    fn settings_path(&self, name: &str) -> PathBuf {
        self.logs.join(format!("{name}.json"))
    }

    /// Restarts a daemon with the same settings and addresses; its output is appended to
    /// the existing log.
    pub fn respawn(&mut self, name: &str) -> FleetResult<()> {
        let path = self.settings_path(name);
        let log = OpenOptions::new().append(true).open(self.log_path(name))?;
        let arguments = ["--settings", &path.to_string_lossy()];
        self.spawn_logged(name, "chestnutlbd", &arguments, log)
    }

    // Returns the address through which the process `name` reaches `target`. If proxies are in
    // use, starts a proxy and returns its address.
    fn start_link(&mut self, name: &str, target: SocketAddrV4) -> FleetResult<SocketAddrV4> {
        if !self.use_proxies {
            return Ok(target);
        }
        let proxy = LinkProxy::start(target)?;
        let address = proxy.address;
        self.links.insert(name.to_owned(), proxy);
        Ok(address)
    }

    /// Sets the fault of the proxy between an entry VM and the platform, or between a side
    /// process and its backend server.
    pub fn set_link(&self, name: &str, fault: LinkFault) -> FleetResult<()> {
        let link = self.links.get(name);
        let link = link.ok_or(FleetError::Failed(format!("{name} has no proxy")))?;
        link.set_fault(fault);
        Ok(())
    }

    /// Starts an entry VM and adds it to the plan of the fabric.
    pub fn start_entry(&mut self, name: &str, datacenter: &str) -> FleetResult<()> {
        let addresses = EntryAddresses {
            packets: free_address()?,
            peers: free_address()?,
            status: free_address()?,
        };
        let seeds: Vec<_> = self.entries.values().map(|entry| entry.peers).collect();
        let platform = self.start_link(name, self.platform)?;
        let settings = json!({
            "role": "entry",
            "name": name,
            "datacenter": datacenter,
            "packets": addresses.packets,
            "peers": addresses.peers,
            "status": addresses.status,
            "fabric": self.fabric,
            "platform": format!("http://{platform}"),
            "seeds": seeds,
            "metrics": self.metrics,
        });
        self.spawn_daemon(name, &settings)?;
        self.entries.insert(name.to_owned(), addresses);
        self.send_fabric_plan()
    }

    fn send_fabric_plan(&self) -> FleetResult<()> {
        let entries = self
            .entries
            .values()
            .map(|entry| FabricEntry {
                packets: entry.packets,
                status: entry.status,
            })
            .collect();
        let plan = FabricPlan {
            entries,
            faults: self.faults,
        };
        let body = serde_json::to_string(&plan).unwrap_or_default();
        http::send_request(self.fabric_admin, "POST", "/plan", &body)?;
        Ok(())
    }

    /// Sets the faults that the fabric applies to packets.
    pub fn set_faults(&mut self, faults: FabricFaults) -> FleetResult<()> {
        self.faults = faults;
        self.send_fabric_plan()
    }

    /// Starts a backend server and its side process.
    pub fn start_host(&mut self, plan: &HostPlan) -> FleetResult<()> {
        let addresses = BackendAddresses {
            work: free_address()?,
            health: free_address()?,
        };
        let (work, health) = (addresses.work.to_string(), addresses.health.to_string());
        let mut arguments = vec![
            "backend", "--name", &plan.name, "--work", &work, "--health", &health,
        ];
        arguments.extend(plan.backend_arguments.iter().map(String::as_str));
        self.spawn(
            &format!("{}-backend", plan.name),
            "chestnutlb-standin",
            &arguments,
        )?;
        let side = SideAddresses {
            announce: free_address()?,
            status: free_address()?,
        };
        let seeds: Vec<_> = self.entries.values().map(|entry| entry.peers).collect();
        let backend = self.start_link(&plan.name, addresses.work)?;
        let settings = json!({
            "role": "side",
            "name": plan.name,
            "datacenter": plan.datacenter,
            "service": plan.service,
            "packets": free_address()?,
            "announce": side.announce,
            "status": side.status,
            "fabric": self.fabric,
            "seeds": seeds,
            "backend": backend,
            "health": addresses.health,
            "weight": plan.weight,
        });
        self.spawn_daemon(&plan.name, &settings)?;
        self.backends.insert(plan.name.clone(), addresses);
        self.sides.insert(plan.name.clone(), side);
        Ok(())
    }

    /// Returns the status of an entry VM, or `None` if it does not answer.
    pub fn entry_status(&self, name: &str) -> Option<EntryStatus> {
        let address = self.entries.get(name)?.status;
        let (_, body) = http::send_request(address, "GET", "/v1/status", "").ok()?;
        serde_json::from_str(&body).ok()
    }

    /// Returns the status of a side process, or `None` if it does not answer.
    pub fn side_status(&self, name: &str) -> Option<SideStatus> {
        let address = self.sides.get(name)?.status;
        let (_, body) = http::send_request(address, "GET", "/v1/status", "").ok()?;
        serde_json::from_str(&body).ok()
    }

    /// Returns the report of a backend server, or `None` if it does not answer.
    pub fn backend_report(&self, name: &str) -> Option<crate::backend::BackendReport> {
        let address = self.backends.get(name)?.health;
        let (_, body) = http::send_request(address, "GET", "/report", "").ok()?;
        serde_json::from_str(&body).ok()
    }

    /// Returns the names of the entry VMs.
    pub fn entries(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// Returns the names of all hosts that were started.
    pub fn hosts(&self) -> Vec<String> {
        self.backends.keys().cloned().collect()
    }

    /// Returns the addresses of a side process.
    pub fn side_addresses(&self, name: &str) -> Option<&SideAddresses> {
        self.sides.get(name)
    }

    /// Returns the addresses of an entry VM.
    pub fn entry_addresses(&self, name: &str) -> Option<&EntryAddresses> {
        self.entries.get(name)
    }

    /// Waits until every host accepts new flows and every entry VM has the current
    /// version of each document.
    pub fn wait_ready(&self, entries: &[String], hosts: &[String]) -> FleetResult<()> {
        for host in hosts {
            self.wait_for(&format!("{host} to serve"), || {
                self.side_status(host)
                    .is_some_and(|status| status.state == "serving")
            })?;
        }
        self.wait_for("all hosts in the rosters", || {
            let roster = self.roster_hosts();
            hosts.iter().all(|host| {
                roster
                    .iter()
                    .any(|entry| entry.name == *host && entry.state == "serving")
            })
        })?;
        for entry in entries {
            self.wait_for(&format!("{entry} to have all documents"), || {
                self.has_all_documents(entry)
            })?;
        }
        Ok(())
    }

    // Returns whether an entry VM has exactly the version of each document that the platform
    // lists, and its members. A higher version, or other members, are what the platform has
    // lost.
    fn has_all_documents(&self, entry: &str) -> bool {
        let expected = self.document_versions();
        let Some(status) = self.entry_status(entry) else {
            return false;
        };
        !expected.is_empty()
            && sort_by_name(status.entries) == self.stored_members()
            && expected.iter().all(|(id, version)| {
                status.documents.iter().any(|document| {
                    document.kind == id.kind.as_str()
                        && document.name == id.name
                        && document.version.0 == *version
                })
            })
    }

    /// Returns all hosts in the platform's rosters.
    pub fn roster_hosts(&self) -> Vec<WireHost> {
        self.read_records(DocumentKind::Roster, "hosts")
    }

    // Returns all entry VMs in the platform's members, by name.
    fn stored_members(&self) -> Vec<WireEntry> {
        sort_by_name(self.read_records(DocumentKind::Members, "entries"))
    }

    // Returns the records in a list of all objects of a kind; skips those that can't be read.
    fn read_records<T: DeserializeOwned>(&self, kind: DocumentKind, list: &str) -> Vec<T> {
        let client = self.client();
        let versions = self.document_versions().into_iter();
        versions
            .filter(|(id, _)| id.kind == kind)
            .filter_map(|(id, _)| client.read(&id).ok().flatten())
            .flat_map(|reply| reply.value[list].as_array().cloned().unwrap_or_default())
            .filter_map(|record| serde_json::from_value(record).ok())
            .collect()
    }

    /// Returns the id and version of each document on the platform; the list is empty if
    /// the platform does not answer.
    pub fn document_versions(&self) -> Vec<(DocumentId, ObjectVersion)> {
        let list = self.client().list().unwrap_or_default();
        list.objects
            .iter()
            .filter_map(|entry| {
                let kind = DocumentKind::ALL
                    .into_iter()
                    .find(|kind| kind.as_str() == entry.kind)?;
                Some((DocumentId::new(kind, &entry.name), entry.version))
            })
            .collect()
    }

    /// Sends a signal to a process of this fleet.
    pub fn signal(&self, name: &str, signal: i32) -> FleetResult<()> {
        let child = self
            .processes
            .get(name)
            .ok_or(FleetError::Failed(format!("no process named {name}")))?;
        send_signal(child.id(), signal)
    }

    /// Sends SIGTERM to a process and waits for its end; returns its exit code, or `None`
    /// if a signal ended it.
    pub fn stop(&mut self, name: &str) -> FleetResult<Option<i32>> {
        self.signal(name, signal_hook::consts::SIGTERM)?;
        self.wait_for_exit(name)
    }

    /// Waits for the end of a process; returns its exit code, or `None` if a signal ended
    /// it.
    pub fn wait_for_exit(&mut self, name: &str) -> FleetResult<Option<i32>> {
        let mut child = self
            .processes
            .remove(name)
            .ok_or(FleetError::Failed(format!("no process named {name}")))?;
        let start = Instant::now();
        loop {
            if let Some(status) = child.try_wait()? {
                self.remove_addresses(name);
                return Ok(status.code());
            }
            if start.elapsed() > WAIT_LIMIT {
                self.processes.insert(name.to_owned(), child);
                let what = format!("{name} to end");
                return Err(FleetError::Timeout(what, self.report_processes()));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns whether a process was started and its end has not been collected by
    /// [`Fleet::wait_for_exit`], [`Fleet::take_exit_code`] or [`Fleet::kill`].
    pub fn is_running(&self, name: &str) -> bool {
        self.processes.contains_key(name)
    }

    /// Returns whether a process has ended or was never started.
    pub fn has_ended(&mut self, name: &str) -> bool {
        match self.processes.get_mut(name) {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// Collects the exit code of a process if it has ended; the inner option is `None` if
    /// a signal ended it. The addresses of the process are kept for a restart.
    pub fn take_exit_code(&mut self, name: &str) -> FleetResult<Option<Option<i32>>> {
        let Some(child) = self.processes.get_mut(name) else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.processes.remove(name);
        }
        Ok(status.map(|status| status.code()))
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, name: &str) -> FleetResult<()> {
        if let Some(mut child) = self.processes.remove(name) {
            child.kill()?;
            child.wait()?;
        }
        self.remove_addresses(name);
        Ok(())
    }

    fn remove_addresses(&mut self, name: &str) {
        self.entries.remove(name);
        self.sides.remove(name);
    }

    /// Returns the processor time of a process, in kernel ticks, and its resident memory,
    /// in bytes.
    pub fn process_costs(&self, name: &str) -> Option<(f64, f64)> {
        const PAGE_BYTES: f64 = 4096.0;
        let id = self.processes.get(name)?.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // proc(5), counted from 1: the state is field 3, the first after the name in
        // parentheses; user and system time are 14 and 15, resident pages 24.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let memory = fields.get(21)?.parse::<f64>().ok()? * PAGE_BYTES;
        Some((ticks, memory))
    }

    /// Returns the output of a process, or an empty string if it has none.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.log_path(name)).unwrap_or_default()
    }
}

/// Returns whether a process runs, or its exit status as proc(5) has it until it is waited for.
pub fn process_state(id: u32) -> String {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // Counted from 1: the state is field 3, the first after the name in parentheses; the exit
    // status is the last, field 52.
    let fields: Vec<&str> = match stat.rsplit_once(')') {
        Some((_, fields)) => fields.split_whitespace().collect(),
        None => return "gone".to_owned(),
    };
    match (fields.first(), fields.get(49)) {
        (Some(&"Z"), Some(status)) => format!("ended with wait status {status}"),
        (Some(state), _) => format!("process {id} in state {state}"),
        (None, _) => "gone".to_owned(),
    }
}

// Parses a version as the client prints it: a number, or text with an era.
fn parse_version(printed: &serde_json::Value) -> Option<ObjectVersion> {
    match printed.as_str() {
        Some(text) => text.parse().ok(),
        None => printed
            .as_u64()
            .map(|revision| ObjectVersion(revision.into())),
    }
}

fn sort_by_name(mut entries: Vec<WireEntry>) -> Vec<WireEntry> {
    entries.sort_by(|entry, other| entry.name.cmp(&other.name));
    entries
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            // The process may already have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
        if self.is_temporary && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.logs);
        }
    }
}
