//! Which relay a subscriber follows.
//!
//! Relays are in the order of preference, the preferred one first. Another one is chosen where the current one does not
//! answer, or answers for a lease's length without a lease or a part of a snapshot; a subscriber that has a lease
//! returns to the preferred one now and then.

use super::Role;
use crate::jitter::Jitter;
use crate::settings::{DistributionSettings, Identity, RelayAddress};
use crate::time::{Micros, SECOND};
use meadowrill_membership::hash::stable_hash;
use std::cmp::Reverse;

/// Between two attempts to return to the preferred relay, drawn from this range.
const MIN_RETURN_INTERVAL: Micros = 10 * SECOND;
const MAX_RETURN_INTERVAL: Micros = 30 * SECOND;
/// Changes for want of a lease that add to a proxy's patience with the next relay, in leases.
const MAX_EXTRA_PATIENCE: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RelaySelection {
    role: Role,
    /// In the order of preference.
    relays: Vec<RelayAddress>,
    current: usize,
    /// When the current relay was chosen, or last granted a lease or sent a part of a snapshot.
    last_progress_at: Micros,
    /// Changes in a row for want of a lease, up to a bound.
    refusals: u32,
    /// The relay that was followed as the last lease came.
    grantor: Option<usize>,
    /// How often a relay has chosen another one than the publisher.
    non_publishers_chosen: usize,
    return_at: Micros,
}

impl RelaySelection {
    pub(super) fn new(
        settings: &DistributionSettings,
        identity: &Identity,
        role: Role,
        now: Micros,
        jitter: &mut Jitter,
    ) -> RelaySelection {
        RelaySelection {
            role,
            relays: by_preference(settings, identity, role),
            current: 0,
            last_progress_at: now,
            refusals: 0,
            grantor: None,
            non_publishers_chosen: 0,
            return_at: now + jitter.draw(MIN_RETURN_INTERVAL, MAX_RETURN_INTERVAL),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.relays.len()
    }

    /// The relay followed; none where there is no other member.
    pub(super) fn current(&self) -> Option<&RelayAddress> {
        self.relays.get(self.current)
    }

    pub(super) fn current_name(&self) -> String {
        self.current()
            .map(|relay| relay.name.clone())
            .unwrap_or_default()
    }

    /// When the current relay was chosen, or last granted a lease or sent a part of a snapshot.
    pub(super) fn last_progress_at(&self) -> Micros {
        self.last_progress_at
    }

    /// The current relay has sent a part of a snapshot.
    pub(super) fn record_progress(&mut self, now: Micros) {
        self.last_progress_at = now;
    }

    /// The current relay has granted a lease.
    pub(super) fn record_grant(&mut self, now: Micros) {
        self.last_progress_at = now;
        self.refusals = 0;
        self.grantor = Some(self.current);
    }

    /// Whether the last lease came from another relay than the current one.
    pub(super) fn has_former_grantor(&self) -> bool {
        self.grantor.is_some_and(|relay| relay != self.current)
    }

    /// The relay to change to, before a heartbeat is sent; none to stay.
    pub(super) fn choose(
        &mut self,
        now: Micros,
        settings: &DistributionSettings,
        unanswered: u32,
        lease_remaining: Option<Micros>,
    ) -> Option<usize> {
        if self.relays.len() < 2 {
            return None;
        }
        // Where all refuse, going from one to the other helps nobody: more and more patience.
        let patience = settings.lease_duration * Micros::from(1 + self.refusals);
        let refuses = now - self.last_progress_at > patience;
        if unanswered >= settings.max_unanswered || refuses {
            self.refusals = (self.refusals + u32::from(refuses)).min(self.max_refusals());
            return Some(self.next_relay());
        }
        let is_lease_fresh = lease_remaining.is_some_and(|left| left > settings.lease_duration / 2);
        let returns = self.current != 0 && is_lease_fresh && now >= self.return_at;
        returns.then_some(0)
    }

    fn max_refusals(&self) -> u32 {
        match self.role {
            Role::Proxy => MAX_EXTRA_PATIENCE,
            Role::Relay => 0,
        }
    }

    /// The relay to follow instead of the current one; there are at least two.
    ///
    /// A relay without a lease returns to the publisher after each other relay: those that follow one another in a ring
    /// would else wait for each other.
    pub(super) fn next_relay(&mut self) -> usize {
        // Where the preferred one does not answer, back to the one that did.
        let grantor = self.grantor.take().filter(|relay| *relay != self.current);
        if let Some(grantor) = grantor {
            return grantor;
        }
        match self.role {
            Role::Proxy => (self.current + 1) % self.relays.len(),
            Role::Relay if self.current != 0 => 0,
            Role::Relay => {
                let others = self.relays.len() - 1;
                self.non_publishers_chosen += 1;
                1 + (self.non_publishers_chosen - 1) % others
            }
        }
    }

    /// Follows another relay from now on.
    pub(super) fn change(&mut self, now: Micros, to: usize, jitter: &mut Jitter) {
        self.current = to;
        self.last_progress_at = now;
        self.return_at = now + jitter.draw(MIN_RETURN_INTERVAL, MAX_RETURN_INTERVAL);
    }
}

/// The relays in the order in which a member chooses them: a relay those that publish first; then the own zone, the own
/// region, the others; within each by rendezvous hashing, so that those who follow a failed one spread over the rest.
fn by_preference(
    settings: &DistributionSettings,
    identity: &Identity,
    role: Role,
) -> Vec<RelayAddress> {
    let mut relays: Vec<RelayAddress> = settings
        .relays
        .iter()
        .filter(|relay| role == Role::Proxy || relay.name != identity.name)
        .cloned()
        .collect();
    relays.sort_by_cached_key(|relay| {
        let weight = stable_hash(&format!("{} {}", identity.name, relay.name), 0);
        (
            role == Role::Relay && !relay.publishes,
            distance(relay, identity),
            Reverse(weight),
        )
    });
    relays
}

/// 0 within a zone, 1 within a region.
fn distance(relay: &RelayAddress, identity: &Identity) -> u8 {
    let is_same_region = relay.region == identity.region;
    match (relay.zone == identity.zone, is_same_region) {
        (true, true) => 0,
        (false, true) => 1,
        (_, false) => 2,
    }
}
