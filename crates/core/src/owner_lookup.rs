//! Lookups of the owner of a flow that no host on its walk owned.
//!
//! A walk visits the candidate hosts of a flow's bucket. A host that is no longer a
//! candidate may still own the flow, and after a crash no host does. When no host on the
//! walk owned the flow, the entry VM queries every host of the firm by the flow's key,
//! including hosts of other services, since the address may have belonged to another
//! service when the flow began. The host that replies with [`OwnershipReply::Owned`] is
//! cached as owner.
//!
//! A host replies [`OwnershipReply::NotOwned`] only if it has tracked its backend server
//! from the start or for longer than the maximum age of a flow, or if its backend server
//! returned a packet of the flow. It is not asked again while the others find out. If all
//! hosts reply so, the backend server of the flow no longer exists. An unreachable host is queried too, but its reply is not required:
//! packets of the flow cannot reach it either.
//!
//! After a crash, thousands of flows lose their owner at once. The number of queries is
//! limited, and a query names several flows: lookups beyond the limit wait, and share the
//! next queries.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use lru::LruCache;

use crate::flow::{FlowKey, TcpSegment};
use crate::host_tracker::SUSPECT_AFTER;
use crate::units::TimePoint;

/// Rate limit of the lookup queries of an entry VM, each of which may name
/// [`MAX_FLOWS_PER_QUERY`] flows. It leaves small entry VMs time to forward packets when
/// many flows have lost their owner.
pub const LOOKUP_QUERIES_PER_SECOND: u64 = 1_000;

/// Time for which a lookup waits for the rate limit. The caller has retransmitted by then,
/// which starts another lookup.
pub const LOOKUP_WAIT_LIMIT: Duration = Duration::from_secs(1);

/// Burst limit of lookup queries: two lookups among the hosts of a large firm.
const LOOKUP_QUERY_BURST: u64 = 2 * MAX_LOOKUP_HOSTS as u64;

/// Time for hosts to reply. Callers retransmit after 200 ms at the earliest, and the
/// replies to one lookup must not mix with those to the next.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// A host is unreachable if it left at least this many consecutive queries unanswered,
/// the first of which was sent at least [`UNREACHABLE_AFTER`] ago.
pub const UNREACHABLE_AFTER_QUERIES: u32 = 3;

/// See [`UNREACHABLE_AFTER_QUERIES`]. Equal to the time after which trackers suspect a
/// silent host.
pub const UNREACHABLE_AFTER: Duration = SUSPECT_AFTER;

/// If more than one host in `ISOLATION_DIVISOR` of those in the view is unreachable, the entry
/// VM considers itself isolated and requires the replies of all hosts.
const ISOLATION_DIVISOR: usize = 2;

/// Maximum number of flows in one query, limited by the header size of a datagram.
pub const MAX_FLOWS_PER_QUERY: usize = 16;

/// If more than one host in `SHARED_QUERY_DIVISOR` is left to be asked about a flow, all hosts
/// are: then its queries name other flows too, which others have denied.
const SHARED_QUERY_DIVISOR: usize = 2;

/// Maximum number of hosts of a firm in the view for a lookup. Queries to more hosts would cost more
/// than the flow is worth.
pub const MAX_LOOKUP_HOSTS: usize = 256;

/// Time for which the hosts that denied a flow are not asked again, while the others find out
/// whether they own it. A host that certainly does not own an open flow never will.
const DENIAL_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of flows whose denials are kept.
const MAX_DENIED_FLOWS: NonZeroUsize = NonZeroUsize::new(1024).unwrap();

/// Reply of a host to a lookup query for one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipReply {
    /// Its backend server holds the flow, or has recently closed it.
    Owned,
    /// Its backend server certainly does not hold the flow.
    NotOwned,
    /// The host cannot determine whether its backend server holds the flow.
    Unknown,
}

/// Result of a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupResult {
    /// This host owns the flow.
    Found(SocketAddrV4),
    /// None of the hosts that were asked owns the flow.
    NotFound(CompletedLookup),
    /// Every host replied. These replied [`OwnershipReply::Unknown`], the others
    /// [`OwnershipReply::NotOwned`].
    Undetermined(Vec<SocketAddrV4>),
    /// The rate limit did not allow the queries within [`LOOKUP_WAIT_LIMIT`].
    NotStarted,
    /// Some hosts replied [`OwnershipReply::Unknown`] or did not reply.
    Incomplete(IncompleteLookup),
}

/// A lookup that found no owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedLookup {
    /// The segment that started the lookup.
    pub segment: TcpSegment,
    /// The hosts that were asked, sorted.
    pub hosts: Arc<[SocketAddrV4]>,
    /// When the lookup began.
    pub begun_at: TimePoint,
}

