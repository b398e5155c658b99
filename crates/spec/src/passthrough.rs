//! Model of passthrough flows: two hosts, one flow, side processes that restart while their
//! backend servers keep running, and owner lookups of entry VMs.
//!
//! The verdicts are those of the core crate. The caller's SYN and its retransmission may reach
//! different hosts, and the caller accepts the first SYN-ACK. Its data packets visit both hosts,
//! in either order. Not modelled: time, load, more than two hosts, restarts of backend servers.

use std::collections::BTreeSet;

use chestnutlb_core::passthrough_verdict::{FlowKnowledge, judge_data, judge_reset, lookup_reply};
use chestnutlb_core::{OwnershipReply, PassthroughArrival, PassthroughVerdict, ReplyVerdict};

use crate::checker::SpecStep;

const HOSTS: [usize; 2] = [0, 1];
/// Maximum number of SYNs of the caller.
const MAX_SYNS: u8 = 2;
/// Maximum number of data packets of the caller.
const MAX_PACKETS: u8 = 3;
/// Maximum number of restarts of each side process.
const MAX_RESTARTS: u8 = 2;

/// Mutation of the model: the guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PassthroughMutation {
    /// All guards are in place.
    None,
    /// A host owns the flow before its backend server has sent a SYN-ACK.
    HalfOpenOwns,
    /// A host owns the flow once its backend server has sent a SYN-ACK, even if the caller
    /// accepted that of another host.
    AnySynAckOwns,
    /// A backend server is queried again about a flow that it was queried about or returned.
    RepeatedQueries,
    /// Every reset of a backend server is forwarded to the caller.
    ResetsForwarded,
    /// A restarted side process treats its flow table as complete.
    NoQuery,
    /// A queried flow counts as not owned before the backend server has replied.
    QueriedMeansNotOwned,
}

// State of the flow at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum BackendFlow {
    NoFlow,
    HalfOpen,
    Established,
}

// State of the flow as recorded by a side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum FlowRecord {
    Empty,
    HalfOpen,
    SynAckSent,
    Owned,
    Queried,
    NotOwned,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SideProcess {
    record: FlowRecord,
    // Whether the flow may be older than the process.
    may_miss_flow: bool,
    // Number of packets delivered to the backend server although it does not own the flow.
    foreign_packets: u8,
    // Number of starts of the process.
    starts: u8,
}

// Messages in flight, with the index of the host. `SynAtBackend` is a SYN on its way from the side
// process to the backend server; `Returned` and `Acknowledged` are a backend server's replies to a
// data packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Syn(usize),
    SynAtBackend(usize),
    SynAck(usize),
    Packet { host: usize, more_hops: bool },
    Returned { from: usize, more_hops: bool },
    Acknowledged(usize),
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PassthroughSpec {
    backend_flows: [BackendFlow; 2],
    sides: [SideProcess; 2],
    // Host whose SYN-ACK the caller accepted.
    owner: Option<usize>,
    // Number of SYNs that the caller sent.
    syns: u8,
    // Number of data packets that the caller sent.
    packets: u8,
    messages: BTreeSet<Message>,
    // Whether a reset of a host that is not the owner was forwarded to the caller.
    foreign_reset: bool,
    // Whether the owner's side process passed on a packet of the flow although it had no record
    // of the flow and had not queried its backend server.
    owner_passed_on_unqueried: bool,
}

impl PassthroughSpec {
    /// Returns the initial state, in which the caller has sent nothing.
    pub fn start() -> Self {
        let side = SideProcess {
            record: FlowRecord::Empty,
            may_miss_flow: false,
            foreign_packets: 0,
            starts: 1,
        };
        Self {
            backend_flows: [BackendFlow::NoFlow; 2],
            sides: [side; 2],
            owner: None,
            syns: 0,
            packets: 0,
            messages: BTreeSet::new(),
            foreign_reset: false,
            owner_passed_on_unqueried: false,
        }
    }

