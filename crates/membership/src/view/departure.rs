//! Departure of a proxy: it announces to random members that it leaves, until enough of them have confirmed this.
//!
//! Invariants: this proxy claims to have left from its first announcement on; each member counts once among the
//! confirmations; the departure completes once, with enough confirmations or at its deadline.

use super::member::PublishedBody;
use super::merge::ClaimReport;
use super::recipients::{Peer, Recipient};
use super::{Action, Change, ClaimSource, View};
use crate::claim::{Claim, MemberState};
use crate::wire::{Body, Payload, SequenceNumber};
use crate::Micros;
use std::collections::BTreeSet;

/// Number of confirmations that complete a departure.
const NEEDED_CONFIRMATIONS: usize = 3;
/// Maximum wait for confirmations, in probe periods.
const MAX_WAIT_PERIODS: Micros = 2;
/// Maximum number of members to which one announcement is sent.
const ANNOUNCEMENT_FANOUT: usize = 8;
/// Number of announcements per probe period.
const ANNOUNCEMENTS_PER_PERIOD: Micros = 10;
/// Sequence number of all announcements. Confirmations are distinguished by their senders.
const ANNOUNCEMENT_SEQUENCE: u64 = 0;

/// This proxy's own departure.
#[derive(Clone, Debug)]
pub(super) struct Departure {
    deadline: Micros,
    pub next_announcement_at: Micros,
    /// Names of the members that have confirmed the departure.
    confirmed: BTreeSet<String>,
}

impl Departure {
    pub(super) fn is_complete(&self, now: Micros) -> bool {
        self.confirmed.len() >= NEEDED_CONFIRMATIONS || now >= self.deadline
    }
}

impl View {
    /// Begins to leave the fleet. [`View::has_left`] returns true when the departure is complete.
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

    /// Chooses random members, and returns those that have not confirmed the departure yet.
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
        // If the view has no capacity for the sender, the sender is not a member of it and there is nothing to update.
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
