//! Documents of an entry VM: versions that the platform lists, new contents, and what follows
//! from a change.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::confirmations::FeedConfirmation;
use crate::control::{
    ControlJob, EntryControl, FAR_GOSSIP, GOSSIP_FANOUT, RECENT_LIMIT, RESTORE_SETTLE_TIME,
    find_host,
};
use crate::document::{DocumentId, DocumentItem, DocumentKind, ItemChange};
use crate::events::{ControlAction, Heartbeat};
use crate::ids::{ObjectVersion, StoreEra};
use crate::members::EntryRecord;
use crate::roster::HostRecord;
use crate::units::TimePoint;
use crate::unreadable_items::{DamagedDocument, UnreadableItems};
use crate::view::RosterCoverage;

impl EntryControl {
    pub(crate) fn on_listed(
        &mut self,
        list: Vec<(DocumentId, ObjectVersion)>,
        confirms: Option<FeedConfirmation>,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        let mut up_to_date = true;
        for (id, version) in list {
            up_to_date &= version >= self.documents.version(&id);
            self.record_named_version(&id, version);
            if version > self.documents.version(&id) {
                self.listed_versions.insert(id, version);
            }
        }
        // What was listed earlier and not read since is listed no more if nothing changes.
        for id in self.unread_documents() {
            let is_unreadable = self.is_unreadable(&id);
            up_to_date &= is_unreadable;
            if !is_unreadable && self.claim_document(&id, now) {
                actions.push(ControlAction::Load(id));
            }
        }
        if let Some(confirmation) = confirms.filter(|_| up_to_date) {
            let was_confirmed = self.confirmed_at().is_some();
            let heard = self.feeds.record(confirmation);
            self.confirmations.merge(match self.has_unreadable_read() {
                true => heard.with_unreadable(),
                false => heard,
            });
            // The first view of all documents replaces that of the first roster.
            if !was_confirmed && self.confirmed_at().is_some() {
                self.view_builder.expedite();
            }
        }
    }

    // The rosters name every possible owner of a passthrough flow as long as the store was never
    // restored: a silent host stays listed until no flow of it can live, and a host in no roster
    // gets no flows in a large fleet. Records that can't be read may be those of owners.
    pub(crate) fn on_first_era(
        &mut self,
        first_era: Option<StoreEra>,
        era: StoreEra,
        listed: &[DocumentId],
        actions: &mut Vec<ControlAction>,
    ) {
        let is_roster = |id: &DocumentId| id.kind == DocumentKind::Roster;
        let has_rosters =
            listed.iter().any(is_roster) || self.documents.iter().any(|(id, _)| is_roster(id));
        // Rosters without a first era were written by an earlier release, or after a restore.
        if first_era.is_none() && !has_rosters {
            actions.push(ControlAction::RecordFirstEra(era));
        }
        self.view_builder.set_roster_coverage(
            if first_era == Some(era) && self.flow_age.is_some() && !self.has_damaged_roster() {
                RosterCoverage::AllOwners
            } else {
                RosterCoverage::Unknown
            },
        );
    }

