//! `chestnutlb-standin`: the stand-ins, the tryout, the load tools and the fault soak.

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

/// Stand-ins for the systems around chestnutlb, with test and load tools.
#[derive(Debug)]
#[derive(FromArgs)]
struct StandinOptions {
    /// end at once when standard input closes, as it does with the end of the starting process
    #[argh(switch)]
    end_with_input: bool,
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

/// run a stand-in for the platform's object API
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformOptions {
    /// address to listen on
    #[argh(option)]
    address: SocketAddrV4,
}

/// run a stand-in for the packet fabric
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "fabric")]
struct FabricOptions {
    /// address for packets
    #[argh(option)]
    packets: SocketAddrV4,
    /// address that receives plans over HTTP
    #[argh(option)]
    admin: SocketAddrV4,
    /// seed for spraying packets over the entry VMs
    #[argh(option, default = "1")]
    seed: u64,
}

/// run a stand-in for a backend server
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
struct BackendOptions {
    /// name, included in each response
    #[argh(option)]
    name: String,
    /// address for requests or feeds
    #[argh(option)]
    work: SocketAddrV4,
    /// address for health and reports
    #[argh(option)]
    health: SocketAddrV4,
    /// serve feeds instead of requests
    #[argh(switch)]
    feeds: bool,
    /// requests that run at the same time
    #[argh(option, default = "3")]
    slots: usize,
    /// requests that may wait for a slot
    #[argh(option, default = "8")]
    queue: usize,
    /// speed; an ordinary host has speed 1
    #[argh(option, default = "1.0")]
    speed: f64,
    /// milliseconds after the start during which it runs at a third of its speed
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// age of the reported load, in milliseconds
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// always report a load of 0
    #[argh(switch)]
    lies: bool,
}

/// run both example firms at their present sizes, under planned and unplanned changes
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "tryout")]
struct TryoutOptions {
    /// requests to send
    #[argh(option, default = "300")]
    requests: usize,
    /// feeds to open and keep open
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
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// measure costs per unit at one node and extrapolate them to the target size
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityOptions {
    /// print the measured points as JSON lines instead of tables
    #[argh(switch)]
    json: bool,
}

/// measure how fast a manifest reaches every entry VM, and what idle entry VMs cost
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
struct SpreadOptions {
    /// numbers of entry VMs, separated by commas
    #[argh(option, default = "String::from(\"4,8,16,32\")")]
    sizes: String,
    /// folder for logs
    #[argh(option, default = "PathBuf::from(\"target/spread\")")]
    logs: PathBuf,
    /// manifest to commit
    #[argh(option, default = "PathBuf::from(\"examples/dalbit.json\")")]
    manifest: PathBuf,
}

/// simulate the waiting times of short requests at one host, in virtual time
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "waiting")]
struct WaitingOptions {
    /// length of each run, in virtual seconds
    #[argh(option, default = "2000")]
    seconds: u64,
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
}

/// run a peak of demand over real processes
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "crest")]
struct CrestOptions {
    /// load at the peak, as a share of capacity
    #[argh(option, default = "3.0")]
    load: f64,
    /// give all hosts the same weight in the roster, whatever their speeds
    #[argh(switch)]
    unweighted: bool,
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// folder for logs
    #[argh(option, default = "PathBuf::from(\"target/crest\")")]
    logs: PathBuf,
    /// manifest with the service calinawan/order-desk
    #[argh(option, default = "PathBuf::from(\"examples/calinawan.json\")")]
    manifest: PathBuf,
}

/// run real processes under faults drawn from a seed
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakOptions {
    /// first seed; random by default
    #[argh(option)]
    seed: Option<u64>,
    /// number of consecutive seeds to run
    #[argh(option, default = "1")]
    count: u64,
    /// length of the phase with faults, in seconds
    #[argh(option, default = "15")]
    seconds: u64,
    /// number of entry VMs
    #[argh(option, default = "4")]
    entries: usize,
    /// number of hosts of each of the two services
    #[argh(option, default = "3")]
    hosts: usize,
    /// folder for logs
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
    /// folder of the example manifests
    #[argh(option, default = "PathBuf::from(\"examples\")")]
    manifests: PathBuf,
    /// print the report of each seed as a JSON line
    #[argh(switch)]
    json: bool,
}

/// Exit code after the end of standard input, if the process ends with it.
const EXIT_INPUT_CLOSED: i32 = 3;

// Starts the thread that ends the process when standard input closes.
fn end_with_input() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(EXIT_INPUT_CLOSED);
    });
}

fn main() -> ExitCode {
    let options: StandinOptions = argh::from_env();
    if options.end_with_input {
        end_with_input();
    }
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
        reports_idle: options.lies,
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
            .map_err(|_| format!("--sizes: expected comma-separated numbers, found {size:?}"))?;
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
    if report.passed() {
        Ok(())
    } else {
        Err("tryout failed: see the report".to_owned())
    }
}

// Each seed has its own log folder, so that the logs of a failed seed are kept.
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
        if !report.passed() {
            failed.push(seed);
        }
    }
    if failed.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "soak failed for seeds {failed:?}: see their reports"
        ))
    }
}
