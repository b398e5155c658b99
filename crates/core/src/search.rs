//! Searches for flows that no host of a walk owned.
//!
//! A walk visits the hosts of a flow's bucket. A host that fell out of them may
//! still own the flow, and after a crash nobody does. So when a flow's packets walked
//! in vain, the entry VM asks every host of the firm by the flow's key: its address may
//! have been another service's when it began. A host that owns it is remembered. If
//! each is certain that it does not hold it, since it watched its backend server from
//! the start or was told by it, the flow's backend server lives no more. A host that
//! has not said a word for long is out of reach for the flow's packets as well, so it
//! is not waited for.

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
/// off, and waits for all of them.
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
    /// No host owns the flow. The facts are those of its latest packet.
    NotFound(SegmentFacts),
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

/// A search that had its time before every host was certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenSearch {
    /// The flow.
    pub key: FlowKey,
    /// Hosts that could not tell.
    pub unsure: usize,
    /// Hosts that did not answer.
    pub silent: usize,
    /// One of them.
    pub silent_host: Option<SocketAddrV4>,
}

#[derive(Debug, Clone, Copy)]
struct HostSilence {
    since: TimePoint,
    missed: u32,
}

impl FlowSearch {
    fn open_end(&self, key: FlowKey) -> OpenSearch {
        OpenSearch {
            key,
            unsure: self.unsure.len(),
            silent: self.silent_hosts().count(),
            silent_host: self.silent_hosts().next().copied(),
        }
    }

    fn silent_hosts(&self) -> impl Iterator<Item = &SocketAddrV4> {
        self.hosts
            .iter()
            .filter(|host| !self.cleared.contains(host) && !self.unsure.contains(host))
    }
}

/// The searches of an entry VM.
#[derive(Debug, Default)]
pub struct FlowSearches {
    searches: HashMap<FlowKey, FlowSearch>,
    silences: HashMap<SocketAddrV4, HostSilence>,
    ended: Vec<OpenSearch>,
    // Questions that may be asked, in thousandths.
    allowance: u64,
    allowed: TimePoint,
}

impl FlowSearches {
    /// Searches that are under way.
    pub fn len(&self) -> usize {
        self.searches.len()
    }

    /// Whether none is under way.
    pub fn is_empty(&self) -> bool {
        self.searches.is_empty()
    }

    /// Begins a search of the flow of this packet among `hosts`. One that is under
    /// way goes on.
    pub fn begin(&mut self, segment: &SegmentFacts, mut hosts: Vec<SocketAddrV4>, now: TimePoint) {
        self.expire(now);
        let lost = hosts.iter().filter(|host| self.is_lost(**host, now));
        if lost.count() <= hosts.len() / CUT_OFF_DIVISOR {
            hosts.retain(|host| !self.is_lost(*host, now));
        }
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
        let (silences, ended) = (&mut self.silences, &mut self.ended);
        self.searches.retain(|key, search| {
            if now.since(search.began) < SEARCH_TIMEOUT {
                return true;
            }
            for host in search.silent_hosts() {
                let silence = silences.entry(*host).or_insert(HostSilence {
                    since: search.began,
                    missed: 0,
                });
                silence.missed += 1;
            }
            ended.push(search.open_end(*key));
            false
        });
    }

    /// Searches that ended since the last call without an answer of every host.
    pub fn take_open(&mut self, now: TimePoint) -> Vec<OpenSearch> {
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

    /// Notes what a host said of a flow. Returns how the search ended, if it did.
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
