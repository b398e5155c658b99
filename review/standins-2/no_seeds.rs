//! Case: machines with hosts are added while no front machine is there.
//!
//! Their settings name no seed then. The processes have to go on until there is one; the platform
//! starts again what has ended.

use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{Fleet, Layout, Port, Site};
use crate::record::Record;

const FRONT: u8 = 1;
const STORE: u8 = 10;
const SIDES: [u8; 2] = [20, 21];

/// Time without a front machine.
const FRONT_ABSENT: Duration = Duration::from_secs(8);
/// Time after which the platform starts a process that has ended again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Number of ends of a process in a day that are a fault.
const ENDS_OF_FAULT: u32 = 3;

/// Without trouble, the settings name a front machine that is down.
pub fn run(has_trouble: bool, record: &Record) -> Result<Outcome, String> {
    let failed = |error: std::io::Error| error.to_string();
    let layout = Layout::choose().ok_or("no free addresses")?;
    let site = Site {
        layout,
        zones: vec!["honam-a".to_owned()],
        seeds: if has_trouble { Vec::new() } else { vec![FRONT] },
        store: STORE,
        config_apply_ms: 3000,
        max_flow_s: 60,
        heartbeat_ms: 1200,
        cold_slack: None,
        has_evacuations: false,
    };
    let mut fleet = Fleet::create(record).map_err(failed)?;
    for (index, machine) in SIDES.into_iter().enumerate() {
        let name = format!("side-{}", index + 1);
        let settings = site.side_settings(&name, machine, "honam-a", "catalogue");
        record.line(&format!(
            "{name} at {}, seeds {:?}",
            layout.address(machine, Port::Control),
            site.seeds
        ));
        fleet.add(&name, &settings).map_err(failed)?;
    }
    let mut ends = [0; SIDES.len()];
    let begin = Instant::now();
    while begin.elapsed() < FRONT_ABSENT {
        thread::sleep(RESTART_DELAY);
        for (process, ends) in fleet.processes.iter_mut().zip(&mut ends) {
            if let Some(status) = process.end_status() {
                *ends += 1;
                record.line(&format!("{} has ended: {status}", process.name));
                process.start().map_err(failed)?;
            }
        }
    }
    record.line(&format!("ends of the processes: {ends:?}"));
    let is_broken = ends.iter().all(|ends| *ends >= ENDS_OF_FAULT);
    if is_broken {
        record.line("Fault: two of two processes ended three times or more, with no disturbance");
    }
    Ok(Outcome::of(is_broken))
}
