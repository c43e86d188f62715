//! Claims at the shared ledger for requests with a side effect: such a request runs at one proxy at a time.
//!
//! A request is claimed when it is admitted (`ClaimState::Pending`). The ledger grants the claim, replays the result of
//! an earlier run, fails the request or rejects it. A granted claim ends with the response to the request, or when its
//! client disconnects. The ledger is then notified whether an attempt may have run.

use super::request_table::ClaimState;
use super::response::Response;
use super::Proxy;
use meadowrill_replication::ledger::{Decision, RequestOutcome, RequestTerms};
use meadowrill_routing::interface::Micros;
use slog::debug;

impl Proxy {
    /// Claims the side effect of a request. Returns true if the request has to wait for the ledger's decision.
    pub(super) fn claim_effect(&mut self, id: u32, now: Micros) -> bool {
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let class = &self.config.classes[request.class];
        let key = request.message.idempotency_key.as_ref();
        let Some(key) = key.filter(|_| class.has_effect) else {
            return false;
        };
        let key = [key.as_bytes(), b" ", class.name.as_bytes()].concat();
        let terms = RequestTerms {
            deadline: request.deadline,
            latency_budget: class.admission.latency_budget,
            dedup_window: class.deduplication_window,
        };
        let Some(peers) = &mut self.fleet.peers else {
            return false;
        };
        let token = u64::from(id);
        let claimed = peers.with_replica(|replica, actions| {
            replica.begin_request(now, token, &key, terms, actions)
        });
        if claimed != Some(true) {
            return false;
        }
        request.claim = ClaimState::Pending;
        self.with_fleet(now, |peers, poll| peers.dispatch(now, poll));
        true
    }

    /// Applies the ledger's decision on a claim.
    pub(super) fn apply_claim_decision(&mut self, decision: Decision, now: Micros) {
        let id = match &decision {
            Decision::Admit { token, .. }
            | Decision::Replay { token, .. }
            | Decision::Fail { token }
            | Decision::Reject { token, .. } => *token as u32,
        };
        let request = self.requests.get_mut(id);
        let Some(request) = request.filter(|request| request.awaits_response) else {
            return;
        };
        debug!(self.log, "ledger decided on a claim"; "request" => request.message.request_id.as_str(),
            "decision" => ?decision);
        request.claim = ClaimState::None;
        match decision {
            Decision::Admit {
                send_until,
                earlier_may_have_run,
                ..
            } => {
                request.claim = ClaimState::Granted {
                    earlier_may_have_run,
                };
                request.deadline = request.deadline.min(send_until);
                self.queue_for_router(id);
            }
            Decision::Replay { current, body, .. } => {
                let body = &body;
                self.respond(id, &Response::Success { current, body }, now);
            }
            Decision::Fail { .. } => self.respond(id, &Response::Failed, now),
            Decision::Reject { retry_after, .. } => {
                let retry_after = retry_after.min(self.config.max_retry_after);
                self.reject_request(id, retry_after, now);
            }
        }
    }

    /// Ends the claim of a request that is answered, or whose client has disconnected. `result` is the result of a
    /// successful attempt: whether the client's own copy is current, and the body.
    pub(super) fn end_claim(&mut self, id: u32, result: Option<(bool, Vec<u8>)>, now: Micros) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let claim = std::mem::replace(&mut request.claim, ClaimState::None);
        let token = u64::from(id);
        let outcome = match (result, request.may_have_run()) {
            (Some((current, body)), _) => RequestOutcome::Ran { current, body },
            (None, true) => RequestOutcome::MayHaveRun,
            (None, false) => RequestOutcome::NotRun,
        };
        let Some(peers) = &mut self.fleet.peers else {
            return;
        };
        match claim {
            ClaimState::None => return,
            ClaimState::Pending => {
                peers.with_replica(|replica, actions| replica.cancel_request(now, token, actions));
            }
            ClaimState::Granted { .. } => {
                peers.with_replica(|replica, actions| {
                    replica.finish_request(now, token, outcome, actions)
                });
            }
        }
        self.with_fleet(now, |peers, poll| peers.dispatch(now, poll));
    }
}
