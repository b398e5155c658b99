//! Settings of the daemon, read from a JSON file that names every address. A
//! file with an unknown field, an invalid value or a missing one is refused
//! before the process starts any work.

use std::net::{SocketAddr, SocketAddrV4};
use std::num::NonZeroU32;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use chestnutlb_core::{
    ColdLimit, DatacenterName, EntryName, FlowKey, HostName, HostWeight, ServiceId,
};
use chestnutlb_platform::names;
use chestnutlb_wire::{DocumentError, parse_json, parse_text};

use crate::wire_millis::WireMillis;

const NAME_FORMAT: &str = "1 to 63 of a-z, 0-9 and '-'";
const ADDRESS_FORMAT: &str = "an IPv4 address and port";

/// Allowed range of the change deadline, in milliseconds.
const MIN_CHANGE_DEADLINE_MS: u64 = 1_500;
const MAX_CHANGE_DEADLINE_MS: u64 = 3_600_000;

/// Log settings.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: CompactString,
    /// `stdout` or `stderr`.
    pub target: CompactString,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
            target: "stdout".into(),
        }
    }
}

/// Formats of packets and of platform calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Dialect {
    /// The project's formats: IP packets and the project's object API.
    #[default]
    Own,
    /// The formats of the users' platform.
    Platform,
}

/// Route of the packets to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerRoute {
    /// All packets go through the fabric at this address.
    Fabric(SocketAddrV4),
    /// Packets go directly to the caller's IP address, at this port.
    Port(u16),
}

impl CallerRoute {
    /// Returns the destination of packets to the caller of a flow.
    pub fn target(&self, key: FlowKey) -> SocketAddrV4 {
        match self {
            Self::Fabric(address) => *address,
            Self::Port(port) => SocketAddrV4::new(*key.caller.ip(), *port),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireEntrySettings {
    role: CompactString,
    name: CompactString,
    datacenter: CompactString,
    #[serde(default)]
    dialect: Dialect,
    packets: CompactString,
    peers: CompactString,
    status: CompactString,
    #[serde(default)]
    fabric: Option<CompactString>,
    #[serde(default)]
    direct_to_callers: bool,
    platform: CompactString,
    #[serde(default)]
    places: Vec<CompactString>,
    #[serde(default)]
    seeds: Vec<CompactString>,
    #[serde(default)]
    seeds_port: Option<u16>,
    #[serde(default)]
    drains: bool,
    #[serde(default)]
    learn_capacity: bool,
    #[serde(default = "default_change_deadline")]
    change_deadline_ms: WireMillis,
    #[serde(default = "default_hints")]
    hints: usize,
    #[serde(default = "default_flow_age")]
    flow_age_ms: WireMillis,
    #[serde(default = "default_stop_linger")]
    stop_linger_ms: WireMillis,
    #[serde(default)]
    metrics: Option<CompactString>,
    #[serde(default)]
    log: LogSettings,
}

fn default_hints() -> usize {
    100_000
}

/// Time within which a change is in force everywhere at the target size, in milliseconds.
fn default_change_deadline() -> WireMillis {
    WireMillis(5_000)
}

fn default_stop_linger() -> WireMillis {
    WireMillis(2_000)
}

#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireSideSettings {
    role: CompactString,
    name: CompactString,
    datacenter: CompactString,
    service: CompactString,
    #[serde(default)]
    dialect: Dialect,
    packets: CompactString,
    announce: CompactString,
    status: CompactString,
    #[serde(default)]
    fabric: Option<CompactString>,
    #[serde(default)]
    direct_to_callers: bool,
    seeds: Vec<CompactString>,
    #[serde(default)]
    seeds_port: Option<u16>,
    backend: CompactString,
    #[serde(default)]
    passthrough: Option<WirePassthrough>,
    #[serde(default)]
    health: Option<CompactString>,
    #[serde(default = "default_weight")]
    weight: u16,
    #[serde(default)]
    metrics: Option<CompactString>,
    #[serde(default)]
    log: LogSettings,
}

#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WirePassthrough {
    outbound: CompactString,
    #[serde(default = "default_flow_age")]
    flow_age_ms: WireMillis,
    #[serde(default = "default_flow_idle")]
    flow_idle_ms: WireMillis,
    #[serde(default)]
    report_period_ms: Option<WireMillis>,
    #[serde(default = "default_flow_limit")]
    flow_limit: usize,
    #[serde(default)]
    first_cold_limit: Option<f64>,
}

/// Default maximum age of a flow, in milliseconds: feeds may stay open for a
/// day.
fn default_flow_age() -> WireMillis {
    WireMillis(86_400_000)
}

fn default_flow_idle() -> WireMillis {
    WireMillis(600_000)
}

fn default_flow_limit() -> usize {
    2_000
}

fn default_weight() -> u16 {
    HostWeight::ORDINARY.get()
}

/// Settings of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of the entry VM.
    pub name: EntryName,
    /// Data centre of the entry VM.
    pub datacenter: DatacenterName,
    /// Address that receives packets.
    pub packets: SocketAddrV4,
    /// Address that receives peer messages: heartbeats of entry VMs and
    /// registrations of hosts.
    pub peers: SocketAddrV4,
    /// Address of the HTTP server.
    pub status: SocketAddrV4,
    /// Formats of packets and of platform calls.
    pub dialect: Dialect,
    /// Route of the packets to callers.
    pub callers: CallerRoute,
    /// URL of the platform.
    pub platform: CompactString,
    /// Data centres that may contain hosts, for a platform that does not list
    /// them.
    pub host_datacenters: Vec<CompactString>,
    /// Whether operators drain data centres, on a platform that keeps this apart from the
    /// configuration.
    pub reads_drains: bool,
    /// Whether hosts of all services learn what their backend servers take well, on a platform
    /// whose configuration does not say so for each.
    pub learns_capacity: bool,
    /// Time within which a change of the operators' documents has to be in force.
    pub change_deadline: Duration,
    /// Peer addresses of other entry VMs, used to join them.
    pub seeds: Vec<SocketAddrV4>,
    /// Maximum number of flows whose owner is cached.
    pub hint_limit: usize,
    /// Maximum age of passthrough flows.
    pub flow_age: Duration,
    /// Time for which the entry VM keeps forwarding packets after a stop
    /// signal.
    pub stop_linger: Duration,
    /// StatsD address that metrics are sent to; `None` turns this off.
    pub metrics: Option<SocketAddr>,
    /// Log settings.
    pub log: LogSettings,
}

