//! Departure: a proxy announces that it leaves to random members until enough of them have confirmed it.
//!
//! Invariants: from its first announcement on this proxy claims to have left; each member counts once among the
//! confirmations; the departure completes once, with enough confirmations or at its deadline.

use super::member::PublishedBody;
use super::merge::ClaimReport;
use super::recipients::{Peer, Recipient};
use super::{Action, Change, ClaimSource, View};
use crate::claim::{Claim, MemberState};
use crate::wire::{Body, Payload, SequenceNumber};
use crate::Micros;
use std::collections::BTreeSet;

/// Confirmations after which a departure is complete.
const NEEDED_CONFIRMATIONS: usize = 3;
/// Longest wait for them, in probe periods.
const MAX_WAIT_PERIODS: Micros = 2;
/// Members that one announcement goes to.
const ANNOUNCEMENT_FANOUT: usize = 8;
/// Announcements in each probe period.
const ANNOUNCEMENTS_PER_PERIOD: Micros = 10;
/// The sequence number of all announcements: confirmations differ by their senders.
const ANNOUNCEMENT_SEQUENCE: u64 = 0;

/// This proxy's own departure.
#[derive(Clone, Debug)]
pub(super) struct Departure {
    deadline: Micros,
    pub next_announcement_at: Micros,
    /// Names of those that have confirmed it.
    confirmed: BTreeSet<String>,
}

impl Departure {
    pub(super) fn is_complete(&self, now: Micros) -> bool {
        self.confirmed.len() >= NEEDED_CONFIRMATIONS || now >= self.deadline
    }
}

impl View {
    /// Begins to leave the fleet. [`View::has_left`] is true once that is done.
    pub fn leave(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.now = now;
        if self.departure.is_some() || self.withdrawn {
            return;
        }
        self.toggle_own_digest();
        self.own.claim = self.own.claim.with_state(MemberState::Left);
        let deadline = now + MAX_WAIT_PERIODS * self.settings.probe_period;
        let departure = Departure {
            deadline,
            next_announcement_at: now,
            confirmed: BTreeSet::new(),
        };
        self.departure = Some(departure);
        self.announce_departure(actions);
    }

    /// Sends the announcement to random members, or reports that the departure is complete.
    pub(super) fn announce_departure(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(departure) = &mut self.departure else {
            return;
        };
        if departure.is_complete(now) {
            departure.next_announcement_at = Micros::MAX;
            actions.push(Action::Notify(Change::DepartureCompleted {
                confirmations: departure.confirmed.len(),
            }));
            return;
        }
        departure.next_announcement_at =
            now + self.settings.probe_period / ANNOUNCEMENTS_PER_PERIOD;
        for peer in self.unconfirmed_peers() {
            let announcement = SequenceNumber {
                sequence: ANNOUNCEMENT_SEQUENCE,
            };
            self.send(
                peer.recipient(),
                Some(Payload::Leaving(announcement)),
                actions,
            );
        }
    }

    /// Of some random members those that have not confirmed yet.
    fn unconfirmed_peers(&mut self) -> Vec<Peer> {
        let mut peers = self.random_peers(ANNOUNCEMENT_FANOUT, "");
        if let Some(departure) = &self.departure {
            peers.retain(|peer| !departure.confirmed.contains(&peer.name));
        }
        peers
    }

    pub(super) fn receive_departure_confirmation(&mut self, from: &str) {
        if let Some(departure) = &mut self.departure {
            departure.confirmed.insert(from.into());
        }
    }

    /// Handles the departure of another proxy, and confirms it.
    pub(super) fn receive_departure(
        &mut self,
        sender: Recipient,
        claim: Claim,
        address: String,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        let body = Body {
            address,
            ..Body::default()
        };
        let published = PublishedBody {
            body,
            ..PublishedBody::default()
        };
        // A sender that the view has no capacity for was no member of it: there is nothing to update.
        let _ = self.learn(
            ClaimReport {
                name: sender.name,
                claim,
                accuser: "",
                source: ClaimSource::MemberItself,
            },
            published,
            actions,
        );
        self.send(
            sender,
            Some(Payload::Confirmed(SequenceNumber { sequence })),
            actions,
        );
    }
}
