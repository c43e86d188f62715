//! Claims of others about this proxy: wrong ones are refuted by a later incarnation or a later start.
//!
//! Invariants: only this proxy raises its own incarnation and start; one that has left refutes no claim.

use super::{Action, Change, View};
use crate::claim::{refute, supersede_start, Claim, MemberState};
use crate::wire::ReceiverClaim;

impl View {
    /// Handles what another proxy claims of this one. Returns whether this proxy published a new claim because of it.
    pub(super) fn receive_claim_about_self(
        &mut self,
        received: ReceiverClaim,
        accuser: &str,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(state) = MemberState::from_wire(received.state) else {
            return false;
        };
        if received.forgotten || received.start > self.own.claim.start {
            return self.advance_start(received, actions);
        }
        let claimed = Claim {
            start: received.start,
            incarnation: received.incarnation,
            state,
        };
        let Some(refutation) = refute(self.own.claim, claimed) else {
            return false;
        };
        self.counters.refutations += 1;
        actions.push(Action::Notify(Change::Refuted {
            accuser: accuser.into(),
        }));
        self.publish_own_claim(refutation);
        true
    }

    /// Takes a later start than one that was forgotten or that is of another process. A proxy that is leaving takes none:
    /// it would be alive by that.
    fn advance_start(&mut self, received: ReceiverClaim, actions: &mut Vec<Action>) -> bool {
        if self.departure.is_some() {
            return false;
        }
        let Some(claim) = supersede_start(self.own.claim, received.start) else {
            return false;
        };
        actions.push(Action::Notify(Change::StartAdvanced {
            start: received.start,
        }));
        self.publish_own_claim(claim);
        true
    }
}
