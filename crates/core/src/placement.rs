//! Weighted rendezvous hashing: assigns hosts to the buckets of flows.
//!
//! Every node ranks the hosts of a service by a score that depends only on the bucket,
//! and on the name and the weight of the host. Adding a host moves others down by at most
//! one rank, and removing one moves others up, so that the owner of an old flow stays
//! near the head of the list over many roster changes.

use crate::flow::BucketIndex;
use crate::ids::HostName;
use crate::roster::{HostIndex, HostRecord};
use crate::units::HostWeight;

/// Maximum number of candidates that a packet visits before holders of old flows.
pub const CHAIN_HOPS: usize = 8;

/// Maximum number of hosts of the own data centre among the candidates of a passthrough flow;
/// the others are of any data centre, for the case that these are full.
pub const NEAR_HOPS: usize = 5;

/// Number of uniformly distributed bits of a score.
const SCORE_BITS: u32 = 53;

/// Relative error allowed for in a bound on the bits of a score, far above that of the
/// floating-point functions.
const ROUNDING_MARGIN: f64 = 1e-9;

/// Seed of a host for the ranking, a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostSeed(pub u64);

impl HostSeed {
    /// Returns the seed of the host or entry VM with this name.
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Inputs of the ranking for one host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankedHost {
    /// Index of the host.
    pub host: HostIndex,
    /// Hash of its name.
    pub seed: HostSeed,
    /// Weight of the host.
    pub weight: HostWeight,
}

/// Up to [`CHAIN_HOPS`] hosts of a bucket, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostChain {
    hosts: [HostIndex; CHAIN_HOPS],
    len: u8,
}

impl HostChain {
    /// A chain without hosts.
    pub const EMPTY: HostChain = HostChain {
        hosts: [HostIndex(u32::MAX); CHAIN_HOPS],
        len: 0,
    };

    // Returns the first `near` hosts of this chain, then those of `other`, without duplicates.
    pub(crate) fn followed_by(&self, near: usize, other: &HostChain) -> Self {
        let mut chain = HostChain::EMPTY;
        let first = self.as_slice().iter().take(near);
        for host in first.chain(other.as_slice()) {
            let len = usize::from(chain.len);
            if len < CHAIN_HOPS && !chain.as_slice().contains(host) {
                chain.hosts[len] = *host;
                chain.len += 1;
            }
        }
        chain
    }

    /// Returns the hosts in order.
    pub fn as_slice(&self) -> &[HostIndex] {
        &self.hosts[..usize::from(self.len)]
    }
}

/// Returns the score of a host for a bucket; the lowest score wins. Scores are
/// exponentially distributed with the weight as rate, so that the share of buckets that a
/// host wins is proportional to its weight.
pub fn score(bucket: BucketIndex, seed: HostSeed, weight: HostWeight) -> f64 {
    score_of_bits(score_bits(bucket, seed), weight)
}

// Returns the uniformly distributed bits that the score of a host depends on.
fn score_bits(bucket: BucketIndex, seed: HostSeed) -> u64 {
    let mixed = mix(seed.0 ^ (u64::from(bucket.0) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    mixed >> (u64::BITS - SCORE_BITS)
}

fn score_of_bits(bits: u64, weight: HostWeight) -> f64 {
    let uniform = (bits as f64 + 0.5) / (1u64 << SCORE_BITS) as f64;
    -uniform.ln() / f64::from(weight.get())
}

// Returns bits below which no host of at most this weight has a score under `score`.
fn bits_of_score(score: f64, weight: HostWeight) -> u64 {
    let uniform = (-score * f64::from(weight.get())).exp();
    (uniform * (1.0 - ROUNDING_MARGIN) * (1u64 << SCORE_BITS) as f64) as u64
}

// Finaliser of the splitmix64 generator.
pub(crate) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}

// Inserts a host into the first `len` scores and hosts, unless its score is too high.
fn insert_ranked(
    chain: &mut HostChain,
    scores: &mut [f64; CHAIN_HOPS],
    host: HostIndex,
    score: f64,
) {
    let len = usize::from(chain.len);
    if len == CHAIN_HOPS && score >= scores[CHAIN_HOPS - 1] {
        return;
    }
    let position = scores[..len].partition_point(|other| *other <= score);
    let last = len.min(CHAIN_HOPS - 1);
    scores.copy_within(position..last, position + 1);
    chain.hosts.copy_within(position..last, position + 1);
    scores[position] = score;
    chain.hosts[position] = host;
    chain.len = (last + 1) as u8;
}

/// The hosts of a service, ranked for a bucket when a packet needs them. A change of a host
/// costs nothing here, however many hosts there are.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostRanking {
    hosts: Vec<RankedHost>,
    max_weight: Option<HostWeight>,
}

impl HostRanking {
    /// Creates a ranking of these hosts.
    pub fn new(hosts: Vec<RankedHost>) -> Self {
        let max_weight = hosts.iter().map(|ranked| ranked.weight).max();
        Self { hosts, max_weight }
    }

    /// Returns the chain of a bucket.
    pub fn chain(&self, bucket: BucketIndex) -> HostChain {
        let mut chain = HostChain::EMPTY;
        let Some(max_weight) = self.max_weight else {
            return chain;
        };
        let mut scores = [f64::INFINITY; CHAIN_HOPS];
        // Logarithms take most of the time. Hosts with fewer bits can't enter the chain.
        let mut min_bits = 0;
        for ranked in &self.hosts {
            let bits = score_bits(bucket, ranked.seed);
            if bits < min_bits {
                continue;
            }
            let score = score_of_bits(bits, ranked.weight);
            insert_ranked(&mut chain, &mut scores, ranked.host, score);
            if usize::from(chain.len) == CHAIN_HOPS {
                min_bits = bits_of_score(scores[CHAIN_HOPS - 1], max_weight);
            }
        }
        chain
    }
}

/// Retains the buckets for which the host `own_name` is not a candidate among `hosts`. If
/// it is not one of `hosts`, all buckets are retained.
pub fn retain_held_buckets(
    buckets: &mut Vec<BucketIndex>,
    hosts: &[&HostRecord],
    own_name: &HostName,
) {
    let ranked = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| RankedHost {
            host: HostIndex(index as u32),
            seed: HostSeed::of(host.name.as_str()),
            weight: host.weight,
        })
        .collect();
    let position = hosts.iter().position(|host| host.name == *own_name);
    let Some(position) = position.map(|index| HostIndex(index as u32)) else {
        return;
    };
    let ranking = HostRanking::new(ranked);
    buckets.retain(|bucket| !ranking.chain(*bucket).as_slice().contains(&position));
}
