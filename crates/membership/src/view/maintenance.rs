//! Periodic work other than probes: suspicion timeouts, anti-entropy, removal of departed members, and detection of
//! members that have returned.
//!
//! Suspicions are checked several times in each probe period. Most of the other work is done at one of these checks.

use super::budget::ESSENTIAL_FRACTION;
use super::recipients::{Peer, Recipient};
use super::{Action, Change, View};
use crate::claim::MemberState;
use crate::wire::{Payload, Ping, RootDigest};
use crate::{mutant, Micros};
use std::net::SocketAddr;

/// Number of suspicion checks per probe period. Most of the other work is done once per period.
const CHECKS_PER_PERIOD: u8 = 4;
/// Number of probe periods after a membership change during which an exchange is begun at each check.
const UNSTABLE_PERIODS: Micros = 3;
/// Sequence number of pings that belong to no probe. Their acks are ignored.
const NO_PROBE_SEQUENCE: u64 = 0;

/// The time of the next maintenance run, and the index of the check within the period.
#[derive(Clone, Debug)]
pub(super) struct MaintenanceTimer {
    pub next_at: Micros,
    check: u8,
}

impl MaintenanceTimer {
    pub(super) fn new(now: Micros) -> MaintenanceTimer {
        MaintenanceTimer {
            next_at: now,
            check: 0,
        }
    }

    /// Advances to the next check, and returns whether the work that is done once per period is due.
    fn advance(&mut self) -> bool {
        self.check = (self.check + 1) % CHECKS_PER_PERIOD;
        self.check == 0
    }
}

impl View {
    pub(super) fn run_maintenance(&mut self, actions: &mut Vec<Action>) {
        self.maintenance.next_at =
            self.now + self.settings.probe_period / Micros::from(CHECKS_PER_PERIOD);
        self.decide_suspicions(actions);
        let is_full_period = self.maintenance.advance();
        self.budget.refill(self.now);
        if is_full_period || self.wants_extra_exchange() {
            self.begin_exchange(actions);
        }
        if is_full_period {
            self.forget_members(actions);
            self.expire_failed_streams();
            self.ping_dead_member(actions);
            self.ping_unknown_contacts(actions);
        }
    }

    /// Whether to begin additional exchanges, because this proxy is joining or the membership is changing. An exchange
    /// that the budget does not allow to complete would be wasted, and would use budget that the next exchange needs.
    fn wants_extra_exchange(&self) -> bool {
        let is_unstable =
            self.now - self.membership_changed_at < UNSTABLE_PERIODS * self.settings.probe_period;
        (!self.joined || is_unstable) && self.budget.has_fraction(ESSENTIAL_FRACTION)
    }

    /// Sends the digest of the view to a random member, which continues the exchange if its own digest differs.
    fn begin_exchange(&mut self, actions: &mut Vec<Action>) {
        for peer in self.random_peers(1, "") {
            let root = RootDigest {
                digest: self.digest.root(),
                count: self.present_count() as u64,
            };
            self.send(peer.recipient(), Some(Payload::RootDigest(root)), actions);
        }
    }

    /// Removes members that have been dead or have left for longer than the retention period.
    fn forget_members(&mut self, actions: &mut Vec<Action>) {
        if mutant("tombstones-for-ever") {
            return;
        }
        let cutoff = self.now - self.settings.departed_retention;
        let expired: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| !member.claim.state.is_present() && member.state_since < cutoff)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.forget_member(name, actions);
        }
        self.tombstones.drop_oldest();
    }

    fn forget_member(&mut self, name: String, actions: &mut Vec<Action>) {
        if let Some(member) = self
            .members
            .remove(&name)
            .filter(|_| !mutant("forgets-whole"))
        {
            self.tombstones.insert(&name, member.claim.start, self.now);
        }
        self.rumors.remove(&name);
        actions.push(Action::Notify(Change::Forgotten { name }));
    }

    fn expire_failed_streams(&mut self) {
        let now = self.now;
        self.failed_streams.retain(|_, until| now < *until);
    }

    /// Pings a random dead member, so that the end of a network partition is detected.
    fn ping_dead_member(&mut self, actions: &mut Vec<Action>) {
        let dead = |(name, member): (&String, &super::Member)| {
            let is_dead = member.claim.state == MemberState::Dead;
            member.address().filter(|_| is_dead).map(|address| Peer {
                name: name.clone(),
                address,
            })
        };
        let dead: Vec<Peer> = self.members.iter().filter_map(dead).collect();
        if dead.is_empty() {
            return;
        }
        let peer = &dead[self.rng.usize(0..dead.len())];
        let ping = Ping {
            sequence: NO_PROBE_SEQUENCE,
            target: peer.name.clone(),
        };
        self.send(peer.recipient(), Some(Payload::Ping(ping)), actions);
    }

    /// Pings the configured contacts whose addresses belong to no present member.
    fn ping_unknown_contacts(&mut self, actions: &mut Vec<Action>) {
        let is_unknown = |address: &SocketAddr| {
            let text = address.to_string();
            !self
                .members
                .values()
                .any(|m| m.claim.state.is_present() && m.body.address == text)
        };
        let contacts = self.settings.contacts.iter().copied();
        let unknown: Vec<SocketAddr> = contacts
            .filter(|to| *to != self.settings.advertise && is_unknown(to))
            .collect();
        for address in unknown {
            let ping = Ping {
                sequence: NO_PROBE_SEQUENCE,
                target: String::new(),
            };
            self.send(
                Recipient { name: "", address },
                Some(Payload::Ping(ping)),
                actions,
            );
        }
    }
}
