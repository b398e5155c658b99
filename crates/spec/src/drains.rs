//! Model of the drain of a data centre: an operator who drains it and takes it back, two entry
//! VMs that list the store at any time and pass versions to each other and to a host, also late
//! and out of order, and restarts of either.
//!
//! Not modelled: time. What was learned of a version holds until a newer one is learned.

use std::collections::BTreeSet;

use crate::checker::SpecStep;

const ENTRIES: [usize; 2] = [0, 1];
/// Maximum number of changes by the operator.
const MAX_CHANGES: u8 = 3;
/// Maximum number of restarts, of entry VMs and of the host together.
const MAX_RESTARTS: u8 = 1;

/// Mutation of the model: the guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainMutation {
    /// All guards are in place.
    None,
    /// A list that lacks the drain ends it, whatever the versions of both.
    ListsEndLaterDrains,
    /// An entry VM puts any version that a peer sends in force.
    AppliesAll,
    /// The host goes by the last reply, not by the newest version.
    HostGoesByLastReply,
    /// A reply of an entry VM that knows of no drain ends the drain at the host.
    SilenceEnds,
}

/// What a process knows of the drain: the version, and whether the data centre is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct KnownDrain {
    version: u8,
    drained: bool,
}

/// A message in flight to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum DrainMessage {
    /// A patch to an entry VM.
    Patch(usize, KnownDrain),
    /// The store's list to an entry VM: its version, and that of the drain, if it has one.
    List(usize, u8, Option<u8>),
    /// A reply to the host: what the entry VM knows, if anything.
    Reply(Option<KnownDrain>),
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DrainSpec {
    /// Version of the store, and that of the drain if the data centre is drained.
    version: u8,
    drained_in: Option<u8>,
    entries: [Option<KnownDrain>; 2],
    host: Option<KnownDrain>,
    messages: BTreeSet<DrainMessage>,
    restarts: u8,
    /// Whether a process went back to an older state of the drain.
    reverted: bool,
}

impl DrainSpec {
    /// Returns the initial state: the data centre was never drained.
    pub fn start() -> Self {
        Self {
            version: 1,
            drained_in: None,
            entries: [None; 2],
            host: None,
            messages: BTreeSet::new(),
            restarts: 0,
            reverted: false,
        }
    }

    /// Returns whether no process has gone back to an older state of the drain without a restart.
    pub fn is_monotonic(&self) -> bool {
        !self.reverted
    }

    /// Returns whether processes that know the same version agree on whether the data centre is
    /// drained.
    pub fn versions_agree(&self) -> bool {
        let known = self.entries.iter().chain([&self.host]).flatten();
        let known: BTreeSet<KnownDrain> = known.copied().collect();
        let versions: BTreeSet<u8> = known.iter().map(|known| known.version).collect();
        versions.len() == known.len()
    }

    /// Returns whether the host has not seen a whole drain. The search must find a violation: a
    /// drain comes into force at the host, and ends there.
    pub fn host_sees_no_end(&self) -> bool {
        self.host.is_none_or(|known| known.drained)
    }

    // Returns what an entry VM knows after a list of version `at`, in which the data centre has
    // been drained since `drained_in`.
    fn knowledge_after_list(
        known: Option<KnownDrain>,
        at: u8,
        drained_in: Option<u8>,
        mutation: DrainMutation,
    ) -> Option<KnownDrain> {
        match (drained_in, known) {
            (Some(version), Some(known)) if version <= known.version => Some(known),
            (Some(version), _) => Some(KnownDrain {
                version,
                drained: true,
            }),
            (None, Some(known)) if known.drained => {
                let ends = at > known.version || mutation == DrainMutation::ListsEndLaterDrains;
                let ended = KnownDrain {
                    version: at,
                    drained: false,
                };
                Some(if ends { ended } else { known })
            }
            (None, known) => known,
        }
    }

    /// Returns all possible next steps.
    pub fn next(&self, mutation: DrainMutation) -> Vec<SpecStep<Self>> {
        let mut steps = Vec::new();
        if self.version <= MAX_CHANGES {
            let mut state = self.clone();
            state.version += 1;
            state.drained_in = match self.drained_in {
                Some(_) => None,
                None => Some(state.version),
            };
            let change = if self.drained_in.is_some() {
                "takes the data centre back"
            } else {
                "drains the data centre"
            };
            steps.push(step(format!("the operator {change}"), state));
        }
        for entry in ENTRIES {
            self.entry_steps(entry, &mut steps);
        }
        if self.restarts < MAX_RESTARTS {
            self.restart_steps(&mut steps);
        }
        for message in &self.messages {
            // It may arrive again, so it stays in flight.
            let mut state = self.clone();
            state.receive(*message, mutation);
            steps.push(step(format!("{message:?} arrives"), state));
        }
        steps
    }

    fn entry_steps(&self, entry: usize, steps: &mut Vec<SpecStep<Self>>) {
        let mut send = |label: &str, message| {
            let mut state = self.clone();
            if state.messages.insert(message) {
                steps.push(step(format!("entry VM {entry} {label}"), state));
            }
        };
        let list = DrainMessage::List(entry, self.version, self.drained_in);
        send("reads the store", list);
        send(
            "replies to the host",
            DrainMessage::Reply(self.entries[entry]),
        );
        if let Some(known) = self.entries[entry] {
            let patch = DrainMessage::Patch(1 - entry, known);
            send("sends its version to the other", patch);
        }
    }

    fn restart_steps(&self, steps: &mut Vec<SpecStep<Self>>) {
        for entry in ENTRIES {
            let mut state = self.clone();
            state.restarts += 1;
            state.entries[entry] = None;
            steps.push(step(format!("entry VM {entry} restarts"), state));
        }
        let mut state = self.clone();
        state.restarts += 1;
        state.host = None;
        steps.push(step("the host restarts".to_owned(), state));
    }

    fn receive(&mut self, message: DrainMessage, mutation: DrainMutation) {
        match message {
            DrainMessage::List(entry, at, drained_in) => {
                let known = self.entries[entry];
                let next = Self::knowledge_after_list(known, at, drained_in, mutation);
                self.set_entry(entry, next);
            }
            DrainMessage::Patch(entry, patch) => {
                let known = self.entries[entry];
                let is_newer = known.is_none_or(|known| patch.version > known.version);
                if is_newer || mutation == DrainMutation::AppliesAll {
                    self.set_entry(entry, Some(patch));
                }
            }
            DrainMessage::Reply(Some(reply)) => {
                let is_newer = self.host.is_none_or(|known| reply.version > known.version);
                if is_newer || mutation == DrainMutation::HostGoesByLastReply {
                    self.record_change(self.host, Some(reply));
                    self.host = Some(reply);
                }
            }
            DrainMessage::Reply(None) => {
                if mutation == DrainMutation::SilenceEnds {
                    self.record_change(self.host, None);
                    self.host = None;
                }
            }
        }
    }

    fn set_entry(&mut self, entry: usize, next: Option<KnownDrain>) {
        self.record_change(self.entries[entry], next);
        self.entries[entry] = next;
    }

    fn record_change(&mut self, before: Option<KnownDrain>, after: Option<KnownDrain>) {
        let version = |known: Option<KnownDrain>| known.map_or(0, |known| known.version);
        self.reverted |= version(after) < version(before);
    }
}

fn step(label: String, state: DrainSpec) -> SpecStep<DrainSpec> {
    SpecStep { label, state }
}
