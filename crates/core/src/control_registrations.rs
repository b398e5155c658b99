//! Registrations and keep-alives of hosts at an entry VM, and the replies to them.

use crate::chart::HostState;
use crate::control::{EntryControl, FRESH_AGE, HostProgress};
use crate::events::RegistrationReply;
use crate::host_tracker::HostRevision;
use crate::ids::{DatacenterName, HostName, ObjectVersion, ServiceId};
use crate::members::TRACKERS_PER_HOST;
use crate::opening_rules::OpeningRules;
use crate::roster::HostRecord;
use crate::units::TimePoint;

impl EntryControl {
    pub(crate) fn on_registration(
        &mut self,
        record: HostRecord,
        revision: HostRevision,
        manifest: ObjectVersion,
        now: TimePoint,
    ) -> RegistrationReply {
        let registration_targets = self.rings.registration_targets(&record);
        let rank = registration_targets
            .iter()
            .take(TRACKERS_PER_HOST)
            .position(|entry| entry.name == self.me.name);
        // A host that has not received its trackers yet is tracked with the lowest
        // rank by every entry VM that it registers at.
        let rank = rank.unwrap_or(TRACKERS_PER_HOST) as u32;
        if record.state == HostState::Gone {
            self.progress.remove(&record.name);
        } else {
            let progress = HostProgress {
                service: record.service.clone(),
                manifest,
                last_seen: now,
                registered_at: now,
            };
            self.progress.insert(record.name.clone(), progress);
        }
        let service = record.service.clone();
        let opening = self.opening_rules(&record.service, &record.datacenter);
        self.tracker
            .record_registration(record, revision, rank, now);
        self.update_registered(now);
        // An urgent rebuild precedes the reply, so that its slice hash covers this
        // change: hosts that need each other's records fetch them without delay.
        let built = self.view_builder.poll(&self.documents, now);
        self.publish_due |= built;
        RegistrationReply {
            targets: registration_targets,
            opening,
            ..self.reply_for_service(&service, now)
        }
    }

    pub(crate) fn on_keep_alive(
        &mut self,
        name: HostName,
        known_host: Option<(ServiceId, DatacenterName)>,
        manifest: ObjectVersion,
        now: TimePoint,
    ) -> RegistrationReply {
        let registered_at = self
            .progress
            .get(&name)
            .map(|progress| progress.registered_at);
        if let Some((service, datacenter)) = known_host {
            let has_current_targets = registered_at.is_some_and(|at| at >= self.members_changed_at);
            let progress = HostProgress {
                service: service.clone(),
                manifest,
                last_seen: now,
                registered_at: registered_at.unwrap_or_default(),
            };
            self.progress.insert(name, progress);
            if has_current_targets {
                return RegistrationReply {
                    opening: self.opening_rules(&service, &datacenter),
                    ..self.reply_for_service(&service, now)
                };
            }
        }
        RegistrationReply {
            targets: Vec::new(),
            slice_hash: 0,
            fresh: false,
            resend: true,
            opening: OpeningRules::default(),
        }
    }

    fn reply_for_service(&self, service: &ServiceId, now: TimePoint) -> RegistrationReply {
        RegistrationReply {
            targets: Vec::new(),
            slice_hash: self
                .view()
                .service(service)
                .map_or(0, |view| view.slice_hash),
            fresh: self
                .confirmation_age(now)
                .is_some_and(|age| age < FRESH_AGE),
            resend: false,
            opening: OpeningRules::default(),
        }
    }

    fn opening_rules(&self, service: &ServiceId, datacenter: &DatacenterName) -> OpeningRules {
        let spec = self.documents.service(service);
        let limits = spec.map(|(spec, _)| spec.limits);
        OpeningRules {
            drain: self.documents.drain_notice(datacenter),
            cold: limits.and_then(|limits| limits.cold),
            learns_capacity: limits.is_some_and(|limits| limits.learns_capacity),
        }
    }
}
