//! Specification of flows that are carried through unread: two hosts, one flow,
//! side processes that start again while backend servers live on, and entry VMs that search.
//!
//! The verdicts are the core's own. A caller opens by copies that may reach both
//! hosts and takes the first answer. Its packets walk both hosts, in either
//! order. Left out: time, load, more than two hosts, backend servers that die.

use std::collections::BTreeSet;

use chestnutlb_core::passthrough_verdict::{FlowKnowledge, judge_data, judge_reset, lookup_reply};
use chestnutlb_core::{OwnershipReply, PassthroughArrival, PassthroughVerdict, ReplyVerdict};

use crate::checker::SpecStep;

const HOSTS: [usize; 2] = [0, 1];
const MAX_OPENINGS: u8 = 2;
const MAX_PACKETS: u8 = 3;
const MAX_RESTARTS: u8 = 2;

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PassthroughMutation {
    /// All guards are in place.
    None,
    /// A backend server that has not answered the opening owns the flow.
    OpeningOwns,
    /// Any answer to the opening owns the flow.
    AnyAnswerOwns,
    /// A backend server is asked again about a flow that it returned.
    AskAgain,
    /// Every reset of a backend server reaches the caller.
    ResetsForwarded,
    /// A side process that has just started takes its table for complete.
    NeverAsks,
    /// A backend server that was asked and has not answered does not hold the flow.
    AskedIsCertain,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Backend {
    Nothing,
    HalfOpen,
    Open,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Table {
    Empty,
    Opening,
    Offered,
    Open,
    Asked,
    Stranger,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Side {
    table: Table,
    may_be_unseen: bool,
    // Packets that bothered its backend server without being its own.
    strays: u8,
    starts: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Opening(usize),
    AtBackend(usize),
    Answer(usize),
    Packet { at: usize, more_hops: bool },
    Returned { from: usize, more_hops: bool },
    Acknowledged(usize),
}

/// A state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PassthroughSpec {
    backends: [Backend; 2],
    sides: [Side; 2],
    owner: Option<usize>,
    openings: u8,
    packets: u8,
    messages: BTreeSet<Message>,
    foreign_reset: bool,
    owner_denied: bool,
}

impl PassthroughSpec {
    /// A caller that is about to open a flow.
    pub fn start() -> Self {
        let side = Side {
            table: Table::Empty,
            may_be_unseen: false,
            strays: 0,
            starts: 1,
        };
        Self {
            backends: [Backend::Nothing; 2],
            sides: [side; 2],
            owner: None,
            openings: 0,
            packets: 0,
            messages: BTreeSet::new(),
            foreign_reset: false,
            owner_denied: false,
        }
    }

    /// A backend server gets at most one packet that is not its own for each
    /// start of its side process after the first.
    pub fn strangers_are_asked_once(&self) -> bool {
        self.sides.iter().all(|side| side.strays < side.starts)
    }

    /// No host but the owner's resets the flow.
    pub fn no_foreign_reset(&self) -> bool {
        !self.foreign_reset
    }

    /// The owner's side process never says that the flow is not there without
    /// having asked.
    pub fn owner_is_found(&self) -> bool {
        !self.owner_denied
    }

    /// The owner never tells an entry VM that searches the flow that it does not
    /// hold it.
    pub fn owner_is_not_cleared(&self, mutation: PassthroughMutation) -> bool {
        self.owner.is_none_or(|owner| {
            let knowledge = match self.knowledge(owner, mutation) {
                FlowKnowledge::Queried if mutation == PassthroughMutation::AskedIsCertain => {
                    FlowKnowledge::NotOwned
                }
                knowledge => knowledge,
            };
            lookup_reply(knowledge) != OwnershipReply::NotOwned
        })
    }

    /// Everything that can happen next.
    pub fn next(&self, mutation: PassthroughMutation) -> Vec<SpecStep<Self>> {
        let mut steps = Vec::new();
        self.caller_steps(&mut steps);
        for host in HOSTS {
            self.host_steps(host, mutation, &mut steps);
        }
        for message in &self.messages {
            let mut lost = self.clone();
            lost.messages.remove(message);
            steps.push(step(format!("{message:?} is lost"), lost.clone()));
            lost.receive(*message, mutation);
            steps.push(step(format!("{message:?} arrives"), lost));
        }
        steps
    }

    fn caller_steps(&self, steps: &mut Vec<SpecStep<Self>>) {
        if self.owner.is_none() && self.openings < MAX_OPENINGS {
            for host in HOSTS {
                let mut state = self.clone();
                state.openings += 1;
                state.messages.insert(Message::Opening(host));
                steps.push(step(format!("an opening is sent to {host}"), state));
            }
        }
        if self.owner.is_some() && self.packets < MAX_PACKETS {
            for at in HOSTS {
                let mut state = self.clone();
                state.packets += 1;
                state.messages.insert(Message::Packet {
                    at,
                    more_hops: true,
                });
                steps.push(step(format!("a packet is sent, first to {at}"), state));
            }
        }
    }

    fn host_steps(
        &self,
        host: usize,
        mutation: PassthroughMutation,
        steps: &mut Vec<SpecStep<Self>>,
    ) {
        if self.sides[host].starts <= MAX_RESTARTS {
            let mut state = self.clone();
            let side = &mut state.sides[host];
            side.table = Table::Empty;
            side.may_be_unseen = true;
            side.starts += 1;
            steps.push(step(format!("side process {host} starts again"), state));
        }
        if self.backends[host] == Backend::HalfOpen && self.owner.is_some_and(|own| own != host) {
            let mut state = self.clone();
            state.backends[host] = Backend::Nothing;
            let knowledge = match state.sides[host].table {
                Table::Open => FlowKnowledge::Owned,
                Table::Opening | Table::Offered => FlowKnowledge::HalfOpen,
                Table::Empty | Table::Asked | Table::Stranger => FlowKnowledge::NotOwned,
            };
            let forwarded = judge_reset(knowledge) == ReplyVerdict::Forward
                || mutation == PassthroughMutation::ResetsForwarded;
            state.foreign_reset |= forwarded;
            state.sides[host].table = Table::Stranger;
            steps.push(step(
                format!("backend {host} resets what was not opened"),
                state,
            ));
        }
    }

    fn receive(&mut self, message: Message, mutation: PassthroughMutation) {
        match message {
            Message::Opening(host) => {
                if matches!(
                    self.sides[host].table,
                    Table::Empty | Table::Asked | Table::Stranger
                ) {
                    self.sides[host].table = Table::Opening;
                }
                self.messages.insert(Message::AtBackend(host));
            }
            Message::AtBackend(host) => {
                if self.backends[host] == Backend::Nothing {
                    self.backends[host] = Backend::HalfOpen;
                }
                self.note_answer(host);
                self.messages.insert(Message::Answer(host));
            }
            Message::Answer(host) => {
                self.owner.get_or_insert(host);
            }
            // The side process sees what its backend server sends.
            Message::Acknowledged(host) => self.sides[host].table = Table::Open,
            Message::Packet { at, more_hops } => self.judge(at, more_hops, mutation),
            Message::Returned { from, more_hops } => {
                self.sides[from].table = Table::Stranger;
                self.pass_on(from, more_hops);
            }
        }
    }

    // The side process sees what its backend server sends.
    fn note_answer(&mut self, host: usize) {
        let side = &mut self.sides[host];
        if side.table != Table::Open {
            side.table = Table::Offered;
        }
    }

    fn knowledge(&self, at: usize, mutation: PassthroughMutation) -> FlowKnowledge {
        let side = self.sides[at];
        match side.table {
            Table::Open => FlowKnowledge::Owned,
            Table::Opening if mutation == PassthroughMutation::OpeningOwns => FlowKnowledge::Owned,
            Table::Opening => FlowKnowledge::HalfOpen,
            Table::Offered
                if self.owner == Some(at) || mutation == PassthroughMutation::AnyAnswerOwns =>
            {
                FlowKnowledge::Owned
            }
            Table::Offered => FlowKnowledge::OpenedElsewhere,
            Table::Asked | Table::Stranger if mutation == PassthroughMutation::AskAgain => {
                FlowKnowledge::Unverified
            }
            Table::Asked => FlowKnowledge::Queried,
            Table::Stranger => FlowKnowledge::NotOwned,
            Table::Empty if side.may_be_unseen && mutation != PassthroughMutation::NeverAsks => {
                FlowKnowledge::Unverified
            }
            Table::Empty => FlowKnowledge::NotOwned,
        }
    }

    fn judge(&mut self, at: usize, more_hops: bool, mutation: PassthroughMutation) {
        let knowledge = self.knowledge(at, mutation);
        let arrival = PassthroughArrival {
            more_hops,
            complete: true,
        };
        match judge_data(knowledge, arrival) {
            PassthroughVerdict::Deliver => {
                self.sides[at].table = Table::Open;
                self.deliver(at, more_hops);
            }
            PassthroughVerdict::QueryBackend => {
                self.sides[at].table = Table::Asked;
                self.deliver(at, more_hops);
            }
            _ => {
                self.owner_denied |= self.owner == Some(at) && self.sides[at].table == Table::Empty;
                self.pass_on(at, more_hops);
            }
        }
    }

    fn deliver(&mut self, at: usize, more_hops: bool) {
        if self.owner == Some(at) {
            self.backends[at] = Backend::Open;
            self.messages.insert(Message::Acknowledged(at));
        } else {
            self.sides[at].strays += 1;
            self.messages.insert(Message::Returned {
                from: at,
                more_hops,
            });
        }
    }

    fn pass_on(&mut self, from: usize, more_hops: bool) {
        if more_hops {
            self.messages.insert(Message::Packet {
                at: 1 - from,
                more_hops: false,
            });
        }
    }
}

fn step(label: String, state: PassthroughSpec) -> SpecStep<PassthroughSpec> {
    SpecStep { label, state }
}
