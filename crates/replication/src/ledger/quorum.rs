//! The holder's side of a claim: it is requested from the owners of the key until a quorum grants it or time is up.

use super::claims::Stand;
use super::lookup::Phase;
use super::{Ledger, OwnerRequest, StepInput, StepOutput, Verdict};
use crate::kinds::{Claim, Ran};
use crate::mutant;
use crate::plan::Unwritten;
use crate::record::{entry, Key};
use crate::wire::{ClaimReply, ClaimRequest};
use crate::Micros;
use std::collections::BTreeMap;

/// Owners that have not granted a claim are asked again after this fraction of the time that is left.
const RETRY_FRACTION: Micros = 5;
/// But not sooner than this.
const RETRY_LEAST: Micros = 10_000;
/// Of two claims made at the same time each is made again after a random time up to this.
const CONFLICT_DELAY: Micros = 15_000;

impl Ledger {
    /// Claims a key anew, and asks its owners for their grant.
    pub(super) fn request_claim(
        &mut self,
        token: u64,
        first: Option<Micros>,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(lookup) = self.pending.get_mut(&token) else {
            return;
        };
        if matches!(lookup.phase, Phase::Waiting) {
            lookup.write_until = (input.now + lookup.write_time).min(lookup.answer_by());
        }
        if input.now >= lookup.write_until {
            return self.fail_to_write(token, input, out);
        }
        self.number_claim(token, first, input);
        if !self.hold_own_claim(token, input, out) {
            return self.fail_to_write(token, input, out);
        }
        self.send_requests(token, input, out);
    }

    /// Gives a lookup a new claim.
    fn number_claim(&mut self, token: u64, first: Option<Micros>, input: &StepInput) {
        let Some(lookup) = self.pending.get_mut(&token) else {
            return;
        };
        self.last_number += 1;
        self.tokens.remove(&lookup.claim_id.1);
        lookup.claim_id = (self.holder, self.last_number);
        lookup.takes_over = first;
        lookup.owners = input.electors.owners(&lookup.prefix, self.plan.copies);
        lookup.claim = Claim {
            holder: self.name.clone(),
            start: self.start,
            first: first.unwrap_or(input.now) as u64,
            ends: lookup.terms.expires as u64,
            body: None,
            current: false,
        };
    }

    /// Holds a lookup's new claim in this front's own map; false where there is no room to remember it.
    fn hold_own_claim(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) -> bool {
        let Some(lookup) = self.pending.get_mut(&token) else {
            return false;
        };
        let (key, entry) = lookup.record(Ran::Asked, input.now + self.plan.keep);
        if !input.merge(&key, entry, out) {
            lookup.claim_key = None;
            return false;
        }
        lookup.claim_key = Some(key);
        self.tokens.insert(lookup.claim_id.1, token);
        let (verdicts, until) = (BTreeMap::new(), lookup.write_until);
        lookup.phase = Phase::Requesting {
            verdicts,
            until,
            retry_at: input.now,
        };
        true
    }

    /// Asks the owners that have not granted the claim, this front itself among them where it is one.
    fn send_requests(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(lookup) = self.pending.get_mut(&token) else {
            return;
        };
        let Phase::Requesting {
            verdicts,
            until,
            retry_at,
        } = &mut lookup.phase
        else {
            return;
        };
        *retry_at = input.now + ((*until - input.now) / RETRY_FRACTION).max(RETRY_LEAST);
        let request = ClaimRequest {
            number: lookup.claim_id.1,
            claim: lookup
                .claim_key
                .as_ref()
                .and_then(|key| input.map.record(key)),
            owners: lookup.owners.clone(),
            take_over: lookup
                .takes_over
                .map_or(0, |first| (first + lookup.terms.window) as u64),
        };
        let granted = |owner: &String| verdicts.get(owner) == Some(&Verdict::Granted);
        let open: Vec<String> = lookup
            .owners
            .iter()
            .filter(|owner| !granted(owner))
            .cloned()
            .collect();
        for owner in open {
            if owner != self.name {
                out.requests.push(OwnerRequest {
                    to: owner,
                    request: request.clone(),
                });
                continue;
            }
            let (verdict, _) = self.judge(&request, input);
            self.note_verdict(token, &owner, verdict, input, out);
        }
    }

