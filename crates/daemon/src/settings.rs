//! Settings of the daemon: a JSON file that names every address. A file with
//! an unknown field, an impossible value or a missing one is refused before
//! anything starts.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use chestnutlb_core::{DatacenterName, EntryName, HostName, HostWeight, ServiceId};
use chestnutlb_wire::{DocumentError, parse_json, parse_text};

const NAME_FORM: &str = "1 to 63 of a-z, 0-9 and '-'";
const ADDRESS_FORM: &str = "an IPv4 address and port";

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

/// What every role has.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireEntrySettings {
    role: CompactString,
    name: CompactString,
    datacenter: CompactString,
    packets: CompactString,
    peers: CompactString,
    status: CompactString,
    fabric: CompactString,
    platform: CompactString,
    #[serde(default)]
    seeds: Vec<CompactString>,
    #[serde(default = "default_hints")]
    hints: usize,
    #[serde(default = "default_linger")]
    stop_linger_ms: u64,
    #[serde(default)]
    metrics: Option<CompactString>,
    #[serde(default)]
    log: LogSettings,
}

fn default_hints() -> usize {
    100_000
}

fn default_linger() -> u64 {
    2_000
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireSideSettings {
    role: CompactString,
    name: CompactString,
    datacenter: CompactString,
    service: CompactString,
    packets: CompactString,
    announce: CompactString,
    status: CompactString,
    fabric: CompactString,
    seeds: Vec<CompactString>,
    backend: CompactString,
    #[serde(default)]
    health: Option<CompactString>,
    #[serde(default = "default_weight")]
    weight: u16,
    #[serde(default)]
    metrics: Option<CompactString>,
    #[serde(default)]
    log: LogSettings,
}

fn default_weight() -> u16 {
    HostWeight::ORDINARY.get()
}

/// Settings of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Its name.
    pub name: EntryName,
    /// Its data centre.
    pub datacenter: DatacenterName,
    /// Where it takes packets.
    pub packets: SocketAddrV4,
    /// Where it takes heartbeats and announcements.
    pub peers: SocketAddrV4,
    /// Where it answers over HTTP.
    pub status: SocketAddrV4,
    /// Where packets to callers go.
    pub fabric: SocketAddrV4,
    /// The platform's address.
    pub platform: CompactString,
    /// Other entry VMs.
    pub seeds: Vec<SocketAddrV4>,
    /// Most flows that are remembered.
    pub hints: usize,
    /// Time that it goes on forwarding after it was asked to stop.
    pub stop_linger: Duration,
    /// Where metrics go.
    pub metrics: Option<SocketAddr>,
    /// Logs.
    pub log: LogSettings,
}

/// Settings of a side process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SideSettings {
    /// The host.
    pub name: HostName,
    /// Its data centre.
    pub datacenter: DatacenterName,
    /// The service that the backend server runs.
    pub service: ServiceId,
    /// Where it takes packets.
    pub packets: SocketAddrV4,
    /// Where it hears from its keepers.
    pub announce: SocketAddrV4,
    /// Where it answers over HTTP, also relays.
    pub status: SocketAddrV4,
    /// Where packets to callers go.
    pub fabric: SocketAddrV4,
    /// Entry VMs.
    pub seeds: Vec<SocketAddrV4>,
    /// The backend server.
    pub backend: SocketAddrV4,
    /// Where the backend server says how it is; none if it doesn't.
    pub health: Option<SocketAddrV4>,
    /// Relative speed.
    pub weight: HostWeight,
    /// Where metrics go.
    pub metrics: Option<SocketAddr>,
    /// Logs.
    pub log: LogSettings,
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
    /// Log settings.
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

/// Reads settings. Returns them with all defaults filled in, as JSON too.
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

fn parse_list(path: &str, texts: &[CompactString]) -> Result<Vec<SocketAddrV4>, DocumentError> {
    texts
        .iter()
        .enumerate()
        .map(|(index, text)| parse_text(&format!("{path}[{index}]"), text, ADDRESS_FORM))
        .collect()
}

fn parse_option<T: std::str::FromStr>(
    path: &str,
    text: Option<&CompactString>,
) -> Result<Option<T>, DocumentError> {
    text.map(|text| parse_text(path, text, ADDRESS_FORM))
        .transpose()
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
            name: parse_text("name", &wire.name, NAME_FORM)?,
            datacenter: parse_text("datacenter", &wire.datacenter, NAME_FORM)?,
            packets: parse_text("packets", &wire.packets, ADDRESS_FORM)?,
            peers: parse_text("peers", &wire.peers, ADDRESS_FORM)?,
            status: parse_text("status", &wire.status, ADDRESS_FORM)?,
            fabric: parse_text("fabric", &wire.fabric, ADDRESS_FORM)?,
            platform: wire.platform.clone(),
            seeds: parse_list("seeds", &wire.seeds)?,
            hints: wire.hints,
            stop_linger: Duration::from_millis(wire.stop_linger_ms),
            metrics: parse_option("metrics", wire.metrics.as_ref())?,
            log: wire.log.clone(),
        })
    }
}

impl TryFrom<&WireSideSettings> for SideSettings {
    type Error = DocumentError;

    fn try_from(wire: &WireSideSettings) -> Result<Self, DocumentError> {
        check_log(&wire.log)?;
        if wire.seeds.is_empty() {
            return Err(DocumentError::Value(
                "seeds".to_owned(),
                "an empty list".to_owned(),
                "at least one entry VM".to_owned(),
            ));
        }
        let weight = HostWeight::new(wire.weight).map_err(|_| {
            DocumentError::Value(
                "weight".to_owned(),
                wire.weight.to_string(),
                format!("{} to {}", HostWeight::MIN, HostWeight::MAX),
            )
        })?;
        Ok(Self {
            name: parse_text("name", &wire.name, NAME_FORM)?,
            datacenter: parse_text("datacenter", &wire.datacenter, NAME_FORM)?,
            service: parse_text("service", &wire.service, "firm/service")?,
            packets: parse_text("packets", &wire.packets, ADDRESS_FORM)?,
            announce: parse_text("announce", &wire.announce, ADDRESS_FORM)?,
            status: parse_text("status", &wire.status, ADDRESS_FORM)?,
            fabric: parse_text("fabric", &wire.fabric, ADDRESS_FORM)?,
            seeds: parse_list("seeds", &wire.seeds)?,
            backend: parse_text("backend", &wire.backend, ADDRESS_FORM)?,
            health: parse_option("health", wire.health.as_ref())?,
            weight,
            metrics: parse_option("metrics", wire.metrics.as_ref())?,
            log: wire.log.clone(),
        })
    }
}
