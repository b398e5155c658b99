//! Specification of commits: two operators, a platform whose answers get lost,
//! and a node that hears of versions in any order.

use std::collections::BTreeSet;

use crate::checker::SpecStep;

/// Attempts of each operator.
const MAX_ATTEMPTS: u8 = 2;

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CommitMutation {
    /// All guards are in place.
    None,
    /// Writes are not conditional.
    Unconditional,
    /// A conflict is not looked into: a lost answer may have been ours.
    NoReadBack,
    /// A node takes what it hears, old or new.
    NodeTakesAll,
}

/// What an operator was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum CommitWord {
    Committed,
    Conflict,
    Unsure,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct OperatorSpec {
    base: u8,
    attempts: u8,
    told: Option<CommitWord>,
}

/// A state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CommitSpec {
    /// Who wrote each version after the first.
    history: Vec<u8>,
    operators: [OperatorSpec; 2],
    /// Writes that are on their way, by operator and expected version.
    writes: BTreeSet<(u8, u8)>,
    node: u8,
    reverted: bool,
}

impl CommitSpec {
    /// Both operators have seen the same version.
    pub fn start() -> Self {
        let operator = OperatorSpec {
            base: 0,
            attempts: 0,
            told: None,
        };
        Self {
            history: Vec::new(),
            operators: [operator; 2],
            writes: BTreeSet::new(),
            node: 0,
            reverted: false,
        }
    }

    fn count(&self, operator: usize) -> usize {
        self.history
            .iter()
            .filter(|writer| usize::from(**writer) == operator)
            .count()
    }

    /// `Committed` means once, `Conflict` means never; nobody overwrites what
    /// was not seen.
    pub fn words_are_true(&self) -> bool {
        (0..2).all(|operator| match self.operators[operator].told {
            Some(CommitWord::Committed) => self.count(operator) == 1,
            Some(CommitWord::Conflict) => self.count(operator) == 0,
            Some(CommitWord::Unsure) | None => self.count(operator) <= 1,
        }) && self.history.len() <= 1
    }

    /// A node never goes back.
    pub fn node_is_monotonic(&self) -> bool {
        !self.reverted
    }

    /// Everything that can happen next.
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
            state.take_write(*write, mutation);
            steps.push(SpecStep {
                label: format!(
                    "a write of operator {} arrives, its answer is lost",
                    write.0
                ),
                state,
            });
        }
        for version in 0..=self.history.len() as u8 {
            if version > self.node || mutation == CommitMutation::NodeTakesAll {
                let mut state = self.clone();
                state.reverted |= version < state.node;
                state.node = version;
                steps.push(SpecStep {
                    label: format!("the node takes version {version}"),
                    state,
                });
            }
        }
        steps
    }

    fn take_write(&mut self, (operator, expected): (u8, u8), mutation: CommitMutation) -> bool {
        let fits = usize::from(expected) == self.history.len();
        if fits || mutation == CommitMutation::Unconditional {
            self.history.push(operator);
            return true;
        }
        false
    }

    // One attempt: read, look for an earlier attempt of one's own, write. The
    // answer comes, or the operator gives up waiting while the write is on its
    // way.
    fn operator_steps(
        &self,
        operator: u8,
        mutation: CommitMutation,
        steps: &mut Vec<SpecStep<Self>>,
    ) {
        let own = self.operators[usize::from(operator)];
        if own.told.is_some() {
            return;
        }
        let mut tell = |label: String, mut state: Self, word: CommitWord| {
            state.operators[usize::from(operator)].told = Some(word);
            steps.push(SpecStep { label, state });
        };
        if own.attempts >= MAX_ATTEMPTS {
            return tell(
                format!("operator {operator} gives up"),
                self.clone(),
                CommitWord::Unsure,
            );
        }
        if self.count(usize::from(operator)) > 0 {
            return tell(
                format!("operator {operator} finds its own commit"),
                self.clone(),
                CommitWord::Committed,
            );
        }
        if usize::from(own.base) != self.history.len() && mutation != CommitMutation::Unconditional
        {
            // Reading shows the conflict, unless a write is still on its way;
            // that one fails too, since versions only grow.
            return tell(
                format!("operator {operator} reads another version"),
                self.clone(),
                CommitWord::Conflict,
            );
        }
        let write = (operator, own.base);
        let mut state = self.clone();
        state.operators[usize::from(operator)].attempts += 1;
        state.writes.insert(write);
        steps.push(SpecStep {
            label: format!("operator {operator} writes and waits in vain"),
            state,
        });
        // Others may write between its reading and its writing.
        for first in self.writes.iter().copied().map(Some).chain([None]) {
            let mut state = self.clone();
            if let Some(first) = first {
                state.writes.remove(&first);
                state.take_write(first, mutation);
            }
            let written = state.take_write(write, mutation);
            let found = state.count(usize::from(operator)) > 0;
            let word = match (written, mutation) {
                (true, _) => CommitWord::Committed,
                (false, CommitMutation::NoReadBack) => CommitWord::Conflict,
                (false, _) if found => CommitWord::Committed,
                (false, _) => CommitWord::Conflict,
            };
            state.operators[usize::from(operator)].told = Some(word);
            steps.push(SpecStep {
                label: format!("operator {operator} writes after {first:?} and is told {word:?}"),
                state,
            });
        }
    }
}
