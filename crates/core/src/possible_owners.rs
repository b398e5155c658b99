//! The hosts that may own flows of each firm: those in the view, of services with and without a
//! route, and those that left it without having announced their departure.
//!
//! Two records may have one address, such as that of a host that no longer runs and that of
//! its successor. So hosts are told apart by name, and an address may have several services.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::chart::HostState;
use crate::ids::{FirmName, HostName, Incarnation, ServiceId, ServiceTag};
use crate::owner_lookup::MAX_LOOKUP_HOSTS;
use crate::roster::HostRecord;
use crate::units::TimePoint;
use crate::view::{RoutingView, ServiceHosts, ViewHost};

/// Time for which a host that left the view counts as a possible owner of flows. A host that
/// lives is listed again by then.
pub const VANISHED_HOST_MEMORY: Duration = Duration::from_secs(60);

/// Maximum number of hosts of a firm that are asked though they are not in the view. While
/// there are more, the most recent ones are asked, and no flow of the firm counts as ownerless.
/// It is half of the hosts of the largest firm that is looked up.
pub const MAX_VANISHED_HOSTS: usize = MAX_LOOKUP_HOSTS / 2;

// A host of a service. A host that returns with another address is a different one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HostKey {
    name: HostName,
    packets: SocketAddrV4,
}

impl HostKey {
    fn of(record: &HostRecord) -> Self {
        Self {
            name: record.name.clone(),
            packets: record.packets,
        }
    }
}

// A host that left the view without having announced its departure.
#[derive(Debug, Clone, Copy)]
struct VanishedHost {
    incarnation: Incarnation,
    since: TimePoint,
}

impl VanishedHost {
    // Returns whether the host, or a later incarnation of it, has announced its departure.
    fn is_departed(self, name: &HostName, departed: &BTreeMap<HostName, Incarnation>) -> bool {
        let departed = departed.get(name);
        departed.is_some_and(|departed| *departed >= self.incarnation)
    }
}

// The tags of the services that each address runs, sorted, one for each record.
#[derive(Debug, Default)]
struct TagIndex(HashMap<SocketAddrV4, Vec<ServiceTag>>);

impl TagIndex {
    fn insert(&mut self, host: SocketAddrV4, tag: ServiceTag) {
        let tags = self.0.entry(host).or_default();
        let index = tags.partition_point(|other| *other < tag);
        tags.insert(index, tag);
    }

    fn remove(&mut self, host: SocketAddrV4, tag: ServiceTag) {
        let Some(tags) = self.0.get_mut(&host) else {
            return;
        };
        if let Ok(index) = tags.binary_search(&tag) {
            tags.remove(index);
        }
        if tags.is_empty() {
            self.0.remove(&host);
        }
    }

    fn of_host(&self, host: SocketAddrV4) -> &[ServiceTag] {
        self.0.get(&host).map_or(&[], Vec::as_slice)
    }
}

/// The hosts that may own flows, by firm.
#[derive(Debug, Default)]
pub struct PossibleOwners {
    // Services of the view.
    services: HashMap<ServiceId, Arc<ServiceHosts>>,
    unlisted_leaving_hosts: BTreeSet<HostName>,
    vanished: HashMap<ServiceId, HashMap<HostKey, VanishedHost>>,
    viewed_tags: TagIndex,
    vanished_tags: TagIndex,
    // Hosts to ask, sorted.
    firms: HashMap<FirmName, Arc<[SocketAddrV4]>>,
    // Firms with more vanished hosts than are asked.
    truncated_firms: HashSet<FirmName>,
}

impl PossibleOwners {
    /// Returns the hosts to ask that may own flows of a firm, sorted.
    pub fn of_firm(&self, firm: &FirmName) -> Option<&Arc<[SocketAddrV4]>> {
        self.firms.get(firm)
    }

    /// Returns whether more hosts may own flows of a firm than are asked.
    pub fn is_truncated(&self, firm: &FirmName) -> bool {
        self.truncated_firms.contains(firm)
    }

