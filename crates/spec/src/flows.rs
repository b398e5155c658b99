//! Model of flows: entry VMs and hosts with different rosters; SYNs and data packets in any order,
//! lost and duplicated.
//!
//! Three hosts, two entry VMs, and one caller with one flow. There are four rosters in succession:
//! host 2 joins, then leaves, and then the ranking changes. A host that drops out of the ranking is
//! listed as a holder of old flows. The verdicts are those of the core crate. The caller's two
//! SYNs may open the flow at two hosts. Failures of hosts are not modelled.
//!
//! Time is not modelled, except that a flow counts as unowned long enough once every entry VM and
//! host has at least the roster that was the newest when the flow was first found without an
//! owner. The grace period of the implementation is chosen long enough for this.

use std::collections::BTreeSet;

use chestnutlb_core::FlowState;
use chestnutlb_core::ownership::{PacketVerdict, VerdictInputs, is_acknowledged, judge_packet};

use crate::checker::SpecStep;

/// Maximum number of packets in flight.
const MAX_PACKETS: usize = 2;
/// Maximum number of SYNs of the caller.
const MAX_SYNS: u8 = 2;
/// Number of hosts.
const HOSTS: usize = 3;
/// Number of entry VMs.
const ENTRIES: usize = 2;

/// Mutation of the model: the guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FlowMutation {
    /// All guards are in place.
    None,
    /// A half-open flow accepts any acknowledgement number.
    AnyAcknowledgement,
    /// A flow is reset as soon as no owner is found, without a grace period.
    ImmediateReset,
    /// A reset does not require that the packet's plan includes all hosts of the host's own roster.
    AnyPlanIsComplete,
    /// A leaving host accepts SYNs.
    LeavingAccepts,
    /// Hosts that dropped out of the ranking are not on the walk.
    HoldersOmitted,
}

/// A roster: the candidates in order of rank, the other hosts that hold old flows, and the leaving
/// hosts.
#[derive(Debug, Clone, Copy)]
struct RosterSpec {
    candidates: &'static [u8],
    holders: &'static [u8],
    leaving: &'static [u8],
}

