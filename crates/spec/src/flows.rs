//! Specification of flows: entry VMs and hosts with different rosters, SYNs
//! and data in any order, lost and repeated.
//!
//! Three hosts, two entry VMs, one caller with one flow. The roster changes
//! four times: a host joins, another one leaves, one falls out of the ranking
//! and is known as a holder. Verdicts are the core's own. The caller's first
//! two SYNs may be taken by two hosts.
//!
//! Time is left out but for one thing: a flow counts as long in doubt when
//! every entry VM and host has at least the newest roster of the moment the
//! doubt began. That is what the length of the doubt is chosen for.

use std::collections::BTreeSet;

use chestnutlb_core::FlowState;
use chestnutlb_core::ownership::{PacketVerdict, VerdictInputs, is_acknowledged, judge_packet};

use crate::checker::SpecStep;

/// Packets under way at once.
const MAX_PACKETS: usize = 2;
/// SYNs of the caller.
const MAX_SYNS: u8 = 2;
/// Hosts.
const HOSTS: usize = 3;
/// Entry VMs.
const ENTRIES: usize = 2;

/// A guard that is taken out, to see that the search finds out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FlowMutation {
    /// All guards are in place.
    None,
    /// A half-open flow takes any acknowledgement.
    AnyAcknowledgement,
    /// A reset needs no doubt.
    NoDoubt,
    /// A reset looks only at the plan, not at what the host knows.
    PlanIsProof,
    /// A leaving host takes SYNs.
    LeavingTakes,
    /// Hosts that fell out of the ranking are not walked to.
    HoldersForgotten,
}

