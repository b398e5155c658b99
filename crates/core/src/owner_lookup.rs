//! Searches for flows that no host of a walk owned.
//!
//! A walk visits the hosts of a flow's bucket. A host that fell out of them may
//! still own the flow, and after a crash nobody does. So when a flow's packets walked
//! in vain, the entry VM asks every host of the firm by the flow's key: its address may
//! have been another service's when it began. A host that owns it is remembered. If
//! each is certain that it does not hold it, since it watched its backend server from
//! the start or was told by it, the flow's backend server lives no more. A host that
//! has not said a word for long is out of reach for the flow's packets as well: it is
//! asked, but if it stays silent once more its word is not needed.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::flow::{FlowKey, TcpSegment};
use crate::host_tracker::SUSPECT_AFTER;
use crate::units::TimePoint;

/// Questions that an entry VM asks in a second, so that a fleet full of lost flows
/// leaves the smallest ones, with a tenth of a core, time for packets.
pub const LOOKUP_QUERIES_PER_SECOND: u64 = 500;

/// Questions that may be saved up: two searches among the hosts of a large firm.
const LOOKUP_QUERY_BURST: u64 = 2 * MAX_LOOKUP_HOSTS as u64;

/// Time for hosts to answer. Callers send again after 200 ms at the earliest, and
/// the answers of one search belong together.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// A host that left so many searches in a row unanswered, the first of them at least
/// [`UNREACHABLE_AFTER`] ago, is lost.
pub const UNREACHABLE_AFTER_LOOKUPS: u32 = 3;

/// See [`UNREACHABLE_AFTER_LOOKUPS`]. After the same time keepers suspect a silent host.
pub const UNREACHABLE_AFTER: Duration = SUSPECT_AFTER;

/// If more than one host in this many is lost, this entry VM takes itself for cut
/// off, and needs the word of all.
const CUT_OFF_DIVISOR: usize = 2;

/// Most flows in one question, by the size of a datagram's header.
pub const MAX_FLOWS_PER_QUERY: usize = 16;

/// Firms of more hosts are not searched: a question for each would cost more than
/// the flow.
pub const MAX_LOOKUP_HOSTS: usize = 256;

/// What a host says of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipReply {
    /// Its backend server holds the flow, or has just ended it.
    Owned,
    /// Its backend server does not hold the flow, for certain.
    NotOwned,
    /// It can't tell.
    Unknown,
}

/// How a search ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupResult {
    /// This host owns the flow.
    Found(SocketAddrV4),
    /// No host owns the flow. The facts are those of its packet.
    NotFound(TcpSegment),
    /// Some hosts could not tell or did not answer.
    Incomplete(IncompleteLookup),
}

/// What is missing for the end of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncompleteLookup {
    /// Hosts that could not tell.
    pub unsure: usize,
    /// Hosts that did not answer and are not lost.
    pub silent: usize,
    /// One of them.
    pub silent_host: Option<SocketAddrV4>,
}

/// One question: flows that a host is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupQuery {
    /// The host.
    pub host: SocketAddrV4,
    /// The flows.
    pub flows: Vec<FlowKey>,
}

#[derive(Debug)]
struct OwnerLookup {
    segment: TcpSegment,
    hosts: Vec<SocketAddrV4>,
    // Hosts that are certain not to hold the flow.
    cleared: Vec<SocketAddrV4>,
    unsure: Vec<SocketAddrV4>,
    began: TimePoint,
    asked: bool,
}

#[derive(Debug, Clone, Copy)]
struct HostSilence {
    since: TimePoint,
    missed: u32,
}

impl OwnerLookup {
    fn silent_hosts(&self) -> impl Iterator<Item = &SocketAddrV4> {
        self.hosts
            .iter()
            .filter(|host| !self.cleared.contains(host) && !self.unsure.contains(host))
    }

    // How it ends when its time is over; `lost` are hosts whose word is not needed.
    fn end(&self, lost: &[SocketAddrV4]) -> LookupResult {
        let missing = || self.silent_hosts().filter(|host| !lost.contains(host));
        let open = IncompleteLookup {
            unsure: self.unsure.len(),
            silent: missing().count(),
            silent_host: missing().next().copied(),
        };
        if open.unsure == 0 && open.silent == 0 {
            LookupResult::NotFound(self.segment)
        } else {
            LookupResult::Incomplete(open)
        }
    }
}

/// The searches of an entry VM.
#[derive(Debug, Default)]
pub struct OwnerLookups {
    lookups: HashMap<FlowKey, OwnerLookup>,
    silences: HashMap<SocketAddrV4, HostSilence>,
    ended: Vec<(FlowKey, LookupResult)>,
    // Questions that may be asked, in thousandths.
    allowance: u64,
    allowed: TimePoint,
}

impl OwnerLookups {
    /// Searches that are under way.
    pub fn len(&self) -> usize {
        self.lookups.len()
    }

