//! `chestnutlb-standin`: stand-ins, tryout, load tool and fault soak in one program.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;

use chestnutlb_standin::backend::BackendPlan;
use chestnutlb_standin::crest::SwingPlan;
use chestnutlb_standin::soak::SoakSetup;
use chestnutlb_standin::soak_plan::SoakShape;
use chestnutlb_standin::tryout::{TryoutPlan, program_folder};
use chestnutlb_standin::{
    backend, capacity, capacity_tables, crest, fabric, platform, soak, spread, tryout, waiting,
};

/// Stand-ins of the systems around chestnutlb.
#[derive(Debug)]
#[derive(FromArgs)]
struct StandinOptions {
    #[argh(subcommand)]
    command: StandinCommand,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Platform(PlatformOptions),
    Fabric(FabricOptions),
    Backend(BackendOptions),
    Tryout(TryoutOptions),
    Capacity(CapacityOptions),
    Spread(SpreadOptions),
    Waiting(WaitingOptions),
    Crest(CrestOptions),
    Soak(SoakOptions),
}

/// the platform's object API
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformOptions {
    /// address to serve at
    #[argh(option)]
    address: SocketAddrV4,
}

/// the packet fabric
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "fabric")]
struct FabricOptions {
    /// address for packets
    #[argh(option)]
    packets: SocketAddrV4,
    /// address for plans
    #[argh(option)]
    admin: SocketAddrV4,
    /// seed of the spraying
    #[argh(option, default = "1")]
    seed: u64,
}

/// a backend server
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
struct BackendOptions {
    /// name, told in each answer
    #[argh(option)]
    name: String,
    /// address for work
    #[argh(option)]
    work: SocketAddrV4,
    /// address for health and reports
    #[argh(option)]
    health: SocketAddrV4,
    /// serve feeds instead of requests
    #[argh(switch)]
    feeds: bool,
    /// requests at once
    #[argh(option, default = "3")]
    slots: usize,
    /// requests that may wait
    #[argh(option, default = "8")]
    queue: usize,
    /// speed, 1 is ordinary
    #[argh(option, default = "1.0")]
    speed: f64,
    /// milliseconds after the start at a third of the speed
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// age of the load figures, in milliseconds
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// claim to be idle
    #[argh(switch)]
    lies: bool,
}

/// both firms at today's sizes, under planned and unplanned changes
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "tryout")]
struct TryoutOptions {
    /// requests to send
    #[argh(option, default = "300")]
    requests: usize,
    /// feeds to hold open
    #[argh(option, default = "40")]
    feeds: usize,
    /// seed of the callers
    #[argh(option, default = "1")]
    seed: u64,
    /// folder for logs
    #[argh(option, default = "PathBuf::from(\"target/tryout\")")]
    logs: PathBuf,
    /// folder of the example manifests
    #[argh(option, default = "PathBuf::from(\"examples\")")]
    manifests: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// slopes at one node and what they come to at the target size
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityOptions {
    /// print the points as JSON lines instead of tables
    #[argh(switch)]
    json: bool,
}

/// time of a manifest to every entry VM, and costs of idle ones
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
struct SpreadOptions {
    /// numbers of entry VMs
    #[argh(option, default = "String::from(\"4,8,16,32\")")]
    sizes: String,
    /// folder for logs
    #[argh(option, default = "PathBuf::from(\"target/spread\")")]
    logs: PathBuf,
    /// manifest to commit
    #[argh(option, default = "PathBuf::from(\"examples/dalbit.json\")")]
    manifest: PathBuf,
}

/// waiting of short work at one host, in virtual time
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "waiting")]
struct WaitingOptions {
    /// virtual seconds of each run
    #[argh(option, default = "2000")]
    seconds: u64,
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
}

/// a demand swing over real processes
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "crest")]
struct CrestOptions {
    /// load at the crest, as a share of capacity
    #[argh(option, default = "3.0")]
    load: f64,
    /// leave the speeds of the hosts out of the roster
    #[argh(switch)]
    unweighted: bool,
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
    /// folder for logs
    #[argh(option, default = "PathBuf::from(\"target/crest\")")]
    logs: PathBuf,
    /// manifest with the order desk
    #[argh(option, default = "PathBuf::from(\"examples/calinawan.json\")")]
    manifest: PathBuf,
}

