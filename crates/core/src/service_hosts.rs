//! The hosts of a service as an entry VM sees them, with what it suspects and what operators have
//! drained.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::chart::HostState;
use crate::ids::{DatacenterName, HostName, ServiceId, ServiceTag};
use crate::roster::HostRecord;

/// A host in a view.
#[derive(Debug, Clone)]
pub struct ViewHost {
    /// The record of the roster, or that of a newer registration at this entry VM.
    pub record: Arc<HostRecord>,
    /// The state of the host; `Suspect` if this entry VM suspects it.
    pub state: HostState,
    /// Whether operators have drained its data centre.
    pub drained: bool,
}

impl ViewHost {
    /// Returns whether the host accepts new flows.
    pub fn accepts_flows(&self) -> bool {
        !self.drained && matches!(self.state, HostState::Warming | HostState::Serving)
    }

    /// Returns the record for the other hosts of the service. Hosts of a drained data centre are
    /// shown as leaving, since they accept no new flows either.
    pub fn shared_record(&self) -> HostRecord {
        HostRecord {
            state: self.shared_state(),
            ..HostRecord::clone(&self.record)
        }
    }

    pub(crate) fn shared_state(&self) -> HostState {
        if self.drained && self.record.accepts_flows() {
            HostState::Leaving
        } else {
            self.record.state
        }
    }
}

/// What the view of a service is built from, besides its specification and its hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementLimits {
    /// Hosts that this entry VM suspects.
    pub suspects: BTreeSet<HostName>,
    /// Data centres that operators have drained.
    pub drained: BTreeSet<DatacenterName>,
}

/// The hosts of a service that may own flows, whether or not the service has a route.
#[derive(Debug)]
pub struct ServiceHosts {
    /// Hash of the firm and service name, contained in every packet.
    pub tag: ServiceTag,
    pub(crate) id: ServiceId,
    pub(crate) hosts: Vec<ViewHost>,
}

impl ServiceHosts {
    /// Builds the hosts of a service from their records, without those that hold no flows.
    pub fn build(id: ServiceId, records: &[Arc<HostRecord>], limits: &PlacementLimits) -> Self {
        let flow_hosts = records.iter().filter(|record| record.holds_flows());
        let hosts = flow_hosts.map(|record| ViewHost {
            state: if limits.suspects.contains(&record.name) {
                HostState::Suspect
            } else {
                record.state
            },
            drained: limits.drained.contains(&record.datacenter),
            record: Arc::clone(record),
        });
        Self {
            tag: id.tag(),
            hosts: hosts.collect(),
            id,
        }
    }

    /// Returns the firm and name of the service.
    pub fn id(&self) -> &ServiceId {
        &self.id
    }

    /// Returns the hosts, in the order of their names.
    pub fn hosts(&self) -> &[ViewHost] {
        &self.hosts
    }

    /// Returns whether another version has the same hosts at the same addresses.
    pub fn has_same_hosts(&self, other: &Self) -> bool {
        let is_same = |(host, other): (&ViewHost, &ViewHost)| {
            host.record.packets == other.record.packets && host.record.name == other.record.name
        };
        self.hosts.len() == other.hosts.len() && self.hosts.iter().zip(&other.hosts).all(is_same)
    }
}