    /// An owner has answered.
    pub fn reply(
        &mut self,
        from: &str,
        reply: ClaimReply,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        for record in reply.claims {
            input.merge(&Key::of(&record), entry(&record), out);
        }
        let token = self.tokens.get(&reply.number).copied();
        if let (Some(token), Some(verdict)) = (token, Verdict::of(reply.verdict)) {
            self.note_verdict(token, from, verdict, input, out);
        }
    }

    fn note_verdict(
        &mut self,
        token: u64,
        from: &str,
        verdict: Verdict,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(lookup) = self.pending.get_mut(&token) else {
            return;
        };
        let Phase::Requesting { verdicts, .. } = &mut lookup.phase else {
            return;
        };
        if !lookup.owners.iter().any(|owner| owner == from) {
            return;
        }
        // What was granted stays granted: the owner holds it.
        if verdicts.get(from) != Some(&Verdict::Granted) {
            verdicts.insert(from.into(), verdict);
        }
        self.count_verdicts(token, input, out);
    }

    /// Lets a lookup through once a quorum has granted its claim, and withdraws the claim once no quorum can.
    fn count_verdicts(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(lookup) = self.pending.get(&token) else {
            return;
        };
        let quorum = if mutant("one-copy") {
            1
        } else {
            lookup.owners.len() / 2 + 1
        };
        let enough_fronts = input.electors.all.len() >= self.plan.fronts_least;
        if lookup.verdict_count(Verdict::Granted) >= quorum && enough_fronts {
            self.admit(token, input, out);
        } else if matches!(lookup.stand(input), Stand::Done { .. }) {
            // One owner's word is enough to know that it ran.
            self.release(token, input, out);
            self.consider(token, input, out);
        } else if lookup.verdict_count(Verdict::Held) > lookup.owners.len() - quorum {
            self.withdraw(token, input, out);
        }
    }

    /// Another claim conflicts at so many owners that this one can't be granted.
    fn withdraw(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        self.release(token, input, out);
        let Some(lookup) = self.pending.get_mut(&token) else {
            return;
        };
        if lookup.stand(input) != Stand::Free {
            return self.consider(token, input, out);
        }
        // Both were made at the same time, and the other has been withdrawn too.
        lookup.phase = Phase::Conflicted {
            retry_at: input.now + self.rng.i64(1..CONFLICT_DELAY),
        };
        self.counts.clashes += 1;
    }

    /// Asks again. If the owners of the key have changed it is claimed anew: nothing was sent yet.
    pub(super) fn retry_claim(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(lookup) = self.pending.get(&token) else {
            return;
        };
        if input.electors.owners(&lookup.prefix, self.plan.copies) == lookup.owners {
            return self.send_requests(token, input, out);
        }
        self.release(token, input, out);
        self.consider(token, input, out);
    }

    /// No quorum has granted the claim in time.
    pub(super) fn fail_to_write(
        &mut self,
        token: u64,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        self.counts.unwritten += 1;
        match self.plan.unwritten {
            // A claim that takes over is not sent on a guess: the other may have run.
            Unwritten::Serve
                if self
                    .pending
                    .get(&token)
                    .is_some_and(|lookup| lookup.takes_over.is_none()) =>
            {
                self.admit(token, input, out);
            }
            _ => self.refuse(token, input, out),
        }
    }

    /// Ends a claim by which nothing was sent, nor will be.
    pub(super) fn release(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(mut lookup) = self.pending.remove(&token) else {
            return;
        };
        self.mark(&mut lookup, Ran::Not, input, out);
        self.tokens.remove(&lookup.claim_id.1);
        self.pending.insert(token, lookup);
    }
}
