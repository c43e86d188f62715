//! Claims of others about this front: wrong ones are refuted by a later incarnation or a later start.

use super::{Act, Change, View};
use crate::claim::{past, refute, Claim, State};
use crate::wire::You;

impl View {
    /// What another front holds of this one. Whether this front published a new claim because of it.
    pub(super) fn receive_claim_about_self(
        &mut self,
        you: You,
        by: &str,
        out: &mut Vec<Act>,
    ) -> bool {
        let Some(state) = State::of(you.state) else {
            return false;
        };
        if you.forgotten || you.start > self.own.claim.start {
            return self.pass_start(you, out);
        }
        let claimed = Claim {
            start: you.start,
            incarnation: you.incarnation,
            state,
        };
        let Some(refutation) = refute(self.own.claim, claimed) else {
            return false;
        };
        self.counts.refutations += 1;
        out.push(Act::Tell(Change::Refuted { by: by.into() }));
        self.publish_own_claim(refutation);
        true
    }

    /// Takes a start later than one that was forgotten or is of another process. A front that leaves does not for the
    /// latter.
    fn pass_start(&mut self, you: You, out: &mut Vec<Act>) -> bool {
        if !you.forgotten && self.departure.is_some() {
            return false;
        }
        let Some(claim) = past(self.own.claim, you.start) else {
            return false;
        };
        out.push(Act::Tell(Change::Passed { start: you.start }));
        self.publish_own_claim(claim);
        true
    }
}
