//! The entry VMs that a host registers with, and the times of its full registrations.
//!
//! While members documents are propagated, entry VMs name different registration targets.
//! The host registers with all that were named recently, since an entry VM that is not
//! registered with does not know a host that no roster lists.

use std::time::Duration;

use crate::events::RegistrationReply;
use crate::members::{EntryRecord, FULL_MESH_FLEET};
use crate::units::TimePoint;

/// Interval between two full registrations; keep-alives are sent in between.
pub const FULL_REGISTRATION_PERIOD: Duration = Duration::from_secs(5);

/// Minimum time between a full registration and one that replies cause. Requests that arrive
/// within it are ignored, since they answer the keep-alive before.
pub const MIN_FULL_REGISTRATION_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a target that no reply names any more is dropped. It exceeds
/// [`FULL_REGISTRATION_PERIOD`] by the time within which replies to one registration arrive.
pub const TARGET_MEMORY: Duration = Duration::from_secs(6);

/// Maximum number of registration targets of a host. It holds the largest list of a reply twice,
/// so that the lists before and after the replacement of all entry VMs fit.
pub const TARGET_LIMIT: usize = 2 * FULL_MESH_FLEET;

#[derive(Debug, Clone)]
struct NamedTarget {
    record: EntryRecord,
    named_at: TimePoint,
}

/// The registration targets of one host, collected from replies of entry VMs.
#[derive(Debug, Clone, Default)]
pub struct RegistrationTargets {
    // Those of the last reply first.
    targets: Vec<NamedTarget>,
    last_named_at: Option<TimePoint>,
    last_full_at: Option<TimePoint>,
    // Whether a reply has requested a full registration, or named new targets, and none was
    // sent since.
    is_requested: bool,
}

impl RegistrationTargets {
    /// Returns the targets, in order of preference.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &EntryRecord> {
        self.targets.iter().map(|target| &target.record)
    }

    /// Returns whether a full registration is due before the end of the current period,
    /// because a reply has requested one or named new targets.
    pub fn is_due_at_once(&self, now: TimePoint) -> bool {
        self.is_requested && !self.has_just_registered(now)
    }

    /// Returns whether the next message to the targets has to be a full registration.
    pub fn is_full_registration_due(&self, now: TimePoint) -> bool {
        let is_period_over = self
            .last_full_at
            .is_none_or(|sent_at| now.since(sent_at) >= FULL_REGISTRATION_PERIOD);
        is_period_over || self.is_due_at_once(now)
    }

    /// Records that a full registration is sent to all targets.
    pub fn record_full_registration(&mut self, now: TimePoint) {
        self.last_full_at = Some(now);
        self.is_requested = false;
    }

    /// Records a reply of an entry VM.
    pub fn record_reply(&mut self, reply: &RegistrationReply, now: TimePoint) {
        if reply.resend {
            self.is_requested |= !self.has_just_registered(now);
        } else if !reply.targets.is_empty() {
            self.last_named_at = Some(now);
            self.merge(&reply.targets, now);
        }
    }

    /// Drops the targets that no reply has named for [`TARGET_MEMORY`]. While no entry VM
    /// names any target, all are kept.
    pub fn drop_unnamed(&mut self, now: TimePoint) {
        let has_recent_reply = self
            .last_named_at
            .is_some_and(|named_at| now.since(named_at) < FULL_REGISTRATION_PERIOD);
        if has_recent_reply {
            self.targets
                .retain(|target| now.since(target.named_at) < TARGET_MEMORY);
        }
    }

    // Puts the named targets before the others. A target beyond the limit does not count as
    // new, so that it causes no registrations.
    fn merge(&mut self, named: &[EntryRecord], now: TimePoint) {
        let mut others = std::mem::take(&mut self.targets);
        for record in named {
            let known = others
                .iter()
                .position(|other| other.record.name == record.name);
            let record = match known.map(|index| others.remove(index).record) {
                // An entry VM that has not received the newer record names the older one.
                Some(known) if known.incarnation > record.incarnation => known,
                Some(known) => {
                    self.is_requested |= known.incarnation < record.incarnation;
                    record.clone()
                }
                None if self.targets.len() + others.len() < TARGET_LIMIT => {
                    self.is_requested = true;
                    record.clone()
                }
                None => continue,
            };
            let named_at = now;
            self.targets.push(NamedTarget { record, named_at });
        }
        self.targets.append(&mut others);
    }

    fn has_just_registered(&self, now: TimePoint) -> bool {
        self.last_full_at
            .is_some_and(|sent_at| now.since(sent_at) < MIN_FULL_REGISTRATION_INTERVAL)
    }
}
