//! Two processes of one name. Each takes a later start than the other's; the first that sees the other do so again
//! knows that it is alive, and withdraws.
//!
//! Invariants: each other process is superseded at most once, and their number is bounded; a withdrawn proxy sends
//! nothing more and never returns; one that leaves supersedes nobody, as that would be a claim to be alive.

use super::{Action, Change, View};
use crate::claim::supersede_start;

/// Other processes of its name that this proxy supersedes before it withdraws.
const MAX_SUPERSEDED_PROCESSES: usize = 3;

impl View {
    /// Another process has this proxy's name.
    pub(super) fn resolve_name_conflict(
        &mut self,
        start: u64,
        nonce: u64,
        address: &str,
        actions: &mut Vec<Action>,
    ) {
        if start < self.own.claim.start || self.departure.is_some() {
            return;
        }
        if self.superseded_nonces.contains(&nonce)
            || self.superseded_nonces.len() >= MAX_SUPERSEDED_PROCESSES
        {
            self.withdrawn = true;
            actions.push(Action::Notify(Change::Withdrawn {
                other_address: address.into(),
            }));
            return;
        }
        self.superseded_nonces.push(nonce);
        if let Some(claim) = supersede_start(self.own.claim, start) {
            actions.push(Action::Notify(Change::StartAdvanced { start }));
            self.publish_own_claim(claim);
        }
    }
}
