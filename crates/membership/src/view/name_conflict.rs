//! Two processes of one name. Each takes a later start than the other's; the first that sees the other do so again
//! knows that it is alive, and withdraws.

use super::{Action, Change, View};
use crate::claim::supersede_start;

/// How many other processes of its name this front passes before it withdraws.
const MAX_PASSED_PROCESSES: usize = 3;

impl View {
    /// Another process has this front's name.
    pub(super) fn resolve_name_conflict(
        &mut self,
        start: u64,
        nonce: u64,
        address: &str,
        out: &mut Vec<Action>,
    ) {
        if start < self.own.claim.start {
            return;
        }
        if self.passed_nonces.contains(&nonce) || self.passed_nonces.len() >= MAX_PASSED_PROCESSES {
            self.gave_way = true;
            out.push(Action::Notify(Change::Withdrawn {
                other_address: address.into(),
            }));
            return;
        }
        self.passed_nonces.push(nonce);
        if let Some(claim) = supersede_start(self.own.claim, start) {
            out.push(Action::Notify(Change::StartAdvanced { start }));
            self.publish_own_claim(claim);
        }
    }
}
