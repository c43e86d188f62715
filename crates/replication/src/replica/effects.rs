//! Connects the ledger of side effects to the replica: keyed requests that this proxy receives, and votes on the claims
//! of other proxies.

use super::{Action, Replica};
use crate::ledger::{Ledger, RequestOutcome, RequestTerms, StepInput, StepOutput};
use crate::record::Key;
use crate::records;
use crate::wire::{Body, ClaimReply, ClaimRequest, Record, Records};
use crate::Micros;
use std::collections::BTreeMap;

impl Replica {
    /// Starts a keyed request. The ledger's decision on it follows as an action. Returns false if there is no ledger.
    pub fn begin_request(
        &mut self,
        now: Micros,
        token: u64,
        key: &[u8],
        terms: RequestTerms,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.advance(now);
        self.with_ledger(actions, |ledger, input, out| {
            ledger.begin_request(token, key, terms, input, out);
        })
    }

    /// Records the outcome of a request that the ledger admitted.
    pub fn finish_request(
        &mut self,
        now: Micros,
        token: u64,
        outcome: RequestOutcome,
        actions: &mut Vec<Action>,
    ) {
        self.advance(now);
        self.with_ledger(actions, |ledger, input, out| {
            ledger.finish_request(token, outcome, input, out);
        });
    }

    /// Cancels a request whose client has disconnected. Returns true if no attempt of the request was sent.
    pub fn cancel_request(&mut self, now: Micros, token: u64, actions: &mut Vec<Action>) -> bool {
        self.advance(now);
        let mut unsent = false;
        self.with_ledger(actions, |ledger, input, out| {
            unsent = ledger.cancel_request(token, input, out);
        });
        unsent
    }

    /// Runs one step of the ledger and processes its output. Returns false if there is no ledger.
    pub(super) fn with_ledger(
        &mut self,
        actions: &mut Vec<Action>,
        step: impl FnOnce(&mut Ledger, &mut StepInput, &mut StepOutput),
    ) -> bool {
        let Some(ledger) = &mut self.ledger else {
            return false;
        };
        let mut input = StepInput {
            now: self.now,
            map: &mut self.map,
            voters: &self.voters,
        };
        let mut out = StepOutput::default();
        step(ledger, &mut input, &mut out);
        self.send_ended_claims(&out.changed_keys, actions);
        for request in out.requests {
            self.send(&request.to, Body::ClaimRequest(request.request), actions);
        }
        for key in out.changed_keys {
            self.queue_rumor(key);
        }
        actions.extend(out.decisions.into_iter().map(Action::Decision));
        true
    }

    /// Sends claims that have ended to the owners of their keys immediately. Requests that wait for the outcome are
    /// decided there, and rumors take several rounds.
    fn send_ended_claims(&mut self, changed_keys: &[Key], actions: &mut Vec<Action>) {
        for (owner, records) in self.ended_claims(changed_keys) {
            self.send(&owner, Body::Rumors(Records { records }), actions);
        }
    }

    /// The claims among the changed records that have ended, by owner of their key.
    fn ended_claims(&self, changed_keys: &[Key]) -> BTreeMap<String, Vec<Record>> {
        let mut by_owner: BTreeMap<String, Vec<Record>> = BTreeMap::new();
        let Some(ledger) = &self.ledger else {
            return by_owner;
        };
        for key in changed_keys {
            let Some(record) = self.ended_claim(key) else {
                continue;
            };
            for owner in ledger.other_owners(key, &self.voters) {
                by_owner.entry(owner).or_default().push(record.clone());
            }
        }
        by_owner
    }

    /// The claim with this key, if it has ended.
    fn ended_claim(&self, key: &Key) -> Option<Record> {
        let (state, _) = records::decode_claim(self.map.get(key)?)?;
        if state.is_open() {
            return None;
        }
        self.map.record(key)
    }

    /// Advances the requests that wait, because claims of other proxies may have changed.
    pub(super) fn update_waiting_requests(&mut self, actions: &mut Vec<Action>) {
        let has_requests = |ledger: &Ledger| ledger.open_requests() > 0;
        if self.ledger.as_ref().is_some_and(has_requests) {
            self.with_ledger(actions, |ledger, input, out| ledger.tick(input, out));
        }
    }

    /// Votes on another proxy's claim.
    pub(super) fn receive_claim_request(
        &mut self,
        from: &str,
        request: &ClaimRequest,
        actions: &mut Vec<Action>,
    ) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let mut input = StepInput {
            now: self.now,
            map: &mut self.map,
            voters: &self.voters,
        };
        let (vote, conflicting_claims) = ledger.vote(request, &mut input);
        let reply = ClaimReply {
            number: request.number,
            vote: vote as u32,
            conflicting_claims,
        };
        self.send(from, Body::ClaimReply(reply), actions);
    }
}