/// Settings of a side process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SideSettings {
    /// Name of the host.
    pub name: HostName,
    /// Data centre of the host.
    pub datacenter: DatacenterName,
    /// The service that the backend server runs.
    pub service: ServiceId,
    /// Address that receives packets.
    pub packets: SocketAddrV4,
    /// Address from which registrations are sent and which receives the replies.
    pub registration_address: SocketAddrV4,
    /// Address of the HTTP server, which also receives relays.
    pub status: SocketAddrV4,
    /// Formats of packets.
    pub dialect: Dialect,
    /// Route of the packets to callers.
    pub callers: CallerRoute,
    /// Peer addresses of entry VMs, contacted while no registration target replies. May be
    /// empty while no entry VM exists; a reload names the first ones.
    pub seeds: Vec<SocketAddrV4>,
    /// Address of the backend server.
    pub backend: SocketAddrV4,
    /// Passthrough settings; `None` if flows end at the side process.
    pub passthrough: Option<PassthroughSettings>,
    /// Address of the backend server's health route; `None` if it has none.
    pub health: Option<SocketAddrV4>,
    /// Relative speed of the host.
    pub weight: HostWeight,
    /// StatsD address that metrics are sent to; `None` turns this off.
    pub metrics: Option<SocketAddr>,
    /// Log settings.
    pub log: LogSettings,
}

/// Settings of a side process for passthrough flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PassthroughSettings {
    /// Address that the backend server sends its packets to.
    pub outbound: SocketAddrV4,
    /// Upper bound on the age of a flow. A side process that has run for longer
    /// has seen every flow open.
    pub flow_age: Duration,
    /// Time without packets after which a flow may be dropped from the flow table.
    pub flow_idle: Duration,
    /// Interval between two reports of the backend server; `None` if it is not known.
    pub report_period: Option<Duration>,
    /// Maximum number of flows that the backend server holds at once.
    pub flow_limit: usize,
    /// Limit of the new flows per second of a cold host before an entry VM has told it that of its
    /// service; `None` if no manifest limits cold hosts.
    pub first_cold_limit: Option<ColdLimit>,
}

/// Settings of either role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonSettings {
    /// An entry VM.
    Entry(EntrySettings),
    /// A side process.
    Side(SideSettings),
}

impl DaemonSettings {
    /// Returns the configured peer addresses of entry VMs.
    pub fn seeds(&self) -> &[SocketAddrV4] {
        match self {
            Self::Entry(settings) => &settings.seeds,
            Self::Side(settings) => &settings.seeds,
        }
    }

