//! The hosts that an entry VM knows: those in its view, and those that left the view without
//! having announced their departure.
//!
//! An entry VM that does not know a host takes the host's flows for flows without an owner,
//! and resets them if its view is fresh. So flows are offered only to hosts that every entry
//! VM with a fresh view knows, and a host that is no longer in the view may still own flows:
//! its trackers may have removed it by mistake or be unable to write, or its registration
//! here may have lapsed.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{FirmName, ServiceTag};
use crate::possible_owners::PossibleOwners;
pub use crate::possible_owners::{MAX_VANISHED_HOSTS, VANISHED_HOST_MEMORY};
use crate::units::TimePoint;
use crate::view::{RegistrationReach, RosterCoverage, RoutingView, ServiceHosts};

/// Time for which an entry VM offers no flows to a host that has appeared in the roster.
/// Within this time all entry VMs know it: one that did not would take its flows for flows
/// without an owner. A host in no roster is offered flows after this time only if the view
/// is not fresh, since it is listed soon otherwise, and if it registers with every entry VM.
pub const NEW_HOST_DELAY: Duration = Duration::from_secs(1);

/// Time after which an entry VM knows every live host, if hosts register with all entry VMs:
/// two keep-alives of a host. It begins when this entry VM is a member and its view is fresh.
pub const REGISTRATION_WAIT: Duration = Duration::from_secs(1);

/// The same if hosts register with some entry VMs only and the rosters may lack a live host: a
/// host that the roster has lost is listed again within this time.
pub const RELISTING_WAIT: Duration = Duration::from_secs(2);

/// A view that was not fresh for at most this time counts as fresh throughout: each new view
/// is confirmed a moment after it was built.
const FRESHNESS_GAP: Duration = Duration::from_millis(500);

// A host that joined within NEW_HOST_DELAY or is in no roster.
#[derive(Debug, Clone, Copy)]
struct NewHost {
    is_listed: bool,
    // When it appeared in the roster or, if it is not listed, in the view.
    since: TimePoint,
}

impl NewHost {
    fn is_delayed(self, now: TimePoint) -> bool {
        now.since(self.since) < NEW_HOST_DELAY
    }
}

/// The hosts in the view and those that vanished from it.
#[derive(Debug, Default)]
pub struct KnownHosts {
    owners: PossibleOwners,
    new_hosts: HashMap<SocketAddrV4, NewHost>,
    registration_reach: RegistrationReach,
    roster_coverage: RosterCoverage,
    // Whether the platform confirmed the view recently.
    has_fresh_view: bool,
    // Since when the view has been fresh and this entry VM a member, and when it last was.
    fresh_since: Option<TimePoint>,
    last_fresh_at: Option<TimePoint>,
    // Whether the platform confirmed the view since the start of this process. The hosts in the
    // view until then are not new.
    had_fresh_view: bool,
}

impl KnownHosts {
    /// Returns whether more hosts may own flows of a firm than lookups ask.
    pub fn is_truncated(&self, firm: &FirmName) -> bool {
        self.owners.is_truncated(firm)
    }

    /// Returns the hosts to ask that may own flows of a firm, sorted.
    pub fn of_firm(&self, firm: &FirmName) -> Option<&Arc<[SocketAddrV4]>> {
        self.owners.of_firm(firm)
    }

    /// Returns the addresses of the hosts that vanished and are not in the view.
    pub fn vanished(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.owners.vanished()
    }

    /// Returns whether a host of this address runs the service of this tag.
    pub fn runs_service(&self, host: SocketAddrV4, tag: ServiceTag) -> bool {
        self.owners.runs_service(host, tag)
    }

    /// Returns the tag of a service that a host of this address runs.
    pub fn service_tag(&self, host: SocketAddrV4) -> Option<ServiceTag> {
        self.owners.service_tag(host)
    }

    /// Records the hosts of a new view.
    pub fn update(&mut self, view: &RoutingView, now: TimePoint) {
        self.update_reach(view.registration_reach, now);
        self.roster_coverage = view.roster_coverage;
        let changed = self.owners.changed_services(view);
        let new_hosts = self.new_hosts(view, &changed, now);
        self.owners.update(view, &changed, now);
        self.new_hosts = new_hosts;
        let owners = &self.owners;
        self.new_hosts.retain(|host, _| owners.is_in_view(*host));
    }

