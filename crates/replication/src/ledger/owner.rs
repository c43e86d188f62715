//! The owner's side of a claim: whether this proxy grants it and stores it from then on.
//!
//! Invariant: an owner grants no claim while it stores one that conflicts, and what it granted it never evicts.

use super::claim_set::{claims_of_key, is_abandoned, shared_prefix};
use super::{Ledger, StepInput, Vote, Voters};
use crate::map::MergeOutcome;
use crate::mutant;
use crate::record::{Entry, Key};
use crate::record_type::RecordType;
use crate::records::{self, Claim, ClaimState};
use crate::wire::{ClaimRequest, Record};
use std::collections::BTreeSet;

impl Ledger {
    /// The vote on a requested claim, and the claims that conflict with it. What is granted is stored from here on.
    pub fn vote(&mut self, request: &ClaimRequest, input: &mut StepInput) -> (Vote, Vec<Record>) {
        let is_claim = |record: &&Record| record.record_type == RecordType::Claim as u32;
        let Some(record) = request.claim.as_ref().filter(is_claim) else {
            return (Vote::OwnersDiffer, Vec::new());
        };
        let key = Key::from_wire(record);
        let count = self.settings.owners_per_key;
        let owners = input.voters.owners(shared_prefix(&key), count);
        if owners != request.owners && !mutant("any-owner") {
            return (Vote::OwnersDiffer, Vec::new());
        }
        if !self.can_vote_among(&request.owners, input.voters) && !mutant("vouches-at-once") {
            return (Vote::NotReady, Vec::new());
        }
        let Some((_, claim)) = records::decode_claim(&Entry::from_wire(record)) else {
            return (Vote::OwnersDiffer, Vec::new());
        };
        let conflicting = conflicting_claims(&key, &claim, request.takeover_until > 0, input);
        if !conflicting.is_empty() && !mutant("grants-all") {
            return (Vote::Conflict, conflicting);
        }
        (store_claim(key, record, input), Vec::new())
    }

    /// Whether this proxy knows all that it may have granted before its start: it granted that together with one of the
    /// key's other owners, so it has compared with each of them.
    fn can_vote_among(&self, owners: &[String], voters: &Voters) -> bool {
        let is_known = |owner: &String| *owner == self.name || voters.compared_with.contains(owner);
        voters.membership_agreed && owners.iter().all(is_known)
    }

    /// The other owners of a claim's key: they are notified at once when the claim ends.
    pub fn other_owners(&self, claim: &Key, voters: &Voters) -> BTreeSet<String> {
        let owners = voters.owners(shared_prefix(claim), self.settings.owners_per_key);
        owners
            .into_iter()
            .filter(|owner| *owner != self.name)
            .collect()
    }
}

/// The claims of the same key that conflict with this one.
fn conflicting_claims(
    key: &Key,
    claim: &Claim,
    takes_over: bool,
    input: &StepInput,
) -> Vec<Record> {
    let mut conflicting = Vec::new();
    for (other_key, state, other) in claims_of_key(input.map, shared_prefix(key), Some(key)) {
        // The origin drops repeats of the other's attempts for as long as the requester will send.
        let covered = takes_over && other.first_sent_at >= claim.first_sent_at;
        let conflicts = match state {
            ClaimState::NotRun => false,
            ClaimState::Completed => true,
            ClaimState::OutcomeLost => !covered,
            ClaimState::Requested | ClaimState::MayHaveRun => {
                !(covered && is_abandoned(&other, input.voters, input.now))
            }
        };
        if conflicts {
            conflicting.extend(input.map.record(other_key));
        }
    }
    conflicting
}

/// Stores a claim, if there is capacity for it.
fn store_claim(key: Key, record: &Record, input: &mut StepInput) -> Vote {
    if input.map.get(&key).is_none() && !input.map.has_capacity(RecordType::Claim) {
        return Vote::Full;
    }
    match input.map.merge(key, Entry::from_wire(record), input.now) {
        MergeOutcome::Merged { .. } | MergeOutcome::AlreadyKnown => Vote::Granted,
        MergeOutcome::Rejected => Vote::Full,
    }
}
