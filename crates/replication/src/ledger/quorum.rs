//! The holder's side of a claim: it requests votes from the owners of the key until a quorum grants the claim or the
//! deadline has passed.
//!
//! Invariants: each claim gets a new number, so late votes on an earlier claim are ignored. A claim that is released is
//! recorded as not run before its request is processed further.

use super::claim_set::KeyStatus;
use super::pending_request::{PendingRequest, Phase};
use super::{Ledger, OwnerRequest, StepInput, StepOutput, Vote};
use crate::mutant;
use crate::record::{Entry, Key};
use crate::records::{Claim, ClaimState};
use crate::settings::WithoutQuorum;
use crate::wire::{ClaimReply, ClaimRequest};
use crate::Micros;
use std::collections::BTreeMap;

/// Owners that have not granted a claim are requested again after the remaining time divided by this number.
const RETRY_DIVISOR: Micros = 5;
/// Minimum time before the owners of a claim are requested again.
const MIN_RETRY_INTERVAL: Micros = 10_000;
/// Maximum random back-off before a claim is made again after a conflict with a simultaneous claim.
const MAX_CONFLICT_BACKOFF: Micros = 15_000;

impl Ledger {
    /// Makes a new claim to the request's key and requests the votes of its owners. `takeover_first_sent_at` is set
    /// if the claim takes over from another, the first attempt of which may have been sent at that time.
    pub(super) fn request_claim(
        &mut self,
        token: u64,
        takeover_first_sent_at: Option<Micros>,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        if matches!(request.phase, Phase::Waiting) {
            let budget_end = input.now + request.quorum_budget;
            request.quorum_deadline = budget_end.min(request.respond_by());
        }
        if input.now >= request.quorum_deadline {
            return self.give_up_quorum(token, input, out);
        }
        self.assign_claim(token, takeover_first_sent_at, input);
        if !self.store_own_claim(token, input, out) {
            return self.give_up_quorum(token, input, out);
        }
        self.request_votes(token, input, out);
    }

