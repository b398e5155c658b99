//! The validated manifest of a firm.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use quick_error::quick_error;

use crate::ids::{DatacenterName, FirmName, ServiceId};
use crate::opening_rules::ColdLimit;
use crate::units::{ByteCount, PercentShare};

quick_error! {
    /// Error in the text of an address block.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BlockError {
        /// The text is not of the form `10.20.0.0/16`.
        Syntax(text: String) {
            display("{:?} is not an address block like 10.20.0.0/16", text)
        }
        /// Bits after the prefix are set.
        HostBits(text: String) {
            display("{:?} has bits set after its prefix", text)
        }
    }
}

/// A block of IPv4 addresses granted to one firm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AddressBlock {
    base: Ipv4Addr,
    prefix: u8,
}

impl AddressBlock {
    fn mask(prefix: u8) -> u32 {
        u32::MAX.checked_shl(32 - u32::from(prefix)).unwrap_or(0)
    }

    /// Returns the first address.
    pub fn base(&self) -> Ipv4Addr {
        self.base
    }

    /// Returns whether the block contains an address.
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        u32::from(address) & Self::mask(self.prefix) == u32::from(self.base)
    }

    /// Returns whether the blocks have an address in common.
    pub fn overlaps(&self, other: &AddressBlock) -> bool {
        self.contains(other.base) || other.contains(self.base)
    }
}

impl fmt::Display for AddressBlock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.base, self.prefix)
    }
}

impl FromStr for AddressBlock {
    type Err = BlockError;

    fn from_str(text: &str) -> Result<Self, BlockError> {
        let syntax = || BlockError::Syntax(text.to_owned());
        let (base, prefix) = text.split_once('/').ok_or_else(syntax)?;
        let base: Ipv4Addr = base.parse().map_err(|_| syntax())?;
        let prefix: u8 = prefix.parse().map_err(|_| syntax())?;
        if prefix > 32 {
            return Err(syntax());
        }
        if u32::from(base) & !Self::mask(prefix) != 0 {
            return Err(BlockError::HostBits(text.to_owned()));
        }
        Ok(Self { base, prefix })
    }
}

/// Kind of a service, which determines how its flows are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServiceKind {
    /// Byte streams that the side process forwards in both directions.
    Stream,
    /// HTTP/1.1 requests that the side process schedules one by one.
    Request,
    /// Flows that end at the backend server; their packets are forwarded without
    /// reading the payload.
    Passthrough,
}

/// Class of a request by its expected run time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// Ordinary requests, which must not wait behind long ones.
    Short,
    /// Long requests, for example uploads.
    Long,
}

/// Rule for the requests of one route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// HTTP method, or `None` for every method.
    pub method: Option<CompactString>,
    /// Prefix of the path.
    pub path_prefix: CompactString,
    /// Class of the requests.
    pub class: RequestClass,
    /// Whether a request may be run twice without harm.
    pub repeatable: bool,
    /// Maximum time from the arrival of a request to its response.
    pub deadline: Duration,
}

impl RouteRule {
    /// Returns whether the rule applies to a request.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method
            .as_deref()
            .is_none_or(|expected| expected == method)
            && path.starts_with(self.path_prefix.as_str())
    }
}

/// Limits of each host of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of requests of each class that wait for a slot.
    pub queue: usize,
    /// Maximum number of open flows.
    pub flows: usize,
    /// Maximum size of a request head.
    pub head: ByteCount,
    /// Maximum size of a request body.
    pub body: ByteCount,
    /// Maximum number of new flows per second while it is cold; `None` for no limit.
    pub cold: Option<ColdLimit>,
    /// Whether hosts learn what their backend servers take well, instead of relying on `slots`.
    pub learns_capacity: bool,
}

/// Time limits of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTiming {
    /// Grace period in which a leaving host lets its flows finish.
    pub drain_grace: Duration,
    /// Time in which a cold host ramps up to its full rate.
    pub warm_up: Duration,
    /// Maximum time for receiving the head and body of a request.
    pub receive: Duration,
}

/// One service of a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Firm and name of the service.
    pub id: ServiceId,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Primary address for callers.
    pub address: SocketAddrV4,
    /// Additional addresses for callers.
    pub aliases: Vec<SocketAddrV4>,
    /// Data centres of its hosts.
    pub datacenters: Vec<DatacenterName>,
    /// Limits of each host.
    pub limits: HostLimits,
    /// Time limits.
    pub timing: ServiceTiming,
    /// Maximum share of its hosts that may be excluded as suspect.
    pub eject_limit: PercentShare,
    /// Rules in order; the first match applies.
    pub rules: Vec<RouteRule>,
    /// Rule for requests that no other rule matches.
    pub fallback: RouteRule,
}

impl ServiceSpec {
    /// Returns all addresses of the service.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        std::iter::once(self.address).chain(self.aliases.iter().copied())
    }

    /// Returns the rule that applies to a request.
    pub fn rule(&self, method: &str, path: &str) -> &RouteRule {
        self.rules
            .iter()
            .find(|rule| rule.matches(method, path))
            .unwrap_or(&self.fallback)
    }
}

/// The validated manifest of a firm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirmManifest {
    /// Name of the firm.
    pub firm: FirmName,
    /// Services of the firm.
    pub services: Vec<ServiceSpec>,
}

/// A difference between two manifests of a firm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManifestChange {
    /// A service was added.
    Added(ServiceId),
    /// A service was removed.
    Removed(ServiceId),
    /// The specification of a service was changed.
    Changed(ServiceId),
}

impl fmt::Display for ManifestChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(id) => write!(f, "+ {id}"),
            Self::Removed(id) => write!(f, "- {id}"),
            Self::Changed(id) => write!(f, "~ {id}"),
        }
    }
}

impl FirmManifest {
    /// Returns the differences between this manifest and its successor `next`.
    pub fn changes(&self, next: &FirmManifest) -> Vec<ManifestChange> {
        let find = |manifest: &FirmManifest, id: &ServiceId| {
            manifest
                .services
                .iter()
                .find(|spec| spec.id == *id)
                .cloned()
        };
        let mut changes = Vec::new();
        for spec in &next.services {
            match find(self, &spec.id) {
                None => changes.push(ManifestChange::Added(spec.id.clone())),
                Some(old) if old != *spec => {
                    changes.push(ManifestChange::Changed(spec.id.clone()));
                }
                Some(_) => {}
            }
        }
        for spec in &self.services {
            if find(next, &spec.id).is_none() {
                changes.push(ManifestChange::Removed(spec.id.clone()));
            }
        }
        changes
    }
}
