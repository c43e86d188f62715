//! Placement: the order in which endpoints are tried for a part of an object.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998) over
//! stable ids, without a seed. Proxies with the same endpoint list make the same choice. If one of them has an
//! outdated list, only the objects of the endpoints that differ are placed differently.

use crate::endpoint::{Endpoint, EndpointTable, Tier};
use crate::interface::EndpointIndex;
use crate::pending_request::PendingRequest;
use smallvec::SmallVec;

/// Number of candidates stored without heap allocation; each request builds several such lists.
const INLINE_CANDIDATES: usize = 16;
/// Part index used to rank the endpoints of a tier by the object alone.
pub(crate) const ANY_PART: u64 = 0;

/// Endpoints in order of preference, best first.
pub(crate) type Candidates = SmallVec<[EndpointIndex; INLINE_CANDIDATES]>;

/// The finalizer of SplitMix64 (Steele et al., 2014): flipping one bit of the input changes about half of the output
/// bits.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The score of an endpoint for a part of an object. The highest score wins; the probability of winning
/// is in proportion to the weight.
fn score(endpoint: &Endpoint, object: u64, part: u64) -> f64 {
    // Only caches have different weights: parents and the origin serve all zones alike.
    let weight = if endpoint.tier == Tier::Cache {
        endpoint.weight
    } else {
        1.0
    };
    let part = mix(part.wrapping_add(0x9e37_79b9_7f4a_7c15));
    let hash = mix(endpoint.stable_id ^ mix(object ^ part));
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}

impl EndpointTable {
    /// The endpoints of a tier that a request may still use, best first. `part` is the requested part, or
    /// [`ANY_PART`].
    pub(crate) fn candidates(&self, pending: &PendingRequest, tier: Tier, part: u64) -> Candidates {
        let object = pending.request.object;
        let usable = self
            .ready(tier)
            .filter(|(index, _)| !pending.excludes(*index));
        let scored = usable.map(|(index, endpoint)| (score(endpoint, object, part), index));
        let mut scored: SmallVec<[(f64, EndpointIndex); INLINE_CANDIDATES]> = scored.collect();
        scored.sort_unstable_by(|(a, first), (b, second)| b.total_cmp(a).then(first.cmp(second)));
        scored.into_iter().map(|(_, index)| index).collect()
    }
}
