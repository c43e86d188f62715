//! The receiving proxy's side of a request: depending on the claims of the key, the ledger claims the key, waits for
//! another claim or answers; when an admitted request ends, it records the outcome.
//!
//! Invariants: each request gets at most one decision. A request whose claim would take over from one that may have run
//! is not rejected by the ledger but fails. (The router may reject it if its class allows repeats: a rejection by the
//! router promises that sending again is harmless.) A request beyond `MAX_PENDING` is rejected before the claims of its
//! key are looked up.

use super::claim_set::KeyStatus;
use super::pending_request::{PendingRequest, Phase};
use super::{Decision, Ledger, RequestOutcome, RequestTerms, StepInput, StepOutput};
use crate::mutant;
use crate::records::ClaimState;
use crate::Micros;

/// No attempt is sent within this time before the origin's deduplication window ends: an attempt takes time to
/// arrive, and clocks differ.
const DEDUP_WINDOW_MARGIN: Micros = 500_000;
/// Retry-After of a rejection: by then claims and views of the membership have converged.
const RETRY_AFTER: Micros = 200_000;
/// Maximum number of requests that have not ended.
const MAX_PENDING: usize = 20_000;

impl Ledger {
    /// Starts a keyed request. The decision on it is made in this step or in a later one.
    pub fn begin_request(
        &mut self,
        token: u64,
        key: &[u8],
        terms: RequestTerms,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        self.counts.requests += 1;
        if self.pending.len() >= MAX_PENDING {
            self.counts.rejected += 1;
            out.decisions.push(rejection(token));
            return;
        }
        let budget = terms.latency_budget as f64 * self.settings.quorum_budget_fraction;
        let request = PendingRequest::new(token, key, terms, budget as Micros);
        self.pending.insert(token, request);
        self.evaluate_request(token, input, out);
    }

    /// Claims the key, waits or decides, depending on the known claims to the request's key.
    pub(super) fn evaluate_request(
        &mut self,
        token: u64,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(request) = self.pending.get(&token) else {
            return;
        };
        match request.key_status(input) {
            KeyStatus::Unclaimed => self.request_claim(token, None, input, out),
            KeyStatus::InProgress { .. } => self.wait(token, input, out),
            KeyStatus::OutcomeLost { first_sent_at } => {
                self.take_over_claim(token, first_sent_at, input, out);
            }
            KeyStatus::Completed {
                current,
                body: Some(body),
            } => {
                let decision = Decision::Replay {
                    token,
                    current,
                    body,
                };
                self.decide(decision, out);
            }
            // The request has run, but its response was too long to store.
            KeyStatus::Completed { body: None, .. } => self.decide(Decision::Fail { token }, out),
        }
    }

    /// Waits for the outcome of another claim; fails the request once no time is left to respond.
    fn wait(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        if !matches!(request.phase, Phase::Waiting) {
            self.counts.waited += 1;
        }
        request.phase = Phase::Waiting;
        if input.now >= request.respond_by() {
            self.decide(Decision::Fail { token }, out);
        }
    }

    /// Takes over from a claim with a lost outcome, if the origin still drops repeats of that claim's attempts. A new
    /// attempt then returns the outcome of the first one, or is the first to run.
    fn take_over_claim(
        &mut self,
        token: u64,
        first_sent_at: Micros,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(request) = self.pending.get(&token) else {
            return;
        };
        let window = request.terms.dedup_window;
        let send_until = first_sent_at + window - DEDUP_WINDOW_MARGIN;
        // The margin is applied a second time, because the claim takes time before an attempt can be sent.
        if window > 0 && input.now + DEDUP_WINDOW_MARGIN < send_until {
            self.request_claim(token, Some(first_sent_at), input, out);
        } else {
            self.decide(Decision::Fail { token }, out);
        }
    }

    /// Ends a request with a decision other than to admit it.
    fn decide(&mut self, decision: Decision, out: &mut StepOutput) {
        let (token, count) = match &decision {
            Decision::Admit { .. } => return,
            Decision::Replay { token, .. } => (token, &mut self.counts.replayed),
            Decision::Fail { token } => (token, &mut self.counts.failed),
            Decision::Reject { token, .. } => (token, &mut self.counts.rejected),
        };
        *count += 1;
        if let Some(request) = self.pending.remove(token) {
            self.tokens_by_claim.remove(&request.claim_id.1);
        }
        out.decisions.push(decision);
    }

    /// Rejects a request whose claim was not granted in time. If the claim would have taken over from one that may have
    /// run, the request fails instead.
    pub(super) fn reject(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let is_takeover = self
            .pending
            .get(&token)
            .is_some_and(|request| request.takeover_first_sent_at.is_some());
        self.release_claim(token, input, out);
        let decision = if is_takeover {
            Decision::Fail { token }
        } else {
            rejection(token)
        };
        self.decide(decision, out);
    }

    /// Admits a request, and records that its claim may have run from now on.
    pub(super) fn admit(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(mut request) = self.pending.remove(&token) else {
            return;
        };
        request.phase = Phase::Admitted;
        self.counts.granted += 1;
        let mut send_until = request.terms.deadline;
        if let Some(first_sent_at) = request.takeover_first_sent_at {
            self.counts.takeovers += 1;
            let window_end = first_sent_at + request.terms.dedup_window;
            send_until = send_until.min(window_end - DEDUP_WINDOW_MARGIN);
        }
        self.update_own_claim(&mut request, ClaimState::MayHaveRun, input, out);
        let earlier_may_have_run = request.takeover_first_sent_at.is_some();
        self.pending.insert(token, request);
        out.decisions.push(Decision::Admit {
            token,
            send_until,
            earlier_may_have_run,
        });
    }

    /// Records the outcome of an admitted request.
    pub fn finish_request(
        &mut self,
        token: u64,
        outcome: RequestOutcome,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(mut request) = self.pending.remove(&token) else {
            return;
        };
        self.tokens_by_claim.remove(&request.claim_id.1);
        let mut state = match outcome {
            RequestOutcome::NotRun => ClaimState::NotRun,
            RequestOutcome::MayHaveRun => ClaimState::OutcomeLost,
            RequestOutcome::Ran { current, body } => {
                let fits = body.len() <= self.settings.max_body_bytes;
                request.claim.body = fits.then_some(body);
                request.claim.current = current;
                ClaimState::Completed
            }
        };
        if mutant("forgets-outcome") {
            state = ClaimState::NotRun;
        }
        self.update_own_claim(&mut request, state, input, out);
    }

    /// Cancels a request whose client has disconnected. Returns true if the request was still undecided, so that no
    /// attempt of it was sent.
    pub fn cancel_request(
        &mut self,
        token: u64,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) -> bool {
        let request = self.pending.get(&token);
        if request.is_none_or(PendingRequest::is_admitted) {
            return false;
        }
        self.release_claim(token, input, out);
        self.pending.remove(&token);
        true
    }
}

fn rejection(token: u64) -> Decision {
    Decision::Reject {
        token,
        retry_after: RETRY_AFTER,
    }
}
