//! Comparisons of claims with the other voters after a start. A process that restarts has lost the claims that it
//! granted before. So it votes on a key only once it has compared its claims with all other owners of the key (see
//! [`crate::ledger`]), and on all keys once it has compared them with all other voters.
//!
//! Invariant: a comparison is complete once the other proxy's answer covered all differences, the other proxy counts
//! this one as a voter, and every record that this proxy lacked was received or reported as no longer stored.

use super::{Action, LogEvent, Replica, STALL_TIMEOUT};
use crate::record_type::Tree;
use crate::wire::BucketHashes;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Number of periods after its start in which a proxy may not know all others, nor they it.
const STARTUP_PERIODS: Micros = 2;

/// Whether this proxy has compared its claims with all other voters, and the comparisons in progress.
#[derive(Clone, Debug)]
pub(super) struct Voting {
    can_vote: bool,
    started_at: Micros,
    /// Comparisons that have started and are not complete, by the name of the other proxy.
    comparisons: BTreeMap<String, Comparison>,
}

/// A comparison of claims with one other proxy.
#[derive(Clone, Debug)]
struct Comparison {
    requested_at: Micros,
    /// Hashes of the records that this proxy still lacks; none before the other proxy has answered.
    missing: Option<BTreeSet<u64>>,
    /// Whether the answer covered all differences, and the other proxy counts this one as a voter.
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

    /// Whether this proxy has compared its claims with all other voters.
    pub(super) fn can_vote(&self) -> bool {
        self.can_vote
    }
}

impl Replica {
    /// Updates whether this proxy votes on all keys, and starts missing comparisons. Called once per period.
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

    /// Whether the first periods after the start are over and this proxy has compared its claims with all other voters.
    /// While a voter that was not compared is absent, this proxy does not vote on the keys that both own.
    fn has_compared_with_all(&self) -> bool {
        let startup_end = self.voting.started_at + STARTUP_PERIODS * self.settings.period;
        if self.now < startup_end || self.catch_up.is_some() {
            return false;
        }
        let voters = self.voters.members.keys();
        voters
            .filter(|name| **name != self.name)
            .all(|name| self.voters.compared_with.contains(name))
    }

    fn peers_to_compare_with(&self) -> Vec<String> {
        let uncompared = self
            .peers
            .iter()
            .filter(|(_, state)| state.is_voter && !state.compared && state.peer.alive);
        uncompared.map(|(name, _)| name.clone()).collect()
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

    /// Processes another proxy's answer. `missing` are the hashes of the claims that this proxy lacks.
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
            // The comparison is restarted in the next period. Its answer starts at another bucket, so that it covers
            // the remaining differences.
            comparison.requested_at = self.now - STALL_TIMEOUT;
        }
        self.add_unseen_voters(theirs.voters);
        self.update_voters();
        self.finish_comparison(from);
    }

    /// Removes the records that another proxy has sent, or reported as no longer stored, from the missing records.
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
