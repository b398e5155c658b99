//! `chestnutlbd`, the daemon of chestnutlb.
//!
//! The settings choose its role. On an entry VM it receives packets from the fabric and
//! forwards them; as the side process of a backend server it owns the flows and
//! requests of that server.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use crossbeam_channel::{Receiver, bounded};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

mod backend_presence;
mod clock;
mod entry;
mod entry_control;
mod entry_explain;
mod entry_feeds;
mod entry_http;
mod entry_packets;
mod entry_store;
mod event_ring;
mod flow_log;
mod flow_questions;
mod http;
mod http1;
mod logs;
mod metrics;
mod outdated_span;
mod packet_format;
mod passthrough_control;
mod passthrough_http;
mod passthrough_packets;
mod passthrough_side;
mod registration;
mod reload;
mod settings;
mod side;
mod side_control;
mod side_events;
mod side_flow;
mod side_flows;
mod side_http;
mod side_link;
mod side_relay;
mod side_requests;
mod wire_millis;

use metrics::CounterSet;
use reload::{ReloadSignal, SettingsFile};
use settings::DaemonSettings;

/// Exit code after a fatal error at run time.
pub const EXIT_FAILURE: i32 = 1;
/// Exit code after the end of standard input, if the process ends with it.
const EXIT_INPUT_CLOSED: i32 = 3;
/// Exit code if the settings can't be read or are invalid, or logging can't start.
pub const EXIT_SETTINGS: u8 = 2;

/// A request by signal to stop. A second one ends the process at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSignal;

/// Daemon of the chestnutlb load balancer: forwards callers' packets to backend servers.
#[derive(Debug)]
#[derive(FromArgs)]
struct DaemonOptions {
    /// path of the settings file, in JSON
    #[argh(option)]
    settings: PathBuf,
    /// check the settings, print them as JSON with all defaults filled in, and exit
    #[argh(switch)]
    check: bool,
    /// end at once when standard input closes, as it does with the end of the starting process
    #[argh(switch)]
    end_with_input: bool,
}

fn main() -> ExitCode {
    let options: DaemonOptions = argh::from_env();
    let text = match std::fs::read_to_string(&options.settings) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", options.settings.display());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let (settings, effective) = match settings::parse_settings(&text) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("{}: {error}", options.settings.display());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.end_with_input
        && let Err(error) = end_with_input()
    {
        eprintln!("standard input: {error}");
        return ExitCode::FAILURE;
    }
    chestnutlb_core::check_charts();
    if options.check {
        println!("{effective}");
        return ExitCode::SUCCESS;
    }
    let counters = Arc::new(CounterSet::default());
    let writer = match logs::start(settings.log(), Arc::clone(&counters)) {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("logs: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let outcome = run(&settings, options.settings, text, counters);
    if let Err(error) = &outcome {
        log::error!(target: "process", cause:% = error; "failed");
    }
    writer.flush();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn run(
    settings: &DaemonSettings,
    path: PathBuf,
    text: String,
    counters: Arc<CounterSet>,
) -> std::io::Result<()> {
    let (stops, reloads) = watch_signals()?;
    let file = SettingsFile::new(path, text, reloads);
    match settings {
        DaemonSettings::Entry(settings) => {
            if let Some(target) = settings.metrics {
                metrics::start(target, "chestnutlb.entry", Arc::clone(&counters))?;
            }
            entry::run(settings, file, counters, &stops)
        }
        DaemonSettings::Side(settings) => {
            if let Some(target) = settings.metrics {
                metrics::start(target, "chestnutlb.side", Arc::clone(&counters))?;
            }
            match &settings.passthrough {
                Some(passthrough) => {
                    passthrough_side::run(settings, passthrough, file, counters, &stops)
                }
                None => side::run(settings, file, counters, &stops),
            }
        }
    }
}

// Starts the thread that ends the process when standard input closes.
fn end_with_input() -> std::io::Result<()> {
    let watch = std::thread::Builder::new().name("input".to_owned());
    watch.spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(EXIT_INPUT_CLOSED);
    })?;
    Ok(())
}

// Starts the thread that receives signals: SIGHUP requests a reload, SIGTERM and SIGINT
// a stop.
fn watch_signals() -> std::io::Result<(Receiver<StopSignal>, Receiver<ReloadSignal>)> {
    const SIGNAL_RING: usize = 4;
    let (stop_ring, stops) = bounded(SIGNAL_RING);
    let (reload_ring, reloads) = bounded(SIGNAL_RING);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in &mut signals {
                // Signals beyond the capacity of a ring are dropped, since as many are
                // already pending.
                let _ = match signal {
                    SIGHUP => reload_ring.try_send(ReloadSignal).is_ok(),
                    _ => stop_ring.try_send(StopSignal).is_ok(),
                };
            }
        })?;
    Ok((stops, reloads))
}
