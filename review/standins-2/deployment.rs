//! A small deployment with its stand-ins: the store, hosts and routers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::consumer::{Consumer, Routers};
use crate::fleet::{Fleet, Layout, Port, Site};
use crate::host::{Host, HostSpec};
use crate::record::Record;
use crate::store::Store;

/// Longest wait until the system serves.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between the end of the preparations and the begin of the case.
const SETTLE_TIME: Duration = Duration::from_secs(6);

// Machine numbers, the last byte of the addresses.
pub const STORE: u8 = 10;
const FIRST_ENTRY: u8 = 1;
const FIRST_SIDE: u8 = 20;
const FIRST_CONSUMER: u8 = 100;

/// Service of a side machine, and its zone.
pub struct SidePlan {
    pub service: &'static str,
    pub zone: &'static str,
}

/// What a case varies.
pub struct DeploymentPlan {
    pub entry_zones: Vec<&'static str>,
    pub sides: Vec<SidePlan>,
    /// Number of the sides, from the first, that run from the start.
    pub running_sides: usize,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    pub cold_start: Duration,
    pub cold_slack: Option<u64>,
    pub has_evacuations: bool,
    pub config_apply_ms: u64,
}

pub struct Deployment {
    pub site: Site,
    pub record: Record,
    pub store: Store,
    pub fleet: Fleet,
    pub hosts: Vec<Host>,
    pub routers: Arc<Routers>,
    plan: DeploymentPlan,
}

pub fn entry_name(index: usize) -> String {
    format!("front-{}", index + 1)
}

pub fn side_name(index: usize) -> String {
    format!("side-{}", index + 1)
}

impl Deployment {
    /// Starts everything. `config` is the first config, written before traffic starts.
    pub fn start(plan: DeploymentPlan, config: &str, record: &Record) -> Result<Self, String> {
        let failed = |error: std::io::Error| error.to_string();
        let layout = Layout::choose().ok_or("no free addresses")?;
        let mut zones: Vec<String> = plan
            .entry_zones
            .iter()
            .map(|zone| zone.to_string())
            .collect();
        zones.dedup();
        let site = Site {
            layout,
            zones,
            seeds: (0..plan.entry_zones.len().min(3) as u8)
                .map(|index| FIRST_ENTRY + index)
                .collect(),
            store: STORE,
            config_apply_ms: plan.config_apply_ms,
            max_flow_s: 60,
            heartbeat_ms: crate::host::PING_PERIOD.as_millis() as u64,
            cold_slack: plan.cold_slack,
            has_evacuations: plan.has_evacuations,
        };
        let store = Store::default();
        store
            .serve(layout.address(STORE, Port::Store))
            .map_err(failed)?;
        store.put("config", "main", config);
        let mut fleet = Fleet::create(record).map_err(failed)?;
        let mut nodes = Vec::new();
        for (index, zone) in plan.entry_zones.iter().enumerate() {
            let machine = FIRST_ENTRY + index as u8;
            let name = entry_name(index);
            let settings = site.entry_settings(&name, machine, zone);
            fleet.add(&name, &settings).map_err(failed)?;
            nodes.push((
                zone.to_string(),
                layout.address(machine, Port::Datagrams),
                layout.address(machine, Port::Ready),
            ));
        }
        let routers = Routers::start(nodes);
        let mut deployment = Self {
            site,
            record: record.clone(),
            store,
            fleet,
            hosts: Vec::new(),
            routers,
            plan,
        };
        deployment.create_hosts().map_err(failed)?;
        for index in 0..deployment.plan.running_sides {
            deployment.start_side(index).map_err(failed)?;
        }
        std::thread::sleep(Duration::from_secs(1));
        for index in 0..deployment.plan.running_sides {
            deployment.hosts[index].start(false);
        }
        deployment.await_service()?;
        Ok(deployment)
    }

    fn create_hosts(&mut self) -> std::io::Result<()> {
        for (index, side) in self.plan.sides.iter().enumerate() {
            let at = |port| self.site.layout.address(FIRST_SIDE + index as u8, port);
            let spec = HostSpec {
                id: format!("host-{}", index + 1),
                service: side.service.to_owned(),
                zone: side.zone.to_owned(),
                app: at(Port::App),
                outbound: at(Port::Outbound),
                control: at(Port::Control),
                slots: self.plan.slots,
                queue: self.plan.queue,
                work: self.plan.work,
                cold_start: self.plan.cold_start,
            };
            self.hosts.push(Host::create(spec, &self.record)?);
        }
        Ok(())
    }

    /// Starts the side process of a machine for the first time.
    pub fn start_side(&mut self, index: usize) -> std::io::Result<()> {
        let side = &self.plan.sides[index];
        let machine = FIRST_SIDE + index as u8;
        let name = side_name(index);
        let settings = self
            .site
            .side_settings(&name, machine, side.zone, side.service);
        self.fleet.add(&name, &settings)
    }

    fn await_service(&self) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        loop {
            let rosters = self.store.specs("chestnutlb").join("");
            let are_listed = (0..self.plan.running_sides)
                .all(|index| rosters.contains(&format!("\"{}\"", side_name(index))));
            if are_listed && self.routers.all_ready() {
                std::thread::sleep(SETTLE_TIME);
                return Ok(());
            }
            if Instant::now() >= end {
                return Err("the system did not start to serve".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Creates consumers, spread over the zones.
    pub fn consumers(&self, count: usize) -> Result<Vec<Consumer>, String> {
        (0..count)
            .map(|index| {
                let machine = FIRST_CONSUMER + index as u8;
                let address = self.site.layout.address(machine, Port::Datagrams);
                let zone = &self.site.zones[index % self.site.zones.len()];
                Consumer::create(address, zone, &self.routers, &self.record)
                    .map_err(|error| error.to_string())
            })
            .collect()
    }
}