    /// Assigns a new claim to a request.
    fn assign_claim(
        &mut self,
        token: u64,
        takeover_first_sent_at: Option<Micros>,
        input: &StepInput,
    ) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        self.last_claim_number += 1;
        self.tokens_by_claim.remove(&request.claim_id.1);
        request.claim_id = (self.holder_id, self.last_claim_number);
        request.takeover_first_sent_at = takeover_first_sent_at;
        request.owners = input
            .voters
            .owners(&request.prefix, self.settings.owners_per_key);
        request.claim = Claim {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            first_sent_at: takeover_first_sent_at.unwrap_or(input.now) as u64,
            deadline: request.terms.deadline as u64,
            body: None,
            current: false,
        };
    }

    /// Stores a request's new claim in this proxy's own map. Returns false if there is no capacity for it.
    fn store_own_claim(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) -> bool {
        let Some(request) = self.pending.get_mut(&token) else {
            return false;
        };
        let expires_at = input.now + self.settings.claim_retention;
        let (key, entry) = request.claim_record(ClaimState::Requested, expires_at);
        if !input.merge(&key, entry, out) {
            request.claim_key = None;
            return false;
        }
        request.claim_key = Some(key);
        self.tokens_by_claim.insert(request.claim_id.1, token);
        request.phase = Phase::Requesting {
            votes: BTreeMap::new(),
            deadline: request.quorum_deadline,
            retry_at: input.now,
        };
        true
    }

    /// Requests the votes of the owners that have not granted the claim. If this proxy is one of them, it votes at
    /// once.
    fn request_votes(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        let message = vote_request(request, input);
        let Phase::Requesting {
            votes,
            deadline,
            retry_at,
        } = &mut request.phase
        else {
            return;
        };
        *retry_at = input.now + ((*deadline - input.now) / RETRY_DIVISOR).max(MIN_RETRY_INTERVAL);
        let mut remaining = request.owners.clone();
        remaining.retain(|owner| votes.get(owner) != Some(&Vote::Granted));
        for owner in remaining {
            if owner != self.name {
                out.requests.push(OwnerRequest {
                    to: owner,
                    request: message.clone(),
                });
                continue;
            }
            let (vote, _) = self.vote(&message, input);
            self.record_vote(token, &owner, vote, input, out);
        }
    }

    /// Processes the vote of an owner.
    pub fn receive_vote(
        &mut self,
        from: &str,
        reply: ClaimReply,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        for record in reply.conflicting_claims {
            input.merge(&Key::from_wire(&record), Entry::from_wire(&record), out);
        }
        let token = self.tokens_by_claim.get(&reply.number).copied();
        if let (Some(token), Some(vote)) = (token, Vote::from_wire(reply.vote)) {
            self.record_vote(token, from, vote, input, out);
        }
    }

    fn record_vote(
        &mut self,
        token: u64,
        from: &str,
        vote: Vote,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        let Phase::Requesting { votes, .. } = &mut request.phase else {
            return;
        };
        if !request.owners.iter().any(|owner| owner == from) {
            return;
        }
        // A granted vote is final: the owner has stored the claim.
        if votes.get(from) != Some(&Vote::Granted) {
            votes.insert(from.into(), vote);
        }
        self.count_votes(token, input, out);
    }

    /// Admits a request once a quorum has granted its claim, and withdraws the claim once no quorum can.
    fn count_votes(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(request) = self.pending.get(&token) else {
            return;
        };
        let owners = request.owners.len();
        let quorum = if mutant("one-copy") {
            1
        } else {
            owners / 2 + 1
        };
        let enough_voters = input.voters.members.len() >= self.settings.min_voters;
        if request.vote_count(Vote::Granted) >= quorum && enough_voters {
            self.admit(token, input, out);
        } else if matches!(request.key_status(input), KeyStatus::Completed { .. }) {
            // The record of a single owner is enough to prove that the request ran.
            self.release_claim(token, input, out);
            self.evaluate_request(token, input, out);
        } else if request.vote_count(Vote::Conflict) > owners - quorum {
            self.withdraw_claim(token, input, out);
        }
    }

    /// Withdraws a claim that conflicts with another at so many owners that no quorum can grant it.
    fn withdraw_claim(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        self.release_claim(token, input, out);
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        if request.key_status(input) != KeyStatus::Unclaimed {
            return self.evaluate_request(token, input, out);
        }
        // The two claims were made at the same time, and the other one has been withdrawn too.
        request.phase = Phase::Conflicted {
            retry_at: input.now + self.rng.i64(1..MAX_CONFLICT_BACKOFF),
        };
        self.counts.conflicts += 1;
    }

    /// Requests the missing votes again. If the owners of the key have changed, the claim is released and the key
    /// claimed anew, which is safe because no attempt has been sent.
    pub(super) fn retry_claim(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(request) = self.pending.get(&token) else {
            return;
        };
        let count = self.settings.owners_per_key;
        if input.voters.owners(&request.prefix, count) == request.owners {
            return self.request_votes(token, input, out);
        }
        self.release_claim(token, input, out);
        self.evaluate_request(token, input, out);
    }

    /// Admits or rejects a request whose claim no quorum has granted in time, depending on the settings.
    pub(super) fn give_up_quorum(
        &mut self,
        token: u64,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        self.counts.without_quorum += 1;
        let request = self.pending.get(&token);
        // A request that takes over is never sent without a quorum, because the earlier claim may have run.
        let is_first = request.is_some_and(|request| request.takeover_first_sent_at.is_none());
        if self.settings.without_quorum == WithoutQuorum::Send && is_first {
            self.admit(token, input, out);
        } else {
            self.reject(token, input, out);
        }
    }

    /// Ends a claim as not run. No attempt was sent under it, and none will be.
    pub(super) fn release_claim(
        &mut self,
        token: u64,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(mut request) = self.pending.remove(&token) else {
            return;
        };
        self.update_own_claim(&mut request, ClaimState::NotRun, input, out);
        self.tokens_by_claim.remove(&request.claim_id.1);
        self.pending.insert(token, request);
    }
}

/// The vote request for a request's claim.
fn vote_request(request: &PendingRequest, input: &StepInput) -> ClaimRequest {
    let takeover_until = |first_sent_at| (first_sent_at + request.terms.dedup_window) as u64;
    ClaimRequest {
        number: request.claim_id.1,
        claim: request
            .claim_key
            .as_ref()
            .and_then(|key| input.map.record(key)),
        owners: request.owners.clone(),
        takeover_until: request.takeover_first_sent_at.map_or(0, takeover_until),
    }
}
