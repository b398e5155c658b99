//! Wire types of manifests and grants as operators write them, and their checks.
//!
//! Every error contains the path in the document, the value found there and the
//! allowed values.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use chestnutlb_core::manifest::{HostLimits, ServiceTiming};
use chestnutlb_core::{
    AddressBlock, ByteCount, ColdLimit, DatacenterName, FirmManifest, FirmName, PercentShare,
    RequestClass, RouteRule, ServiceId, ServiceKind, ServiceSpec,
};

/// Largest limit of flows of a host.
pub const MAX_FLOWS: u64 = 1_000_000;

/// Largest limit of new flows per second of a cold host.
pub const MAX_COLD_FLOWS: u64 = 1_000_000;

/// Maximum number of services in a manifest.
pub const MAX_SERVICES: usize = 2000;

quick_error! {
    /// An error in a document.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DocumentError {
        /// The document has the wrong format.
        Format(path: String, text: String) {
            display("at {}: {}", path, text)
        }
        /// A value is not allowed.
        Value(path: String, found: String, allowed: String) {
            display("at {}: found {}, allowed is {}", path, found, allowed)
        }
    }
}

/// Parses a JSON document. Errors contain the path of the invalid value; trailing
/// data is an error, and so are unknown fields of types that deny them.
pub fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, DocumentError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        DocumentError::Format(path, error.into_inner().to_string())
    })?;
    reader
        .end()
        .map_err(|error| DocumentError::Format(".".to_owned(), error.to_string()))?;
    Ok(value)
}

/// Parses the text at `path` into a checked type; `allowed` describes the valid
/// values.
pub fn parse_text<T: FromStr>(path: &str, text: &str, allowed: &str) -> Result<T, DocumentError> {
    text.parse().map_err(|_| value_error(path, text, allowed))
}

fn value_error(path: &str, found: impl std::fmt::Display, allowed: &str) -> DocumentError {
    DocumentError::Value(path.to_owned(), found.to_string(), allowed.to_owned())
}

fn check_range(path: &str, found: u64, min: u64, max: u64) -> Result<u64, DocumentError> {
    if (min..=max).contains(&found) {
        Ok(found)
    } else {
        Err(value_error(path, found, &format!("{min} to {max}")))
    }
}

const NAME_FORMAT: &str = "1 to 63 of a-z, 0-9 and '-'";
const ADDRESS_FORMAT: &str = "an IPv4 address and port like 10.20.0.1:7000";
const SIZE_FORMAT: &str = "a size like 16KiB or 1MiB";

/// A firm's manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireManifest {
    /// Name of the firm.
    pub firm: CompactString,
    /// Services of the firm.
    pub services: Vec<WireService>,
}

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireKind {
    /// Byte streams, forwarded unchanged.
    Stream,
    /// HTTP/1.1 requests.
    Request,
    /// Passthrough flows, which end at the backend server itself.
    Passthrough,
}

impl From<WireKind> for ServiceKind {
    fn from(wire: WireKind) -> Self {
        match wire {
            WireKind::Stream => Self::Stream,
            WireKind::Request => Self::Request,
            WireKind::Passthrough => Self::Passthrough,
        }
    }
}

impl From<ServiceKind> for WireKind {
    fn from(kind: ServiceKind) -> Self {
        match kind {
            ServiceKind::Stream => Self::Stream,
            ServiceKind::Request => Self::Request,
            ServiceKind::Passthrough => Self::Passthrough,
        }
    }
}

/// Class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireClass {
    /// Ordinary requests.
    Short,
    /// Long-running requests, such as uploads.
    Long,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireService {
    /// Name of the service.
    pub name: CompactString,
    /// Kind of the service.
    pub kind: WireKind,
    /// Address that callers connect to.
    pub address: CompactString,
    /// Further addresses that callers connect to.
    #[serde(default)]
    pub aliases: Vec<CompactString>,
    /// Data centres of its hosts.
    pub datacenters: Vec<CompactString>,
    /// Limits for each host.
    #[serde(default)]
    pub limits: WireLimits,
    /// Timeouts and grace periods.
    #[serde(default)]
    pub timing: WireTiming,
    /// Largest share of hosts that may be treated as suspect, in percent.
    #[serde(default = "default_eject_percent")]
    pub eject_percent: u8,
    /// Rules for requests, of which the first match applies.
    #[serde(default)]
    pub rules: Vec<WireRule>,
    /// Rule for requests that match none of `rules`.
    #[serde(default)]
    pub fallback: WireRule,
}

fn default_eject_percent() -> u8 {
    50
}

