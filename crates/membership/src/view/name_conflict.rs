//! Resolution of conflicts between two processes with the same name. Each adopts a later start than the other. The
//! first process that sees the other adopt a later start again knows that the other is alive, and withdraws.
//!
//! Invariants: each other process is superseded at most once, and the number of superseded processes is bounded; a
//! withdrawn proxy sends no more messages and never returns; a proxy that is leaving supersedes no other process,
//! because that would be a claim to be alive.

use super::{Action, Change, View};
use crate::claim::supersede_start;

/// Maximum number of processes with its name that this proxy supersedes before it withdraws.
const MAX_SUPERSEDED_PROCESSES: usize = 3;

impl View {
    /// Handles another process with this proxy's name: supersedes its start, or withdraws this proxy.
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
