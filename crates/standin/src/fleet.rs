//! Starts the processes of a small fleet on this machine and ends them again.
//! Used by the tryout, the load tool and the tests.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use quick_error::quick_error;
use serde_json::json;

use chestnutlb_core::{DocumentId, DocumentKind, ObjectVersion};
use chestnutlb_store::{StoreCalls, StoreClient, WriteOutcome, objects};
use chestnutlb_wire::status::{EntryStatus, SideStatus};
use chestnutlb_wire::{WireHost, WireRoster};

use crate::fabric::{FabricEntry, FabricFaults, FabricPlan};
use crate::free_ports::{free_address, port_guard};
use crate::platform::PlatformSwitch;
use crate::proxy::{LinkFault, LinkProxy};
use crate::small_http;

/// Longest wait for a condition; far above what any needs.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const WAIT_PAUSE: Duration = Duration::from_millis(50);

quick_error! {
    /// Why the fleet can't go on.
    #[derive(Debug)]
    pub enum FleetError {
        /// Input or output failed.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// A condition did not come true in time.
        Late(what: String) {
            display("still waiting for {}", what)
        }
        /// Something is not as it must be.
        Wrong(what: String) {
            display("{}", what)
        }
    }
}

type FleetResult<T> = Result<T, FleetError>;

/// Where a backend server's process listens.
#[derive(Debug, Clone)]
pub struct BackendPorts {
    /// For work.
    pub work: SocketAddrV4,
    /// For health and reports.
    pub health: SocketAddrV4,
}

/// What a backend server and its side process are started with.
#[derive(Debug, Clone)]
pub struct HostPlan {
    /// Name of the host.
    pub name: String,
    /// Data centre.
    pub datacenter: String,
    /// Firm and service.
    pub service: String,
    /// Further arguments of the backend stand-in.
    pub backend: Vec<String>,
    /// Weight in the roster.
    pub weight: u16,
}

impl HostPlan {
    /// A host of ordinary speed.
    pub fn new(name: &str, datacenter: &str, service: &str, feeds: bool) -> Self {
        let mut backend = vec!["--slots".to_owned(), "3".to_owned()];
        if feeds {
            backend.push("--feeds".to_owned());
        }
        Self {
            name: name.to_owned(),
            datacenter: datacenter.to_owned(),
            service: service.to_owned(),
            backend,
            weight: 100,
        }
    }
}

/// Where a side process listens.
#[derive(Debug, Clone)]
pub struct SidePorts {
    /// For its keepers.
    pub announce: SocketAddrV4,
    /// For HTTP.
    pub status: SocketAddrV4,
}

/// A running entry VM.
#[derive(Debug, Clone)]
pub struct EntryPorts {
    /// For packets.
    pub packets: SocketAddrV4,
    /// For heartbeats and announcements.
    pub peers: SocketAddrV4,
    /// For HTTP.
    pub status: SocketAddrV4,
}

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    binaries: PathBuf,
    logs: PathBuf,
    processes: BTreeMap<String, Child>,
    entries: BTreeMap<String, EntryPorts>,
    backends: BTreeMap<String, BackendPorts>,
    sides: BTreeMap<String, SidePorts>,
    faults: FabricFaults,
    links: BTreeMap<String, LinkProxy>,
    /// Whether processes that are started from now on reach the platform and
    /// their backend servers through proxies.
    pub linked: bool,
    /// Where entry VMs that are started from now on send their metrics.
    pub metrics: Option<SocketAddrV4>,
    /// The platform's address.
    pub platform: SocketAddrV4,
    /// The fabric's address for packets.
    pub fabric: SocketAddrV4,
    fabric_admin: SocketAddrV4,
}

/// Sends a signal to a process, by its id.
pub fn send_signal(id: u32, signal: i32) -> FleetResult<()> {
    let flag = format!("-{signal}");
    let status = Command::new("kill").args([flag, id.to_string()]).status()?;
    if status.success() {
        Ok(())
    } else {
        Err(FleetError::Wrong(format!("signal {signal} to {id} failed")))
    }
}

