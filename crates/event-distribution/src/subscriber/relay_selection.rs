//! The relay that a subscriber follows.
//!
//! Relays are ordered by preference, the preferred one first. A subscriber chooses another relay if the current one
//! does not answer, or answers for the duration of a lease without granting a lease or sending a snapshot part. A
//! subscriber that holds a lease occasionally returns to the preferred relay.

use super::Role;
use crate::jitter::Jitter;
use crate::settings::{DistributionSettings, Identity, RelayAddress};
use crate::time::{Micros, SECOND};
use meadowrill_membership::hash::stable_hash;
use std::cmp::Reverse;

/// Range of the random interval between two attempts to return to the preferred relay.
const MIN_RETURN_INTERVAL: Micros = 10 * SECOND;
const MAX_RETURN_INTERVAL: Micros = 30 * SECOND;
/// Maximum number of lease durations that refusals in a row add to a proxy's timeout for the next relay.
const MAX_EXTRA_TIMEOUT_LEASES: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RelaySelection {
    role: Role,
    /// The relays in order of preference.
    relays: Vec<RelayAddress>,
    current: usize,
    /// When the current relay was chosen, or last granted a lease or sent a snapshot part.
    last_progress_at: Micros,
    /// Consecutive changes of the relay because no lease was granted, up to a maximum.
    refusals: u32,
    /// The relay that granted the last lease. Cleared when a replacement for the current relay is chosen.
    grantor: Option<usize>,
    /// How often a relay has chosen another relay than the publisher.
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

    /// The current relay, or `None` if there is no other member.
    pub(super) fn current(&self) -> Option<&RelayAddress> {
        self.relays.get(self.current)
    }

    pub(super) fn current_name(&self) -> String {
        self.current()
            .map(|relay| relay.name.clone())
            .unwrap_or_default()
    }

    /// When the current relay was chosen, or last granted a lease or sent a snapshot part.
    pub(super) fn last_progress_at(&self) -> Micros {
        self.last_progress_at
    }

    /// The current relay has sent a snapshot part.
    pub(super) fn record_progress(&mut self, now: Micros) {
        self.last_progress_at = now;
    }

    /// The current relay has granted a lease.
    pub(super) fn record_grant(&mut self, now: Micros) {
        self.last_progress_at = now;
        self.refusals = 0;
        self.grantor = Some(self.current);
    }

    /// Whether the last lease came from another relay than the current one, and no replacement was chosen since then.
    pub(super) fn has_former_grantor(&self) -> bool {
        self.grantor.is_some_and(|relay| relay != self.current)
    }

    /// Chooses the relay to change to before a heartbeat is sent; `None` to stay.
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
        // If all relays refuse, changing between them does not help, so the timeout grows with each refusal.
        let timeout = settings.lease_duration * Micros::from(1 + self.refusals);
        let is_refusing = now - self.last_progress_at > timeout;
        if unanswered >= settings.max_unanswered || is_refusing {
            self.refusals = (self.refusals + u32::from(is_refusing)).min(self.max_refusals());
            return Some(self.next_relay());
        }
        let is_lease_fresh = lease_remaining.is_some_and(|left| left > settings.lease_duration / 2);
        let should_return = self.current != 0 && is_lease_fresh && now >= self.return_at;
        should_return.then_some(0)
    }

    fn max_refusals(&self) -> u32 {
        match self.role {
            Role::Proxy => MAX_EXTRA_TIMEOUT_LEASES,
            Role::Relay => 0,
        }
    }

    /// The relay that replaces the current one. There are at least two relays.
    ///
    /// A relay without a lease returns to the publisher after each other relay that it tries. Otherwise, relays that
    /// follow one another in a cycle would wait for each other.
    pub(super) fn next_relay(&mut self) -> usize {
        // If the preferred relay does not answer, the subscriber returns to the one that granted its last lease.
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

/// The relays in the order in which a member chooses them: a relay prefers publishers; then the own zone, the own
/// region and the others follow, each ordered by rendezvous hashing, so that the subscribers of a failed relay spread
/// over the others.
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

/// 0 within the same zone, 1 within the same region, 2 otherwise.
fn distance(relay: &RelayAddress, identity: &Identity) -> u8 {
    let is_same_region = relay.region == identity.region;
    match (relay.zone == identity.zone, is_same_region) {
        (true, true) => 0,
        (false, true) => 1,
        (_, false) => 2,
    }
}
