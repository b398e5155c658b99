//! Specification of relayed requests: relay, answer, cancellation, and the
//! loss, delay and repetition of each message.
//!
//! One request, one origin, one target. The target's ledger and the origin's
//! chart are the core's own. The request may not be repeated.

use std::collections::BTreeSet;

use chestnutlb_core::{
    CancelResult, RelayAdmission, RelayTable, RequestEvent, RequestId, RequestOutcome,
    RequestState, TimePoint,
};

use crate::checker::SpecStep;

const ID: RequestId = RequestId(1);
const NOW: TimePoint = TimePoint(0);

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayMutation {
    /// All guards are in place.
    None,
    /// A cancellation of an unknown relay leaves no tombstone.
    NoTombstone,
    /// A relay that arrives twice is taken twice.
    DuplicatesTaken,
    /// The end of the time is taken for proof that the request did not run.
    TimeIsProof,
    /// A lost relay is run at the origin at once.
    RunAgain,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum RelayMessage {
    Relay,
    Answered,
    NotRun,
    Cancel,
    CancelNotRun,
    CancelStarted,
}

/// A state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelaySpec {
    origin: RequestState,
    ledger: RelayTable,
    waiting: bool,
    running: bool,
    runs: u8,
    messages: BTreeSet<RelayMessage>,
    told: Option<RequestOutcome>,
}

impl RelaySpec {
    /// A request that waits at its origin.
    pub fn start() -> Self {
        Self {
            origin: RequestState::Queued,
            ledger: RelayTable::default(),
            waiting: false,
            running: false,
            runs: 0,
            messages: BTreeSet::new(),
            told: None,
        }
    }

    /// What was told `not run` has not run, and never will.
    pub fn not_run_reports_are_true(&self) -> bool {
        self.told != Some(RequestOutcome::NotRun) || self.runs == 0
    }

    /// It runs at most once.
    pub fn at_most_once(&self) -> bool {
        self.runs <= 1
    }

    /// Everything that can happen next.
    pub fn next(&self, mutation: RelayMutation) -> Vec<SpecStep<Self>> {
        let mut steps = Vec::new();
        self.origin_steps(mutation, &mut steps);
        self.target_steps(&mut steps);
        for message in &self.messages {
            let mut lost = self.clone();
            lost.messages.remove(message);
            steps.push(SpecStep {
                label: format!("{message:?} is lost"),
                state: lost.clone(),
            });
            lost.receive(*message, mutation);
            steps.push(SpecStep {
                label: format!("{message:?} arrives"),
                state: lost.clone(),
            });
            lost.messages.insert(*message);
            steps.push(SpecStep {
                label: format!("{message:?} arrives, and another copy stays"),
                state: lost,
            });
        }
        steps
    }

    fn apply(&mut self, event: RequestEvent) {
        if let Some(state) = self.origin.after(event) {
            self.origin = state;
        }
        if self.told.is_none() {
            self.told = self.origin.outcome();
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
                add("the origin runs it", state);
            }
            RequestState::Running => {
                let mut state = self.clone();
                state.apply(RequestEvent::Answer);
                add("the origin's backend server answers", state);
                let mut state = self.clone();
                state.apply(RequestEvent::Lose);
                add("the origin's backend server dies", state);
            }
            RequestState::Relayed => {
                let mut state = self.clone();
                match mutation {
                    RelayMutation::TimeIsProof => state.apply(RequestEvent::Refuse),
                    RelayMutation::RunAgain => state.apply(RequestEvent::Return),
                    _ => {
                        state.apply(RequestEvent::Expire);
                        state.messages.insert(RelayMessage::Cancel);
                    }
                }
                add("the origin's time is over", state);
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
        if self.waiting {
            let mut state = self.clone();
            state.waiting = false;
            if state.ledger.start(ID) {
                state.running = true;
                state.runs += 1;
            }
            steps.push(SpecStep {
                label: "the target gives it a slot".to_owned(),
                state,
            });
            let mut state = self.clone();
            state.waiting = false;
            state.ledger.end(ID, NOW);
            state.messages.insert(RelayMessage::NotRun);
            steps.push(SpecStep {
                label: "the target refuses it".to_owned(),
                state,
            });
        }
        if self.running {
            let mut state = self.clone();
            state.running = false;
            state.ledger.end(ID, NOW);
            state.messages.insert(RelayMessage::Answered);
            steps.push(SpecStep {
                label: "the target's backend server answers".to_owned(),
                state,
            });
        }
    }

    fn receive(&mut self, message: RelayMessage, mutation: RelayMutation) {
        match message {
            RelayMessage::Relay => match self.ledger.accept(ID) {
                RelayAdmission::New => self.waiting = true,
                RelayAdmission::Cancelled => {
                    self.messages.insert(RelayMessage::NotRun);
                }
                RelayAdmission::Duplicate if mutation == RelayMutation::DuplicatesTaken => {
                    self.ledger = RelayTable::default();
                    self.ledger.accept(ID);
                    self.waiting = true;
                }
                RelayAdmission::Duplicate => {}
            },
            RelayMessage::Answered => self.apply(RequestEvent::Answer),
            RelayMessage::NotRun if self.origin == RequestState::Relayed => {
                self.apply(RequestEvent::Return);
            }
            RelayMessage::NotRun | RelayMessage::CancelNotRun => {
                // In other states the chart ignores it or it is proof.
                if self.origin == RequestState::Cancelling {
                    self.apply(RequestEvent::Refuse);
                }
            }
            RelayMessage::Cancel => self.cancel(mutation),
            RelayMessage::CancelStarted => {}
        }
    }

    fn cancel(&mut self, mutation: RelayMutation) {
        let before = self.ledger.clone();
        match self.ledger.cancel(ID, NOW) {
            CancelResult::NotRun => {
                self.waiting = false;
                self.messages.insert(RelayMessage::CancelNotRun);
                if mutation == RelayMutation::NoTombstone && before.is_empty() {
                    self.ledger = before;
                }
            }
            CancelResult::Started => {
                self.messages.insert(RelayMessage::CancelStarted);
            }
        }
    }
}
