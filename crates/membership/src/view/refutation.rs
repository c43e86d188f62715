//! Refutation of wrong claims about this proxy, with a later incarnation or a later start.
//!
//! Invariants: only this proxy raises its own incarnation and start; a proxy that has left refutes no claims.

use super::{Action, Change, View};
use crate::claim::{refute, supersede_start, Claim, MemberState};
use crate::wire::ReceiverClaim;

impl View {
    /// Handles another proxy's claim about this proxy. Returns whether this proxy published a new claim in response.
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

    /// Adopts a start later than that of a forgotten process or of another process. A proxy that is leaving adopts no
    /// start, because that would be a claim to be alive.
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