    /// Returns whether each backend server received at most one packet of a flow that it does not
    /// own per restart of its side process.
    pub fn foreign_packets_are_limited(&self) -> bool {
        self.sides
            .iter()
            .all(|side| side.foreign_packets < side.starts)
    }

    /// Returns whether no host except the owner has reset the flow.
    pub fn no_foreign_reset(&self) -> bool {
        !self.foreign_reset
    }

    /// Returns whether the owner's side process has not passed on a packet of the flow without a
    /// query to its backend server.
    pub fn owner_never_passes_on_unqueried(&self) -> bool {
        !self.owner_passed_on_unqueried
    }

    /// Returns whether the owner does not reply `NotOwned` to an owner lookup of an entry VM.
    pub fn owner_never_replies_not_owned(&self, mutation: PassthroughMutation) -> bool {
        self.owner.is_none_or(|owner| {
            let knowledge = match self.knowledge(owner, mutation) {
                FlowKnowledge::Queried if mutation == PassthroughMutation::QueriedMeansNotOwned => {
                    FlowKnowledge::NotOwned
                }
                knowledge => knowledge,
            };
            lookup_reply(knowledge) != OwnershipReply::NotOwned
        })
    }

    /// Returns all possible next steps.
    pub fn next(&self, mutation: PassthroughMutation) -> Vec<SpecStep<Self>> {
        let mut steps = Vec::new();
        self.caller_steps(&mut steps);
        for host in HOSTS {
            self.host_steps(host, mutation, &mut steps);
        }
        for message in &self.messages {
            let mut state = self.clone();
            state.messages.remove(message);
            steps.push(step(format!("{message:?} is lost"), state.clone()));
            state.receive(*message, mutation);
            steps.push(step(format!("{message:?} arrives"), state));
        }
        steps
    }

