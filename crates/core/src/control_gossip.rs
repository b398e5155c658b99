//! Heartbeats of peers: what they confirm, and the documents that are pulled after them.

use std::time::Duration;

use crate::confirmations::Confirmations;
use crate::control::{ControlJob, EntryControl, REPAIR_AFTER};
use crate::events::{ControlAction, Heartbeat};
use crate::units::TimePoint;

impl EntryControl {
    pub(crate) fn on_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        if heartbeat.entry.name == self.me.name {
            return;
        }
        self.entry_monitor
            .record_heartbeat(heartbeat.entry.name.clone(), now);
        self.silent_entries.remove(&heartbeat.entry.name);
        if heartbeat.summary == self.documents.summary() {
            self.last_in_sync = now;
            self.confirmations.merge(Confirmations {
                operators: self.told_confirmation(heartbeat.operators_age, now),
                fleet: self.told_confirmation(heartbeat.fleet_age, now),
                unreadable: self.told_confirmation(heartbeat.unreadable_age, now),
            });
            return;
        }
        for (id, version) in &heartbeat.recent {
            self.record_named_version(id, *version);
        }
        self.pull_newer(&heartbeat, now, actions);
        if !self.rings.contains(&heartbeat.entry.name) {
            // The sender may have just started and have no members document yet.
            actions.push(ControlAction::Heartbeat(
                heartbeat.entry.peers,
                self.heartbeat(now),
            ));
        }
    }

    // Returns when documents were confirmed whose age the current event tells. An entry VM without
    // a confirmation sends the largest age: no time that can have been.
    fn told_confirmation(&self, age: Duration, now: TimePoint) -> Option<TimePoint> {
        let age = age.saturating_add(self.event_lag);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        now.0.checked_sub(age_ms).map(TimePoint)
    }

    // Pulls the newer documents listed in the heartbeat, or all differing ones if
    // none of the listed is newer or the versions have differed for REPAIR_AFTER.
    fn pull_newer(
        &mut self,
        heartbeat: &Heartbeat,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        let newer: Vec<_> = heartbeat
            .recent
            .iter()
            .map(|(id, version)| (id.clone(), *version, self.documents.version(id)))
            .filter(|(_, version, own_version)| version > own_version)
            .map(|(id, _, own_version)| (id, own_version))
            .collect();
        let repair_due = now.since(self.last_in_sync) >= REPAIR_AFTER;
        if newer.is_empty() || repair_due {
            if self.claim_job(ControlJob::Repair, now) {
                self.last_in_sync = now;
                actions.push(ControlAction::Pull(heartbeat.entry.status, Vec::new()));
            }
            return;
        }
        let wanted: Vec<_> = newer
            .into_iter()
            .filter(|(id, _)| self.claim_document(id, now))
            .collect();
        if !wanted.is_empty() {
            actions.push(ControlAction::Pull(heartbeat.entry.status, wanted));
        }
    }
}