/// real processes under faults that are drawn from a seed
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakOptions {
    /// first seed; drawn if left out
    #[argh(option)]
    seed: Option<u64>,
    /// seeds, one after the other
    #[argh(option, default = "1")]
    count: u64,
    /// seconds with faults
    #[argh(option, default = "15")]
    seconds: u64,
    /// entry VMs
    #[argh(option, default = "4")]
    entries: usize,
    /// hosts of each of two services
    #[argh(option, default = "3")]
    hosts: usize,
    /// folder for logs
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
    /// folder of the example manifests
    #[argh(option, default = "PathBuf::from(\"examples\")")]
    manifests: PathBuf,
    /// print JSON lines
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let options: StandinOptions = argh::from_env();
    let outcome = match options.command {
        StandinCommand::Platform(options) => {
            rocket::execute(platform::server(options.address).launch())
                .map(|_| ())
                .map_err(|error| error.to_string())
        }
        StandinCommand::Fabric(options) => {
            fabric::run(options.packets, options.admin, options.seed)
                .map_err(|error| error.to_string())
        }
        StandinCommand::Backend(options) => run_backend(options),
        StandinCommand::Tryout(options) => run_tryout(options),
        StandinCommand::Capacity(options) => run_capacity(&options),
        StandinCommand::Spread(options) => run_spread(&options),
        StandinCommand::Waiting(options) => run_waiting(&options),
        StandinCommand::Crest(options) => run_crest(&options),
        StandinCommand::Soak(options) => run_soak(&options),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("{text}");
            ExitCode::FAILURE
        }
    }
}

fn run_backend(options: BackendOptions) -> Result<(), String> {
    let plan = BackendPlan {
        name: options.name,
        feeds: options.feeds,
        slots: options.slots,
        queue: options.queue,
        speed: options.speed,
        cold: Duration::from_millis(options.cold_ms),
        lag: Duration::from_millis(options.lag_ms),
        lies: options.lies,
    };
    backend::run(plan, options.work, options.health).map_err(|error| error.to_string())
}

fn run_capacity(options: &CapacityOptions) -> Result<(), String> {
    let report = capacity::measure();
    if options.json {
        for point in &report.points {
            print_line(point)?;
        }
    } else {
        print!("{}", capacity_tables::write_tables(&report));
    }
    Ok(())
}

fn print_line<T: serde::Serialize>(figures: &T) -> Result<(), String> {
    let line = serde_json::to_string(figures).map_err(|error| error.to_string())?;
    println!("{line}");
    Ok(())
}

fn run_spread(options: &SpreadOptions) -> Result<(), String> {
    let binaries = program_folder().map_err(|error| error.to_string())?;
    for size in options.sizes.split(',') {
        let size = size
            .parse()
            .map_err(|_| format!("--sizes: found {size:?}, allowed are numbers with commas"))?;
        eprintln!("{size} entry VMs");
        let figures = spread::measure(&binaries, &options.logs, &options.manifest, size)
            .map_err(|error| error.to_string())?;
        print_line(&figures)?;
    }
    Ok(())
}

fn run_waiting(options: &WaitingOptions) -> Result<(), String> {
    waiting::measure_all(options.seconds, options.seed)
        .iter()
        .try_for_each(print_line)
}

fn run_crest(options: &CrestOptions) -> Result<(), String> {
    let binaries = program_folder().map_err(|error| error.to_string())?;
    let plan = SwingPlan {
        binaries: &binaries,
        logs: &options.logs,
        manifest: &options.manifest,
        peak_load: options.load,
        weighted: !options.unweighted,
        seed: options.seed,
    };
    crest::measure(&plan)
        .map_err(|error| error.to_string())?
        .iter()
        .try_for_each(print_line)
}

fn run_tryout(options: TryoutOptions) -> Result<(), String> {
    let plan = TryoutPlan {
        binaries: program_folder().map_err(|error| error.to_string())?,
        logs: options.logs,
        manifests: options.manifests,
        requests: options.requests,
        feeds: options.feeds,
        seed: options.seed,
    };
    let report = tryout::run(&plan).map_err(|error| error.to_string())?;
    if options.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        println!("{report}");
    }
    if report.holds() {
        Ok(())
    } else {
        Err("something did not hold".to_owned())
    }
}

// Each seed has a folder for its logs, so that a failure can be traced.
fn run_soak(options: &SoakOptions) -> Result<(), String> {
    let first = options.seed.unwrap_or_else(|| rand::random::<u32>().into());
    let mut failed = Vec::new();
    for seed in first..first + options.count {
        let setup = SoakSetup {
            binaries: program_folder().map_err(|error| error.to_string())?,
            logs: options.logs.join(format!("seed-{seed}")),
            manifests: options.manifests.clone(),
            seed,
            shape: SoakShape {
                entries: options.entries,
                hosts: options.hosts,
                fault_time: Duration::from_secs(options.seconds),
            },
        };
        let report = soak::run(&setup).map_err(|error| format!("seed {seed}: {error}"))?;
        if options.json {
            print_line(&report)?;
        } else {
            println!("{report}");
        }
        if !report.holds() {
            failed.push(seed);
        }
    }
    if failed.is_empty() {
        Ok(())
    } else {
        Err(format!("something did not hold with seeds {failed:?}"))
    }
}
