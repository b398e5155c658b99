//! Keeps the routing view of an entry VM up to date: documents, with what hosts said
//! here and this entry VM's own suspicions on top.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::document::{
    DocumentId, DocumentItem, DocumentKind, DocumentStore, GrantIndex, ItemChange,
};
use crate::ids::{HostName, ServiceId};
use crate::manifest::ServiceKind;
use crate::roster::HostRecord;
use crate::units::TimePoint;
use crate::view::{RoutingView, ServiceView};

/// Least time between two views, unless one can't wait. To rank the hosts of a large
/// service for all buckets takes milliseconds, which small entry VMs need for manifests.
pub const VIEW_PERIOD: Duration = Duration::from_millis(100);

/// Builds views; only the services that changes touched are built anew, and changes
/// gather for a moment.
#[derive(Debug, Default)]
pub struct ViewBuilder {
    touched: BTreeSet<ServiceId>,
    // Whether a change can't wait.
    urgent: bool,
    built: Option<TimePoint>,
    suspects: BTreeMap<HostName, ServiceId>,
    // Hosts as they were heard here, which may be newer than the roster.
    heard: BTreeMap<HostName, HostRecord>,
    hosts: HashMap<ServiceId, Vec<Arc<HostRecord>>>,
    grants: GrantIndex,
    view: Arc<RoutingView>,
}

impl ViewBuilder {
    /// The newest view.
    pub fn view(&self) -> &Arc<RoutingView> {
        &self.view
    }

    /// Takes over changes of a document, which `documents` holds already.
    pub fn take_changes(
        &mut self,
        id: &DocumentId,
        changes: &[ItemChange],
        documents: &DocumentStore,
    ) {
        let mut touched = Vec::new();
        for change in changes {
            for item in [&change.old, &change.new].into_iter().flatten() {
                match item {
                    DocumentItem::Host(record) => {
                        touched.push(record.service.clone());
                    }
                    DocumentItem::Service(spec) => {
                        touched.push(spec.id.clone());
                    }
                    DocumentItem::Grant(..) | DocumentItem::Entry(_) => {}
                }
            }
            self.note_host(change);
        }
        self.urgent |= matches!(id.kind, DocumentKind::Manifest | DocumentKind::Grants);
        match id.kind {
            // All services of the firm carry the manifest's version.
            DocumentKind::Manifest => touched.extend(service_ids(documents, Some(id))),
            DocumentKind::Grants => {
                self.grants = GrantIndex::build(documents.items(DocumentKind::Grants));
                touched.extend(service_ids(documents, None));
            }
            DocumentKind::Roster | DocumentKind::Members => {}
        }
        self.touch(touched);
    }

    fn touch(&mut self, services: impl IntoIterator<Item = ServiceId>) {
        for id in services {
            self.urgent |= self
                .view
                .service(&id)
                .is_some_and(|service| cannot_wait(service));
            self.touched.insert(id);
        }
    }

    /// When the next view is due; none if nothing changed.
    pub fn next_due(&self) -> Option<TimePoint> {
        if self.touched.is_empty() {
            return None;
        }
        let waits = self.built.filter(|_| !self.urgent);
        Some(waits.map_or(TimePoint::default(), |built| built + VIEW_PERIOD))
    }

    /// Builds a view if one is due. Returns whether it did.
    pub fn poll(&mut self, documents: &DocumentStore, now: TimePoint) -> bool {
        let due = self.next_due().is_some_and(|due| due <= now);
        if due {
            self.refresh(documents);
            self.built = Some(now);
        }
        due
    }

    /// Takes over what hosts said of themselves.
    pub fn set_registered(&mut self, heard: BTreeMap<HostName, HostRecord>) {
        if heard == self.heard {
            return;
        }
        let differing = |from: &BTreeMap<HostName, HostRecord>,
                         to: &BTreeMap<HostName, HostRecord>| {
            from.iter()
                .filter(|(name, record)| to.get(*name) != Some(*record))
                .map(|(_, record)| record.service.clone())
                .collect::<Vec<_>>()
        };
        let mut touched = differing(&heard, &self.heard);
        touched.extend(differing(&self.heard, &heard));
        self.heard = heard;
        self.touch(touched);
    }

    /// Replaces the suspicions.
    pub fn set_suspects(&mut self, suspects: BTreeMap<HostName, ServiceId>) {
        if suspects == self.suspects {
            return;
        }
        let touched: Vec<_> = suspects
            .values()
            .chain(self.suspects.values())
            .cloned()
            .collect();
        self.suspects = suspects;
        self.touch(touched);
    }

    fn refresh(&mut self, documents: &DocumentStore) {
        self.urgent = false;
        let touched = std::mem::take(&mut self.touched);
        let suspects: BTreeSet<HostName> = self.suspects.keys().cloned().collect();
        let mut view = RoutingView::clone(&self.view);
        view.generation = documents.generation(DocumentKind::Roster);
        for id in &touched {
            let granted = documents.service(id).filter(|(spec, _)| {
                let mut addresses = spec.addresses();
                addresses.all(|address| self.grants.owns(&id.firm, *address.ip()))
            });
            match granted {
                Some((spec, version)) => {
                    let hosts = self.known_hosts(id);
                    view.put(ServiceView::build(spec, version, &hosts, &suspects));
                }
                None => view.remove(id),
            }
        }
        self.view = Arc::new(view);
    }

    // The hosts of a service: those of the rosters, as they were heard here if
    // they were, and those that no roster has yet.
    fn known_hosts(&self, id: &ServiceId) -> Vec<Arc<HostRecord>> {
        let listed = self.hosts.get(id).map_or(&[][..], Vec::as_slice);
        let mut hosts: Vec<Arc<HostRecord>> = listed
            .iter()
            .filter(|record| !self.heard.contains_key(&record.name))
            .cloned()
            .collect();
        let heard = self.heard.values().filter(|record| record.service == *id);
        hosts.extend(heard.cloned().map(Arc::new));
        hosts.sort_by(|host, other| host.name.cmp(&other.name));
        hosts
    }

    fn note_host(&mut self, change: &ItemChange) {
        if let Some(DocumentItem::Host(record)) = &change.old
            && let Some(hosts) = self.hosts.get_mut(&record.service)
        {
            hosts.retain(|known| known.name != record.name);
        }
        if let Some(DocumentItem::Host(record)) = &change.new {
            let hosts = self.hosts.entry(record.service.clone()).or_default();
            let place = hosts.partition_point(|known| known.name < record.name);
            hosts.insert(place, Arc::clone(record));
        }
    }
}

// Whether hosts of a service are to be known at once: the first ones, and those that
// learn of each other with the answer to their announcement. Hosts of carried services
// need not know each other.
fn cannot_wait(service: &ServiceView) -> bool {
    service.hosts().is_empty() || service.spec.kind != ServiceKind::Passthrough
}

// The services of one manifest, or of all.
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