/// Limits for each host of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WireLimits {
    /// Maximum number of requests that run concurrently.
    pub slots: u64,
    /// Maximum number of queued requests.
    pub queue: u64,
    /// Maximum number of open flows.
    pub flows: u64,
    /// Maximum size of a request's head.
    pub head: CompactString,
    /// Maximum size of a request's body.
    pub body: CompactString,
    /// What hosts of passthrough services observe, if anything. Left out as a whole: messages
    /// among processes are encoded by position.
    #[serde(skip_serializing_if = "WirePassthroughLimits::is_default")]
    pub passthrough: WirePassthroughLimits,
}

/// Limits for each host of a passthrough service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WirePassthroughLimits {
    /// Maximum number of new flows per second while the host is cold.
    pub cold_flows_per_second: Option<u64>,
    /// Whether the host learns what its backend server takes well.
    pub learn_capacity: bool,
}

impl WirePassthroughLimits {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

impl Default for WireLimits {
    fn default() -> Self {
        Self {
            slots: 3,
            queue: 64,
            flows: 2000,
            head: "16KiB".into(),
            body: "1MiB".into(),
            passthrough: WirePassthroughLimits::default(),
        }
    }
}

/// Timeouts and grace periods of a service, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WireTiming {
    /// Grace period for flows of a leaving host to end before they are cut.
    pub drain_grace_ms: u64,
    /// Time in which a cold host ramps up to its full rate.
    pub warm_up_ms: u64,
    /// Time within which a whole request must arrive.
    pub receive_ms: u64,
}

impl Default for WireTiming {
    fn default() -> Self {
        Self {
            drain_grace_ms: 600_000,
            warm_up_ms: 5_000,
            receive_ms: 30_000,
        }
    }
}

/// A rule for the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WireRule {
    /// Method of the requests; `None` matches all methods.
    pub method: Option<CompactString>,
    /// Prefix of the path.
    pub path: CompactString,
    /// Class of the requests.
    pub class: WireClass,
    /// Whether a request can safely be run more than once.
    pub repeatable: bool,
    /// Time within which a request must be answered, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for WireRule {
    fn default() -> Self {
        Self {
            method: None,
            path: "/".into(),
            class: WireClass::Short,
            repeatable: false,
            deadline_ms: 5_000,
        }
    }
}

impl WireRule {
    fn check(&self, path: &str) -> Result<RouteRule, DocumentError> {
        if !self.path.starts_with('/') {
            let field_path = format!("{path}.path");
            return Err(value_error(
                &field_path,
                &self.path,
                "a path that starts with '/'",
            ));
        }
        if let Some(method) = &self.method
            && (method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()))
        {
            let field_path = format!("{path}.method");
            return Err(value_error(&field_path, method, "a method in capitals"));
        }
        let field_path = format!("{path}.deadline_ms");
        let deadline = check_range(&field_path, self.deadline_ms, 10, 3_600_000)?;
        Ok(RouteRule {
            method: self.method.clone(),
            path_prefix: self.path.clone(),
            class: match self.class {
                WireClass::Short => RequestClass::Short,
                WireClass::Long => RequestClass::Long,
            },
            repeatable: self.repeatable,
            deadline: Duration::from_millis(deadline),
        })
    }
}

impl From<&RouteRule> for WireRule {
    fn from(rule: &RouteRule) -> Self {
        Self {
            method: rule.method.clone(),
            path: rule.path_prefix.clone(),
            class: match rule.class {
                RequestClass::Short => WireClass::Short,
                RequestClass::Long => WireClass::Long,
            },
            repeatable: rule.repeatable,
            deadline_ms: rule.deadline.as_millis() as u64,
        }
    }
}

impl WireLimits {
    fn check(&self, path: &str) -> Result<HostLimits, DocumentError> {
        let size = |field: &str, text: &str, max: u64| {
            let field_path = format!("{path}.{field}");
            let bytes: ByteCount = parse_text(&field_path, text, SIZE_FORMAT)?;
            check_range(&field_path, bytes.0, 256, max).map(ByteCount)
        };
        let count = |field: &str, found: u64, max: u64| {
            check_range(&format!("{path}.{field}"), found, 1, max).map(|found| found as usize)
        };
        Ok(HostLimits {
            slots: count("slots", self.slots, 1024)?,
            queue: count("queue", self.queue, 65_536)?,
            flows: count("flows", self.flows, MAX_FLOWS)?,
            head: size("head", &self.head, 64 << 10)?,
            body: size("body", &self.body, 16 << 20)?,
            cold: self.check_cold_limit(path)?,
            learns_capacity: self.passthrough.learn_capacity,
        })
    }

    fn check_cold_limit(&self, path: &str) -> Result<Option<ColdLimit>, DocumentError> {
        let Some(found) = self.passthrough.cold_flows_per_second else {
            return Ok(None);
        };
        let field_path = format!("{path}.passthrough.cold_flows_per_second");
        let limit = check_range(&field_path, found, 1, MAX_COLD_FLOWS)?;
        Ok(NonZeroU32::new(limit as u32).map(ColdLimit))
    }
}

