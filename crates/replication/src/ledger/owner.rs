//! The owner's side of a claim: this proxy votes on a claim, and stores it if it grants it.
//!
//! Invariant: an owner grants no claim while it stores a conflicting one, and never evicts a claim that it granted.

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
    /// Votes on a claim. Returns the vote and the claims that conflict. A granted claim is stored.
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

    /// Whether this proxy knows all claims that it may have granted before its start. Another owner of the key granted
    /// each of those as well, so this proxy knows them once it has compared its claims with each other owner.
    fn can_vote_among(&self, owners: &[String], voters: &Voters) -> bool {
        let is_known = |owner: &String| *owner == self.name || voters.compared_with.contains(owner);
        voters.membership_agreed && owners.iter().all(is_known)
    }

    /// The other owners of a claim's key, which are notified immediately when the claim ends.
    pub fn other_owners(&self, claim: &Key, voters: &Voters) -> BTreeSet<String> {
        let owners = voters.owners(shared_prefix(claim), self.settings.owners_per_key);
        owners
            .into_iter()
            .filter(|owner| *owner != self.name)
            .collect()
    }
}

/// The stored claims to the same key that conflict with this claim.
fn conflicting_claims(
    key: &Key,
    claim: &Claim,
    is_takeover: bool,
    input: &StepInput,
) -> Vec<Record> {
    let mut conflicting = Vec::new();
    for (other_key, state, other) in claims_of_key(input.map, shared_prefix(key), Some(key)) {
        // The origin drops repeats of the other claim's attempts for as long as the requester sends attempts.
        let is_deduplicated = is_takeover && other.first_sent_at >= claim.first_sent_at;
        let conflicts = match state {
            ClaimState::NotRun => false,
            ClaimState::Completed => true,
            ClaimState::OutcomeLost => !is_deduplicated,
            ClaimState::Requested | ClaimState::MayHaveRun => {
                !(is_deduplicated && is_abandoned(&other, input.voters, input.now))
            }
        };
        if conflicts {
            conflicting.extend(input.map.record(other_key));
        }
    }
    conflicting
}

/// Stores a claim if there is capacity for it.
fn store_claim(key: Key, record: &Record, input: &mut StepInput) -> Vote {
    if input.map.get(&key).is_none() && !input.map.has_capacity(RecordType::Claim) {
        return Vote::Full;
    }
    match input.map.merge(key, Entry::from_wire(record), input.now) {
        MergeOutcome::Merged { .. } | MergeOutcome::AlreadyKnown => Vote::Granted,
        MergeOutcome::Rejected => Vote::Full,
    }
}
