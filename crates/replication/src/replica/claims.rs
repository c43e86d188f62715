//! The ledger of effects at work: keyed lookups of this front's own, and claims that other fronts ask it to grant.

use super::{Act, Replica};
use crate::kinds;
use crate::ledger::{End, Ledger, StepInput, StepOutput, Terms};
use crate::record::Key;
use crate::wire::{Body, ClaimReply, ClaimRequest, Record, Records};
use crate::Micros;
use std::collections::BTreeMap;

impl Replica {
    /// A keyed lookup came: the ledger's decisions on it follow as actions. False where there is no ledger.
    pub fn ask(
        &mut self,
        now: Micros,
        token: u64,
        key: &[u8],
        terms: Terms,
        acts: &mut Vec<Act>,
    ) -> bool {
        self.advance(now);
        self.with_ledger(acts, |ledger, input, out| {
            ledger.ask(token, key, terms, input, out)
        })
    }

    /// A lookup that the ledger let through has ended.
    pub fn end(&mut self, now: Micros, token: u64, end: End, acts: &mut Vec<Act>) {
        self.advance(now);
        self.with_ledger(acts, |ledger, input, out| {
            ledger.end(token, end, input, out)
        });
    }

    /// The client of a lookup has gone. True if nothing of the lookup was sent.
    pub fn left(&mut self, now: Micros, token: u64, acts: &mut Vec<Act>) -> bool {
        self.advance(now);
        let mut unsent = false;
        self.with_ledger(acts, |ledger, input, out| {
            unsent = ledger.left(token, input, out)
        });
        unsent
    }

    /// Runs one step of the ledger and carries out what it decided. False where there is no ledger.
    pub(super) fn with_ledger(
        &mut self,
        acts: &mut Vec<Act>,
        step: impl FnOnce(&mut Ledger, &mut StepInput, &mut StepOutput),
    ) -> bool {
        let Some(ledger) = &mut self.ledger else {
            return false;
        };
        let (now, electors) = (self.now, &self.electors);
        let mut out = StepOutput::default();
        step(
            ledger,
            &mut StepInput {
                now,
                map: &mut self.map,
                electors,
            },
            &mut out,
        );
        self.send_ended_claims(&out.changed, acts);
        for request in out.requests {
            self.send(&request.to, Body::ClaimRequest(request.request), acts);
        }
        for key in out.changed {
            self.queue_rumor(key);
        }
        acts.extend(out.decisions.into_iter().map(Act::Word));
        true
    }

    /// Sends claims that have ended to the owners of their keys at once: lookups that wait for the outcome are decided
    /// there, and rumors take some rounds.
    fn send_ended_claims(&mut self, changed: &[Key], acts: &mut Vec<Act>) {
        for (owner, records) in self.ended_claims(changed) {
            self.send(&owner, Body::Rumors(Records { records }), acts);
        }
    }

    /// By owner of their keys, those of the changed claims that have ended.
    fn ended_claims(&self, changed: &[Key]) -> BTreeMap<String, Vec<Record>> {
        let mut by_owner: BTreeMap<String, Vec<Record>> = BTreeMap::new();
        let Some(ledger) = &self.ledger else {
            return by_owner;
        };
        for key in changed {
            let open = self
                .map
                .get(key)
                .and_then(kinds::read_effect)
                .is_none_or(|(state, _)| state.open());
            let Some(record) = self.map.record(key).filter(|_| !open) else {
                continue;
            };
            for owner in ledger.owners(key, &self.electors) {
                by_owner.entry(owner).or_default().push(record.clone());
            }
        }
        by_owner
    }

    /// Others' claims have changed, which may decide what lookups here wait for.
    pub(super) fn update_waiting_lookups(&mut self, acts: &mut Vec<Act>) {
        if self.ledger.as_ref().is_some_and(|ledger| ledger.open() > 0) {
            self.with_ledger(acts, |ledger, input, out| ledger.tick(input, out));
        }
    }

    /// Another front asks this one to grant a claim.
    pub(super) fn receive_claim_request(
        &mut self,
        from: &str,
        request: &ClaimRequest,
        acts: &mut Vec<Act>,
    ) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let (now, electors) = (self.now, &self.electors);
        let (verdict, claims) = ledger.judge(
            request,
            &mut StepInput {
                now,
                map: &mut self.map,
                electors,
            },
        );
        let reply = ClaimReply {
            number: request.number,
            verdict: verdict as u32,
            claims,
        };
        self.send(from, Body::ClaimReply(reply), acts);
    }
}
