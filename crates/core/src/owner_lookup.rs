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
//! returned a packet of the flow. If all hosts reply so, the backend server of the flow
//! no longer exists. An unreachable host is queried too, but its reply is not required:
//! packets of the flow cannot reach it either.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::flow::{FlowKey, TcpSegment};
use crate::host_tracker::SUSPECT_AFTER;
use crate::units::TimePoint;

/// Rate limit of the lookup queries of an entry VM. It leaves the smallest entry VMs,
/// with a tenth of a core, time to forward packets when many flows have lost their owner.
pub const LOOKUP_QUERIES_PER_SECOND: u64 = 500;

/// Burst limit of lookup queries: two lookups among the hosts of a large firm.
const LOOKUP_QUERY_BURST: u64 = 2 * MAX_LOOKUP_HOSTS as u64;

/// Time for hosts to reply. Callers retransmit after 200 ms at the earliest, and the
/// replies to one lookup must not mix with those to the next.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// A host is unreachable if it left at least this many consecutive lookups unanswered,
/// the first of which started at least [`UNREACHABLE_AFTER`] ago.
pub const UNREACHABLE_AFTER_LOOKUPS: u32 = 3;

/// See [`UNREACHABLE_AFTER_LOOKUPS`]. Equal to the time after which trackers suspect a
/// silent host.
pub const UNREACHABLE_AFTER: Duration = SUSPECT_AFTER;

/// If more than one host in `ISOLATION_DIVISOR` is unreachable, the entry VM considers
/// itself isolated and requires the replies of all hosts.
const ISOLATION_DIVISOR: usize = 2;

/// Maximum number of flows in one query, limited by the header size of a datagram.
pub const MAX_FLOWS_PER_QUERY: usize = 16;

