//! The proxy that receives a request: by the claims of the key it claims it, waits, or answers; and the request's end.
//!
//! Invariants: each request gets one decision at most; the ledger never rejects a request that may have run under an earlier
//! claim. (The router may reject one whose class allows repeats: its rejections promise that sending again is harmless.)

use super::claim_set::KeyStatus;
use super::pending_request::{PendingRequest, Phase};
use super::{Decision, Ledger, RequestOutcome, RequestTerms, StepInput, StepOutput};
use crate::mutant;
use crate::records::ClaimState;
use crate::Micros;

/// Nothing is sent so shortly before the end of an origin's window: an attempt takes time to arrive, and clocks differ.
const DEDUP_WINDOW_MARGIN: Micros = 500_000;
/// Retry-After of a rejection: claims and views of the membership have settled by then.
const RETRY_AFTER: Micros = 200_000;
/// Requests that have not ended.
const MAX_PENDING: usize = 20_000;

impl Ledger {
    /// A keyed request came: a decision on it comes at once or later.
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
        self.consider_request(token, input, out);
    }

    /// Does what the known claims of its key call for.
    pub(super) fn consider_request(
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
                self.take_over(token, first_sent_at, input, out);
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
            // The response was too long to store: it is known to have run, and nothing more.
            KeyStatus::Completed { body: None, .. } => self.decide(Decision::Fail { token }, out),
        }
    }

    /// Waits for another's outcome.
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

    /// Claims the key after a claim whose outcome is lost, while the origin still drops repeats of its attempts: a new
    /// attempt brings the first one's outcome, or is the first to run.
    fn take_over(
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
        // The margin once more: what is claimed now still needs time to be sent.
        if window > 0 && input.now + DEDUP_WINDOW_MARGIN < send_until {
            self.request_claim(token, Some(first_sent_at), input, out);
        } else {
            self.decide(Decision::Fail { token }, out);
        }
    }

    /// Decides on a request that is not admitted.
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

    /// Rejects a request whose claim was not granted in time. Where it would have taken over from a claim that may have
    /// run, it fails instead.
    pub(super) fn reject(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let takes_over = self
            .pending
            .get(&token)
            .is_some_and(|request| request.takes_over.is_some());
        self.release_claim(token, input, out);
        let decision = if takes_over {
            Decision::Fail { token }
        } else {
            rejection(token)
        };
        self.decide(decision, out);
    }

    /// Admits a request.
    pub(super) fn admit(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(mut request) = self.pending.remove(&token) else {
            return;
        };
        request.phase = Phase::Admitted;
        self.counts.granted += 1;
        let mut send_until = request.terms.deadline;
        if let Some(first_sent_at) = request.takes_over {
            self.counts.takeovers += 1;
            let window_end = first_sent_at + request.terms.dedup_window;
            send_until = send_until.min(window_end - DEDUP_WINDOW_MARGIN);
        }
        self.update_own_claim(&mut request, ClaimState::MayHaveRun, input, out);
        let earlier_may_have_run = request.takes_over.is_some();
        self.pending.insert(token, request);
        out.decisions.push(Decision::Admit {
            token,
            send_until,
            earlier_may_have_run,
        });
    }

    /// A request that was admitted has ended.
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

    /// The client of a request has gone. True if the request was not admitted, so that nothing of it was sent.
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