const ROSTERS: [RosterSpec; 4] = [
    RosterSpec {
        candidates: &[0, 1],
        holders: &[],
        leaving: &[],
    },
    // Host 2 joins and ranks first. The chain is limited to two hosts here, so host 1 drops out.
    RosterSpec {
        candidates: &[2, 0],
        holders: &[1],
        leaving: &[],
    },
    // Host 2 leaves.
    RosterSpec {
        candidates: &[2, 0],
        holders: &[1],
        leaving: &[2],
    },
    // Host 1 ranks before host 0, which drops out.
    RosterSpec {
        candidates: &[2, 1],
        holders: &[0],
        leaving: &[2],
    },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum PacketKind {
    Syn,
    /// Data packet that acknowledges the SYN-ACK of this host.
    Data(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PacketSpec {
    kind: PacketKind,
    /// Roster that the hops are chosen from.
    roster: u8,
    /// Index of the next hop.
    position: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct HostSpec {
    /// Newest roster that the host has received.
    roster: u8,
    /// State of the flow at this host, or `None` if the host has no record of it.
    flow: Option<FlowState>,
    /// Newest roster in existence when the host first found the flow without an owner.
    unowned_since: Option<u8>,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FlowSpec {
    /// Newest roster in existence.
    newest: u8,
    /// Newest roster that each entry VM has received.
    entries: [u8; ENTRIES],
    hosts: [HostSpec; HOSTS],
    packets: BTreeSet<PacketSpec>,
    /// Number of SYNs that the caller sent.
    syns: u8,
    /// Hosts whose SYN-ACK is in flight to the caller.
    syn_acks: BTreeSet<u8>,
    /// Host whose SYN-ACK the caller accepted.
    caller_host: Option<u8>,
    /// Whether a reset was sent while a host had the flow open.
    reset_while_open: bool,
    /// Whether a leaving host opened the flow.
    opened_while_leaving: bool,
}

impl FlowSpec {
    /// Returns the initial state, in which the caller has sent nothing.
    pub fn start() -> Self {
        let host = HostSpec {
            roster: 0,
            flow: None,
            unowned_since: None,
        };
        Self {
            newest: 0,
            entries: [0; ENTRIES],
            hosts: [host; HOSTS],
            packets: BTreeSet::new(),
            syns: 0,
            syn_acks: BTreeSet::new(),
            caller_host: None,
            reset_while_open: false,
            opened_while_leaving: false,
        }
    }

    /// Returns whether the flow is open at no more than one host.
    pub fn at_most_one_owner(&self) -> bool {
        let open = |host: &&HostSpec| host.flow == Some(FlowState::Open);
        self.hosts.iter().filter(open).count() <= 1
    }

    /// Returns whether no reset was sent while the flow was open at a host.
    pub fn no_open_flow_is_reset(&self) -> bool {
        !self.reset_while_open
    }

    /// Returns whether no leaving host has opened the flow.
    pub fn leaving_host_opens_no_flow(&self) -> bool {
        !self.opened_while_leaving
    }

    /// Returns whether the walk of the newest roster includes the owner, or some entry VM has an
    /// older roster.
    pub fn owner_is_on_walk(&self, mutation: FlowMutation) -> bool {
        let owner = self
            .hosts
            .iter()
            .position(|host| host.flow == Some(FlowState::Open));
        let entries_are_current = self.entries.iter().all(|roster| *roster == self.newest);
        match owner {
            Some(owner) if entries_are_current => {
                packet_plan(self.newest, PacketKind::Data(0), mutation).contains(&(owner as u8))
            }
            _ => true,
        }
    }

    // Returns whether the host is leaving. A leaving host stops accepting flows before it receives
    // the roster that lists it as leaving.
    fn is_leaving(&self, host: u8) -> bool {
        ROSTERS[usize::from(self.newest)].leaving.contains(&host)
    }

    // Returns whether all entry VMs and hosts have received the roster that was the newest when the
    // host first found the flow without an owner.
    fn is_unowned_long_enough(&self, host: u8) -> bool {
        self.hosts[usize::from(host)]
            .unowned_since
            .is_some_and(|unowned_since| {
                self.entries.iter().all(|roster| *roster >= unowned_since)
                    && self.hosts.iter().all(|other| other.roster >= unowned_since)
            })
    }

    /// Returns all possible next steps.
    pub fn next(&self, mutation: FlowMutation) -> Vec<SpecStep<Self>> {
        let mut steps = Vec::new();
        let mut add = |label: String, state: Self| steps.push(SpecStep { label, state });
        if usize::from(self.newest) + 1 < ROSTERS.len() {
            let mut state = self.clone();
            state.newest += 1;
            add(format!("roster {}", state.newest), state);
        }
        for entry in 0..ENTRIES {
            if self.entries[entry] < self.newest {
                let mut state = self.clone();
                state.entries[entry] += 1;
                add(
                    format!("entry {entry} receives roster {}", state.entries[entry]),
                    state,
                );
            }
        }
        for host in 0..HOSTS {
            if self.hosts[host].roster < self.newest {
                let mut state = self.clone();
                state.hosts[host].roster += 1;
                add(
                    format!("host {host} receives roster {}", state.hosts[host].roster),
                    state,
                );
            }
        }
        for host in &self.syn_acks {
            let mut state = self.clone();
            state.syn_acks.remove(host);
            state.caller_host.get_or_insert(*host);
            add(
                format!("the caller receives the SYN-ACK of host {host}"),
                state,
            );
        }
        self.send_steps(&mut add);
        for packet in &self.packets {
            self.arrival_steps(*packet, mutation, &mut add);
        }
        steps
    }

    // Adds, for each entry VM, the step in which it forwards the caller's next packet.
    fn send_steps(&self, add: &mut impl FnMut(String, Self)) {
        if self.packets.len() >= MAX_PACKETS {
            return;
        }
        for (entry, roster) in self.entries.iter().enumerate() {
            let kind = match self.caller_host {
                None if self.syns < MAX_SYNS => PacketKind::Syn,
                None => continue,
                Some(host) => PacketKind::Data(host),
            };
            let mut state = self.clone();
            state.syns += u8::from(kind == PacketKind::Syn);
            state.packets.insert(PacketSpec {
                kind,
                roster: *roster,
                position: 0,
            });
            add(
                format!("entry {entry} forwards {kind:?} by roster {roster}"),
                state,
            );
        }
    }

    // Adds the arrival of the packet at its next hop, the arrival of a duplicate while the packet
    // stays in flight, and the loss of the packet.
    fn arrival_steps(
        &self,
        packet: PacketSpec,
        mutation: FlowMutation,
        add: &mut impl FnMut(String, Self),
    ) {
        let plan = packet_plan(packet.roster, packet.kind, mutation);
        let Some(host) = plan.get(usize::from(packet.position)).copied() else {
            let mut state = self.clone();
            state.packets.remove(&packet);
            return add(format!("{:?} has no hop", packet.kind), state);
        };
        let mut lost = self.clone();
        lost.packets.remove(&packet);
        let (verdict, mut state) = self.judge(packet, host, &plan, mutation);
        state.packets.remove(&packet);
        let mut passed_on = None;
        if verdict == PacketVerdict::NextHop {
            passed_on = Some(PacketSpec {
                position: packet.position + 1,
                ..packet
            });
            state.packets.extend(passed_on);
        }
        let label = format!("host {host} judges {:?}: {verdict:?}", packet.kind);
        add(label.clone(), state.clone());
        state.packets.insert(packet);
        if state.packets.len() <= MAX_PACKETS && passed_on != Some(packet) {
            add(format!("{label}, and a duplicate stays in flight"), state);
        }
        add(
            format!("{:?} is lost before host {host}", packet.kind),
            lost,
        );
    }

    // Returns the verdict of the host on the packet, and the state after it.
    fn judge(
        &self,
        packet: PacketSpec,
        host: u8,
        plan: &[u8],
        mutation: FlowMutation,
    ) -> (PacketVerdict, Self) {
        let mut state = self.clone();
        let host_state = self.hosts[usize::from(host)];
        let acknowledgement = match packet.kind {
            PacketKind::Syn => None,
            PacketKind::Data(acknowledged) => Some(initial_sequence(acknowledged) + 1),
        };
        let initial = initial_sequence(host);
        let owned = host_state.flow.is_some_and(|flow| {
            (mutation == FlowMutation::AnyAcknowledgement)
                || is_acknowledged(flow, initial, initial + 1, acknowledgement)
        });
        let is_leaving = self.is_leaving(host);
        let host_roster = ROSTERS[usize::from(host_state.roster)];
        let plan_is_complete = mutation == FlowMutation::AnyPlanIsComplete
            || host_roster
                .candidates
                .iter()
                .chain(host_roster.holders)
                .all(|listed| plan.contains(listed));
        let more_hops = usize::from(packet.position) + 1 < plan.len();
        let inputs = VerdictInputs {
            owned,
            is_syn: packet.kind == PacketKind::Syn,
            is_rst: false,
            accepts: !is_leaving || mutation == FlowMutation::LeavingAccepts,
            more_hops,
            may_reset: false,
        };
        let mut verdict = judge_packet(inputs);
        if let PacketVerdict::Drop(_) = verdict
            && plan_is_complete
        {
            let grace_elapsed =
                mutation == FlowMutation::ImmediateReset || self.is_unowned_long_enough(host);
            state.hosts[usize::from(host)]
                .unowned_since
                .get_or_insert(self.newest);
            verdict = judge_packet(VerdictInputs {
                may_reset: grace_elapsed,
                ..inputs
            });
        }
        state.apply_verdict(verdict, packet, host, is_leaving);
        (verdict, state)
    }

    fn apply_verdict(
        &mut self,
        verdict: PacketVerdict,
        packet: PacketSpec,
        host: u8,
        is_leaving: bool,
    ) {
        let flow = &mut self.hosts[usize::from(host)].flow;
        match (verdict, packet.kind) {
            (PacketVerdict::Open, _) => {
                *flow = Some(FlowState::Opening);
                self.syn_acks.insert(host);
                self.opened_while_leaving |= is_leaving;
            }
            (PacketVerdict::Deliver, PacketKind::Data(_)) => *flow = Some(FlowState::Open),
            (PacketVerdict::Deliver, PacketKind::Syn) => {
                self.syn_acks.insert(host);
            }
            (PacketVerdict::Reset, PacketKind::Data(_)) => {
                let open = |host: &HostSpec| host.flow == Some(FlowState::Open);
                self.reset_while_open |= self.hosts.iter().any(open);
            }
            _ => {}
        }
    }
}

// Initial sequence number of the host's SYN-ACK. The numbers are far enough apart that none lies in
// the acknowledgement window of another host.
fn initial_sequence(host: u8) -> u32 {
    u32::from(host) * (1 << 24)
}

// Returns the plan of a packet: the candidates and, for a data packet, the holders of old flows.
// A SYN does not visit leaving hosts.
fn packet_plan(roster: u8, kind: PacketKind, mutation: FlowMutation) -> Vec<u8> {
    let roster = ROSTERS[usize::from(roster)];
    let mut plan = roster.candidates.to_vec();
    match kind {
        PacketKind::Syn if mutation != FlowMutation::LeavingAccepts => {
            plan.retain(|host| !roster.leaving.contains(host));
        }
        PacketKind::Syn => {}
        PacketKind::Data(_) if mutation == FlowMutation::HoldersOmitted => {}
        PacketKind::Data(_) => plan.extend(roster.holders),
    }
    plan
}