    fn caller_steps(&self, steps: &mut Vec<SpecStep<Self>>) {
        if self.owner.is_none() && self.syns < MAX_SYNS {
            for host in HOSTS {
                let mut state = self.clone();
                state.syns += 1;
                state.messages.insert(Message::Syn(host));
                steps.push(step(format!("a SYN is sent to host {host}"), state));
            }
        }
        if self.owner.is_some() && self.packets < MAX_PACKETS {
            for host in HOSTS {
                let mut state = self.clone();
                state.packets += 1;
                state.messages.insert(Message::Packet {
                    host,
                    more_hops: true,
                });
                steps.push(step(
                    format!("a packet is sent, first to host {host}"),
                    state,
                ));
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
            side.record = FlowRecord::Empty;
            side.may_miss_flow = true;
            side.starts += 1;
            steps.push(step(format!("side process {host} restarts"), state));
        }
        if self.backend_flows[host] == BackendFlow::HalfOpen
            && self.owner.is_some_and(|owner| owner != host)
        {
            let mut state = self.clone();
            state.backend_flows[host] = BackendFlow::NoFlow;
            let knowledge = match state.sides[host].record {
                FlowRecord::Owned => FlowKnowledge::Owned,
                FlowRecord::HalfOpen | FlowRecord::SynAckSent => FlowKnowledge::HalfOpen,
                FlowRecord::Empty | FlowRecord::Queried | FlowRecord::NotOwned => {
                    FlowKnowledge::NotOwned
                }
            };
            let forwarded = judge_reset(knowledge) == ReplyVerdict::Forward
                || mutation == PassthroughMutation::ResetsForwarded;
            state.foreign_reset |= forwarded;
            state.sides[host].record = FlowRecord::NotOwned;
            steps.push(step(
                format!("backend {host} resets its half-open flow"),
                state,
            ));
        }
    }

    fn receive(&mut self, message: Message, mutation: PassthroughMutation) {
        match message {
            Message::Syn(host) => {
                if matches!(
                    self.sides[host].record,
                    FlowRecord::Empty | FlowRecord::Queried | FlowRecord::NotOwned
                ) {
                    self.sides[host].record = FlowRecord::HalfOpen;
                }
                self.messages.insert(Message::SynAtBackend(host));
            }
            Message::SynAtBackend(host) => {
                if self.backend_flows[host] == BackendFlow::NoFlow {
                    self.backend_flows[host] = BackendFlow::HalfOpen;
                }
                self.record_syn_ack(host);
                self.messages.insert(Message::SynAck(host));
            }
            Message::SynAck(host) => {
                self.owner.get_or_insert(host);
            }
            // The side process forwards its backend server's packets, so it detects the
            // acknowledgement.
            Message::Acknowledged(host) => self.sides[host].record = FlowRecord::Owned,
            Message::Packet { host, more_hops } => self.judge(host, more_hops, mutation),
            Message::Returned { from, more_hops } => {
                self.sides[from].record = FlowRecord::NotOwned;
                self.pass_on(from, more_hops);
            }
        }
    }

    // Records a SYN-ACK that passes the side process on its way from the backend server.
    fn record_syn_ack(&mut self, host: usize) {
        let side = &mut self.sides[host];
        if side.record != FlowRecord::Owned {
            side.record = FlowRecord::SynAckSent;
        }
    }

    // Returns the state of the flow as an argument for the verdict functions of the core crate.
    fn knowledge(&self, host: usize, mutation: PassthroughMutation) -> FlowKnowledge {
        let side = self.sides[host];
        match side.record {
            FlowRecord::Owned => FlowKnowledge::Owned,
            FlowRecord::HalfOpen if mutation == PassthroughMutation::HalfOpenOwns => {
                FlowKnowledge::Owned
            }
            FlowRecord::HalfOpen => FlowKnowledge::HalfOpen,
            FlowRecord::SynAckSent
                if self.owner == Some(host) || mutation == PassthroughMutation::AnySynAckOwns =>
            {
                FlowKnowledge::Owned
            }
            FlowRecord::SynAckSent => FlowKnowledge::OpenedElsewhere,
            FlowRecord::Queried | FlowRecord::NotOwned
                if mutation == PassthroughMutation::RepeatedQueries =>
            {
                FlowKnowledge::Unverified
            }
            FlowRecord::Queried => FlowKnowledge::Queried,
            FlowRecord::NotOwned => FlowKnowledge::NotOwned,
            FlowRecord::Empty if side.may_miss_flow && mutation != PassthroughMutation::NoQuery => {
                FlowKnowledge::Unverified
            }
            FlowRecord::Empty => FlowKnowledge::NotOwned,
        }
    }

    // Applies the verdict of the side process on a data packet.
    fn judge(&mut self, host: usize, more_hops: bool, mutation: PassthroughMutation) {
        let knowledge = self.knowledge(host, mutation);
        let arrival = PassthroughArrival {
            more_hops,
            complete: true,
        };
        match judge_data(knowledge, arrival) {
            PassthroughVerdict::Deliver => {
                self.sides[host].record = FlowRecord::Owned;
                self.deliver(host, more_hops);
            }
            PassthroughVerdict::QueryBackend => {
                self.sides[host].record = FlowRecord::Queried;
                self.deliver(host, more_hops);
            }
            _ => {
                self.owner_passed_on_unqueried |=
                    self.owner == Some(host) && self.sides[host].record == FlowRecord::Empty;
                self.pass_on(host, more_hops);
            }
        }
    }

    // Delivers a data packet to the backend server, which returns it if it does not own the flow.
    fn deliver(&mut self, host: usize, more_hops: bool) {
        if self.owner == Some(host) {
            self.backend_flows[host] = BackendFlow::Established;
            self.messages.insert(Message::Acknowledged(host));
        } else {
            self.sides[host].foreign_packets += 1;
            self.messages.insert(Message::Returned {
                from: host,
                more_hops,
            });
        }
    }

    // Sends a data packet to the other host if it has not visited both.
    fn pass_on(&mut self, from: usize, more_hops: bool) {
        if more_hops {
            self.messages.insert(Message::Packet {
                host: 1 - from,
                more_hops: false,
            });
        }
    }
}

fn step(label: String, state: PassthroughSpec) -> SpecStep<PassthroughSpec> {
    SpecStep { label, state }
}