    /// Whether none is under way or has an end to be taken.
    pub fn is_empty(&self) -> bool {
        self.lookups.is_empty() && self.ended.is_empty()
    }

    /// Begins a search of the flow of this packet among `hosts`. One that is under
    /// way goes on.
    pub fn begin(&mut self, segment: &TcpSegment, hosts: Vec<SocketAddrV4>, now: TimePoint) {
        self.expire(now);
        let known = self.lookups.contains_key(&segment.key);
        if known || hosts.is_empty() || !self.spend(hosts.len(), now) {
            return;
        }
        let lookup = OwnerLookup {
            segment: *segment,
            cleared: Vec::with_capacity(hosts.len()),
            unsure: Vec::new(),
            hosts,
            began: now,
            asked: false,
        };
        self.lookups.insert(segment.key, lookup);
    }

    // Takes questions off the allowance, if there are so many.
    fn spend(&mut self, questions: usize, now: TimePoint) -> bool {
        const THOUSANDTHS: u64 = 1_000;
        let earned = now.since(self.allowed).as_millis() as u64 * LOOKUP_QUERIES_PER_SECOND;
        self.allowed = now;
        self.allowance = (self.allowance + earned).min(LOOKUP_QUERY_BURST * THOUSANDTHS);
        let cost = questions as u64 * THOUSANDTHS;
        let enough = questions <= MAX_LOOKUP_HOSTS && self.allowance >= cost;
        if enough {
            self.allowance -= cost;
        }
        enough
    }

    /// Notes that a host sent something.
    pub fn record_activity(&mut self, host: SocketAddrV4) {
        self.silences.remove(&host);
    }

    fn is_lost(&self, host: SocketAddrV4, now: TimePoint) -> bool {
        self.silences.get(&host).is_some_and(|silence| {
            silence.missed >= UNREACHABLE_AFTER_LOOKUPS
                && now.since(silence.since) >= UNREACHABLE_AFTER
        })
    }

    // Ends searches that had their time, and notes who did not answer.
    fn expire(&mut self, now: TimePoint) {
        let over: Vec<FlowKey> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| now.since(lookup.began) >= LOOKUP_TIMEOUT)
            .map(|(key, _)| *key)
            .collect();
        for key in over {
            let Some(lookup) = self.lookups.remove(&key) else {
                continue;
            };
            let silent = lookup.silent_hosts().copied();
            let mut lost: Vec<_> = silent.filter(|host| self.is_lost(*host, now)).collect();
            if lost.len() > lookup.hosts.len() / CUT_OFF_DIVISOR {
                lost.clear();
            }
            self.ended.push((key, lookup.end(&lost)));
            for host in lookup.silent_hosts() {
                let silence = self.silences.entry(*host).or_insert(HostSilence {
                    since: lookup.began,
                    missed: 0,
                });
                silence.missed += 1;
            }
        }
    }

    /// Searches that ended by time since the last call.
    pub fn take_ended(&mut self, now: TimePoint) -> Vec<(FlowKey, LookupResult)> {
        self.expire(now);
        std::mem::take(&mut self.ended)
    }

    /// Questions that were not asked yet, put together for each host.
    pub fn take_queries(&mut self) -> Vec<LookupQuery> {
        let mut batches: HashMap<SocketAddrV4, Vec<FlowKey>> = HashMap::new();
        for (key, lookup) in &mut self.lookups {
            if std::mem::replace(&mut lookup.asked, true) {
                continue;
            }
            for host in &lookup.hosts {
                batches.entry(*host).or_default().push(*key);
            }
        }
        let mut questions = Vec::new();
        for (host, flows) in batches {
            questions.extend(flows.chunks(MAX_FLOWS_PER_QUERY).map(|flows| LookupQuery {
                host,
                flows: flows.to_vec(),
            }));
        }
        questions
    }

    /// Notes what a host said of a flow. Returns how the search ended, if it did before
    /// its time.
    pub fn record_reply(
        &mut self,
        key: FlowKey,
        host: SocketAddrV4,
        word: OwnershipReply,
        now: TimePoint,
    ) -> Option<LookupResult> {
        let lookup = self.lookups.get_mut(&key)?;
        let late = now.since(lookup.began) >= LOOKUP_TIMEOUT;
        if late || !lookup.hosts.contains(&host) {
            return None;
        }
        match word {
            OwnershipReply::Owned => {
                self.lookups.remove(&key);
                Some(LookupResult::Found(host))
            }
            OwnershipReply::Unknown => {
                lookup.unsure.push(host);
                None
            }
            OwnershipReply::NotOwned => {
                if !lookup.cleared.contains(&host) {
                    lookup.cleared.push(host);
                }
                if lookup.cleared.len() < lookup.hosts.len() {
                    return None;
                }
                let lookup = self.lookups.remove(&key)?;
                Some(LookupResult::NotFound(lookup.segment))
            }
        }
    }
}
