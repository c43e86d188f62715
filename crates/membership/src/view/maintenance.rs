//! Periodic work besides probes: suspicions, anti-entropy, forgetting, and the search for members that have returned.
//!
//! Suspicions are checked several times in each probe period; the rest is done at one check of them.

use super::budget::ESSENTIAL_SHARE;
use super::recipients::{Peer, Recipient};
use super::{Action, Change, View};
use crate::claim::MemberState;
use crate::wire::{Payload, Ping, RootDigest};
use crate::{mutant, Micros};
use std::net::SocketAddr;

/// Suspicions are checked so many times a period; most of the rest is done once a period.
const CHECKS_PER_PERIOD: u8 = 4;
/// For so many periods after a change of the membership an exchange is begun at each check.
const UNSETTLED_PERIODS: Micros = 3;
/// Pings with this sequence number belong to no probe: their acks are ignored.
const NO_PROBE_SEQUENCE: u64 = 0;

/// When maintenance runs, and which check of the period comes next.
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

    /// Whether the work of a whole period is due at this check.
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
            self.retry_failed_streams();
            self.ping_dead_member(actions);
            self.ping_unknown_contacts(actions);
        }
    }

    /// More exchanges while this proxy joins or the membership changes. One that there is no budget to go on with would
    /// be wasted, and take more of it from the next.
    fn wants_extra_exchange(&self) -> bool {
        let is_unsettled =
            self.now - self.membership_changed_at < UNSETTLED_PERIODS * self.settings.probe_period;
        (!self.joined || is_unsettled) && self.budget.has_share(ESSENTIAL_SHARE)
    }

    /// Sends the digest of the view to a random member; the two exchange more where theirs differ.
    fn begin_exchange(&mut self, actions: &mut Vec<Action>) {
        for peer in self.random_peers(1, "") {
            let root = RootDigest {
                digest: self.digest.root(),
                count: self.present_count() as u64,
            };
            self.send(peer.recipient(), Some(Payload::RootDigest(root)), actions);
        }
    }

    /// Removes members that have been dead or have left for long enough.
    fn forget_members(&mut self, actions: &mut Vec<Action>) {
        if mutant("tombstones-for-ever") {
            return;
        }
        let before = self.now - self.settings.departed_retention;
        let expired: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| !member.claim.state.is_present() && member.state_since < before)
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

    fn retry_failed_streams(&mut self) {
        let now = self.now;
        self.failed_streams.retain(|_, until| now < *until);
    }

    /// Pings a random dead member: so a partition that has healed is noticed.
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

    /// Pings the configured contacts at whose addresses no present member is known.
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
