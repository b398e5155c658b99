//! Cases of the review that are scripts: `case NAME FOLDER` plays one and writes `record.txt` in
//! its folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` in the environment it plays the case without the disruption.

mod cold_limit;
mod consumer;
mod deployment;
mod fleet;
mod flow_reset;
mod host;
mod http;
mod json;
mod no_seeds;
mod packet;
mod record;
mod store;

use std::net::Ipv4Addr;
use std::path::Path;
use std::process::exit;

use flow_reset::{CLOCK_STEP, EARLY_KILL};
use record::Record;

/// Address of the routes. It stands in the heads of packets only.
pub const SERVICE_IP: Ipv4Addr = Ipv4Addr::new(127, 200, 0, 1);

/// What became of a case.
#[derive(Debug)]
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

impl Outcome {
    pub fn of(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: case NAME FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    let outcome = match name.as_str() {
        "early-kill" => flow_reset::run(has_trouble.then_some(EARLY_KILL), &record),
        "clock-step" => flow_reset::run(has_trouble.then_some(CLOCK_STEP), &record),
        "cold-limit" => cold_limit::run(has_trouble, &record),
        "no-seeds" => no_seeds::run(has_trouble, &record),
        _ => Err(format!("no case {name}")),
    };
    let outcome = outcome.unwrap_or_else(Outcome::CouldNotRun);
    record.line(&format!("outcome: {outcome:?}"));
    record.flush();
    println!("{name}: {outcome:?}");
    exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun(_) => 2,
    });
}
