//! When this front vouches for effects. A process that restarts has forgotten the claims that it granted before, so it
//! grants none until it has compared the claims it holds with all other fronts that decide on effects.

use super::{Act, Replica, Told, STALLED};
use crate::kind::Tree;
use crate::wire::BucketHashes;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// In its first periods a front does not know all others, nor they it.
const YOUNG_PERIODS: Micros = 2;

/// Whether this front vouches, and the comparisons that it takes.
#[derive(Clone, Debug)]
pub(super) struct Vouching {
    pub(super) vouches: bool,
    since: Micros,
    /// Comparisons that have begun, by the other front.
    comparisons: BTreeMap<String, Comparison>,
}

/// A comparison of claims with one other front.
#[derive(Clone, Debug)]
struct Comparison {
    requested_at: Micros,
    /// Hashes of the records that this front still lacks; none before the other has answered.
    missing: Option<BTreeSet<u64>>,
    /// The answer covered all that differs, and the other counts this front among those that decide.
    covers_all: bool,
}

impl Comparison {
    fn new(requested_at: Micros) -> Comparison {
        Comparison {
            requested_at,
            missing: None,
            covers_all: false,
        }
    }

    fn is_complete(&self) -> bool {
        self.covers_all && self.missing.as_ref().is_some_and(BTreeSet::is_empty)
    }
}

impl Vouching {
    pub(super) fn new(now: Micros) -> Vouching {
        Vouching {
            vouches: false,
            since: now,
            comparisons: BTreeMap::new(),
        }
    }
}

impl Replica {
    /// Once a period: whether this front vouches, and requests to those that it has yet to compare with.
    pub(super) fn update_vouching(&mut self, acts: &mut Vec<Act>) {
        if self.ledger.is_none() || !self.electors.joined {
            return;
        }
        let vouches = self.may_vouch();
        if vouches && !self.vouching.vouches {
            acts.push(Act::Tell(Told::Vouches {
                took: self.now - self.vouching.since,
            }));
        }
        self.vouching.vouches = vouches;
        for peer in self.peers_to_compare_with() {
            self.request_comparison(peer, acts);
        }
    }

    /// It has compared with all. Those that are gone are missed by the keys that they own with this front only.
    fn may_vouch(&self) -> bool {
        let grown_up = self.vouching.since + YOUNG_PERIODS * self.plan.period;
        let young = self.now < grown_up || self.catch_up.is_some();
        let mut others = self.electors.all.keys().filter(|name| **name != self.name);
        !young && others.all(|name| self.electors.compared.contains(name))
    }

    fn peers_to_compare_with(&self) -> Vec<String> {
        let pending = self
            .peers
            .iter()
            .filter(|(_, state)| state.elector && !state.compared && state.peer.here);
        pending.map(|(name, _)| name.clone()).collect()
    }

    fn request_comparison(&mut self, peer: String, acts: &mut Vec<Act>) {
        let running = self.vouching.comparisons.get(&peer);
        if running.is_some_and(|comparison| self.now < comparison.requested_at + STALLED) {
            return;
        }
        self.vouching
            .comparisons
            .insert(peer.clone(), Comparison::new(self.now));
        self.send_bucket_digests(&peer, Tree::Effects, acts);
    }

    /// Another front has answered with its claims, of which this front lacks some.
    pub(super) fn continue_vouching(
        &mut self,
        from: &str,
        theirs: BucketHashes,
        missing: &BTreeSet<u64>,
    ) {
        let Some(comparison) = self.vouching.comparisons.get_mut(from) else {
            return;
        };
        comparison.missing = Some(missing.clone());
        comparison.covers_all = theirs.all && theirs.knows;
        if !comparison.covers_all {
            // The next comparison finds the others: it begins at another bucket.
            comparison.requested_at = self.now - STALLED;
        }
        self.add_unseen_electors(theirs.electors);
        self.update_electors();
        self.finish_comparison(from);
    }

    /// Another front has sent records that this one requested, or reported that they are gone.
    pub(super) fn complete_requests(&mut self, from: &str, answered: &BTreeSet<u64>) {
        let comparison = self.vouching.comparisons.get_mut(from);
        if let Some(missing) = comparison.and_then(|comparison| comparison.missing.as_mut()) {
            missing.retain(|hash| !answered.contains(hash));
            self.finish_comparison(from);
        }
    }

    fn finish_comparison(&mut self, peer: &str) {
        if !self
            .vouching
            .comparisons
            .get(peer)
            .is_some_and(Comparison::is_complete)
        {
            return;
        }
        self.vouching.comparisons.remove(peer);
        if let Some(state) = self.peers.get_mut(peer) {
            state.compared = true;
        }
        self.update_electors();
    }
}
