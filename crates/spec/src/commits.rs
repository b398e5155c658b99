//! Model of commits: two operators, a platform whose responses can be lost, and one node, such as
//! an entry VM, that receives versions in any order.

use std::collections::BTreeSet;

use crate::checker::SpecStep;

/// Maximum number of attempts of each operator.
const MAX_ATTEMPTS: u8 = 2;

/// Mutation of the model: the guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CommitMutation {
    /// All guards are in place.
    None,
    /// Writes are not conditional on the stored version.
    Unconditional,
    /// After a conflict the object is not read again, although it may contain a write of the same
    /// operator whose response was lost.
    NoReadBack,
    /// The node applies every version that it receives, also older ones.
    NodeAppliesAll,
}

/// Outcome of a commit as reported to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum CommitReport {
    Committed,
    Conflict,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct OperatorSpec {
    /// Version that the operator has read and that its writes expect.
    base: u8,
    /// Number of writes that the operator has sent without a response.
    attempts: u8,
    /// Outcome of the operator's commit, once it is reported.
    reported: Option<CommitReport>,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CommitSpec {
    /// Operator that wrote each version after the initial one.
    history: Vec<u8>,
    operators: [OperatorSpec; 2],
    /// Writes in flight, by operator and expected version.
    writes: BTreeSet<(u8, u8)>,
    /// Version that the node has in force.
    node: u8,
    /// Whether the node went back to an older version.
    reverted: bool,
}

impl CommitSpec {
    /// Returns the initial state, in which both operators have read the same version.
    pub fn start() -> Self {
        let operator = OperatorSpec {
            base: 0,
            attempts: 0,
            reported: None,
        };
        Self {
            history: Vec::new(),
            operators: [operator; 2],
            writes: BTreeSet::new(),
            node: 0,
            reverted: false,
        }
    }

    // Returns the number of versions that the operator wrote.
    fn version_count(&self, operator: usize) -> usize {
        self.history
            .iter()
            .filter(|writer| usize::from(**writer) == operator)
            .count()
    }

    /// Returns whether a commit that was reported as `Committed` took effect once, one reported as
    /// `Conflict` never, and any other at most once, and no operator has overwritten a version
    /// that it has not read.
    pub fn reports_are_true(&self) -> bool {
        (0..2).all(|operator| match self.operators[operator].reported {
            Some(CommitReport::Committed) => self.version_count(operator) == 1,
            Some(CommitReport::Conflict) => self.version_count(operator) == 0,
            Some(CommitReport::Unknown) | None => self.version_count(operator) <= 1,
        }) && self.history.len() <= 1
    }

    /// Returns whether the node has never gone back to an older version.
    pub fn node_is_monotonic(&self) -> bool {
        !self.reverted
    }

    /// Returns all possible next steps.
    pub fn next(&self, mutation: CommitMutation) -> Vec<SpecStep<Self>> {
        let mut steps = Vec::new();
        for operator in 0..2u8 {
            self.operator_steps(operator, mutation, &mut steps);
        }
        for write in &self.writes {
            let mut state = self.clone();
            state.writes.remove(write);
            steps.push(SpecStep {
                label: format!("a write of operator {} is lost", write.0),
                state: state.clone(),
            });
            state.apply_write(*write, mutation);
            steps.push(SpecStep {
                label: format!(
                    "a write of operator {} arrives, its response is lost",
                    write.0
                ),
                state,
            });
        }
        for version in 0..=self.history.len() as u8 {
            if version > self.node || mutation == CommitMutation::NodeAppliesAll {
                let mut state = self.clone();
                state.reverted |= version < state.node;
                state.node = version;
                steps.push(SpecStep {
                    label: format!("the node applies version {version}"),
                    state,
                });
            }
        }
        steps
    }

    // Applies a write at the platform and returns whether it took effect.
    fn apply_write(&mut self, (operator, expected): (u8, u8), mutation: CommitMutation) -> bool {
        let version_matches = usize::from(expected) == self.history.len();
        if version_matches || mutation == CommitMutation::Unconditional {
            self.history.push(operator);
            return true;
        }
        false
    }

    // One attempt: the operator reads the object, looks for its own commit in it, and writes.
    // Either the response arrives, or the attempt times out while the write is in flight.
    fn operator_steps(
        &self,
        operator: u8,
        mutation: CommitMutation,
        steps: &mut Vec<SpecStep<Self>>,
    ) {
        let operator_state = self.operators[usize::from(operator)];
        if operator_state.reported.is_some() {
            return;
        }
        let mut report_outcome = |label: String, mut state: Self, reported: CommitReport| {
            state.operators[usize::from(operator)].reported = Some(reported);
            steps.push(SpecStep { label, state });
        };
        if operator_state.attempts >= MAX_ATTEMPTS {
            return report_outcome(
                format!("operator {operator} gives up"),
                self.clone(),
                CommitReport::Unknown,
            );
        }
        if self.version_count(usize::from(operator)) > 0 {
            return report_outcome(
                format!("operator {operator} finds its own commit"),
                self.clone(),
                CommitReport::Committed,
            );
        }
        if usize::from(operator_state.base) != self.history.len()
            && mutation != CommitMutation::Unconditional
        {
            // The read shows a conflict. An earlier write of the operator that is still in flight
            // fails too, since versions only grow.
            return report_outcome(
                format!("operator {operator} reads another version"),
                self.clone(),
                CommitReport::Conflict,
            );
        }
        let write = (operator, operator_state.base);
        let mut state = self.clone();
        state.operators[usize::from(operator)].attempts += 1;
        state.writes.insert(write);
        steps.push(SpecStep {
            label: format!("operator {operator} writes and gets no response"),
            state,
        });
        // A write in flight may be applied between the operator's read and its write.
        for earlier in self.writes.iter().copied().map(Some).chain([None]) {
            let mut state = self.clone();
            if let Some(earlier) = earlier {
                state.writes.remove(&earlier);
                state.apply_write(earlier, mutation);
            }
            let written = state.apply_write(write, mutation);
            let found = state.version_count(usize::from(operator)) > 0;
            let reported = match (written, mutation) {
                (true, _) => CommitReport::Committed,
                (false, CommitMutation::NoReadBack) => CommitReport::Conflict,
                (false, _) if found => CommitReport::Committed,
                (false, _) => CommitReport::Conflict,
            };
            state.operators[usize::from(operator)].reported = Some(reported);
            steps.push(SpecStep {
                label: format!(
                    "operator {operator} writes after {earlier:?} and reports {reported:?}"
                ),
                state,
            });
        }
    }
}