    /// Returns the log settings.
    pub fn log(&self) -> &LogSettings {
        match self {
            Self::Entry(settings) => &settings.log,
            Self::Side(settings) => &settings.log,
        }
    }
}

#[derive(Deserialize)]
struct WireRole {
    role: CompactString,
}

/// Parses settings. Also returns them as JSON with all defaults filled in.
pub fn parse_settings(text: &str) -> Result<(DaemonSettings, String), DocumentError> {
    let role: WireRole = parse_json(text)?;
    match role.role.as_str() {
        "entry" => {
            let wire: WireEntrySettings = parse_json(text)?;
            let settings = DaemonSettings::Entry(EntrySettings::try_from(&wire)?);
            Ok((settings, print_settings(&wire)))
        }
        "side" => {
            let wire: WireSideSettings = parse_json(text)?;
            let settings = DaemonSettings::Side(SideSettings::try_from(&wire)?);
            Ok((settings, print_settings(&wire)))
        }
        other => Err(DocumentError::Value(
            "role".to_owned(),
            other.to_owned(),
            "entry or side".to_owned(),
        )),
    }
}

fn print_settings<T: Serialize>(settings: &T) -> String {
    serde_json::to_string_pretty(settings).unwrap_or_default()
}

fn parse_addresses(
    path: &str,
    texts: &[CompactString],
) -> Result<Vec<SocketAddrV4>, DocumentError> {
    texts
        .iter()
        .enumerate()
        .map(|(index, text)| parse_text(&format!("{path}[{index}]"), text, ADDRESS_FORMAT))
        .collect()
}

fn parse_optional_address<T: std::str::FromStr>(
    path: &str,
    text: Option<&CompactString>,
) -> Result<Option<T>, DocumentError> {
    text.map(|text| parse_text(path, text, ADDRESS_FORMAT))
        .transpose()
}

// Parses the seeds. `port` replaces their ports, since some platforms list
// entry VMs with another port than the peer port.
fn parse_seeds(
    texts: &[CompactString],
    port: Option<u16>,
) -> Result<Vec<SocketAddrV4>, DocumentError> {
    let seeds = parse_addresses("seeds", texts)?;
    Ok(seeds
        .into_iter()
        .map(|seed| SocketAddrV4::new(*seed.ip(), port.unwrap_or(seed.port())))
        .collect())
}

// Parses the route to callers. Callers reached directly listen on the same port
// as this process.
fn parse_caller_route(
    fabric: Option<&CompactString>,
    direct: bool,
    packets: &str,
) -> Result<CallerRoute, DocumentError> {
    match (fabric, direct) {
        (Some(fabric), false) => {
            parse_text("fabric", fabric, ADDRESS_FORMAT).map(CallerRoute::Fabric)
        }
        (None, true) => {
            let own_address: SocketAddrV4 = parse_text("packets", packets, ADDRESS_FORMAT)?;
            Ok(CallerRoute::Port(own_address.port()))
        }
        (fabric, direct) => Err(DocumentError::Value(
            "fabric".to_owned(),
            format!("fabric {fabric:?} and direct_to_callers {direct}"),
            "one of the two".to_owned(),
        )),
    }
}

impl TryFrom<&WirePassthrough> for PassthroughSettings {
    type Error = DocumentError;

    fn try_from(wire: &WirePassthrough) -> Result<Self, DocumentError> {
        Ok(Self {
            outbound: parse_text("passthrough.outbound", &wire.outbound, ADDRESS_FORMAT)?,
            flow_age: wire.flow_age_ms.into(),
            flow_idle: wire.flow_idle_ms.into(),
            report_period: wire.report_period_ms.map(Duration::from),
            flow_limit: wire.flow_limit,
            first_cold_limit: wire.first_cold_limit.map(first_cold_limit),
        })
    }
}

// Returns the limit in whole flows per second. A host that opened none would be of no use.
fn first_cold_limit(flows: f64) -> ColdLimit {
    ColdLimit(NonZeroU32::new(flows as u32).unwrap_or(NonZeroU32::MIN))
}

// Shorter deadlines can't be met by reads of the platform.
fn parse_change_deadline(time: WireMillis) -> Result<Duration, DocumentError> {
    let WireMillis(millis) = time;
    if (MIN_CHANGE_DEADLINE_MS..=MAX_CHANGE_DEADLINE_MS).contains(&millis) {
        return Ok(time.into());
    }
    Err(DocumentError::Value(
        "change_deadline_ms".to_owned(),
        millis.to_string(),
        format!("{MIN_CHANGE_DEADLINE_MS} to {MAX_CHANGE_DEADLINE_MS}"),
    ))
}

