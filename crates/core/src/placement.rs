//! Weighted rendezvous hashing: assigns hosts to the buckets of flows.
//!
//! Every node ranks the hosts of a service by a score that depends only on the bucket,
//! and on the name and the weight of the host. Adding a host moves others down by at most
//! one rank, and removing one moves others up, so that the owner of an old flow stays
//! near the head of the list over many roster changes.

use crate::flow::{BUCKET_COUNT, BucketIndex};
use crate::ids::HostName;
use crate::roster::{HostIndex, HostRecord};
use crate::units::HostWeight;

/// Maximum number of candidates that a packet visits before holders of old flows.
pub const CHAIN_HOPS: usize = 8;

/// Services with more hosts than this get a precomputed table.
pub const DIRECT_HOSTS: usize = 16;

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

    /// Returns the hosts in order.
    pub fn as_slice(&self) -> &[HostIndex] {
        &self.hosts[..usize::from(self.len)]
    }
}

/// Returns the score of a host for a bucket; the lowest score wins. Scores are
/// exponentially distributed with the weight as rate, so that the share of buckets that a
/// host wins is proportional to its weight.
pub fn score(bucket: BucketIndex, seed: HostSeed, weight: HostWeight) -> f64 {
    let mixed = mix(seed.0 ^ (u64::from(bucket.0) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let uniform = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / f64::from(weight.get())
}

// Finaliser of the splitmix64 generator.
pub(crate) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}

/// Ranks `hosts` for a bucket.
pub fn rank(bucket: BucketIndex, hosts: &[RankedHost]) -> HostChain {
    let mut chain = HostChain::EMPTY;
    let mut scores = [f64::INFINITY; CHAIN_HOPS];
    for ranked in hosts {
        let score = score(bucket, ranked.seed, ranked.weight);
        let len = usize::from(chain.len);
        if len == CHAIN_HOPS && score >= scores[CHAIN_HOPS - 1] {
            continue;
        }
        let position = scores[..len].partition_point(|other| *other <= score);
        let last = len.min(CHAIN_HOPS - 1);
        scores.copy_within(position..last, position + 1);
        chain.hosts.copy_within(position..last, position + 1);
        scores[position] = score;
        chain.hosts[position] = ranked.host;
        chain.len = (last + 1) as u8;
    }
    chain
}

/// Source of the chains of a service.
#[derive(Debug, Clone, PartialEq)]
pub enum ChainSource {
    /// Ranks the hosts for each packet.
    Direct(Vec<RankedHost>),
    /// Chains that were ranked once for each bucket.
    Table(Vec<HostChain>),
}

impl ChainSource {
    /// Returns the variant that suits the number of hosts, see [`DIRECT_HOSTS`].
    pub fn build(hosts: Vec<RankedHost>) -> Self {
        if hosts.len() <= DIRECT_HOSTS {
            Self::Direct(hosts)
        } else {
            Self::table(&hosts)
        }
    }

    /// Returns a precomputed table.
    pub fn table(hosts: &[RankedHost]) -> Self {
        let chains = (0..BUCKET_COUNT as u16)
            .map(|bucket| rank(BucketIndex(bucket), hosts))
            .collect();
        Self::Table(chains)
    }

    /// Returns the chain of a bucket.
    pub fn chain(&self, bucket: BucketIndex) -> HostChain {
        match self {
            Self::Direct(hosts) => rank(bucket, hosts),
            Self::Table(chains) => chains[usize::from(bucket.0)],
        }
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
    let chains = ChainSource::Direct(ranked);
    buckets.retain(|bucket| !chains.chain(*bucket).as_slice().contains(&position));
}
