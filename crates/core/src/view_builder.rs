//! Builds the routing view of an entry VM from the documents, the hosts registered at
//! this entry VM and the hosts that it suspects.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::chart::HostState;
use crate::document::{
    DocumentId, DocumentItem, DocumentKind, DocumentStore, GrantIndex, ItemChange,
};
use crate::ids::{HostName, Incarnation, ServiceId};
use crate::manifest::ServiceKind;
use crate::roster::HostRecord;
use crate::units::TimePoint;
use crate::view::{
    PlacementLimits, RegistrationReach, RosterCoverage, RoutingView, ServiceHosts, ServiceView,
};

/// Minimum interval between two views unless a change is urgent. Each costs CPU time in
/// proportion to the hosts of the changed services, which small entry VMs need for packets.
pub const VIEW_PERIOD: Duration = Duration::from_millis(100);

/// Builds routing views. Only services that have changed are rebuilt, and non-urgent
/// changes are batched for up to [`VIEW_PERIOD`].
#[derive(Debug, Default)]
pub struct ViewBuilder {
    changed_services: BTreeSet<ServiceId>,
    // Whether a change has to be built without waiting for `VIEW_PERIOD`.
    urgent: bool,
    built_at: Option<TimePoint>,
    suspects: BTreeMap<HostName, ServiceId>,
    // Records registered at this entry VM, which may be newer than those of the roster.
    registered: BTreeMap<HostName, HostRecord>,
    hosts: HashMap<ServiceId, Vec<Arc<HostRecord>>>,
    grants: GrantIndex,
    registration_reach: RegistrationReach,
    roster_coverage: RosterCoverage,
    view: Arc<RoutingView>,
}

impl ViewBuilder {
    /// Returns the latest view.
    pub fn view(&self) -> &Arc<RoutingView> {
        &self.view
    }

    /// Records the changes of a document for the next view. `documents` must already
    /// contain them.
    pub fn apply_changes(
        &mut self,
        id: &DocumentId,
        changes: &[ItemChange],
        documents: &DocumentStore,
    ) {
        // A data centre that is not drained any more, as another entry VM has noticed before.
        if id.kind == DocumentKind::Drain && changes.is_empty() {
            return;
        }
        let mut changed_services = Vec::new();
        for change in changes {
            for item in [&change.old, &change.new].into_iter().flatten() {
                match item {
                    DocumentItem::Host(record) => {
                        changed_services.push(record.service.clone());
                    }
                    DocumentItem::Service(spec) => {
                        changed_services.push(spec.id.clone());
                    }
                    DocumentItem::Grant(..) | DocumentItem::Entry(_) | DocumentItem::Drain(_) => {}
                }
            }
            self.record_host_change(change);
        }
        self.urgent |= id.kind.is_of_operators();
        match id.kind {
            // The manifest version is part of every service view of the firm.
            DocumentKind::Manifest => changed_services.extend(service_ids(documents, Some(id))),
            DocumentKind::Grants => {
                self.grants = GrantIndex::build(documents.items(DocumentKind::Grants));
                changed_services.extend(service_ids(documents, None));
            }
            DocumentKind::Drain => {
                changed_services.extend(service_ids(documents, None));
                changed_services.extend(self.viewed_services());
            }
            DocumentKind::Roster | DocumentKind::Members => {}
        }
        self.mark_changed(changed_services);
    }

    fn mark_changed(&mut self, services: impl IntoIterator<Item = ServiceId>) {
        for id in services {
            self.urgent |= self
                .view
                .service(&id)
                .is_some_and(|service| needs_immediate_build(service));
            self.changed_services.insert(id);
        }
    }

    /// Makes the next view due at once, if anything has changed.
    pub fn expedite(&mut self) {
        self.urgent |= !self.changed_services.is_empty();
    }

    /// Returns when the next view is due, or `None` if nothing has changed.
    pub fn next_due(&self) -> Option<TimePoint> {
        if self.changed_services.is_empty() {
            return None;
        }
        let last_build = self.built_at.filter(|_| !self.urgent);
        Some(last_build.map_or(TimePoint::default(), |built_at| built_at + VIEW_PERIOD))
    }

    /// Builds a view if one is due. Returns whether a view was built.
    pub fn poll(&mut self, documents: &DocumentStore, now: TimePoint) -> bool {
        let is_due = self.next_due().is_some_and(|due| due <= now);
        if is_due {
            self.refresh(documents);
            self.built_at = Some(now);
        }
        is_due
    }

    /// Replaces the records of the hosts registered at this entry VM.
    pub fn set_registered(&mut self, registered: BTreeMap<HostName, HostRecord>) {
        if registered == self.registered {
            return;
        }
        let differing = |from: &BTreeMap<HostName, HostRecord>,
                         to: &BTreeMap<HostName, HostRecord>| {
            from.iter()
                .filter(|(name, record)| to.get(*name) != Some(*record))
                .map(|(_, record)| record.service.clone())
                .collect::<Vec<_>>()
        };
        let mut changed_services = differing(&registered, &self.registered);
        changed_services.extend(differing(&self.registered, &registered));
        self.registered = registered;
        self.mark_changed(changed_services);
    }

    /// Records which entry VMs hosts register with.
    pub fn set_registration_reach(&mut self, reach: RegistrationReach) {
        if reach != self.registration_reach {
            self.registration_reach = reach;
            self.mark_all_changed();
        }
    }