    /// Returns the addresses of the hosts that vanished and are not in the view.
    pub fn vanished(&self) -> impl Iterator<Item = SocketAddrV4> {
        let hosts = self.vanished_tags.0.keys().copied();
        hosts.filter(|host| !self.is_in_view(*host))
    }

    /// Returns whether a host of this address is in the view.
    pub fn is_in_view(&self, host: SocketAddrV4) -> bool {
        !self.viewed_tags.of_host(host).is_empty()
    }

    /// Returns whether a host of this address is in the view or vanished from it.
    pub fn contains(&self, host: SocketAddrV4) -> bool {
        self.is_in_view(host) || !self.vanished_tags.of_host(host).is_empty()
    }

    /// Returns whether a host of this address runs the service of this tag.
    pub fn runs_service(&self, host: SocketAddrV4, tag: ServiceTag) -> bool {
        self.viewed_tags.of_host(host).contains(&tag)
            || self.vanished_tags.of_host(host).contains(&tag)
    }

    /// Returns the tag of a service that a host of this address runs: the first one of the
    /// view, else of the hosts that vanished.
    pub fn service_tag(&self, host: SocketAddrV4) -> Option<ServiceTag> {
        let tags = self.viewed_tags.of_host(host).first();
        tags.or_else(|| self.vanished_tags.of_host(host).first())
            .copied()
    }

    /// Returns the services of a view whose hosts may differ from those of the last one.
    pub fn changed_services(&self, view: &RoutingView) -> Vec<Arc<ServiceHosts>> {
        view.service_hosts()
            .filter(|service| {
                let before = self.services.get(service.id());
                before.is_none_or(|before| !Arc::ptr_eq(before, service))
            })
            .cloned()
            .collect()
    }

    /// Returns whether a service of a later view has the same hosts as in the last one.
    pub fn has_same_hosts(&self, service: &ServiceHosts) -> bool {
        let before = self.services.get(service.id());
        before.is_some_and(|before| before.has_same_hosts(service))
    }

    /// Records a new view, of which these services have changed.
    pub fn update(&mut self, view: &RoutingView, changed: &[Arc<ServiceHosts>], now: TimePoint) {
        let mut firms = HashSet::new();
        for service in changed {
            if self.replace_service(service, now) {
                firms.insert(service.id().firm.clone());
            }
        }
        self.remove_services(view, now, &mut firms);
        self.forget_vanished(view, now, &mut firms);
        self.unlisted_leaving_hosts = view.unlisted_leaving_hosts.clone();
        if !firms.is_empty() {
            self.update_vanished_tags();
            self.update_firms(&firms);
        }
    }

    // Returns whether the hosts of the service have changed.
    fn replace_service(&mut self, service: &Arc<ServiceHosts>, now: TimePoint) -> bool {
        let id = service.id();
        let before = self.services.insert(id.clone(), Arc::clone(service));
        if let Some(before) = before {
            if before.has_same_hosts(service) {
                return false;
            }
            self.record_vanished(&before, Some(service), now);
        }
        for host in service.hosts() {
            self.viewed_tags.insert(host.record.packets, service.tag);
        }
        if let Some(vanished) = self.vanished.get_mut(id) {
            let present: HashSet<_> = service
                .hosts()
                .iter()
                .map(|host| HostKey::of(&host.record))
                .collect();
            vanished.retain(|host, _| !present.contains(host));
        }
        true
    }

    fn remove_services(
        &mut self,
        view: &RoutingView,
        now: TimePoint,
        firms: &mut HashSet<FirmName>,
    ) {
        let removed: Vec<ServiceId> = self
            .services
            .keys()
            .filter(|id| view.hosts_of(id).is_none())
            .cloned()
            .collect();
        for id in removed {
            if let Some(before) = self.services.remove(&id) {
                self.record_vanished(&before, None, now);
                firms.insert(id.firm);
            }
        }
    }

