//! Weighted rendezvous hashing: which hosts a bucket's flows go to.
//!
//! Every node ranks the hosts of a service by a score that depends only on
//! the bucket, the host's name and its weight. Adding a host moves others
//! down by at most one rank, removing one moves them up, so the owner of an
//! old flow stays near the head of the list over many roster changes.

use crate::flow::{BUCKET_COUNT, BucketIndex};
use crate::ids::HostName;
use crate::roster::{HostIndex, HostRecord};
use crate::units::HostWeight;

/// Most hosts that a packet visits before holders of old flows are tried.
pub const CHAIN_HOPS: usize = 8;

/// Services with more hosts than this get a precomputed table.
pub const DIRECT_HOSTS: usize = 16;

/// Seed of a host, a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostSeed(pub u64);

impl HostSeed {
    /// Seed of the host or entry VM of this name.
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// One host as the ranking sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankedHost {
    /// The host.
    pub host: HostIndex,
    /// Hash of its name.
    pub seed: HostSeed,
    /// Its weight.
    pub weight: HostWeight,
}

/// Up to [`CHAIN_HOPS`] hosts, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostChain {
    hosts: [HostIndex; CHAIN_HOPS],
    len: u8,
}

impl HostChain {
    /// A chain of no host.
    pub const EMPTY: HostChain = HostChain {
        hosts: [HostIndex(u32::MAX); CHAIN_HOPS],
        len: 0,
    };

    /// The hosts in order.
    pub fn as_slice(&self) -> &[HostIndex] {
        &self.hosts[..usize::from(self.len)]
    }
}

/// Score of a host for a bucket; the lowest wins. Scores are exponentially
/// distributed with the weight as rate, which makes the share of buckets that
/// a host wins proportional to its weight.
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
        let place = scores[..len].partition_point(|other| *other <= score);
        let last = len.min(CHAIN_HOPS - 1);
        scores.copy_within(place..last, place + 1);
        chain.hosts.copy_within(place..last, place + 1);
        scores[place] = score;
        chain.hosts[place] = ranked.host;
        chain.len = (last + 1) as u8;
    }
    chain
}

/// Where the chain of a bucket comes from.
#[derive(Debug, Clone, PartialEq)]
pub enum ChainSource {
    /// Ranked for each packet.
    Direct(Vec<RankedHost>),
    /// Ranked once for each bucket.
    Table(Vec<HostChain>),
}

impl ChainSource {
    /// Chooses the form that suits the number of hosts.
    pub fn build(hosts: Vec<RankedHost>) -> Self {
        if hosts.len() <= DIRECT_HOSTS {
            Self::Direct(hosts)
        } else {
            Self::table(&hosts)
        }
    }

    /// The precomputed form.
    pub fn table(hosts: &[RankedHost]) -> Self {
        let chains = (0..BUCKET_COUNT as u16)
            .map(|bucket| rank(BucketIndex(bucket), hosts))
            .collect();
        Self::Table(chains)
    }

    /// The chain of a bucket.
    pub fn chain(&self, bucket: BucketIndex) -> HostChain {
        match self {
            Self::Direct(hosts) => rank(bucket, hosts),
            Self::Table(chains) => chains[usize::from(bucket.0)],
        }
    }
}

/// Keeps the buckets for which the host `me` is no candidate among `hosts`. If it
/// is none of them, these are all.
pub fn retain_held(buckets: &mut Vec<BucketIndex>, hosts: &[&HostRecord], me: &HostName) {
    let ranked = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| RankedHost {
            host: HostIndex(index as u32),
            seed: HostSeed::of(host.name.as_str()),
            weight: host.weight,
        })
        .collect();
    let place = hosts.iter().position(|host| host.name == *me);
    let Some(place) = place.map(|index| HostIndex(index as u32)) else {
        return;
    };
    let chains = ChainSource::Direct(ranked);
    buckets.retain(|bucket| !chains.chain(*bucket).as_slice().contains(&place));
}
