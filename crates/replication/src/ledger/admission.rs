//! The front that is asked for a lookup: by the claims of the key it claims it, waits, or answers.

use super::claims::Stand;
use super::lookup::{PendingLookup, Phase};
use super::{End, Ledger, StepInput, StepOutput, Terms, Word};
use crate::kinds::Ran;
use crate::mutant;
use crate::Micros;

/// Nothing is sent so shortly before the end of an origin's window: a send takes time to arrive, and clocks differ.
const WINDOW_MARGIN: Micros = 500_000;
/// How long a client that is refused is told to stay away: claims and views have settled by then.
const COME_BACK: Micros = 200_000;
/// Lookups that have not ended.
const PENDING_MOST: usize = 20_000;

impl Ledger {
    /// A keyed lookup came: a decision on it comes at once or later.
    pub fn ask(
        &mut self,
        token: u64,
        key: &[u8],
        terms: Terms,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        self.counts.asked += 1;
        if self.pending.len() >= PENDING_MOST {
            self.counts.refused += 1;
            return out.decisions.push(Word::Refuse {
                token,
                come_back: COME_BACK,
            });
        }
        let write_time = (terms.budget as f64 * self.plan.write_part) as Micros;
        self.pending
            .insert(token, PendingLookup::new(token, key, terms, write_time));
        self.consider(token, input, out);
    }

    /// Does what the known claims of its key call for.
    pub(super) fn consider(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(lookup) = self.pending.get(&token) else {
            return;
        };
        match lookup.stand(input) {
            Stand::Free => self.request_claim(token, None, input, out),
            Stand::Open { .. } => self.wait(token, input, out),
            Stand::Lost { first } => self.take_over(token, first, input, out),
            Stand::Done {
                current,
                body: Some(body),
            } => {
                self.decide(
                    Word::Answer {
                        token,
                        current,
                        body,
                    },
                    out,
                );
            }
            // The answer was too long to keep: it is known to have run, and nothing more.
            Stand::Done { body: None, .. } => self.decide(Word::Fail { token }, out),
        }
    }

    /// Waits for another's outcome.
    fn wait(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(lookup) = self.pending.get_mut(&token) else {
            return;
        };
        if !matches!(lookup.phase, Phase::Waiting) {
            self.counts.waited += 1;
        }
        lookup.phase = Phase::Waiting;
        if input.now >= lookup.answer_by() {
            self.decide(Word::Fail { token }, out);
        }
    }

    /// Claims the key after a claim whose outcome is lost, while the origin still drops repeats of its sends: to send again
    /// brings the first one's outcome, or is the first to run.
    fn take_over(
        &mut self,
        token: u64,
        first: Micros,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(lookup) = self.pending.get(&token) else {
            return;
        };
        let until = first + lookup.terms.window - WINDOW_MARGIN;
        if lookup.terms.window > 0 && input.now + WINDOW_MARGIN < until {
            self.request_claim(token, Some(first), input, out);
        } else {
            self.decide(Word::Fail { token }, out);
        }
    }

    /// Decides on a lookup that is not let through.
    fn decide(&mut self, word: Word, out: &mut StepOutput) {
        let (token, count) = match &word {
            Word::Go { .. } => return,
            Word::Answer { token, .. } => (token, &mut self.counts.answered),
            Word::Fail { token } => (token, &mut self.counts.failed),
            Word::Refuse { token, .. } => (token, &mut self.counts.refused),
        };
        *count += 1;
        if let Some(lookup) = self.pending.remove(token) {
            self.tokens.remove(&lookup.claim_id.1);
        }
        out.decisions.push(word);
    }

    /// Refuses a lookup whose claim was not granted in time. Where it would have taken over from a claim that may have run,
    /// a refusal would be untrue.
    pub(super) fn refuse(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let takes_over = self
            .pending
            .get(&token)
            .is_some_and(|lookup| lookup.takes_over.is_some());
        self.release(token, input, out);
        let refusal = Word::Refuse {
            token,
            come_back: COME_BACK,
        };
        self.decide(
            if takes_over {
                Word::Fail { token }
            } else {
                refusal
            },
            out,
        );
    }

    /// Lets a lookup through.
    pub(super) fn admit(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(mut lookup) = self.pending.remove(&token) else {
            return;
        };
        lookup.phase = Phase::Admitted;
        self.counts.granted += 1;
        let mut until = lookup.terms.expires;
        if let Some(first) = lookup.takes_over {
            self.counts.taken_over += 1;
            until = until.min(first + lookup.terms.window - WINDOW_MARGIN);
        }
        self.mark(&mut lookup, Ran::May, input, out);
        let again = lookup.takes_over.is_some();
        self.pending.insert(token, lookup);
        out.decisions.push(Word::Go {
            token,
            until,
            again,
        });
    }

    /// A lookup that was let through has ended.
    pub fn end(&mut self, token: u64, end: End, input: &mut StepInput, out: &mut StepOutput) {
        let Some(mut lookup) = self.pending.remove(&token) else {
            return;
        };
        self.tokens.remove(&lookup.claim_id.1);
        let state = match end {
            End::NotRun => Ran::Not,
            End::MayHaveRun => Ran::Lost,
            End::Ran { current, body } => {
                let kept = body.len() <= self.plan.body_most;
                lookup.claim.body = kept.then_some(body);
                lookup.claim.current = current;
                Ran::Done
            }
        };
        let state = if mutant("forgets-outcome") {
            Ran::Not
        } else {
            state
        };
        self.mark(&mut lookup, state, input, out);
    }

    /// The client of a lookup has gone. True if the lookup was not let through, so that nothing of it was sent.
    pub fn left(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) -> bool {
        if self
            .pending
            .get(&token)
            .is_none_or(PendingLookup::is_admitted)
        {
            return false;
        }
        self.release(token, input, out);
        self.pending.remove(&token);
        true
    }
}
