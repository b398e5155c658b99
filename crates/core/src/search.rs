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

use crate::flow::{FlowKey, SegmentFacts};
use crate::keeper::SUSPECT_AFTER;
use crate::units::TimePoint;

/// Questions that an entry VM asks in a second, so that a fleet full of lost flows
/// leaves the smallest ones, with a tenth of a core, time for packets.
pub const QUESTION_RATE: u64 = 500;

/// Questions that may be saved up: two searches among the hosts of a large firm.
const QUESTION_BURST: u64 = 2 * SEARCHED_HOSTS as u64;

/// Time for hosts to answer. Callers send again after 200 ms at the earliest, and
/// the answers of one search belong together.
pub const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);

/// A host that left so many searches in a row unanswered, the first of them at least
/// [`LOST_AFTER`] ago, is lost.
pub const LOST_SEARCHES: u32 = 3;

/// See [`LOST_SEARCHES`]. After the same time keepers suspect a silent host.
pub const LOST_AFTER: Duration = SUSPECT_AFTER;

/// If more than one host in this many is lost, this entry VM takes itself for cut
/// off, and needs the word of all.
const CUT_OFF_DIVISOR: usize = 2;

/// Most flows in one question, by the size of a datagram's header.
pub const QUESTION_FLOWS: usize = 16;

/// Firms of more hosts are not searched: a question for each would cost more than
/// the flow.
pub const SEARCHED_HOSTS: usize = 256;

/// What a host says of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowWord {
    /// Its backend server holds the flow, or has just ended it.
    Here,
    /// Its backend server does not hold the flow, for certain.
    Never,
    /// It can't tell.
    Unsure,
}

/// How a search ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchEnd {
    /// This host owns the flow.
    Found(SocketAddrV4),
    /// No host owns the flow. The facts are those of its packet.
    NotFound(SegmentFacts),
    /// Some hosts could not tell or did not answer.
    Open(OpenSearch),
}

/// What is missing for the end of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenSearch {
    /// Hosts that could not tell.
    pub unsure: usize,
    /// Hosts that did not answer and are not lost.
    pub silent: usize,
    /// One of them.
    pub silent_host: Option<SocketAddrV4>,
}

/// One question: flows that a host is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowQuestion {
    /// The host.
    pub host: SocketAddrV4,
    /// The flows.
    pub flows: Vec<FlowKey>,
}

#[derive(Debug)]
struct FlowSearch {
    segment: SegmentFacts,
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

impl FlowSearch {
    fn silent_hosts(&self) -> impl Iterator<Item = &SocketAddrV4> {
        self.hosts
            .iter()
            .filter(|host| !self.cleared.contains(host) && !self.unsure.contains(host))
    }

    // How it ends when its time is over; `lost` are hosts whose word is not needed.
    fn end(&self, lost: &[SocketAddrV4]) -> SearchEnd {
        let missing = || self.silent_hosts().filter(|host| !lost.contains(host));
        let open = OpenSearch {
            unsure: self.unsure.len(),
            silent: missing().count(),
            silent_host: missing().next().copied(),
        };
        if open.unsure == 0 && open.silent == 0 {
            SearchEnd::NotFound(self.segment)
        } else {
            SearchEnd::Open(open)
        }
    }
}

/// The searches of an entry VM.
#[derive(Debug, Default)]
pub struct FlowSearches {
    searches: HashMap<FlowKey, FlowSearch>,
    silences: HashMap<SocketAddrV4, HostSilence>,
    ended: Vec<(FlowKey, SearchEnd)>,
    // Questions that may be asked, in thousandths.
    allowance: u64,
    allowed: TimePoint,
}

impl FlowSearches {
    /// Searches that are under way.
    pub fn len(&self) -> usize {
        self.searches.len()
    }

    /// Whether none is under way or has an end to be taken.
    pub fn is_empty(&self) -> bool {
        self.searches.is_empty() && self.ended.is_empty()
    }