impl WireTiming {
    fn check(&self, path: &str) -> Result<ServiceTiming, DocumentError> {
        let duration = |field: &str, found: u64, max: u64| {
            check_range(&format!("{path}.{field}"), found, 0, max).map(Duration::from_millis)
        };
        Ok(ServiceTiming {
            drain_grace: duration("drain_grace_ms", self.drain_grace_ms, 86_400_000)?,
            warm_up: duration("warm_up_ms", self.warm_up_ms, 3_600_000)?,
            receive: duration("receive_ms", self.receive_ms, 3_600_000)?,
        })
    }
}

fn parse_service_address(path: &str, text: &str) -> Result<SocketAddrV4, DocumentError> {
    let address: SocketAddrV4 = parse_text(path, text, ADDRESS_FORMAT)?;
    if address.port() == 0 {
        return Err(value_error(path, address, "a port from 1 to 65535"));
    }
    Ok(address)
}

impl WireService {
    /// Checks the service, whose path in the document is `path`.
    pub fn check(&self, firm: &FirmName, path: &str) -> Result<ServiceSpec, DocumentError> {
        let field_path = |field: &str| format!("{path}.{field}");
        let name = parse_text(&field_path("name"), &self.name, NAME_FORMAT)?;
        let address = parse_service_address(&field_path("address"), &self.address)?;
        let aliases = self
            .aliases
            .iter()
            .enumerate()
            .map(|(index, text)| {
                parse_service_address(&field_path(&format!("aliases[{index}]")), text)
            })
            .collect::<Result<Vec<_>, _>>()?;
        if self.datacenters.is_empty() {
            return Err(value_error(
                &field_path("datacenters"),
                "an empty list",
                "at least one",
            ));
        }
        let datacenters = self
            .datacenters
            .iter()
            .enumerate()
            .map(|(index, text)| {
                parse_text(
                    &field_path(&format!("datacenters[{index}]")),
                    text,
                    NAME_FORMAT,
                )
            })
            .collect::<Result<Vec<DatacenterName>, _>>()?;
        let rules = self
            .rules
            .iter()
            .enumerate()
            .map(|(index, rule)| rule.check(&field_path(&format!("rules[{index}]"))))
            .collect::<Result<_, _>>()?;
        let eject = check_range(
            &field_path("eject_percent"),
            self.eject_percent.into(),
            0,
            100,
        )?;
        Ok(ServiceSpec {
            id: ServiceId {
                firm: firm.clone(),
                service: name,
            },
            kind: self.kind.into(),
            address,
            aliases,
            datacenters,
            limits: self.limits.check(&field_path("limits"))?,
            timing: self.timing.check(&field_path("timing"))?,
            eject_limit: PercentShare::new(eject as u8)
                .map_err(|_| value_error(&field_path("eject_percent"), eject, "0 to 100"))?,
            rules,
            fallback: self.fallback.check(&field_path("fallback"))?,
        })
    }
}

impl From<&ServiceSpec> for WireService {
    fn from(spec: &ServiceSpec) -> Self {
        let millis = |duration: Duration| duration.as_millis() as u64;
        Self {
            name: spec.id.service.clone().into(),
            kind: spec.kind.into(),
            address: spec.address.to_compact_string(),
            aliases: spec
                .aliases
                .iter()
                .map(ToCompactString::to_compact_string)
                .collect(),
            datacenters: spec.datacenters.iter().cloned().map(Into::into).collect(),
            limits: WireLimits {
                slots: spec.limits.slots as u64,
                queue: spec.limits.queue as u64,
                flows: spec.limits.flows as u64,
                head: spec.limits.head.to_compact_string(),
                body: spec.limits.body.to_compact_string(),
                passthrough: WirePassthroughLimits {
                    cold_flows_per_second: spec.limits.cold.map(|limit| limit.0.get().into()),
                    learn_capacity: spec.limits.learns_capacity,
                },
            },
            timing: WireTiming {
                drain_grace_ms: millis(spec.timing.drain_grace),
                warm_up_ms: millis(spec.timing.warm_up),
                receive_ms: millis(spec.timing.receive),
            },
            eject_percent: spec.eject_limit.of(100) as u8,
            rules: spec.rules.iter().map(WireRule::from).collect(),
            fallback: WireRule::from(&spec.fallback),
        }
    }
}

/// A service of a manifest that was left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedService {
    /// Name of the service, as it stands in the manifest.
    pub name: CompactString,
    /// What is wrong with it.
    pub error: DocumentError,
}

// Services that were checked one after the other.
#[derive(Debug, Default)]
struct CheckedServices {
    services: Vec<ServiceSpec>,
    ids: HashSet<ServiceId>,
    by_address: HashMap<SocketAddrV4, ServiceId>,
}

