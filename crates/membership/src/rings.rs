//! Observer rings, which determine the members that each member probes (Rapid, 2018).
//!
//! On each ring, members are ordered by a hash of their names, and each member observes its successor. Invariants:
//! proxies with the same view agree on all observers; each member has one observer per ring, if there are enough other
//! members; a member that joins or leaves changes only the observations of its neighbours.

use crate::hash::stable_hash;
use std::collections::BTreeSet;
use std::ops::Bound;

/// Maximum number of members that are visited on one ring.
const MAX_STEPS: usize = 8;
/// Number of members observed in addition to the first healthy one after an unhealthy member. If a member has died, its
/// neighbours may have died as well, and detecting these deaths one after the other takes one period each.
const STEPS_BEYOND_UNHEALTHY: usize = 2;

/// The positions of the members on all rings.
#[derive(Clone, Debug, Default)]
pub struct Rings {
    rings: Vec<BTreeSet<(u64, String)>>,
}

impl Rings {
    /// Creates `count` empty rings.
    pub fn new(count: usize) -> Rings {
        Rings {
            rings: vec![BTreeSet::new(); count],
        }
    }

    /// Adds a member to each ring.
    pub fn insert(&mut self, name: &str) {
        for (number, ring) in (0u64..).zip(&mut self.rings) {
            ring.insert((stable_hash(name, number), name.to_string()));
        }
    }

    /// Removes a member from each ring.
    pub fn remove(&mut self, name: &str) {
        for (number, ring) in (0u64..).zip(&mut self.rings) {
            ring.remove(&(stable_hash(name, number), name.to_string()));
        }
    }

    /// The members that a member observes, each once and without the member itself. The successors of an unhealthy
    /// member are observed as well, so that no member is without observers when most members die at once.
    pub fn observed_by(&self, name: &str, is_unhealthy: impl Fn(&str) -> bool) -> Vec<&str> {
        let mut observed = Vec::with_capacity(self.rings.len());
        for (number, ring) in (0u64..).zip(&self.rings) {
            let position = (stable_hash(name, number), name.to_string());
            let after = ring.range((Bound::Excluded(&position), Bound::Unbounded));
            collect_neighbours(
                after.chain(ring.range(..&position)),
                &is_unhealthy,
                &mut observed,
            );
        }
        observed
    }

    /// The observers of a member, by the same rule as [`Rings::observed_by`].
    pub fn observers_of(&self, name: &str, is_unhealthy: impl Fn(&str) -> bool) -> Vec<&str> {
        let mut observers = Vec::with_capacity(self.rings.len());
        for (number, ring) in (0u64..).zip(&self.rings) {
            let position = (stable_hash(name, number), name.to_string());
            let before = ring.range(..&position).rev();
            let after = ring
                .range((Bound::Excluded(&position), Bound::Unbounded))
                .rev();
            collect_neighbours(before.chain(after), &is_unhealthy, &mut observers);
        }
        observers
    }
}

/// Collects the first member of a ring and the members that follow each unhealthy one.
fn collect_neighbours<'a>(
    ring: impl Iterator<Item = &'a (u64, String)>,
    is_unhealthy: impl Fn(&str) -> bool,
    found: &mut Vec<&'a str>,
) {
    let mut steps_left = 0;
    for (_, next) in ring.take(MAX_STEPS) {
        if !found.contains(&next.as_str()) {
            found.push(next);
        }
        if is_unhealthy(next) {
            steps_left = STEPS_BEYOND_UNHEALTHY;
        } else if steps_left == 0 {
            break;
        } else {
            steps_left -= 1;
        }
    }
}