    // Returns the hosts that are new in a view that is not recorded yet, among those that may
    // be: the hosts of services whose hosts have changed, hosts in no roster and those that were
    // new before.
    fn new_hosts(
        &self,
        view: &RoutingView,
        changed: &[Arc<ServiceHosts>],
        now: TimePoint,
    ) -> HashMap<SocketAddrV4, NewHost> {
        let hosts = changed
            .iter()
            .filter(|service| !self.owners.has_same_hosts(service))
            .flat_map(|service| service.hosts());
        hosts
            .map(|host| host.record.packets)
            .chain(view.unlisted_hosts.iter().copied())
            .chain(self.new_hosts.keys().copied())
            .filter_map(|host| {
                let is_listed = !view.unlisted_hosts.contains(&host);
                let was_known = self.owners.contains(host);
                Some((host, self.new_host(host, was_known, is_listed, now)?))
            })
            .collect()
    }

    // Begins all waits anew if hosts register with other entry VMs than before: an unlisted host
    // may be known to some entry VMs only, and others may have yet to register here.
    fn update_reach(&mut self, reach: RegistrationReach, now: TimePoint) {
        if reach == self.registration_reach {
            return;
        }
        self.registration_reach = reach;
        self.fresh_since = None;
        self.last_fresh_at = None;
        for host in self.new_hosts.values_mut().filter(|host| !host.is_listed) {
            host.since = now;
        }
    }

    // Returns what to record of a host in the view, or `None` if it is not new.
    fn new_host(
        &self,
        host: SocketAddrV4,
        was_known: bool,
        is_listed: bool,
        now: TimePoint,
    ) -> Option<NewHost> {
        let new_host = match self.new_hosts.get(&host) {
            Some(before) if before.is_listed == is_listed => *before,
            // Known for longer than the delay, or listed before the start.
            None if is_listed && (was_known || !self.had_fresh_view) => return None,
            _ => NewHost {
                is_listed,
                since: now,
            },
        };
        (!is_listed || new_host.is_delayed(now)).then_some(new_host)
    }

    /// Records whether the platform confirmed the view recently.
    pub fn record_freshness(&mut self, has_fresh_view: bool, now: TimePoint) {
        self.has_fresh_view = has_fresh_view;
        self.had_fresh_view |= has_fresh_view;
        if !has_fresh_view || self.registration_reach == RegistrationReach::Unknown {
            return;
        }
        let is_continuous = self
            .last_fresh_at
            .is_some_and(|last_fresh_at| now.since(last_fresh_at) <= FRESHNESS_GAP);
        if !is_continuous {
            self.fresh_since = Some(now);
        }
        self.last_fresh_at = Some(now);
    }

    /// Returns whether this entry VM knew every live host that may own flows at this time, if
    /// its view has been fresh since. After its start and after a time without a fresh view,
    /// hosts in no roster may not have registered here yet. In a large fleet such hosts get no
    /// flows, and rosters that name all owners are sufficient.
    pub fn is_complete(&self, at: TimePoint) -> bool {
        let wait = match (self.registration_reach, self.roster_coverage) {
            (RegistrationReach::Unknown, _) => return false,
            (RegistrationReach::AllEntries, _) => REGISTRATION_WAIT,
            (RegistrationReach::SomeEntries, RosterCoverage::Unknown) => RELISTING_WAIT,
            (RegistrationReach::SomeEntries, RosterCoverage::AllOwners) => Duration::ZERO,
        };
        self.fresh_since
            .is_some_and(|fresh_since| at.since(fresh_since) >= wait)
    }

    /// Returns whether flows may be offered to a new host if no candidate is known to all entry
    /// VMs. An entry VM of a large fleet that has just started does not know a host in no
    /// roster, so that host gets flows only while the view is not fresh, and if no host of the
    /// service is known to all.
    pub fn may_stand_in(&self, host: SocketAddrV4, service_has_known_host: bool) -> bool {
        let is_listed = self.new_hosts.get(&host).is_none_or(|new| new.is_listed);
        is_listed
            || self.registration_reach == RegistrationReach::AllEntries
            || (!self.has_fresh_view && !service_has_known_host)
    }

    /// Returns whether other entry VMs may not know the host yet.
    pub fn is_new(&self, host: SocketAddrV4, now: TimePoint) -> bool {
        let must_be_listed =
            self.has_fresh_view || self.registration_reach != RegistrationReach::AllEntries;
        self.new_hosts
            .get(&host)
            .is_some_and(|new| new.is_delayed(now) || (!new.is_listed && must_be_listed))
    }
}
