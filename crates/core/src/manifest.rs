//! What a firm's manifest says once it has been checked.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use quick_error::quick_error;

use crate::ids::{DatacenterName, FirmName, ServiceId};
use crate::units::{ByteCount, PercentShare};

quick_error! {
    /// Why a text is no block of addresses.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BlockError {
        /// Not of the form `10.20.0.0/16`.
        Syntax(text: String) {
            display("{:?} is not an address block like 10.20.0.0/16", text)
        }
        /// Bits are set behind the prefix.
        HostBits(text: String) {
            display("{:?} has bits set behind its prefix", text)
        }
    }
}

/// A block of addresses that belongs to one firm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AddressBlock {
    base: Ipv4Addr,
    prefix: u8,
}

impl AddressBlock {
    fn mask(prefix: u8) -> u32 {
        u32::MAX.checked_shl(32 - u32::from(prefix)).unwrap_or(0)
    }

    /// The first address.
    pub fn base(&self) -> Ipv4Addr {
        self.base
    }

    /// Whether the address lies in the block.
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        u32::from(address) & Self::mask(self.prefix) == u32::from(self.base)
    }

    /// Whether the blocks share an address.
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

/// What flows of a service carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServiceKind {
    /// Bytes, handed through in both directions.
    Stream,
    /// HTTP/1.1 requests.
    Request,
    /// Flows that end at the backend server itself, carried through unread.
    Passthrough,
}

/// How long a request is expected to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// Ordinary work, which must not wait behind long work.
    Short,
    /// Uploads and the like.
    Long,
}

/// How requests of one route are treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Method, or none for every method.
    pub method: Option<CompactString>,
    /// Start of the path.
    pub path_prefix: CompactString,
    /// Short or long.
    pub class: RequestClass,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Time from its arrival to its answer.
    pub deadline: Duration,
}

impl RouteRule {
    /// Whether the rule is about this request.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method.as_deref().is_none_or(|own| own == method)
            && path.starts_with(self.path_prefix.as_str())
    }
}

/// Limits of each host of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// Open flows.
    pub flows: usize,
    /// Largest head of a request.
    pub head: ByteCount,
    /// Largest body of a request.
    pub body: ByteCount,
}

/// Times of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTiming {
    /// Time a leaving host lets its flows end by themselves.
    pub drain_grace: Duration,
    /// Time in which a cold host grows to its full rate.
    pub warm_up: Duration,
    /// Time in which the whole head and body of a request must arrive.
    pub receive: Duration,
}

/// One service of a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Firm and name.
    pub id: ServiceId,
    /// What its flows carry.
    pub kind: ServiceKind,
    /// Where callers reach it.
    pub address: SocketAddrV4,
    /// Where callers reach it as well.
    pub aliases: Vec<SocketAddrV4>,
    /// Where its hosts stand.
    pub datacenters: Vec<DatacenterName>,
    /// Limits of each host.
    pub limits: HostLimits,
    /// Times.
    pub timing: ServiceTiming,
    /// Largest share of its hosts that may be set aside as suspect.
    pub eject_limit: PercentShare,
    /// Rules, the first match holds.
    pub rules: Vec<RouteRule>,
    /// Holds where no rule matches.
    pub fallback: RouteRule,
}

impl ServiceSpec {
    /// All addresses of the service.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        std::iter::once(self.address).chain(self.aliases.iter().copied())
    }

    /// The rule for a request.
    pub fn rule(&self, method: &str, path: &str) -> &RouteRule {
        self.rules
            .iter()
            .find(|rule| rule.matches(method, path))
            .unwrap_or(&self.fallback)
    }
}

/// The checked manifest of a firm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirmManifest {
    /// The firm.
    pub firm: FirmName,
    /// Its services.
    pub services: Vec<ServiceSpec>,
}

/// A difference between two manifests of a firm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManifestChange {
    /// A service is new.
    Added(ServiceId),
    /// A service ends.
    Removed(ServiceId),
    /// A service changes.
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
    /// What changes when `next` follows this manifest.
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