    /// Begins a search of the flow of this packet among `hosts`. One that is under
    /// way goes on.
    pub fn begin(&mut self, segment: &SegmentFacts, hosts: Vec<SocketAddrV4>, now: TimePoint) {
        self.expire(now);
        let known = self.searches.contains_key(&segment.key);
        if known || hosts.is_empty() || !self.spend(hosts.len(), now) {
            return;
        }
        let search = FlowSearch {
            segment: *segment,
            cleared: Vec::with_capacity(hosts.len()),
            unsure: Vec::new(),
            hosts,
            began: now,
            asked: false,
        };
        self.searches.insert(segment.key, search);
    }

    // Takes questions off the allowance, if there are so many.
    fn spend(&mut self, questions: usize, now: TimePoint) -> bool {
        const THOUSANDTHS: u64 = 1_000;
        let earned = now.since(self.allowed).as_millis() as u64 * QUESTION_RATE;
        self.allowed = now;
        self.allowance = (self.allowance + earned).min(QUESTION_BURST * THOUSANDTHS);
        let cost = questions as u64 * THOUSANDTHS;
        let enough = questions <= SEARCHED_HOSTS && self.allowance >= cost;
        if enough {
            self.allowance -= cost;
        }
        enough
    }

    /// Notes that a host sent something.
    pub fn note_alive(&mut self, host: SocketAddrV4) {
        self.silences.remove(&host);
    }

    fn is_lost(&self, host: SocketAddrV4, now: TimePoint) -> bool {
        self.silences.get(&host).is_some_and(|silence| {
            silence.missed >= LOST_SEARCHES && now.since(silence.since) >= LOST_AFTER
        })
    }

    // Ends searches that had their time, and notes who did not answer.
    fn expire(&mut self, now: TimePoint) {
        let over: Vec<FlowKey> = self
            .searches
            .iter()
            .filter(|(_, search)| now.since(search.began) >= SEARCH_TIMEOUT)
            .map(|(key, _)| *key)
            .collect();
        for key in over {
            let Some(search) = self.searches.remove(&key) else {
                continue;
            };
            let silent = search.silent_hosts().copied();
            let mut lost: Vec<_> = silent.filter(|host| self.is_lost(*host, now)).collect();
            if lost.len() > search.hosts.len() / CUT_OFF_DIVISOR {
                lost.clear();
            }
            self.ended.push((key, search.end(&lost)));
            for host in search.silent_hosts() {
                let silence = self.silences.entry(*host).or_insert(HostSilence {
                    since: search.began,
                    missed: 0,
                });
                silence.missed += 1;
            }
        }
    }

    /// Searches that ended by time since the last call.
    pub fn take_ended(&mut self, now: TimePoint) -> Vec<(FlowKey, SearchEnd)> {
        self.expire(now);
        std::mem::take(&mut self.ended)
    }

    /// Questions that were not asked yet, put together for each host.
    pub fn take_questions(&mut self) -> Vec<FlowQuestion> {
        let mut batches: HashMap<SocketAddrV4, Vec<FlowKey>> = HashMap::new();
        for (key, search) in &mut self.searches {
            if std::mem::replace(&mut search.asked, true) {
                continue;
            }
            for host in &search.hosts {
                batches.entry(*host).or_default().push(*key);
            }
        }
        let mut questions = Vec::new();
        for (host, flows) in batches {
            questions.extend(flows.chunks(QUESTION_FLOWS).map(|flows| FlowQuestion {
                host,
                flows: flows.to_vec(),
            }));
        }
        questions
    }

    /// Notes what a host said of a flow. Returns how the search ended, if it did before
    /// its time.
    pub fn hear(
        &mut self,
        key: FlowKey,
        host: SocketAddrV4,
        word: FlowWord,
        now: TimePoint,
    ) -> Option<SearchEnd> {
        let search = self.searches.get_mut(&key)?;
        let late = now.since(search.began) >= SEARCH_TIMEOUT;
        if late || !search.hosts.contains(&host) {
            return None;
        }
        match word {
            FlowWord::Here => {
                self.searches.remove(&key);
                Some(SearchEnd::Found(host))
            }
            FlowWord::Unsure => {
                search.unsure.push(host);
                None
            }
            FlowWord::Never => {
                if !search.cleared.contains(&host) {
                    search.cleared.push(host);
                }
                if search.cleared.len() < search.hosts.len() {
                    return None;
                }
                let search = self.searches.remove(&key)?;
                Some(SearchEnd::NotFound(search.segment))
            }
        }
    }
}