/// Replies that a lookup without a result lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncompleteLookup {
    /// Number of hosts that replied [`OwnershipReply::Unknown`].
    pub unknown: usize,
    /// Number of hosts that did not reply and are not unreachable.
    pub silent: usize,
    /// One of the hosts counted in `silent`.
    pub silent_host: Option<SocketAddrV4>,
}

/// A query to one host about a batch of flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupQuery {
    /// The host to query.
    pub host: SocketAddrV4,
    /// The flows to look up, at most [`MAX_FLOWS_PER_QUERY`].
    pub flows: Vec<FlowKey>,
}

// The hosts, sorted, that denied a flow in a lookup that others could not complete.
#[derive(Debug)]
struct FlowDenials {
    hosts: Vec<SocketAddrV4>,
    since: TimePoint,
}

#[derive(Debug)]
struct OwnerLookup {
    segment: TcpSegment,
    hosts: Arc<[SocketAddrV4]>,
    // Those of them to query; the others have denied the flow before.
    queried: Arc<[SocketAddrV4]>,
    begun_at: TimePoint,
    // What each of `hosts` has replied.
    answers: Vec<HostAnswer>,
    phase: LookupPhase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostAnswer {
    Silent,
    NotOwned,
    Unknown,
}

// Number of a batch of flows that share their queries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct BatchNumber(u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LookupPhase {
    // Waits for the rate limit since this time.
    Waiting(TimePoint),
    // The queries of this batch of flows were sent at this time.
    Queried(TimePoint, BatchNumber),
}

impl LookupPhase {
    fn is_expired(self, now: TimePoint) -> bool {
        match self {
            Self::Waiting(since) => now.since(since) >= LOOKUP_WAIT_LIMIT,
            Self::Queried(at, _) => now.since(at) >= LOOKUP_TIMEOUT,
        }
    }
}

// Consecutive queries that a host left unanswered; the first was sent at `since`.
#[derive(Debug, Clone, Copy)]
struct MissedQueries {
    since: TimePoint,
    count: u32,
}

impl OwnerLookup {
    fn hosts_that(&self, answer: HostAnswer) -> impl Iterator<Item = SocketAddrV4> {
        let answers = self.hosts.iter().zip(&self.answers);
        answers
            .filter(move |(_, given)| **given == answer)
            .map(|(host, _)| *host)
    }

    fn silent_hosts(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.hosts_that(HostAnswer::Silent)
    }

    fn completed(&self) -> CompletedLookup {
        CompletedLookup {
            segment: self.segment,
            hosts: Arc::clone(&self.hosts),
            begun_at: self.begun_at,
        }
    }

    // Returns the result at the timeout; replies of `unreachable` hosts are not required.
    fn result(&self, unreachable: &[SocketAddrV4]) -> LookupResult {
        let missing = || {
            self.silent_hosts()
                .filter(|host| !unreachable.contains(host))
        };
        let incomplete = IncompleteLookup {
            unknown: self.hosts_that(HostAnswer::Unknown).count(),
            silent: missing().count(),
            silent_host: missing().next(),
        };
        if incomplete.unknown == 0 && incomplete.silent == 0 {
            LookupResult::NotFound(self.completed())
        } else {
            LookupResult::Incomplete(incomplete)
        }
    }
}

/// The owner lookups of an entry VM.
#[derive(Debug)]
pub struct OwnerLookups {
    lookups: HashMap<FlowKey, OwnerLookup>,
    denials: LruCache<FlowKey, FlowDenials>,
    // Flows whose lookups wait for the rate limit, in order.
    waiting: VecDeque<FlowKey>,
    last_batch: BatchNumber,
    missed_queries: HashMap<SocketAddrV4, MissedQueries>,
    // Hosts that are not in the view. Their silence is no sign of isolation.
    vanished: HashSet<SocketAddrV4>,
    finished: Vec<(FlowKey, LookupResult)>,
    // Queries that the rate limit allows, in thousandths, as of `refilled_at`.
    query_tokens: u64,
    refilled_at: TimePoint,
}

impl Default for OwnerLookups {
    fn default() -> Self {
        Self {
            lookups: HashMap::new(),
            denials: LruCache::new(MAX_DENIED_FLOWS),
            waiting: VecDeque::new(),
            last_batch: BatchNumber::default(),
            missed_queries: HashMap::new(),
            vanished: HashSet::new(),
            finished: Vec::new(),
            query_tokens: 0,
            refilled_at: TimePoint::default(),
        }
    }
}

