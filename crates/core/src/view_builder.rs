//! Keeps the routing view of an entry VM up to date: documents, with what hosts said
//! here and this entry VM's own suspicions on top.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::document::{
    DocumentId, DocumentItem, DocumentKind, DocumentStore, GrantIndex, ItemChange,
};
use crate::ids::{HostName, ServiceId};
use crate::roster::HostRecord;
use crate::view::{RoutingView, ServiceView};

/// Builds views; only the services that a change touches are built anew.
#[derive(Debug, Default)]
pub struct ViewBuilder {
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
        let mut touched = BTreeSet::new();
        for change in changes {
            for item in [&change.old, &change.new].into_iter().flatten() {
                match item {
                    DocumentItem::Host(record) => {
                        touched.insert(record.service.clone());
                    }
                    DocumentItem::Service(spec) => {
                        touched.insert(spec.id.clone());
                    }
                    DocumentItem::Grant(..) | DocumentItem::Entry(_) => {}
                }
            }
            self.note_host(change);
        }
        match id.kind {
            // All services of the firm carry the manifest's version.
            DocumentKind::Manifest => touched.extend(service_ids(documents, Some(id))),
            DocumentKind::Grants => {
                self.grants = GrantIndex::build(documents.items(DocumentKind::Grants));
                touched.extend(service_ids(documents, None));
            }
            DocumentKind::Roster | DocumentKind::Members => {}
        }
        self.refresh(&touched, documents);
    }

    /// Takes over what hosts said of themselves. Returns whether the view changed.
    pub fn set_heard(
        &mut self,
        heard: BTreeMap<HostName, HostRecord>,
        documents: &DocumentStore,
    ) -> bool {
        if heard == self.heard {
            return false;
        }
        let differing = |from: &BTreeMap<HostName, HostRecord>,
                         to: &BTreeMap<HostName, HostRecord>| {
            from.iter()
                .filter(|(name, record)| to.get(*name) != Some(*record))
                .map(|(_, record)| record.service.clone())
                .collect::<Vec<_>>()
        };
        let mut touched: BTreeSet<ServiceId> = BTreeSet::new();
        touched.extend(differing(&heard, &self.heard));
        touched.extend(differing(&self.heard, &heard));
        self.heard = heard;
        self.refresh(&touched, documents);
        true
    }

    /// Replaces the suspicions. Returns whether the view changed.
    pub fn set_suspects(
        &mut self,
        suspects: BTreeMap<HostName, ServiceId>,
        documents: &DocumentStore,
    ) -> bool {
        if suspects == self.suspects {
            return false;
        }
        let touched = suspects.values().chain(self.suspects.values());
        let touched = touched.cloned().collect();
        self.suspects = suspects;
        self.refresh(&touched, documents);
        true
    }

    fn refresh(&mut self, touched: &BTreeSet<ServiceId>, documents: &DocumentStore) {
        let suspects: BTreeSet<HostName> = self.suspects.keys().cloned().collect();
        let mut view = RoutingView::clone(&self.view);
        view.generation = documents.generation(DocumentKind::Roster);
        for id in touched {
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