impl Fleet {
    /// Starts platform and fabric. `binaries` is the folder of the programs,
    /// `logs` the one for what they print.
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
            linked: false,
            metrics: None,
            platform: free_address()?,
            fabric: free_address()?,
            fabric_admin: free_address()?,
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
            small_http::call(admin, "POST", "/plan", "{\"entries\":[]}").is_ok()
        })?;
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
        let _guard = port_guard();
        let child = Command::new(self.binaries.join(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes.insert(name.to_owned(), child);
        Ok(())
    }

    /// A client of the platform.
    pub fn client(&self) -> StoreClient {
        StoreClient::new(&format!("http://{}", self.platform))
    }

    /// Waits until `ready` says yes.
    pub fn wait_for(&self, what: &str, mut ready: impl FnMut() -> bool) -> FleetResult<()> {
        let start = Instant::now();
        while !ready() {
            if start.elapsed() > WAIT_LIMIT {
                return Err(FleetError::Late(what.to_owned()));
            }
            std::thread::sleep(WAIT_PAUSE);
        }
        Ok(())
    }

    /// Writes the grants of addresses, as the platform's staff do once.
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
            other => Err(FleetError::Wrong(format!("grants: {other:?}"))),
        }
    }

    /// Sets the platform's switch.
    pub fn switch(&self, switch: PlatformSwitch) -> FleetResult<()> {
        let body = serde_json::to_string(&switch).unwrap_or_default();
        let (status, text) = small_http::call(self.platform, "POST", "/switch", &body)?;
        if status == 200 {
            Ok(())
        } else {
            Err(FleetError::Wrong(format!("switch: {status} {text}")))
        }
    }

    /// Runs the operators' client.
    pub fn operate(&self, arguments: &[&str]) -> FleetResult<Output> {
        Ok(Command::new(self.binaries.join("chestnutlb"))
            .args(arguments)
            .output()?)
    }

    /// Commits a manifest through the client and returns its version.
    pub fn commit(&self, manifest: &Path) -> FleetResult<u64> {
        let platform = format!("http://{}", self.platform);
        let path = manifest.to_string_lossy();
        let output = self.operate(&["commit", "--json", "--platform", &platform, &path])?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        serde_json::from_str::<serde_json::Value>(&text)
            .ok()
            .and_then(|value| value["version"].as_u64())
            .ok_or(FleetError::Wrong(format!("commit: {text}")))
    }

    /// Waits through the client until a manifest is in force everywhere, and
    /// returns the time that took by its word, in milliseconds.
    pub fn wait_in_force(&self, firm: &str, version: u64) -> FleetResult<u64> {
        let entry = self
            .entries
            .values()
            .next()
            .ok_or(FleetError::Wrong("no entry VM".to_owned()))?;
        let (entry, version) = (entry.status.to_string(), version.to_string());
        let output = self.operate(&[
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
            .ok_or(FleetError::Wrong(format!("wait: {text}")))
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

    /// Starts a daemon again with its settings, at the same addresses; it goes on
    /// in the same log.
    pub fn respawn(&mut self, name: &str) -> FleetResult<()> {
        let path = self.settings_path(name);
        let log = OpenOptions::new().append(true).open(self.log_path(name))?;
        let arguments = ["--settings", &path.to_string_lossy()];
        self.spawn_logged(name, "chestnutlbd", &arguments, log)
    }

    // The address through which `name` reaches `target`.
    fn link_to(&mut self, name: &str, target: SocketAddrV4) -> FleetResult<SocketAddrV4> {
        if !self.linked {
            return Ok(target);
        }
        let proxy = LinkProxy::start(free_address()?, target)?;
        let address = proxy.address;
        self.links.insert(name.to_owned(), proxy);
        Ok(address)
    }

    /// Sets the fault of the link of an entry VM to the platform, or of a side process to its
    /// backend server.
    pub fn set_link(&self, name: &str, fault: LinkFault) -> FleetResult<()> {
        let link = self.links.get(name);
        let link = link.ok_or(FleetError::Wrong(format!("no link of {name}")))?;
        link.set(fault);
        Ok(())
    }

    /// Starts an entry VM and lets the fabric know.
    pub fn start_entry(&mut self, name: &str, datacenter: &str) -> FleetResult<()> {
        let ports = EntryPorts {
            packets: free_address()?,
            peers: free_address()?,
            status: free_address()?,
        };
        let seeds: Vec<_> = self.entries.values().map(|entry| entry.peers).collect();
        let platform = self.link_to(name, self.platform)?;
        let settings = json!({
            "role": "entry",
            "name": name,
            "datacenter": datacenter,
            "packets": ports.packets,
            "peers": ports.peers,
            "status": ports.status,
            "fabric": self.fabric,
            "platform": format!("http://{platform}"),
            "seeds": seeds,
            "metrics": self.metrics,
        });
        self.spawn_daemon(name, &settings)?;
        self.entries.insert(name.to_owned(), ports);
        self.plan_fabric()
    }

    fn plan_fabric(&self) -> FleetResult<()> {
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
        small_http::call(self.fabric_admin, "POST", "/plan", &body)?;
        Ok(())
    }

    /// Changes what the fabric does to packets.
    pub fn set_faults(&mut self, faults: FabricFaults) -> FleetResult<()> {
        self.faults = faults;
        self.plan_fabric()
    }

    /// Starts a backend server and its side process.
    pub fn start_host(&mut self, plan: &HostPlan) -> FleetResult<()> {
        let ports = BackendPorts {
            work: free_address()?,
            health: free_address()?,
        };
        let (work, health) = (ports.work.to_string(), ports.health.to_string());
        let mut arguments = vec![
            "backend", "--name", &plan.name, "--work", &work, "--health", &health,
        ];
        arguments.extend(plan.backend.iter().map(String::as_str));
        self.spawn(
            &format!("{}-backend", plan.name),
            "chestnutlb-standin",
            &arguments,
        )?;
        let side = SidePorts {
            announce: free_address()?,
            status: free_address()?,
        };
        let seeds: Vec<_> = self.entries.values().map(|entry| entry.peers).collect();
        let backend = self.link_to(&plan.name, ports.work)?;
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
            "health": ports.health,
            "weight": plan.weight,
        });
        self.spawn_daemon(&plan.name, &settings)?;
        self.backends.insert(plan.name.clone(), ports);
        self.sides.insert(plan.name.clone(), side);
        Ok(())
    }

    /// Status of an entry VM; none if it does not answer.
    pub fn entry_status(&self, name: &str) -> Option<EntryStatus> {
        let address = self.entries.get(name)?.status;
        let (_, body) = small_http::call(address, "GET", "/v1/status", "").ok()?;
        serde_json::from_str(&body).ok()
    }

    /// Status of a side process; none if it does not answer.
    pub fn side_status(&self, name: &str) -> Option<SideStatus> {
        let address = self.sides.get(name)?.status;
        let (_, body) = small_http::call(address, "GET", "/v1/status", "").ok()?;
        serde_json::from_str(&body).ok()
    }

    /// The report of a backend server; none if it does not answer.
    pub fn backend_report(&self, name: &str) -> Option<crate::backend::BackendReport> {
        let address = self.backends.get(name)?.health;
        let (_, body) = small_http::call(address, "GET", "/report", "").ok()?;
        serde_json::from_str(&body).ok()
    }

    /// Names of the entry VMs.
    pub fn entries(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// Names of the hosts.
    pub fn hosts(&self) -> Vec<String> {
        self.backends.keys().cloned().collect()
    }

    /// Ports of a side process.
    pub fn side_ports(&self, name: &str) -> Option<&SidePorts> {
        self.sides.get(name)
    }

    /// Ports of an entry VM.
    pub fn entry_ports(&self, name: &str) -> Option<&EntryPorts> {
        self.entries.get(name)
    }

    /// Waits until every host takes flows and every entry VM knows them.
    pub fn wait_ready(&self, entries: &[String], hosts: &[String]) -> FleetResult<()> {
        for host in hosts {
            self.wait_for(&format!("{host} to serve"), || {
                self.side_status(host)
                    .is_some_and(|status| status.state == "serving")
            })?;
        }
        self.wait_for("all hosts in the rosters", || {
            let records = self.rosters();
            hosts.iter().all(|host| {
                records
                    .iter()
                    .any(|record| record.name == *host && record.state == "serving")
            })
        })?;
        let wanted = self.platform_versions();
        for entry in entries {
            self.wait_for(&format!("{entry} to know all"), || {
                self.entry_status(entry).is_some_and(|status| {
                    wanted.iter().all(|(id, version)| {
                        status.documents.iter().any(|document| {
                            document.kind == id.kind.as_str()
                                && document.name == id.name
                                && document.version >= *version
                        })
                    })
                })
            })?;
        }
        Ok(())
    }

    /// All hosts in the platform's rosters.
    pub fn rosters(&self) -> Vec<WireHost> {
        let client = self.client();
        self.platform_versions()
            .iter()
            .filter(|(id, _)| id.kind == DocumentKind::Roster)
            .filter_map(|(id, _)| client.read(id).ok().flatten())
            .filter_map(|reply| serde_json::from_value::<WireRoster>(reply.value).ok())
            .flat_map(|roster| roster.hosts)
            .collect()
    }

    /// The version of each document on the platform.
    pub fn platform_versions(&self) -> Vec<(DocumentId, u64)> {
        let stamps = self.client().list().unwrap_or_default();
        stamps
            .objects
            .iter()
            .filter_map(|stamp| {
                let kind = DocumentKind::ALL
                    .into_iter()
                    .find(|kind| kind.as_str() == stamp.kind)?;
                Some((DocumentId::new(kind, &stamp.name), stamp.version))
            })
            .collect()
    }

    /// Sends a signal to a process of this fleet.
    pub fn signal(&self, name: &str, signal: i32) -> FleetResult<()> {
        let child = self
            .processes
            .get(name)
            .ok_or(FleetError::Wrong(format!("no process {name}")))?;
        send_signal(child.id(), signal)
    }

    /// Asks a process to stop and waits for its end; returns its exit code.
    pub fn stop(&mut self, name: &str) -> FleetResult<Option<i32>> {
        self.signal(name, signal_hook::consts::SIGTERM)?;
        self.wait_end(name)
    }

    /// Waits for the end of a process; returns its exit code.
    pub fn wait_end(&mut self, name: &str) -> FleetResult<Option<i32>> {
        let mut child = self
            .processes
            .remove(name)
            .ok_or(FleetError::Wrong(format!("no process {name}")))?;
        let start = Instant::now();
        loop {
            if let Some(status) = child.try_wait()? {
                self.forget(name);
                return Ok(status.code());
            }
            if start.elapsed() > WAIT_LIMIT {
                self.processes.insert(name.to_owned(), child);
                return Err(FleetError::Late(format!("the end of {name}")));
            }
            std::thread::sleep(WAIT_PAUSE);
        }
    }

    /// Whether a process was started and has not been seen to end.
    pub fn is_running(&self, name: &str) -> bool {
        self.processes.contains_key(name)
    }

    /// Whether a process has ended.
    pub fn has_ended(&mut self, name: &str) -> bool {
        match self.processes.get_mut(name) {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// The exit code of a process that has ended since it was last asked; the
    /// inner one is none if a signal ended it.
    pub fn take_end(&mut self, name: &str) -> FleetResult<Option<Option<i32>>> {
        let Some(child) = self.processes.get_mut(name) else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.processes.remove(name);
        }
        Ok(status.map(|status| status.code()))
    }

    /// Ends a process at once.
    pub fn kill(&mut self, name: &str) -> FleetResult<()> {
        if let Some(mut child) = self.processes.remove(name) {
            child.kill()?;
            child.wait()?;
        }
        self.forget(name);
        Ok(())
    }

    fn forget(&mut self, name: &str) {
        self.entries.remove(name);
        self.sides.remove(name);
    }

    /// Processor time, in kernel ticks, and resident memory, in bytes, of a
    /// process.
    pub fn process_costs(&self, name: &str) -> Option<(f64, f64)> {
        const PAGE_BYTES: f64 = 4096.0;
        let id = self.processes.get(name)?.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // Behind the name in brackets: state is field 3, times are 14 and 15.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let memory = fields.get(21)?.parse::<f64>().ok()? * PAGE_BYTES;
        Some((ticks, memory))
    }

    /// What a process printed.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.log_path(name)).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