impl OwnerLookups {
    /// Returns the number of lookups in progress.
    pub fn len(&self) -> usize {
        self.lookups.len()
    }

    /// Returns whether no lookup is in progress and no result is left to be taken.
    pub fn is_empty(&self) -> bool {
        self.lookups.is_empty() && self.finished.is_empty()
    }

    /// Starts a lookup of this segment's flow among `hosts`, unless one is in progress or
    /// there are more than [`MAX_LOOKUP_HOSTS`] in the view. `hosts` are sorted. Those that have
    /// just denied the flow are not asked again.
    pub fn begin(&mut self, segment: &TcpSegment, hosts: Arc<[SocketAddrV4]>, now: TimePoint) {
        self.expire(now);
        let in_progress = self.lookups.contains_key(&segment.key);
        let in_view = hosts.iter().filter(|host| !self.vanished.contains(host));
        if in_progress || hosts.is_empty() || in_view.count() > MAX_LOOKUP_HOSTS {
            return;
        }
        let mut answers = self.earlier_answers(segment.key, &hosts, now);
        let silent = hosts.iter().zip(&answers);
        let silent = silent.filter(|(_, answer)| **answer == HostAnswer::Silent);
        let queried = if silent.clone().count() > hosts.len() / SHARED_QUERY_DIVISOR {
            answers.fill(HostAnswer::Silent);
            Arc::clone(&hosts)
        } else {
            silent.map(|(host, _)| *host).collect()
        };
        let lookup = OwnerLookup {
            segment: *segment,
            hosts,
            queried,
            answers,
            begun_at: now,
            phase: LookupPhase::Waiting(now),
        };
        self.lookups.insert(segment.key, lookup);
        self.waiting.push_back(segment.key);
    }

    // Returns what the hosts have replied in a lookup of the flow just before.
    fn earlier_answers(
        &mut self,
        key: FlowKey,
        hosts: &[SocketAddrV4],
        now: TimePoint,
    ) -> Vec<HostAnswer> {
        let denials = self.denials.pop(&key);
        let denials = denials.filter(|denials| now.since(denials.since) < DENIAL_LIFETIME);
        let denied = denials.map_or(Vec::new(), |denials| denials.hosts);
        let answers: Vec<_> = hosts
            .iter()
            .map(|host| match denied.binary_search(host) {
                Ok(_) => HostAnswer::NotOwned,
                Err(_) => HostAnswer::Silent,
            })
            .collect();
        if answers.contains(&HostAnswer::Silent) {
            answers
        } else {
            vec![HostAnswer::Silent; hosts.len()]
        }
    }

    /// Replaces the hosts that are queried though they are not in the view.
    pub fn set_vanished(&mut self, vanished: impl Iterator<Item = SocketAddrV4>) {
        self.vanished = vanished.collect();
    }

    // Takes tokens for this number of queries, if there are enough.
    fn take_tokens(&mut self, queries: usize, now: TimePoint) -> bool {
        const THOUSANDTHS: u64 = 1_000;
        let refill = now.since(self.refilled_at).as_millis() as u64 * LOOKUP_QUERIES_PER_SECOND;
        self.refilled_at = now;
        self.query_tokens = (self.query_tokens + refill).min(LOOKUP_QUERY_BURST * THOUSANDTHS);
        let cost = queries as u64 * THOUSANDTHS;
        let enough = self.query_tokens >= cost;
        if enough {
            self.query_tokens -= cost;
        }
        enough
    }

    /// Records that something was received from a host.
    pub fn record_activity(&mut self, host: SocketAddrV4) {
        self.missed_queries.remove(&host);
    }

    fn is_unreachable(&self, host: SocketAddrV4, now: TimePoint) -> bool {
        self.missed_queries.get(&host).is_some_and(|missed| {
            missed.count >= UNREACHABLE_AFTER_QUERIES
                && now.since(missed.since) >= UNREACHABLE_AFTER
        })
    }

