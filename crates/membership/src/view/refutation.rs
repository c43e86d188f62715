//! Claims of others about this front: wrong ones are refuted by a later incarnation or a later start.

use super::{Action, Change, View};
use crate::claim::{refute, supersede_start, Claim, MemberState};
use crate::wire::ReceiverClaim;

impl View {
    /// What another front holds of this one. Whether this front published a new claim because of it.
    pub(super) fn receive_claim_about_self(
        &mut self,
        you: ReceiverClaim,
        by: &str,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(state) = MemberState::from_wire(you.state) else {
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
        self.counters.refutations += 1;
        out.push(Action::Notify(Change::Refuted { accuser: by.into() }));
        self.publish_own_claim(refutation);
        true
    }

    /// Takes a start later than one that was forgotten or is of another process. A front that leaves does not for the
    /// latter.
    fn pass_start(&mut self, you: ReceiverClaim, out: &mut Vec<Action>) -> bool {
        if !you.forgotten && self.departure.is_some() {
            return false;
        }
        let Some(claim) = supersede_start(self.own.claim, you.start) else {
            return false;
        };
        out.push(Action::Notify(Change::StartAdvanced { start: you.start }));
        self.publish_own_claim(claim);
        true
    }
}
