//! Duties of an entry VM that timers start: heartbeats, writes of rosters and members, liveness
//! of neighbours and hosts.

use std::collections::BTreeMap;

use rand::Rng;

use crate::chart::HostState;
use crate::control::{EntryControl, find_host};
use crate::document::{DocumentId, DocumentItem, DocumentKind, DocumentStore};
use crate::events::{ControlAction, MemberEdit};
use crate::host_tracker::{GONE_AFTER, LAST_FLOW_DELAY, RosterEdit, SUSPECT_AFTER};
use crate::ids::{DatacenterName, ObjectVersion};
use crate::manifest::ServiceKind;
use crate::members::{EntryRecord, RANK_DELAY};
use crate::roster::HostRecord;
use crate::timer::TimerKind;
use crate::units::TimePoint;
use crate::unreadable_items::DamagedDocument;

impl EntryControl {
    pub(crate) fn on_tick(
        &mut self,
        kind: TimerKind,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        match kind {
            TimerKind::Heartbeat => self.send_heartbeats(now, actions),
            TimerKind::Batch => self.write_roster(now, actions),
            TimerKind::Liveness => self.check_liveness(now, actions),
            TimerKind::Repair => self.repair(now, actions),
            _ => {}
        }
    }

    fn send_heartbeats(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        let heartbeat = self.heartbeat(now);
        let mut targets: Vec<_> = self
            .rings
            .successors()
            .into_iter()
            .map(|entry| entry.peers)
            .collect();
        if targets.is_empty() || self.confirmed_at().is_none() {
            targets.extend(self.seeds.iter().copied());
        } else if !self.seeds.is_empty() {
            // A random seed in each round lets partitioned groups of entry VMs find
            // each other again.
            let seed = self.random.random_range(0..self.seeds.len());
            targets.push(self.seeds[seed]);
        }
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| *target != self.me.peers);
        for target in targets {
            actions.push(ControlAction::Heartbeat(target, heartbeat.clone()));
        }
    }

    fn write_roster(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        let documents = &self.documents;
        let current = |record: &HostRecord| find_host(documents, record);
        let flow_age = self.flow_age;
        let gone_after = |record: &HostRecord| match flow_age {
            Some(flow_age) if may_own_passthrough_flows(documents, record) => {
                flow_age + LAST_FLOW_DELAY
            }
            _ => GONE_AFTER,
        };
        let edits = self.tracker.edits(current, gone_after, now);
        self.update_registered(now);
        let mut suspects = BTreeMap::new();
        let mut rosters: BTreeMap<DatacenterName, Vec<RosterEdit>> = BTreeMap::new();
        for edit in edits {
            let record = edit.record();
            let is_removal = matches!(edit, RosterEdit::Remove(_));
            if is_removal || record.state == HostState::Suspect {
                suspects.insert(record.name.clone(), record.service.clone());
            }
            let datacenter = record.datacenter.clone();
            rosters.entry(datacenter).or_default().push(edit);
        }
        self.view_builder.set_suspects(suspects);
        for (datacenter, edits) in rosters {
            let id = DocumentId::new(DocumentKind::Roster, datacenter.as_str());
            if !self.stopping && self.claim_document(&id, now) {
                let base = self.documents.version(&id);
                actions.push(ControlAction::WriteRoster(id, base, edits));
            }
        }
    }

    fn check_liveness(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        if self.settled_at.is_some() {
            self.update_member_rings(now);
        }
        self.progress
            .retain(|_, progress| now.since(progress.last_seen) < SUSPECT_AFTER * 5);
        let stands_in = self.stand_in.is_watching(now);
        let watching = !self.stopping && (self.rings.is_watcher() || stands_in);
        let operators_heard_at = self.confirmations.operators_heard();
        // A watcher reads too: its watch may wait on a connection that is lost.
        if self.stand_in.is_probe_due(operators_heard_at, now) && !self.stopping {
            self.stand_in.record_probe(&mut self.random, now);
            actions.push(ControlAction::ProbeStore);
        }
        if self.watching != Some(watching) {
            self.watching = Some(watching);
            actions.push(ControlAction::Watch(watching));
        }
        let watched: Vec<EntryRecord> = self.rings.predecessors().into_iter().cloned().collect();
        let names: Vec<_> = watched.iter().map(|entry| entry.name.clone()).collect();
        let silent = self.entry_monitor.silent(&names, now);
        self.silent_entries.retain(|name, _| silent.contains(name));
        for (rank, entry) in watched.into_iter().enumerate() {
            if !silent.contains(&entry.name) {
                continue;
            }
            let since = *self.silent_entries.entry(entry.name.clone()).or_insert(now);
            let id = DocumentId::new(DocumentKind::Members, entry.datacenter.as_str());
            if now.since(since) >= RANK_DELAY * rank as u32 && self.claim_document(&id, now) {
                actions.push(self.members_write(id, MemberEdit::Remove(entry)));
            }
        }
    }

    fn repair(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        if self.stopping {
            return;
        }
        let members = self.members_id();
        // A restart with unchanged addresses needs no write of the members document.
        let document = self.documents.get(&members);
        let own_item = document.and_then(|document| document.item(self.me.name.as_str()));
        let is_listed = own_item.is_some_and(|item| match item {
            DocumentItem::Entry(entry) => {
                (entry.peers, entry.status) == (self.me.peers, self.me.status)
            }
            _ => false,
        });
        if !is_listed && self.claim_document(&members, now) {
            let edit = MemberEdit::Put(self.me.clone());
            actions.push(self.members_write(members, edit));
        }
        if std::mem::take(&mut self.roster_scan_due) {
            self.track_roster_hosts(now);
        }
        self.repair_damaged_documents(now, actions);
    }

    // Writes the items again that are held in place of those that can't be read. Items that stand
    // for none are removed once no flow of a host that they might stand for can live.
    fn repair_damaged_documents(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        let kept_for = self.flow_age.unwrap_or(GONE_AFTER) + LAST_FLOW_DELAY;
        let repairs: Vec<(DocumentId, Vec<DocumentItem>)> = self
            .damaged
            .iter()
            .map(|(id, damaged)| (id, damaged, self.held_items(id, damaged)))
            .filter(|(_, damaged, held)| !held.is_empty() || now.since(damaged.since) >= kept_for)
            .map(|(id, _, held)| (id.clone(), held))
            .collect();
        for (id, held) in repairs {
            if self.claim_document(&id, now) {
                let base = self.documents.version(&id);
                actions.push(repair_action(id, base, held));
            }
        }
    }

    fn held_items(&self, id: &DocumentId, damaged: &DamagedDocument) -> Vec<DocumentItem> {
        let document = self.documents.get(id);
        let held = damaged.held.iter();
        held.filter_map(|key| document?.item(key).cloned())
            .collect()
    }

    // Starts to track the roster hosts for which this entry VM is a tracker, including
    // those that have not registered here since this process started.
    fn track_roster_hosts(&mut self, now: TimePoint) {
        let rosters = self
            .documents
            .iter()
            .filter(|(id, _)| id.kind == DocumentKind::Roster);
        for (id, document) in rosters {
            let may_track = id
                .name
                .parse()
                .is_ok_and(|datacenter| self.rings.may_track(&datacenter));
            if !may_track {
                continue;
            }
            for item in document.items() {
                if let DocumentItem::Host(record) = item
                    && let Some(rank) = self.rings.tracker_rank(record)
                {
                    self.tracker.track_from_roster(record, rank, now);
                }
            }
        }
    }
}

// Returns the write that repairs a document: of the items held, or without the items that can't
// be read if none is.
fn repair_action(id: DocumentId, base: ObjectVersion, held: Vec<DocumentItem>) -> ControlAction {
    let mut roster_edits = Vec::new();
    let mut member_edits = Vec::new();
    for item in held {
        match item {
            DocumentItem::Host(record) => {
                roster_edits.push(RosterEdit::Put(HostRecord::clone(&record)));
            }
            DocumentItem::Entry(record) => member_edits.push(MemberEdit::Put(record)),
            DocumentItem::Grant(..) | DocumentItem::Service(_) | DocumentItem::Drain(_) => {}
        }
    }
    if !roster_edits.is_empty() {
        ControlAction::WriteRoster(id, base, roster_edits)
    } else if !member_edits.is_empty() {
        ControlAction::WriteMembers(id, base, member_edits)
    } else {
        ControlAction::RemoveUnreadable(id, base)
    }
}

// The host of a service that no manifest has may own flows too.
fn may_own_passthrough_flows(documents: &DocumentStore, record: &HostRecord) -> bool {
    let service = documents.service(&record.service);
    service.is_none_or(|(spec, _)| spec.kind == ServiceKind::Passthrough)
}