    // Ends lookups that timed out and counts the hosts that did not reply.
    fn expire(&mut self, now: TimePoint) {
        let expired: Vec<FlowKey> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| lookup.phase.is_expired(now))
            .map(|(key, _)| *key)
            .collect();
        let mut missed = BTreeMap::new();
        for key in expired {
            let Some(lookup) = self.lookups.remove(&key) else {
                continue;
            };
            let result = match lookup.phase {
                LookupPhase::Waiting(_) => LookupResult::NotStarted,
                LookupPhase::Queried(at, batch) => {
                    let silent = lookup.silent_hosts();
                    missed.extend(silent.map(|host| ((batch, host), at)));
                    self.timeout_result(&lookup, now)
                }
            };
            self.finished.push((key, result));
        }
        // A query names several flows, and one lost datagram counts once.
        for ((_, host), queried_at) in missed {
            self.record_missed_query(host, queried_at);
        }
    }

    fn record_missed_query(&mut self, host: SocketAddrV4, queried_at: TimePoint) {
        let missed = self.missed_queries.entry(host).or_insert(MissedQueries {
            since: queried_at,
            count: 0,
        });
        missed.count += 1;
    }

    fn timeout_result(&self, lookup: &OwnerLookup, now: TimePoint) -> LookupResult {
        let mut unreachable: Vec<_> = lookup
            .silent_hosts()
            .filter(|host| self.is_unreachable(*host, now))
            .collect();
        let in_view = |host: &&SocketAddrV4| !self.vanished.contains(host);
        let unreachable_in_view = unreachable.iter().filter(in_view).count();
        let hosts_in_view = lookup.hosts.iter().filter(in_view).count();
        if unreachable_in_view > hosts_in_view / ISOLATION_DIVISOR {
            unreachable.clear();
        }
        lookup.result(&unreachable)
    }

    /// Returns the lookups that timed out since the last call.
    pub fn take_finished(&mut self, now: TimePoint) -> Vec<(FlowKey, LookupResult)> {
        self.expire(now);
        std::mem::take(&mut self.finished)
    }

    /// Returns the queries to send now, as far as the rate limit allows.
    pub fn take_queries(&mut self, now: TimePoint) -> Vec<LookupQuery> {
        let mut queries = Vec::new();
        while let Some(hosts) = self.next_hosts() {
            if !self.take_tokens(hosts.len(), now) {
                break;
            }
            let flows = self.take_batch(&hosts, now);
            queries.extend(hosts.iter().map(|host| LookupQuery {
                host: *host,
                flows: flows.clone(),
            }));
        }
        queries
    }

    // Returns the hosts of the lookup that has waited longest.
    fn next_hosts(&mut self) -> Option<Arc<[SocketAddrV4]>> {
        while let Some(key) = self.waiting.front() {
            match self.lookups.get(key) {
                Some(lookup) if matches!(lookup.phase, LookupPhase::Waiting(_)) => {
                    return Some(Arc::clone(&lookup.queried));
                }
                _ => self.waiting.pop_front(),
            };
        }
        None
    }

    // Takes the first flows that wait for queries to exactly these hosts.
    fn take_batch(&mut self, hosts: &Arc<[SocketAddrV4]>, now: TimePoint) -> Vec<FlowKey> {
        let mut flows = Vec::new();
        self.last_batch.0 += 1;
        while flows.len() < MAX_FLOWS_PER_QUERY
            && self.next_hosts().as_ref() == Some(hosts)
            && let Some(key) = self.waiting.pop_front()
        {
            if let Some(lookup) = self.lookups.get_mut(&key) {
                lookup.phase = LookupPhase::Queried(now, self.last_batch);
                flows.push(key);
            }
        }
        flows
    }

    /// Records the reply of a host about a flow. Returns the result of the lookup if this
    /// reply completes it.
    pub fn record_reply(
        &mut self,
        key: FlowKey,
        host: SocketAddrV4,
        reply: OwnershipReply,
        now: TimePoint,
    ) -> Option<LookupResult> {
        let lookup = self.lookups.get_mut(&key)?;
        let queried =
            matches!(lookup.phase, LookupPhase::Queried(..)) && !lookup.phase.is_expired(now);
        let index = lookup.hosts.binary_search(&host).ok()?;
        if !queried || lookup.answers[index] != HostAnswer::Silent {
            return None;
        }
        lookup.answers[index] = match reply {
            OwnershipReply::Owned => {
                self.lookups.remove(&key);
                return Some(LookupResult::Found(host));
            }
            OwnershipReply::Unknown => HostAnswer::Unknown,
            OwnershipReply::NotOwned => HostAnswer::NotOwned,
        };
        if lookup.answers.contains(&HostAnswer::Silent) {
            return None;
        }
        let lookup = self.lookups.remove(&key)?;
        let unknown: Vec<_> = lookup.hosts_that(HostAnswer::Unknown).collect();
        Some(if unknown.is_empty() {
            LookupResult::NotFound(lookup.completed())
        } else {
            let denials = FlowDenials {
                hosts: lookup.hosts_that(HostAnswer::NotOwned).collect(),
                since: now,
            };
            self.denials.put(key, denials);
            LookupResult::Undetermined(unknown)
        })
    }
}
