//! Claims of requests with an effect, at the ledger that the proxies share: such a request runs at one proxy at a time.
//!
//! A claim is made when the request is admitted (`ClaimState::Pending`). The ledger grants it, answers with the result
//! of an earlier run, fails or rejects the request. A granted claim ends with the request's response, or when its client
//! leaves, and the ledger is told whether an attempt may have run.

use super::request_table::ClaimState;
use super::response::Response;
use super::Proxy;
use meadowrill_replication::ledger::{End, Terms, Word};
use meadowrill_routing::interface::Micros;
use slog::debug;

impl Proxy {
    /// Claims the effect of a request; true where it has to wait for the ledger's decision.
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
        let terms = Terms {
            expires: request.deadline,
            budget: class.admission.latency_budget,
            window: class.deduplication_window,
        };
        let Some(peers) = &mut self.fleet.peers else {
            return false;
        };
        let token = u64::from(id);
        let claimed =
            peers.with_replica(|replica, acts| replica.ask(now, token, &key, terms, acts));
        if claimed != Some(true) {
            return false;
        }
        request.claim = ClaimState::Pending;
        self.with_fleet(now, |peers, poll| peers.dispatch(now, poll));
        true
    }

    /// The ledger has decided on a claim.
    pub(super) fn apply_claim_decision(&mut self, decision: Word, now: Micros) {
        let id = match &decision {
            Word::Go { token, .. }
            | Word::Answer { token, .. }
            | Word::Fail { token }
            | Word::Refuse { token, .. } => *token as u32,
        };
        let request = self.requests.get_mut(id);
        let Some(request) = request.filter(|request| request.awaits_response) else {
            return;
        };
        debug!(self.log, "ledger decided on a claim"; "request" => request.message.request_id.as_str(),
            "decision" => ?decision);
        request.claim = ClaimState::None;
        match decision {
            Word::Go { until, again, .. } => {
                request.claim = ClaimState::Granted {
                    earlier_may_have_run: again,
                };
                request.deadline = request.deadline.min(until);
                self.queue_for_router(id);
            }
            Word::Answer { current, body, .. } => {
                let body = &body;
                self.respond(id, &Response::Success { current, body }, now);
            }
            Word::Fail { .. } => self.respond(id, &Response::Failed, now),
            Word::Refuse { come_back, .. } => {
                let retry_after = come_back.min(self.config.max_retry_after);
                self.reject_request(id, retry_after, now);
            }
        }
    }

    /// Ends the claim of a request that is answered, or whose client has left. `result` is what a successful attempt
    /// brought: whether the client's own copy is current, and the body.
    pub(super) fn end_claim(&mut self, id: u32, result: Option<(bool, Vec<u8>)>, now: Micros) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let claim = std::mem::replace(&mut request.claim, ClaimState::None);
        let token = u64::from(id);
        let end = match (result, request.may_have_run()) {
            (Some((current, body)), _) => End::Ran { current, body },
            (None, true) => End::MayHaveRun,
            (None, false) => End::NotRun,
        };
        let Some(peers) = &mut self.fleet.peers else {
            return;
        };
        match claim {
            ClaimState::None => return,
            ClaimState::Pending => {
                peers.with_replica(|replica, acts| replica.left(now, token, acts));
            }
            ClaimState::Granted { .. } => {
                peers.with_replica(|replica, acts| replica.end(now, token, end, acts));
            }
        }
        self.with_fleet(now, |peers, poll| peers.dispatch(now, poll));
    }
}
