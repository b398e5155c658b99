//! The processes of a small deployment, on loopback addresses of their own.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use crate::record::Record;

unsafe extern "C" {
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// The program of both roles, as `deploy/system.toml` starts it.
const PROGRAM: &str = "target/release/chestnutlbd";

/// What listens at a machine, by its port: the ports are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub enum Port {
    Datagrams,
    Nodes,
    Ready,
    Control,
    Outbound,
    App,
    Store,
}

/// The number of ports of [`Port`].
const PORTS: u16 = 7;

/// The addresses of the machines: a network of loopback addresses and a range of ports.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    network: [u8; 2],
    first_port: u16,
}

impl Layout {
    /// Chooses a network and ports that are free.
    pub fn choose() -> Option<Self> {
        let seed = std::process::id();
        (0..50).find_map(|attempt: u32| {
            let number = seed
                .wrapping_mul(2_654_435_761)
                .wrapping_add(attempt * 7919);
            let layout = Self {
                network: [64 + (number >> 8) as u8 % 60, (number >> 16) as u8],
                first_port: 20_000 + (number % 1500) as u16 * 8,
            };
            layout.is_free().then_some(layout)
        })
    }

    fn is_free(&self) -> bool {
        (0..PORTS).all(|port| {
            let address = SocketAddrV4::new(self.ip(1), self.first_port + port);
            UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok()
        })
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], machine)
    }

    pub fn address(&self, machine: u8, port: Port) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port + port as u16)
    }
}

/// What the settings of all machines of a deployment have in common.
#[derive(Debug, Clone)]
pub struct Site {
    pub layout: Layout,
    pub zones: Vec<String>,
    /// Machines of the `control` addresses that the settings name.
    pub seeds: Vec<u8>,
    pub store: u8,
    pub config_apply_ms: u64,
    pub max_flow_s: u64,
    pub heartbeat_ms: u64,
    /// `cold_slack`, where the site has it.
    pub cold_slack: Option<u64>,
    /// `evacuate_ms`, where the site has it.
    pub has_evacuations: bool,
}

impl Site {
    fn seed_list(&self) -> String {
        let seeds = self.seeds.iter().map(|seed| {
            let address = self.layout.address(*seed, Port::Control);
            format!("\"{address}\"")
        });
        seeds.collect::<Vec<_>>().join(",")
    }

    /// Returns the settings of a front machine, as `deploy/entry.json.in` gives them.
    pub fn entry_settings(&self, name: &str, machine: u8, zone: &str) -> String {
        let at = |port| self.layout.address(machine, port);
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\""))
            .collect();
        let drains = if self.has_evacuations {
            "\"drains\": true,"
        } else {
            ""
        };
        format!(
            r#"{{"role": "entry", "name": "{name}", "datacenter": "{zone}", "dialect": "platform",
"packets": "{}", "peers": "{}", "status": "{}", "direct_to_callers": true,
"platform": "http://{}", "places": [{}], {drains}
"change_deadline_ms": {}, "seeds": [{}], "seeds_port": {}, "flow_age_ms": {}000}}"#,
            at(Port::Datagrams),
            at(Port::Nodes),
            at(Port::Ready),
            self.layout.address(self.store, Port::Store),
            zones.join(","),
            self.config_apply_ms,
            self.seed_list(),
            at(Port::Nodes).port(),
            self.max_flow_s,
        )
    }

    /// Returns the settings of a side machine, as `deploy/side.json.in` gives them.
    pub fn side_settings(&self, name: &str, machine: u8, zone: &str, service: &str) -> String {
        let at = |port| self.layout.address(machine, port);
        let cold = self.cold_slack.map_or(String::new(), |slack| {
            format!("\"first_cold_limit\": {slack},")
        });
        format!(
            r#"{{"role": "side", "name": "{name}", "datacenter": "{zone}", "service": "main/{service}",
"dialect": "platform", "packets": "{}", "announce": "{}", "status": "{}",
"direct_to_callers": true, "seeds": [{}], "seeds_port": {}, "backend": "{}",
"passthrough": {{"outbound": "{}", "flow_age_ms": {}000, {cold} "report_period_ms": {}}}}}"#,
            at(Port::Datagrams),
            at(Port::Nodes),
            at(Port::Control),
            self.seed_list(),
            at(Port::Nodes).port(),
            at(Port::App),
            at(Port::Outbound),
            self.max_flow_s,
            self.heartbeat_ms,
        )
    }
}

/// A process of the system on one machine.
pub struct Process {
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Process {
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The process ends with this program, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        self.record.line(&format!("{}: process starts", self.name));
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{}: process killed", self.name));
        }
    }

    /// Returns how the process has ended, if it has.
    pub fn end_status(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }
}

/// All processes of the system. They are ended when this is dropped.
pub struct Fleet {
    folder: PathBuf,
    record: Record,
    pub processes: Vec<Process>,
}

impl Fleet {
    pub fn create(record: &Record) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("chestnutlb-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            folder,
            record: record.clone(),
            processes: Vec::new(),
        })
    }

    /// Adds a process with these settings and starts it.
    pub fn add(&mut self, name: &str, settings: &str) -> std::io::Result<()> {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings)?;
        let mut process = Process {
            name: name.to_owned(),
            settings: path,
            log: self.folder.join(format!("{name}.log")),
            child: None,
            record: self.record.clone(),
        };
        process.start()?;
        self.processes.push(process);
        Ok(())
    }

    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes
            .iter_mut()
            .find(|process| process.name == name)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
        // KEEP=1 leaves the settings and logs for a look.
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