/// Maximum number of hosts of a firm for a lookup. Queries to more hosts would cost more
/// than the flow is worth.
pub const MAX_LOOKUP_HOSTS: usize = 256;

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupResult {
    /// This host owns the flow.
    Found(SocketAddrV4),
    /// No host owns the flow. Contains the segment that started the lookup.
    NotFound(TcpSegment),
    /// Some hosts replied [`OwnershipReply::Unknown`] or did not reply.
    Incomplete(IncompleteLookup),
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

#[derive(Debug)]
struct OwnerLookup {
    segment: TcpSegment,
    hosts: Vec<SocketAddrV4>,
    // Hosts that replied `NotOwned`.
    not_owners: Vec<SocketAddrV4>,
    // Hosts that replied `Unknown`.
    unknown: Vec<SocketAddrV4>,
    started_at: TimePoint,
    query_taken: bool,
}

// Consecutive lookups that a host left unanswered; the first started at `since`.
#[derive(Debug, Clone, Copy)]
struct MissedLookups {
    since: TimePoint,
    count: u32,
}

impl OwnerLookup {
    fn silent_hosts(&self) -> impl Iterator<Item = &SocketAddrV4> {
        self.hosts
            .iter()
            .filter(|host| !self.not_owners.contains(host) && !self.unknown.contains(host))
    }

    // Returns the result at the timeout; replies of `unreachable` hosts are not required.
    fn result(&self, unreachable: &[SocketAddrV4]) -> LookupResult {
        let missing = || {
            self.silent_hosts()
                .filter(|host| !unreachable.contains(host))
        };
        let incomplete = IncompleteLookup {
            unknown: self.unknown.len(),
            silent: missing().count(),
            silent_host: missing().next().copied(),
        };
        if incomplete.unknown == 0 && incomplete.silent == 0 {
            LookupResult::NotFound(self.segment)
        } else {
            LookupResult::Incomplete(incomplete)
        }
    }
}

/// The owner lookups of an entry VM.
#[derive(Debug, Default)]
pub struct OwnerLookups {
    lookups: HashMap<FlowKey, OwnerLookup>,
    missed_lookups: HashMap<SocketAddrV4, MissedLookups>,
    finished: Vec<(FlowKey, LookupResult)>,
    // Queries that the rate limit allows, in thousandths, as of `refilled_at`.
    query_tokens: u64,
    refilled_at: TimePoint,
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
    /// the rate limit is reached.
    pub fn begin(&mut self, segment: &TcpSegment, hosts: Vec<SocketAddrV4>, now: TimePoint) {
        self.expire(now);
        let in_progress = self.lookups.contains_key(&segment.key);
        if in_progress || hosts.is_empty() || !self.take_tokens(hosts.len(), now) {
            return;
        }
        let lookup = OwnerLookup {
            segment: *segment,
            not_owners: Vec::with_capacity(hosts.len()),
            unknown: Vec::new(),
            hosts,
            started_at: now,
            query_taken: false,
        };
        self.lookups.insert(segment.key, lookup);
    }

    // Takes tokens for this number of queries, if there are enough.
    fn take_tokens(&mut self, queries: usize, now: TimePoint) -> bool {
        const THOUSANDTHS: u64 = 1_000;
        let refill = now.since(self.refilled_at).as_millis() as u64 * LOOKUP_QUERIES_PER_SECOND;
        self.refilled_at = now;
        self.query_tokens = (self.query_tokens + refill).min(LOOKUP_QUERY_BURST * THOUSANDTHS);
        let cost = queries as u64 * THOUSANDTHS;
        let enough = queries <= MAX_LOOKUP_HOSTS && self.query_tokens >= cost;
        if enough {
            self.query_tokens -= cost;
        }
        enough
    }

    /// Records that something was received from a host.
    pub fn record_activity(&mut self, host: SocketAddrV4) {
        self.missed_lookups.remove(&host);
    }

    fn is_unreachable(&self, host: SocketAddrV4, now: TimePoint) -> bool {
        self.missed_lookups.get(&host).is_some_and(|missed| {
            missed.count >= UNREACHABLE_AFTER_LOOKUPS
                && now.since(missed.since) >= UNREACHABLE_AFTER
        })
    }

    // Ends lookups that timed out and counts the hosts that did not reply.
    fn expire(&mut self, now: TimePoint) {
        let expired: Vec<FlowKey> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| now.since(lookup.started_at) >= LOOKUP_TIMEOUT)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            let Some(lookup) = self.lookups.remove(&key) else {
                continue;
            };
            let silent = lookup.silent_hosts().copied();
            let mut unreachable: Vec<_> = silent
                .filter(|host| self.is_unreachable(*host, now))
                .collect();
            if unreachable.len() > lookup.hosts.len() / ISOLATION_DIVISOR {
                unreachable.clear();
            }
            self.finished.push((key, lookup.result(&unreachable)));
            for host in lookup.silent_hosts() {
                let missed = self.missed_lookups.entry(*host).or_insert(MissedLookups {
                    since: lookup.started_at,
                    count: 0,
                });
                missed.count += 1;
            }
        }
    }

    /// Returns the lookups that timed out since the last call.
    pub fn take_finished(&mut self, now: TimePoint) -> Vec<(FlowKey, LookupResult)> {
        self.expire(now);
        std::mem::take(&mut self.finished)
    }

    /// Returns the queries that were not sent yet, batched by host.
    pub fn take_queries(&mut self) -> Vec<LookupQuery> {
        let mut batches: HashMap<SocketAddrV4, Vec<FlowKey>> = HashMap::new();
        for (key, lookup) in &mut self.lookups {
            if std::mem::replace(&mut lookup.query_taken, true) {
                continue;
            }
            for host in &lookup.hosts {
                batches.entry(*host).or_default().push(*key);
            }
        }
        let mut queries = Vec::new();
        for (host, flows) in batches {
            queries.extend(flows.chunks(MAX_FLOWS_PER_QUERY).map(|flows| LookupQuery {
                host,
                flows: flows.to_vec(),
            }));
        }
        queries
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
        let late = now.since(lookup.started_at) >= LOOKUP_TIMEOUT;
        if late || !lookup.hosts.contains(&host) {
            return None;
        }
        match reply {
            OwnershipReply::Owned => {
                self.lookups.remove(&key);
                Some(LookupResult::Found(host))
            }
            OwnershipReply::Unknown => {
                lookup.unknown.push(host);
                None
            }
            OwnershipReply::NotOwned => {
                if !lookup.not_owners.contains(&host) {
                    lookup.not_owners.push(host);
                }
                if lookup.not_owners.len() < lookup.hosts.len() {
                    return None;
                }
                let lookup = self.lookups.remove(&key)?;
                Some(LookupResult::NotFound(lookup.segment))
            }
        }
    }
}