    // Replaces the documents of an earlier era that a list of all rosters and members lacks by
    // empty ones: the copy that the store was restored from is older than them.
    pub(crate) fn on_all_listed(
        &mut self,
        version: ObjectVersion,
        listed: &[DocumentId],
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        let is_lost = |id: &DocumentId| {
            matches!(id.kind, DocumentKind::Roster | DocumentKind::Members) && !listed.contains(id)
        };
        let held = self.documents.iter();
        let lost: Vec<DocumentId> = held
            .filter(|(id, document)| is_lost(id) && document.version().era() < version.era())
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.replace_document(id, version.absent(), Vec::new(), now, actions);
        }
    }

    // Ends the drains that a list of all of them lacks. The list contains every change up to its
    // version, so a drain that began later is not ended by it.
    pub(crate) fn on_drains_listed(
        &mut self,
        version: ObjectVersion,
        listed: &[DocumentId],
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        let held = self.documents.iter();
        let ended: Vec<DocumentId> = held
            .filter(|(id, document)| {
                let is_drained = document.items().next().is_some();
                id.kind == DocumentKind::Drain && is_drained && !listed.contains(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.replace_document(id, version, Vec::new(), now, actions);
        }
    }

    fn has_damaged_roster(&self) -> bool {
        self.damaged
            .keys()
            .any(|id| id.kind == DocumentKind::Roster)
    }

    // Replaces a document by a version with items that can't be read. The items held here that
    // they may stand for stay in force.
    pub(crate) fn on_loaded_partly(
        &mut self,
        id: DocumentId,
        version: ObjectVersion,
        mut items: Vec<DocumentItem>,
        unreadable: &UnreadableItems,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        if id.kind.is_of_operators() {
            self.on_operators_document_partly(id, version, items, unreadable, now, actions);
            return;
        }
        let before = self.damaged.get(&id);
        let held_version = self.documents.version(&id);
        if version < held_version || (version == held_version && before.is_some()) {
            return;
        }
        let unnamed_before = before.map_or(0, |before| before.unnamed);
        let held = self.documents.get(&id).map_or_else(Vec::new, |held| {
            unreadable.held_items(held, &items, unnamed_before)
        });
        let damaged = DamagedDocument {
            since: before.map_or(now, |before| before.since),
            held: held.iter().map(DocumentItem::key).collect(),
            unnamed: unreadable.unnamed,
        };
        self.damaged.insert(id.clone(), damaged);
        if id.kind == DocumentKind::Roster {
            self.view_builder
                .set_roster_coverage(RosterCoverage::Unknown);
        }
        items.extend(held);
        self.replace_document(id, version, items, now, actions);
    }

    pub(crate) fn replace_document(
        &mut self,
        id: DocumentId,
        version: ObjectVersion,
        items: Vec<DocumentItem>,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        let before = self.documents.version(&id);
        if let Some(changes) = self.documents.replace(&id, version, items) {
            self.on_changed(id, before, &changes, now, actions);
        }
    }

    pub(crate) fn on_changed(
        &mut self,
        id: DocumentId,
        before: ObjectVersion,
        changes: &[ItemChange],
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        self.end_job(&id);
        self.jobs.remove(&ControlJob::Repair);
        let version = self.documents.version(&id);
        self.newer_rosters
            .retain(|newer_id, newer| *newer_id != id || *newer > version);
        self.listed_versions
            .retain(|listed_id, listed| *listed_id != id || *listed > version);
        let is_restored = before != ObjectVersion(0) && before.era() != version.era();
        match id.kind {
            DocumentKind::Members => {
                if is_restored {
                    self.settled_at = Some(now + RESTORE_SETTLE_TIME);
                }
                self.update_member_rings(now);
            }
            DocumentKind::Roster if is_restored => {
                self.view_builder
                    .set_roster_coverage(RosterCoverage::Unknown);
                self.track_restored_roster(&id, now);
                self.roster_scan_due = true;
            }
            DocumentKind::Roster => {
                self.track_roster(&id, changes, now, actions);
                self.roster_scan_due = true;
            }
            DocumentKind::Grants | DocumentKind::Manifest | DocumentKind::Drain => {}
        }
        if id.kind != DocumentKind::Members {
            self.view_builder
                .apply_changes(&id, changes, &self.documents);
        }
        self.recent.retain(|(recent_id, _)| *recent_id != id);
        self.recent.push_front((id.clone(), version));
        self.recent.truncate(RECENT_LIMIT);
        actions.push(ControlAction::InForce(id.clone(), version));
        let heartbeat = self.heartbeat_at_change(id, version, now);
        for peer in self.random_peers() {
            actions.push(ControlAction::Heartbeat(peer.peers, heartbeat.clone()));
        }
    }

    fn track_roster(
        &mut self,
        id: &DocumentId,
        changes: &[ItemChange],
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        for change in changes {
            if let (Some(DocumentItem::Host(record)), None) = (&change.old, &change.new)
                && self.tracker.record_removal(&record.name, now)
            {
                actions.push(ControlAction::OutdatedHostDropped(record.name.clone()));
            }
        }
        let documents = &self.documents;
        self.tracker
            .record_roster(&id.name, |record| find_host(documents, record));
        self.update_registered(now);
    }

    fn track_restored_roster(&mut self, id: &DocumentId, now: TimePoint) {
        let documents = &self.documents;
        let listed = |record: &HostRecord| find_host(documents, record);
        self.tracker.record_restored_roster(&id.name, listed, now);
        self.update_registered(now);
    }

    // Rebuilds the rings from the members documents, unless these are to be completed after a
    // restore of the store.
    pub(crate) fn update_member_rings(&mut self, now: TimePoint) {
        if self.settled_at.is_some_and(|settled_at| now < settled_at) {
            return;
        }
        self.settled_at = None;
        self.members_changed_at = now;
        self.rings
            .rebuild(self.documents.items(DocumentKind::Members));
        self.view_builder
            .set_registration_reach(self.rings.registration_reach());
        let rings = &self.rings;
        self.tracker
            .reassign(|record| rings.tracker_rank(record), now);
        self.roster_scan_due = true;
    }

    fn random_peers(&mut self) -> Vec<EntryRecord> {
        let random = &mut self.random;
        let near_count = GOSSIP_FANOUT - FAR_GOSSIP;
        let mut peers = self.rings.near_peers().choose_multiple(random, near_count);
        let far_count = GOSSIP_FANOUT - peers.len();
        peers.extend(self.rings.far_peers().choose_multiple(random, far_count));
        peers.into_iter().cloned().collect()
    }

    pub(crate) fn heartbeat(&self, now: TimePoint) -> Heartbeat {
        let age = |confirmed_at: Option<TimePoint>| {
            confirmed_at.map_or(Duration::MAX, |confirmed_at| now.since(confirmed_at))
        };
        Heartbeat {
            entry: self.me.clone(),
            summary: self.documents.summary(),
            operators_age: age(self.confirmations.operators),
            unreadable_age: age(self.confirmations.unreadable),
            fleet_age: age(self.confirmations.fleet),
            recent: self.recent.iter().cloned().collect(),
        }
    }

    // Returns the heartbeat that gossips one change. Newer documents still contain all that the
    // platform had when it last confirmed the earlier ones.
    fn heartbeat_at_change(
        &self,
        id: DocumentId,
        version: ObjectVersion,
        now: TimePoint,
    ) -> Heartbeat {
        Heartbeat {
            recent: vec![(id, version)],
            ..self.heartbeat(now)
        }
    }
}