impl CheckedServices {
    fn add(
        &mut self,
        firm: &FirmName,
        service: &WireService,
        path: &str,
    ) -> Result<(), DocumentError> {
        let spec = service.check(firm, path)?;
        if self.ids.contains(&spec.id) {
            let field_path = format!("{path}.name");
            return Err(value_error(&field_path, &service.name, "a name used once"));
        }
        let mut own_addresses = HashSet::new();
        for address in spec.addresses() {
            let other = match own_addresses.insert(address) {
                true => self.by_address.get(&address),
                false => Some(&spec.id),
            };
            if let Some(other) = other {
                let field_path = if address == spec.address {
                    format!("{path}.address")
                } else {
                    format!("{path}.aliases")
                };
                let allowed = format!("an address other than that of {other}");
                return Err(value_error(&field_path, address, &allowed));
            }
        }
        let addresses = own_addresses.into_iter();
        self.by_address
            .extend(addresses.map(|address| (address, spec.id.clone())));
        self.ids.insert(spec.id.clone());
        self.services.push(spec);
        Ok(())
    }
}

impl WireManifest {
    /// Checks the services one by one. Returns the manifest of those that pass, and the others.
    pub fn check_services(&self) -> Result<(FirmManifest, Vec<RejectedService>), DocumentError> {
        let firm: FirmName = parse_text("firm", &self.firm, NAME_FORMAT)?;
        let mut checked = CheckedServices::default();
        let mut rejected = Vec::new();
        for (index, service) in self.services.iter().enumerate() {
            if let Err(error) = checked.add(&firm, service, &format!("services[{index}]")) {
                let name = service.name.clone();
                rejected.push(RejectedService { name, error });
            }
        }
        let services = checked.services;
        Ok((FirmManifest { firm, services }, rejected))
    }
}

impl TryFrom<&WireManifest> for FirmManifest {
    type Error = DocumentError;

    fn try_from(wire: &WireManifest) -> Result<Self, DocumentError> {
        if wire.services.len() > MAX_SERVICES {
            let allowed = format!("at most {MAX_SERVICES} services");
            return Err(value_error("services", wire.services.len(), &allowed));
        }
        let (manifest, rejected) = wire.check_services()?;
        match rejected.into_iter().next() {
            Some(service) => Err(service.error),
            None => Ok(manifest),
        }
    }
}

impl From<&FirmManifest> for WireManifest {
    fn from(manifest: &FirmManifest) -> Self {
        Self {
            firm: manifest.firm.clone().into(),
            services: manifest.services.iter().map(WireService::from).collect(),
        }
    }
}

/// Grant of a block of addresses to a firm.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireGrant {
    /// Block of addresses, such as `10.20.0.0/16`.
    pub block: CompactString,
    /// Name of the firm.
    pub firm: CompactString,
}

/// All grants, as the platform stores them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireGrants {
    /// Grants of addresses.
    pub grants: Vec<WireGrant>,
}

impl WireGrants {
    /// Checks that a manifest uses only addresses granted to its firm, and that no
    /// granted blocks overlap.
    pub fn check_manifest(&self, manifest: &FirmManifest) -> Result<(), DocumentError> {
        let mut blocks: Vec<(AddressBlock, &str)> = Vec::new();
        for (index, grant) in self.grants.iter().enumerate() {
            let path = format!("grants[{index}].block");
            let block: AddressBlock =
                parse_text(&path, &grant.block, "an address block like 10.20.0.0/16")?;
            if let Some((other, _)) = blocks.iter().find(|(other, _)| other.overlaps(&block)) {
                return Err(value_error(
                    &path,
                    block,
                    &format!("no overlap with {other}"),
                ));
            }
            blocks.push((block, &grant.firm));
        }
        let granted_blocks: Vec<_> = blocks
            .iter()
            .filter(|(_, firm)| *firm == manifest.firm.as_str())
            .map(|(block, _)| block)
            .collect();
        let allowed = granted_blocks
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>();
        for (index, spec) in manifest.services.iter().enumerate() {
            let is_granted = |address: &SocketAddrV4| {
                granted_blocks
                    .iter()
                    .any(|block| block.contains(*address.ip()))
            };
            if let Some(ungranted) = spec.addresses().find(|address| !is_granted(address)) {
                return Err(value_error(
                    &format!("services[{index}].address"),
                    ungranted,
                    &format!("an address of {}: [{}]", manifest.firm, allowed.join(", ")),
                ));
            }
        }
        Ok(())
    }
}

/// Returns the services of a checked manifest as shared values.
pub fn shared_services(manifest: FirmManifest) -> Vec<Arc<ServiceSpec>> {
    manifest.services.into_iter().map(Arc::new).collect()
}