/// A roster: who is a candidate, in order, who holds old flows, who leaves.
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
    // Host 2 joins and ranks first; a chain has two places, so host 1 falls out.
    RosterSpec {
        candidates: &[2, 0],
        holders: &[1],
        leaving: &[],
    },
    RosterSpec {
        candidates: &[2, 0],
        holders: &[1],
        leaving: &[2],
    },
    RosterSpec {
        candidates: &[2, 1],
        holders: &[0],
        leaving: &[2],
    },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum PacketKind {
    Syn,
    /// Acknowledges the first number of this host's answer.
    Data(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PacketSpec {
    kind: PacketKind,
    roster: u8,
    position: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct HostSpec {
    roster: u8,
    flow: Option<FlowState>,
    doubt: Option<u8>,
}

/// A state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FlowSpec {
    newest: u8,
    entries: [u8; ENTRIES],
    hosts: [HostSpec; HOSTS],
    packets: BTreeSet<PacketSpec>,
    syns: u8,
    /// Answers to SYNs that the caller has not seen.
    answers: BTreeSet<u8>,
    /// The host whose answer the caller took.
    taken: Option<u8>,
    reset_while_open: bool,
    taken_while_leaving: bool,
}

impl FlowSpec {
    /// The state before anything happened.
    pub fn start() -> Self {
        let host = HostSpec {
            roster: 0,
            flow: None,
            doubt: None,
        };
        Self {
            newest: 0,
            entries: [0; ENTRIES],
            hosts: [host; HOSTS],
            packets: BTreeSet::new(),
            syns: 0,
            answers: BTreeSet::new(),
            taken: None,
            reset_while_open: false,
            taken_while_leaving: false,
        }
    }

    /// The flow is open at one host at most.
    pub fn one_owner(&self) -> bool {
        let open = |host: &&HostSpec| host.flow == Some(FlowState::Open);
        self.hosts.iter().filter(open).count() <= 1
    }

    /// No planned change resets an open flow.
    pub fn never_reset(&self) -> bool {
        !self.reset_while_open
    }

    /// A host that leaves takes no flow.
    pub fn leaving_takes_none(&self) -> bool {
        !self.taken_while_leaving
    }

    /// With every entry VM at the newest roster, its plan has the owner.
    pub fn owner_in_plan(&self, mutation: FlowMutation) -> bool {
        let owner = self
            .hosts
            .iter()
            .position(|host| host.flow == Some(FlowState::Open));
        let spread = self.entries.iter().all(|roster| *roster == self.newest);
        match owner {
            Some(owner) if spread => {
                walk(self.newest, PacketKind::Data(0), mutation).contains(&(owner as u8))
            }
            _ => true,
        }
    }

    fn leaves(&self, host: u8) -> bool {
        ROSTERS[usize::from(self.newest)].leaving.contains(&host)
    }

    fn doubted_long(&self, host: u8) -> bool {
        self.hosts[usize::from(host)].doubt.is_some_and(|doubt| {
            self.entries.iter().all(|roster| *roster >= doubt)
                && self.hosts.iter().all(|other| other.roster >= doubt)
        })
    }

    /// Everything that can happen next.
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
                    format!("entry {entry} hears of roster {}", state.entries[entry]),
                    state,
                );
            }
        }
        for host in 0..HOSTS {
            if self.hosts[host].roster < self.newest {
                let mut state = self.clone();
                state.hosts[host].roster += 1;
                add(
                    format!("host {host} hears of roster {}", state.hosts[host].roster),
                    state,
                );
            }
        }
        for answer in &self.answers {
            let mut state = self.clone();
            state.answers.remove(answer);
            state.taken.get_or_insert(*answer);
            add(
                format!("the caller sees the answer of host {answer}"),
                state,
            );
        }
        self.send(&mut add);
        for packet in &self.packets {
            self.arrive(*packet, mutation, &mut add);
        }
        steps
    }

    fn send(&self, add: &mut impl FnMut(String, Self)) {
        if self.packets.len() >= MAX_PACKETS {
            return;
        }
        for (entry, roster) in self.entries.iter().enumerate() {
            let kind = match self.taken {
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

    // The packet arrives and is gone; it may also arrive and stay, as one that
    // was sent twice does.
    fn arrive(
        &self,
        packet: PacketSpec,
        mutation: FlowMutation,
        add: &mut impl FnMut(String, Self),
    ) {
        let plan = walk(packet.roster, packet.kind, mutation);
        let Some(host) = plan.get(usize::from(packet.position)).copied() else {
            let mut state = self.clone();
            state.packets.remove(&packet);
            return add(format!("{:?} has no hop", packet.kind), state);
        };
        let mut lost = self.clone();
        lost.packets.remove(&packet);
        let (verdict, mut state) = self.judge(packet, host, &plan, mutation);
        state.packets.remove(&packet);
        let mut passed = None;
        if verdict == PacketVerdict::PassOn {
            passed = Some(PacketSpec {
                position: packet.position + 1,
                ..packet
            });
            state.packets.extend(passed);
        }
        let label = format!("host {host} judges {:?}: {verdict:?}", packet.kind);
        add(label.clone(), state.clone());
        state.packets.insert(packet);
        if state.packets.len() <= MAX_PACKETS && passed != Some(packet) {
            add(format!("{label}, and another copy stays"), state);
        }
        add(
            format!("{:?} is lost before host {host}", packet.kind),
            lost,
        );
    }

    fn judge(
        &self,
        packet: PacketSpec,
        host: u8,
        plan: &[u8],
        mutation: FlowMutation,
    ) -> (PacketVerdict, Self) {
        let mut state = self.clone();
        let own = self.hosts[usize::from(host)];
        let number = match packet.kind {
            PacketKind::Syn => None,
            PacketKind::Data(other) => Some(first_number(other) + 1),
        };
        let first = first_number(host);
        let owned = own.flow.is_some_and(|flow| {
            (mutation == FlowMutation::AnyAcknowledgement)
                || is_acknowledged(flow, first, first + 1, number)
        });
        let leaves = self.leaves(host);
        let knows = ROSTERS[usize::from(own.roster)];
        let proved = mutation == FlowMutation::PlanIsProof
            || knows
                .candidates
                .iter()
                .chain(knows.holders)
                .all(|known| plan.contains(known));
        let more_hops = usize::from(packet.position) + 1 < plan.len();
        let facts = VerdictInputs {
            owned,
            is_syn: packet.kind == PacketKind::Syn,
            is_rst: false,
            accepts: !leaves || mutation == FlowMutation::LeavingTakes,
            more_hops,
            may_reset: false,
        };
        let mut verdict = judge_packet(facts);
        if let PacketVerdict::Drop(_) = verdict
            && proved
        {
            let long = mutation == FlowMutation::NoDoubt || self.doubted_long(host);
            state.hosts[usize::from(host)]
                .doubt
                .get_or_insert(self.newest);
            verdict = judge_packet(VerdictInputs {
                may_reset: long,
                ..facts
            });
        }
        state.take_verdict(verdict, packet, host, leaves);
        (verdict, state)
    }

    fn take_verdict(&mut self, verdict: PacketVerdict, packet: PacketSpec, host: u8, leaves: bool) {
        let flow = &mut self.hosts[usize::from(host)].flow;
        match (verdict, packet.kind) {
            (PacketVerdict::Open, _) => {
                *flow = Some(FlowState::Opening);
                self.answers.insert(host);
                self.taken_while_leaving |= leaves;
            }
            (PacketVerdict::Deliver, PacketKind::Data(_)) => *flow = Some(FlowState::Open),
            (PacketVerdict::Deliver, PacketKind::Syn) => {
                self.answers.insert(host);
            }
            (PacketVerdict::Reset, PacketKind::Data(_)) => {
                let open = |host: &HostSpec| host.flow == Some(FlowState::Open);
                self.reset_while_open |= self.hosts.iter().any(open);
            }
            _ => {}
        }
    }
}

// Far enough apart that no host's number lies in the window of another's.
fn first_number(host: u8) -> u32 {
    u32::from(host) * (1 << 24)
}

fn walk(roster: u8, kind: PacketKind, mutation: FlowMutation) -> Vec<u8> {
    let roster = ROSTERS[usize::from(roster)];
    let mut plan = roster.candidates.to_vec();
    match kind {
        PacketKind::Syn if mutation != FlowMutation::LeavingTakes => {
            plan.retain(|host| !roster.leaving.contains(host));
        }
        PacketKind::Syn => {}
        PacketKind::Data(_) if mutation == FlowMutation::HoldersForgotten => {}
        PacketKind::Data(_) => plan.extend(roster.holders),
    }
    plan
}