    /// Records whether the rosters name every live host that may own passthrough flows.
    pub fn set_roster_coverage(&mut self, coverage: RosterCoverage) {
        if coverage != self.roster_coverage {
            self.roster_coverage = coverage;
            self.mark_all_changed();
        }
    }

    fn mark_all_changed(&mut self) {
        let services = self.viewed_services();
        self.mark_changed(services);
    }

    // Returns the services of the view, with and without a route.
    fn viewed_services(&self) -> Vec<ServiceId> {
        let hosts = self.view.service_hosts();
        hosts.map(|hosts| hosts.id().clone()).collect()
    }

    /// Replaces the suspected hosts.
    pub fn set_suspects(&mut self, suspects: BTreeMap<HostName, ServiceId>) {
        if suspects == self.suspects {
            return;
        }
        let changed_services: Vec<_> = suspects
            .values()
            .chain(self.suspects.values())
            .cloned()
            .collect();
        self.suspects = suspects;
        self.mark_changed(changed_services);
    }

    fn refresh(&mut self, documents: &DocumentStore) {
        self.urgent = false;
        let changed_services = std::mem::take(&mut self.changed_services);
        let limits = PlacementLimits {
            suspects: self.suspects.keys().cloned().collect(),
            drained: documents.drained_datacenters().cloned().collect(),
        };
        let mut view = RoutingView::clone(&self.view);
        view.generation = documents.generation(DocumentKind::Roster);
        for id in &changed_services {
            let granted = documents.service(id).filter(|(spec, _)| {
                let mut addresses = spec.addresses();
                addresses.all(|address| self.grants.owns(&id.firm, *address.ip()))
            });
            let hosts = self.service_hosts(id);
            match granted {
                Some((spec, version)) => {
                    view.put(ServiceView::build(spec, version, &hosts, &limits));
                }
                // Its hosts may still own flows of routes that it had.
                None => view.put_unrouted(ServiceHosts::build(id.clone(), &hosts, &limits)),
            }
        }
        view.drained = limits.drained;
        view.registration_reach = self.registration_reach;
        view.roster_coverage = self.roster_coverage;
        view.unlisted_hosts = self.unlisted_hosts();
        view.unlisted_leaving_hosts = self.unlisted_leaving_hosts();
        view.departed_hosts = self.departed_hosts();
        self.view = Arc::new(view);
    }

    // Returns the record that the rosters have of a registered host.
    fn listed_record(&self, record: &HostRecord) -> Option<&HostRecord> {
        let listed = self.hosts.get(&record.service)?;
        let index = listed.binary_search_by(|host| host.name.cmp(&record.name));
        index.ok().map(|index| listed[index].as_ref())
    }

    fn unlisted_hosts(&self) -> BTreeSet<SocketAddrV4> {
        self.registered
            .values()
            .filter(|record| self.listed_record(record).is_none())
            .map(|record| record.packets)
            .collect()
    }

    fn unlisted_leaving_hosts(&self) -> BTreeSet<HostName> {
        let is_leaving = |record: &HostRecord| record.state == HostState::Leaving;
        self.registered
            .values()
            .filter(|record| {
                is_leaving(record) && !self.listed_record(record).is_some_and(is_leaving)
            })
            .map(|record| record.name.clone())
            .collect()
    }

    fn departed_hosts(&self) -> BTreeMap<HostName, Incarnation> {
        self.registered
            .values()
            .filter(|record| record.state == HostState::Gone)
            .map(|record| (record.name.clone(), record.incarnation))
            .collect()
    }

    // Returns the hosts of a service in the rosters and those registered at this entry VM,
    // sorted by name. A registered record replaces that of the roster.
    fn service_hosts(&self, id: &ServiceId) -> Vec<Arc<HostRecord>> {
        let listed = self.hosts.get(id).map_or(&[][..], Vec::as_slice);
        let mut hosts: Vec<Arc<HostRecord>> = listed
            .iter()
            .filter(|record| !self.registered.contains_key(&record.name))
            .cloned()
            .collect();
        let registered = self
            .registered
            .values()
            .filter(|record| record.service == *id);
        hosts.extend(registered.cloned().map(Arc::new));
        hosts.sort_by(|host, other| host.name.cmp(&other.name));
        hosts
    }

    fn record_host_change(&mut self, change: &ItemChange) {
        if let Some(DocumentItem::Host(record)) = &change.old
            && let Some(hosts) = self.hosts.get_mut(&record.service)
        {
            hosts.retain(|host| host.name != record.name);
        }
        if let Some(DocumentItem::Host(record)) = &change.new {
            let hosts = self.hosts.entry(record.service.clone()).or_default();
            let index = hosts.partition_point(|host| host.name < record.name);
            hosts.insert(index, Arc::clone(record));
        }
    }
}

// Returns whether changes of a service are urgent: it has no hosts yet, or its hosts need
// each other's records, which they fetch after a registration reply. Hosts of passthrough
// services do not need them.
fn needs_immediate_build(service: &ServiceView) -> bool {
    service.hosts().is_empty() || service.spec.kind != ServiceKind::Passthrough
}

// Returns the services of one manifest, or of all manifests if `manifest` is `None`.
fn service_ids(documents: &DocumentStore, manifest: Option<&DocumentId>) -> Vec<ServiceId> {
    documents
        .iter()
        .filter(|(id, _)| match manifest {
            Some(manifest) => *id == manifest,
            None => id.kind == DocumentKind::Manifest,
        })
        .flat_map(|(_, document)| document.items())
        .filter_map(|item| match item {
            DocumentItem::Service(spec) => Some(spec.id.clone()),
            _ => None,
        })
        .collect()
}
