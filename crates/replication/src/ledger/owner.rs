//! The owner's side of a claim: whether this front grants it and holds it from then on.

use super::claims::{claims, is_abandoned, shared_prefix};
use super::{Electors, Ledger, StepInput, Verdict};
use crate::kind::Kind;
use crate::kinds::{self, Claim, Ran};
use crate::map::Took;
use crate::mutant;
use crate::record::{entry, Key};
use crate::wire::{ClaimRequest, Record};
use std::collections::BTreeSet;

impl Ledger {
    /// The verdict on a requested claim, and the claims that conflict with it. What is granted is held from here on.
    pub fn judge(
        &mut self,
        request: &ClaimRequest,
        input: &mut StepInput,
    ) -> (Verdict, Vec<Record>) {
        let Some(record) = request
            .claim
            .as_ref()
            .filter(|record| record.kind == Kind::Effect as u32)
        else {
            return (Verdict::Differs, Vec::new());
        };
        let key = Key::of(record);
        let owners = input.electors.owners(shared_prefix(&key), self.plan.copies);
        if owners != request.owners && !mutant("any-owner") {
            return (Verdict::Differs, Vec::new());
        }
        if !self.vouches_among(&request.owners, input.electors) && !mutant("vouches-at-once") {
            return (Verdict::NotYet, Vec::new());
        }
        let Some((_, claim)) = kinds::read_effect(&entry(record)) else {
            return (Verdict::Differs, Vec::new());
        };
        let conflicting = conflicting_claims(&key, &claim, request.take_over > 0, input);
        if !conflicting.is_empty() && !mutant("grants-all") {
            return (Verdict::Held, conflicting);
        }
        (hold(key, record, input), Vec::new())
    }

    /// Whether this front knows all that it may have granted before its start: it granted that together with one of the
    /// key's other owners, so it has compared with each of them.
    fn vouches_among(&self, owners: &[String], electors: &Electors) -> bool {
        let known = |owner: &String| *owner == self.name || electors.compared.contains(owner);
        electors.joined && owners.iter().all(known)
    }

    /// The other owners of a claim's key: they are told at once when the claim ends.
    pub fn owners(&self, claim: &Key, electors: &Electors) -> BTreeSet<String> {
        let owners = electors.owners(shared_prefix(claim), self.plan.copies);
        owners
            .into_iter()
            .filter(|owner| *owner != self.name)
            .collect()
    }
}

/// The claims of the same key that stand in the way of this one.
fn conflicting_claims(
    key: &Key,
    claim: &Claim,
    takes_over: bool,
    input: &StepInput,
) -> Vec<Record> {
    let mut conflicting = Vec::new();
    for (other_key, state, other) in claims(input.map, shared_prefix(key), Some(key)) {
        // The origin drops repeats of the other's sends for as long as the requester will send.
        let covered = takes_over && other.first >= claim.first;
        let conflicts = match state {
            Ran::Not => false,
            Ran::Done => true,
            Ran::Lost => !covered,
            Ran::Asked | Ran::May => !(covered && is_abandoned(&other, input.electors, input.now)),
        };
        if conflicts {
            conflicting.extend(input.map.record(other_key));
        }
    }
    conflicting
}

/// Holds a claim, if there is room for it.
fn hold(key: Key, record: &Record, input: &mut StepInput) -> Verdict {
    if input.map.get(&key).is_none() && !input.map.room(Kind::Effect) {
        return Verdict::Full;
    }
    match input.map.merge(key, entry(record), input.now) {
        Took::New(_) | Took::Known => Verdict::Granted,
        Took::Refused => Verdict::Full,
    }
}
