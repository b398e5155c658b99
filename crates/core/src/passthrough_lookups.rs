//! Owner lookups of passthrough flows at an entry VM, and the verdicts that follow from them.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::entry::{PLAN_HOPS, PlanSource};
use crate::flow::{FlowKey, TcpSegment};
use crate::owner_lookup::{
    CompletedLookup, IncompleteLookup, LookupQuery, LookupResult, OwnershipReply,
};
use crate::passthrough_plan::{LookupVerdict, PassthroughPlan};
use crate::passthrough_routes::{FlowWalk, LOOKUPS_PER_INTERVAL, PassthroughRouter};
use crate::units::TimePoint;
use crate::view::{RoutingView, ServiceHosts, ServiceView};

/// Time for which a lookup that found no owner waits for a confirmation of the view, which
/// follows each new view a moment later.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(500);

/// Maximum number of lookups that wait for a confirmation of the view.
const MAX_UNCONFIRMED_LOOKUPS: usize = 1024;

// A lookup that found no owner while the view was not confirmed.
#[derive(Debug)]
pub(crate) struct UnconfirmedLookup {
    pub(crate) key: FlowKey,
    lookup: CompletedLookup,
    since: TimePoint,
}

impl PassthroughRouter {
    /// Returns the lookup queries to send now, as far as the rate limit allows.
    pub fn take_queries(&mut self, now: TimePoint) -> Vec<LookupQuery> {
        self.lookups.take_queries(now)
    }

    /// Returns the lookups that timed out since the last call, and those whose verdict had to
    /// wait for a confirmation of the view. `fresh` states whether the view was confirmed
    /// recently.
    pub fn take_finished_lookups(
        &mut self,
        view: &RoutingView,
        fresh: bool,
        now: TimePoint,
    ) -> Vec<(FlowKey, LookupVerdict)> {
        let mut verdicts = self.take_confirmed(view, fresh, now);
        for (key, result) in self.lookups.take_finished(now) {
            verdicts.push((key, self.lookup_verdict(view, key, result, fresh, now)));
        }
        verdicts
    }

    // A flow that no host owned then has no owner now, as a packet of it had come before.
    fn take_confirmed(
        &mut self,
        view: &RoutingView,
        fresh: bool,
        now: TimePoint,
    ) -> Vec<(FlowKey, LookupVerdict)> {
        self.unconfirmed
            .retain(|pending| now.since(pending.since) < CONFIRMATION_WAIT);
        if !fresh {
            return Vec::new();
        }
        let mut verdicts = Vec::new();
        for pending in std::mem::take(&mut self.unconfirmed) {
            if self.asked_all_owners(view, pending.key, &pending.lookup, now) {
                self.walks.pop(&pending.key);
                let verdict = LookupVerdict::NoOwner(pending.lookup.segment);
                verdicts.push((pending.key, verdict));
            }
        }
        verdicts
    }

    /// Returns how many hosts a lookup of the owner of this flow queries.
    pub fn lookup_host_count(&self, view: &RoutingView, key: FlowKey) -> usize {
        view.service_at(key.service)
            .and_then(|service| self.known_hosts.of_firm(&service.id().firm))
            .map_or(0, |hosts| hosts.len())
    }

    /// Returns whether a lookup is in progress or has a result to be taken.
    pub fn has_pending_lookups(&self) -> bool {
        !self.lookups.is_empty() || !self.unconfirmed.is_empty()
    }

    /// Records the reply of a host to a lookup query. Returns the verdict if this reply
    /// completes the lookup. `fresh` states whether the view was confirmed recently.
    pub fn record_lookup_reply(
        &mut self,
        view: &RoutingView,
        key: FlowKey,
        host: SocketAddrV4,
        reply: OwnershipReply,
        fresh: bool,
        now: TimePoint,
    ) -> Option<LookupVerdict> {
        let result = self.lookups.record_reply(key, host, reply, now)?;
        Some(self.lookup_verdict(view, key, result, fresh, now))
    }