    // Removes the hosts of a service from the view, and records those that its later version
    // lacks, except those that are known to have left.
    fn record_vanished(
        &mut self,
        before: &ServiceHosts,
        after: Option<&ServiceHosts>,
        now: TimePoint,
    ) {
        let present: HashSet<_> = after
            .map_or(&[][..], ServiceHosts::hosts)
            .iter()
            .map(|host| (&host.record.name, host.record.packets))
            .collect();
        for host in before.hosts() {
            let record = &host.record;
            self.viewed_tags.remove(record.packets, before.tag);
            // The roster drops a leaving host once it has announced its departure.
            let has_left = self.is_listed_as_leaving(host);
            if !present.contains(&(&record.name, record.packets)) && !has_left {
                let vanished = VanishedHost {
                    incarnation: record.incarnation,
                    since: now,
                };
                let hosts = self.vanished.entry(before.id().clone()).or_default();
                hosts.insert(HostKey::of(record), vanished);
            }
        }
    }

    fn is_listed_as_leaving(&self, host: &ViewHost) -> bool {
        host.state == HostState::Leaving && !self.unlisted_leaving_hosts.contains(&host.record.name)
    }

    // Forgets the hosts that have left or vanished long ago.
    fn forget_vanished(
        &mut self,
        view: &RoutingView,
        now: TimePoint,
        firms: &mut HashSet<FirmName>,
    ) {
        self.vanished.retain(|service, hosts| {
            let count = hosts.len();
            hosts.retain(|key, host| {
                now.since(host.since) < VANISHED_HOST_MEMORY
                    && !host.is_departed(&key.name, &view.departed_hosts)
            });
            if hosts.len() < count {
                firms.insert(service.firm.clone());
            }
            !hosts.is_empty()
        });
    }

    fn update_vanished_tags(&mut self) {
        self.vanished_tags = TagIndex::default();
        for (service, hosts) in &self.vanished {
            for host in hosts.keys() {
                self.vanished_tags.insert(host.packets, service.tag());
            }
        }
    }

    // Updates the hosts of these firms.
    fn update_firms(&mut self, changed: &HashSet<FirmName>) {
        let mut firms: HashMap<&FirmName, Vec<SocketAddrV4>> = HashMap::new();
        for (id, service) in &self.services {
            if changed.contains(&id.firm) {
                let hosts = service.hosts().iter().map(|host| host.record.packets);
                firms.entry(&id.firm).or_default().extend(hosts);
            }
        }
        let mut vanished = self.vanished_of_firms(changed);
        for firm in changed {
            let mut hosts = firms.remove(firm).unwrap_or_default();
            let recent = vanished.remove(firm).unwrap_or_default();
            if recent.len() > MAX_VANISHED_HOSTS {
                self.truncated_firms.insert(firm.clone());
            } else {
                self.truncated_firms.remove(firm);
            }
            hosts.extend(recent.into_iter().take(MAX_VANISHED_HOSTS));
            hosts.sort_unstable();
            hosts.dedup();
            if hosts.is_empty() {
                self.firms.remove(firm);
            // Lookups of equal hosts share their queries.
            } else if self.firms.get(firm).is_none_or(|before| **before != *hosts) {
                self.firms.insert(firm.clone(), hosts.into());
            }
        }
    }

    // Returns the addresses of these firms' hosts that vanished, the most recent ones first.
    fn vanished_of_firms(&self, firms: &HashSet<FirmName>) -> HashMap<FirmName, Vec<SocketAddrV4>> {
        let mut vanished: HashMap<FirmName, BTreeMap<SocketAddrV4, TimePoint>> = HashMap::new();
        for (id, hosts) in self
            .vanished
            .iter()
            .filter(|(id, _)| firms.contains(&id.firm))
        {
            let addresses = vanished.entry(id.firm.clone()).or_default();
            for (key, host) in hosts {
                let since = addresses.entry(key.packets).or_default();
                *since = (*since).max(host.since);
            }
        }
        let recent_first = |addresses: BTreeMap<SocketAddrV4, TimePoint>| {
            let mut hosts: Vec<_> = addresses.into_iter().collect();
            hosts.sort_by_key(|(_, since)| std::cmp::Reverse(*since));
            hosts.into_iter().map(|(host, _)| host).collect()
        };
        vanished
            .into_iter()
            .map(|(firm, addresses)| (firm, recent_first(addresses)))
            .collect()
    }
}
