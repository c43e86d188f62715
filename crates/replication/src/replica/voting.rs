//! When this proxy votes on claims. A process that restarts has forgotten the claims that it granted before, so it grants
//! none until it has compared the claims it stores with all other voters.
//!
//! Invariant: a comparison counts as complete once the other's answer covered all that differs, the other counts this
//! proxy among the voters, and every record that this proxy lacked has come or was reported as no longer stored.

use super::{Action, LogEvent, Replica, STALL_TIMEOUT};
use crate::record_type::Tree;
use crate::wire::BucketHashes;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// In its first periods a proxy does not know all others, nor they it.
const SETTLING_IN_PERIODS: Micros = 2;

/// Whether this proxy votes, and the comparisons that it takes.
#[derive(Clone, Debug)]
pub(super) struct Voting {
    can_vote: bool,
    started_at: Micros,
    /// Comparisons that have begun, by the other proxy.
    comparisons: BTreeMap<String, Comparison>,
}

/// A comparison of claims with one other proxy.
#[derive(Clone, Debug)]
struct Comparison {
    requested_at: Micros,
    /// Hashes of the records that this proxy still lacks; none before the other has answered.
    missing: Option<BTreeSet<u64>>,
    /// The answer covered all that differs, and the other counts this proxy among the voters.
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

    fn is_stalled(&self, now: Micros) -> bool {
        now >= self.requested_at + STALL_TIMEOUT
    }
}

impl Voting {
    pub(super) fn new(now: Micros) -> Voting {
        Voting {
            can_vote: false,
            started_at: now,
            comparisons: BTreeMap::new(),
        }
    }

    /// Whether this proxy has compared with all other voters.
    pub(super) fn can_vote(&self) -> bool {
        self.can_vote
    }
}

impl Replica {
    /// Once a period: whether this proxy votes, and requests to those that it has yet to compare with.
    pub(super) fn update_voting(&mut self, actions: &mut Vec<Action>) {
        if self.ledger.is_none() || !self.voters.membership_agreed {
            return;
        }
        let can_vote = self.has_compared_with_all();
        if can_vote && !self.voting.can_vote {
            let elapsed = self.now - self.voting.started_at;
            actions.push(Action::Log(LogEvent::VotingStarted { elapsed }));
        }
        self.voting.can_vote = can_vote;
        for peer in self.peers_to_compare_with() {
            self.request_comparison(peer, actions);
        }
    }

    /// Whether this proxy has settled in and compared with all voters. Those that are gone are missed by the keys that
    /// they own with this proxy only.
    fn has_compared_with_all(&self) -> bool {
        let settled_at = self.voting.started_at + SETTLING_IN_PERIODS * self.settings.period;
        if self.now < settled_at || self.catch_up.is_some() {
            return false;
        }
        let voters = self.voters.members.keys();
        voters
            .filter(|name| **name != self.name)
            .all(|name| self.voters.compared_with.contains(name))
    }

    fn peers_to_compare_with(&self) -> Vec<String> {
        let pending = self
            .peers
            .iter()
            .filter(|(_, state)| state.is_voter && !state.compared && state.peer.alive);
        pending.map(|(name, _)| name.clone()).collect()
    }

    fn request_comparison(&mut self, peer: String, actions: &mut Vec<Action>) {
        let running = self.voting.comparisons.get(&peer);
        if running.is_some_and(|comparison| !comparison.is_stalled(self.now)) {
            return;
        }
        self.voting
            .comparisons
            .insert(peer.clone(), Comparison::new(self.now));
        self.send_bucket_digests(&peer, Tree::Claims, actions);
    }

    /// Another proxy has answered with its claims, of which this proxy lacks some.
    pub(super) fn continue_comparison(
        &mut self,
        from: &str,
        theirs: BucketHashes,
        missing: &BTreeSet<u64>,
    ) {
        let Some(comparison) = self.voting.comparisons.get_mut(from) else {
            return;
        };
        comparison.missing = Some(missing.clone());
        comparison.covers_all = theirs.covers_all && theirs.receiver_votes;
        if !comparison.covers_all {
            // The next comparison finds the others: it begins at another bucket.
            comparison.requested_at = self.now - STALL_TIMEOUT;
        }
        self.add_unseen_voters(theirs.voters);
        self.update_voters();
        self.finish_comparison(from);
    }

    /// Another proxy has sent records that this one requested, or reported that they are no longer stored.
    pub(super) fn complete_record_requests(&mut self, from: &str, answered: &BTreeSet<u64>) {
        let comparison = self.voting.comparisons.get_mut(from);
        if let Some(missing) = comparison.and_then(|comparison| comparison.missing.as_mut()) {
            missing.retain(|hash| !answered.contains(hash));
            self.finish_comparison(from);
        }
    }

    fn finish_comparison(&mut self, peer: &str) {
        let comparison = self.voting.comparisons.get(peer);
        if !comparison.is_some_and(Comparison::is_complete) {
            return;
        }
        self.voting.comparisons.remove(peer);
        if let Some(state) = self.peers.get_mut(peer) {
            state.compared = true;
        }
        self.update_voters();
    }
}