    fn lookup_verdict(
        &mut self,
        view: &RoutingView,
        key: FlowKey,
        result: LookupResult,
        fresh: bool,
        now: TimePoint,
    ) -> LookupVerdict {
        match result {
            LookupResult::Found(owner) => {
                self.record_owner(view, key, owner);
                LookupVerdict::Found(owner)
            }
            LookupResult::NotFound(lookup) if !fresh => {
                if self.unconfirmed.len() < MAX_UNCONFIRMED_LOOKUPS {
                    let since = now;
                    self.unconfirmed
                        .push(UnconfirmedLookup { key, lookup, since });
                }
                LookupVerdict::Unconfirmed
            }
            LookupResult::NotFound(lookup) if !self.asked_all_owners(view, key, &lookup, now) => {
                LookupVerdict::Unconfirmed
            }
            LookupResult::NotFound(lookup) => {
                self.walks.pop(&key);
                LookupVerdict::NoOwner(lookup.segment)
            }
            LookupResult::Undetermined(hosts) => self.plan_queries(view, key, &hosts, now),
            LookupResult::NotStarted => LookupVerdict::NotStarted,
            LookupResult::Incomplete(incomplete) => LookupVerdict::Incomplete(incomplete),
        }
    }

    // Returns whether the lookup asked every host that may own the flow, if the view is fresh.
    // A service without an established host gives its flows to new hosts, which other entry VMs
    // may know and this one not.
    fn asked_all_owners(
        &self,
        view: &RoutingView,
        key: FlowKey,
        lookup: &CompletedLookup,
        now: TimePoint,
    ) -> bool {
        let Some(service) = view.service_at(key.service) else {
            return false;
        };
        let possible_owners = self.known_hosts.of_firm(&service.id().firm);
        let was_asked = |host: &SocketAddrV4| lookup.hosts.binary_search(host).is_ok();
        // A host that registered after the start of the lookup was not asked.
        self.known_hosts.is_complete(lookup.begun_at)
            && !self.known_hosts.is_truncated(&service.id().firm)
            && possible_owners.is_some_and(|hosts| hosts.iter().all(was_asked))
            && self.has_established_host(service, now)
    }

    // Plans walks of all hosts that replied `Unknown`, at the same time: after a loss of power
    // these are most hosts of a firm. Their end starts another lookup. A walk visits hosts of one
    // service only, since a packet names the service of its hosts.
    fn plan_queries(
        &mut self,
        view: &RoutingView,
        key: FlowKey,
        unknown: &[SocketAddrV4],
        now: TimePoint,
    ) -> LookupVerdict {
        let firm = view
            .service_at(key.service)
            .map(|service| &service.id().firm);
        let plans: Vec<_> = view
            .service_hosts()
            .filter(|service| Some(&service.id().firm) == firm)
            .flat_map(|service| query_plans(service, unknown))
            .collect();
        match self.walks.get_mut(&key) {
            Some(walk) if walk.lookups < LOOKUPS_PER_INTERVAL && !plans.is_empty() => {
                walk.started_at = now;
                walk.last_hops = plans
                    .iter()
                    .filter_map(|plan| plan.hops.last().copied())
                    .collect();
                LookupVerdict::Undetermined(plans)
            }
            _ => LookupVerdict::Incomplete(IncompleteLookup {
                unknown: unknown.len(),
                silent: 0,
                silent_host: None,
            }),
        }
    }

    // Starts a lookup of the segment's flow among all hosts of the firm.
    pub(crate) fn start_lookup(
        &mut self,
        service: &ServiceView,
        segment: &TcpSegment,
        now: TimePoint,
    ) {
        if segment.is_rst {
            return;
        }
        let walk = self
            .walks
            .get_or_insert_mut(segment.key, || FlowWalk::new(now));
        if let Some(hosts) = self.known_hosts.of_firm(&service.id().firm)
            && walk.admit_lookup(now)
        {
            self.lookups.begin(segment, Arc::clone(hosts), now);
        }
    }
}

// Returns walks that visit the hosts of a service which are among `unknown`.
fn query_plans(service: &ServiceHosts, unknown: &[SocketAddrV4]) -> Vec<PassthroughPlan> {
    let hosts = service.hosts().iter().map(|host| host.record.packets);
    let hosts: Vec<_> = hosts.filter(|host| unknown.contains(host)).collect();
    let walks = hosts.chunks(PLAN_HOPS);
    walks
        .map(|hops| PassthroughPlan {
            tag: service.tag,
            hops: hops.to_vec(),
            complete: false,
            source: PlanSource::Chain,
        })
        .collect()
}
