//! Model of relayed requests: relay, response, cancellation, and the loss, delay and duplication
//! of each message.
//!
//! One request, one origin and one target. The target's table of relays and the origin's state
//! chart are those of the core crate. The request is not repeatable, so it must not run twice.

use std::collections::BTreeSet;

use chestnutlb_core::{
    CancelResult, RelayAdmission, RelayTable, RequestEvent, RequestId, RequestOutcome,
    RequestState, TimePoint,
};

use crate::checker::SpecStep;

const ID: RequestId = RequestId(1);
const NOW: TimePoint = TimePoint(0);

/// Mutation of the model: the guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayMutation {
    /// All guards are in place.
    None,
    /// A cancellation that arrives before its relay leaves no tombstone.
    NoTombstone,
    /// A duplicate of a relay is accepted.
    DuplicatesAccepted,
    /// The origin reports `NotRun` when its wait for the relay times out.
    TimeoutMeansNotRun,
    /// When its wait for the relay times out, the origin queues the request again without a
    /// cancellation.
    RerunAtOrigin,
}

// Messages in flight: `Relay` and `Cancel` to the target, the others to the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum RelayMessage {
    Relay,
    Answered,
    NotRun,
    Cancel,
    CancelNotRun,
    CancelStarted,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelaySpec {
    /// State of the request at its origin.
    origin: RequestState,
    /// Table of the relays that the target has received.
    relays: RelayTable,
    /// Whether the request is queued at the target.
    queued: bool,
    /// Whether the request is running at the target.
    running: bool,
    /// Number of times that the request was started, at the origin or the target.
    runs: u8,
    messages: BTreeSet<RelayMessage>,
    /// Outcome that was reported to the caller.
    reported: Option<RequestOutcome>,
}

impl RelaySpec {
    /// Returns the initial state, in which the request is queued at its origin.
    pub fn start() -> Self {
        Self {
            origin: RequestState::Queued,
            relays: RelayTable::default(),
            queued: false,
            running: false,
            runs: 0,
            messages: BTreeSet::new(),
            reported: None,
        }
    }

    /// Returns whether a request that was reported as `NotRun` has not been started.
    pub fn not_run_reports_are_true(&self) -> bool {
        self.reported != Some(RequestOutcome::NotRun) || self.runs == 0
    }

    /// Returns whether the request was started at most once.
    pub fn runs_at_most_once(&self) -> bool {
        self.runs <= 1
    }

    /// Returns all possible next steps.
    pub fn next(&self, mutation: RelayMutation) -> Vec<SpecStep<Self>> {
        let mut steps = Vec::new();
        self.origin_steps(mutation, &mut steps);
        self.target_steps(&mut steps);
        for message in &self.messages {
            let mut successor = self.clone();
            successor.messages.remove(message);
            steps.push(SpecStep {
                label: format!("{message:?} is lost"),
                state: successor.clone(),
            });
            successor.receive(*message, mutation);
            steps.push(SpecStep {
                label: format!("{message:?} arrives"),
                state: successor.clone(),
            });
            successor.messages.insert(*message);
            steps.push(SpecStep {
                label: format!("{message:?} arrives, and a duplicate stays in flight"),
                state: successor,
            });
        }
        steps
    }

    // Applies an event to the state at the origin and records the first outcome.
    fn apply(&mut self, event: RequestEvent) {
        if let Some(state) = self.origin.after(event) {
            self.origin = state;
        }
        if self.reported.is_none() {
            self.reported = self.origin.outcome();
        }
    }

    fn origin_steps(&self, mutation: RelayMutation, steps: &mut Vec<SpecStep<Self>>) {
        let mut add = |label: &str, state: Self| {
            steps.push(SpecStep {
                label: label.to_owned(),
                state,
            });
        };
        match self.origin {
            RequestState::Queued => {
                let mut state = self.clone();
                state.apply(RequestEvent::Relay);
                state.messages.insert(RelayMessage::Relay);
                add("the origin relays", state);
                let mut state = self.clone();
                state.apply(RequestEvent::Start);
                state.runs += 1;
                add("the origin runs the request", state);
            }
            RequestState::Running => {
                let mut state = self.clone();
                state.apply(RequestEvent::Answer);
                add("the origin's backend server answers", state);
                let mut state = self.clone();
                state.apply(RequestEvent::Lose);
                add("the origin's backend server fails", state);
            }
            RequestState::Relayed => {
                let mut state = self.clone();
                match mutation {
                    RelayMutation::TimeoutMeansNotRun => state.apply(RequestEvent::Refuse),
                    RelayMutation::RerunAtOrigin => state.apply(RequestEvent::Return),
                    _ => {
                        state.apply(RequestEvent::Expire);
                        state.messages.insert(RelayMessage::Cancel);
                    }
                }
                add("the origin's time limit passes", state);
            }
            RequestState::Cancelling => {
                let mut state = self.clone();
                state.apply(RequestEvent::Lose);
                add("the origin gives up", state);
            }
            RequestState::Answered | RequestState::NotRun | RequestState::Unknown => {}
        }
    }

    fn target_steps(&self, steps: &mut Vec<SpecStep<Self>>) {
        if self.queued {
            let mut state = self.clone();
            state.queued = false;
            if state.relays.start(ID) {
                state.running = true;
                state.runs += 1;
            }
            steps.push(SpecStep {
                label: "the target runs the request".to_owned(),
                state,
            });
            let mut state = self.clone();
            state.queued = false;
            state.relays.end(ID, NOW);
            state.messages.insert(RelayMessage::NotRun);
            steps.push(SpecStep {
                label: "the target refuses the request".to_owned(),
                state,
            });
        }
        if self.running {
            let mut state = self.clone();
            state.running = false;
            state.relays.end(ID, NOW);
            state.messages.insert(RelayMessage::Answered);
            steps.push(SpecStep {
                label: "the target's backend server answers".to_owned(),
                state,
            });
        }
    }

    fn receive(&mut self, message: RelayMessage, mutation: RelayMutation) {
        match message {
            RelayMessage::Relay => match self.relays.accept(ID) {
                RelayAdmission::New => self.queued = true,
                RelayAdmission::Cancelled => {
                    self.messages.insert(RelayMessage::NotRun);
                }
                RelayAdmission::Duplicate if mutation == RelayMutation::DuplicatesAccepted => {
                    self.relays = RelayTable::default();
                    self.relays.accept(ID);
                    self.queued = true;
                }
                RelayAdmission::Duplicate => {}
            },
            RelayMessage::Answered => self.apply(RequestEvent::Answer),
            RelayMessage::NotRun if self.origin == RequestState::Relayed => {
                self.apply(RequestEvent::Return);
            }
            RelayMessage::NotRun | RelayMessage::CancelNotRun => {
                // While the origin is cancelling, the message proves that the request has not run.
                // In other states it has no effect.
                if self.origin == RequestState::Cancelling {
                    self.apply(RequestEvent::Refuse);
                }
            }
            RelayMessage::Cancel => self.cancel(mutation),
            RelayMessage::CancelStarted => {}
        }
    }

    fn cancel(&mut self, mutation: RelayMutation) {
        let previous = self.relays.clone();
        match self.relays.cancel(ID, NOW) {
            CancelResult::NotRun => {
                self.queued = false;
                self.messages.insert(RelayMessage::CancelNotRun);
                if mutation == RelayMutation::NoTombstone && previous.is_empty() {
                    self.relays = previous;
                }
            }
            CancelResult::Started => {
                self.messages.insert(RelayMessage::CancelStarted);
            }
        }
    }
}