fn check_log(log: &LogSettings) -> Result<(), DocumentError> {
    let levels = "error, warn, info, debug or trace";
    parse_text::<log::LevelFilter>("log.level", &log.level, levels)?;
    match log.target.as_str() {
        "stdout" | "stderr" => Ok(()),
        other => Err(DocumentError::Value(
            "log.target".to_owned(),
            other.to_owned(),
            "stdout or stderr".to_owned(),
        )),
    }
}

impl TryFrom<&WireEntrySettings> for EntrySettings {
    type Error = DocumentError;

    fn try_from(wire: &WireEntrySettings) -> Result<Self, DocumentError> {
        check_log(&wire.log)?;
        if !wire.platform.starts_with("http://") {
            return Err(DocumentError::Value(
                "platform".to_owned(),
                wire.platform.to_string(),
                "http:// and an address".to_owned(),
            ));
        }
        Ok(Self {
            name: parse_text("name", &wire.name, NAME_FORMAT)?,
            datacenter: parse_text("datacenter", &wire.datacenter, NAME_FORMAT)?,
            packets: parse_text("packets", &wire.packets, ADDRESS_FORMAT)?,
            peers: parse_text("peers", &wire.peers, ADDRESS_FORMAT)?,
            status: parse_text("status", &wire.status, ADDRESS_FORMAT)?,
            dialect: wire.dialect,
            callers: parse_caller_route(
                wire.fabric.as_ref(),
                wire.direct_to_callers,
                &wire.packets,
            )?,
            platform: wire.platform.clone(),
            host_datacenters: wire.places.clone(),
            reads_drains: wire.drains,
            learns_capacity: wire.learn_capacity,
            change_deadline: parse_change_deadline(wire.change_deadline_ms)?,
            seeds: parse_seeds(&wire.seeds, wire.seeds_port)?,
            hint_limit: wire.hints,
            flow_age: wire.flow_age_ms.into(),
            stop_linger: wire.stop_linger_ms.into(),
            metrics: parse_optional_address("metrics", wire.metrics.as_ref())?,
            log: wire.log.clone(),
        })
    }
}

// Parses the firm and service. The platform's services may have names that the product's can't have.
fn parse_service(dialect: Dialect, text: &str) -> Result<ServiceId, DocumentError> {
    const FORMAT: &str = "firm/service";
    match dialect {
        Dialect::Own => parse_text("service", text, FORMAT),
        Dialect::Platform => names::service_id(text).map_err(|_| {
            DocumentError::Value("service".to_owned(), text.to_owned(), FORMAT.to_owned())
        }),
    }
}

impl TryFrom<&WireSideSettings> for SideSettings {
    type Error = DocumentError;

    fn try_from(wire: &WireSideSettings) -> Result<Self, DocumentError> {
        check_log(&wire.log)?;
        let weight = HostWeight::new(wire.weight).map_err(|_| {
            DocumentError::Value(
                "weight".to_owned(),
                wire.weight.to_string(),
                format!("{} to {}", HostWeight::MIN, HostWeight::MAX),
            )
        })?;
        Ok(Self {
            name: parse_text("name", &wire.name, NAME_FORMAT)?,
            datacenter: parse_text("datacenter", &wire.datacenter, NAME_FORMAT)?,
            service: parse_service(wire.dialect, &wire.service)?,
            packets: parse_text("packets", &wire.packets, ADDRESS_FORMAT)?,
            registration_address: parse_text("announce", &wire.announce, ADDRESS_FORMAT)?,
            status: parse_text("status", &wire.status, ADDRESS_FORMAT)?,
            dialect: wire.dialect,
            callers: parse_caller_route(
                wire.fabric.as_ref(),
                wire.direct_to_callers,
                &wire.packets,
            )?,
            seeds: parse_seeds(&wire.seeds, wire.seeds_port)?,
            passthrough: wire
                .passthrough
                .as_ref()
                .map(PassthroughSettings::try_from)
                .transpose()?,
            backend: parse_text("backend", &wire.backend, ADDRESS_FORMAT)?,
            health: parse_optional_address("health", wire.health.as_ref())?,
            weight,
            metrics: parse_optional_address("metrics", wire.metrics.as_ref())?,
            log: wire.log.clone(),
        })
    }
}
