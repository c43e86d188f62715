//! Leaving: a front announces its departure to random members until enough of them have confirmed it.

use super::member::PublishedBody;
use super::merge::Report;
use super::peers::{Peer, Recipient};
use super::{Action, Change, ClaimSource, View};
use crate::claim::{Claim, MemberState};
use crate::wire::{Body, Payload, SequenceNumber};
use crate::Micros;
use std::collections::BTreeSet;

/// Confirmations after which a front is gone.
const NEEDED_CONFIRMATIONS: usize = 3;
/// How long it waits for them, in periods.
const MAX_WAIT_PERIODS: Micros = 2;
/// How many members are told at once.
const ANNOUNCEMENT_FANOUT: usize = 8;
/// The part of a period between two announcements, as a divisor.
const ANNOUNCEMENT_DIVISOR: Micros = 10;
/// Announcements all carry this sequence number: confirmations are told apart by their senders.
const ANNOUNCEMENT_SEQUENCE: u64 = 0;

/// This front's own departure.
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
    /// Begins to leave the fleet. [`View::left`] tells when that is done.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.now = now;
        if self.departure.is_some() || self.gave_way {
            return;
        }
        self.toggle_own_digest();
        self.own.claim = self.own.claim.with_state(MemberState::Left);
        let deadline = now + MAX_WAIT_PERIODS * self.plan.probe_period;
        let departure = Departure {
            deadline,
            next_announcement_at: now,
            confirmed: BTreeSet::new(),
        };
        self.departure = Some(departure);
        self.announce_departure(out);
    }

    /// Tells random members, or reports the end where the departure is complete.
    pub(super) fn announce_departure(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(departure) = &mut self.departure else {
            return;
        };
        if departure.is_complete(now) {
            departure.next_announcement_at = Micros::MAX;
            out.push(Action::Notify(Change::DepartureCompleted {
                confirmations: departure.confirmed.len(),
            }));
            return;
        }
        departure.next_announcement_at = now + self.plan.probe_period / ANNOUNCEMENT_DIVISOR;
        for peer in self.unconfirmed_peers() {
            let announcement = SequenceNumber {
                sequence: ANNOUNCEMENT_SEQUENCE,
            };
            self.send(peer.recipient(), Some(Payload::Leaving(announcement)), out);
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

    /// Another front leaves.
    pub(super) fn receive_departure(
        &mut self,
        sender: Recipient,
        claim: Claim,
        address: String,
        sequence: u64,
        out: &mut Vec<Action>,
    ) {
        let body = Body {
            address,
            ..Body::default()
        };
        let published = PublishedBody {
            body,
            ..PublishedBody::default()
        };
        // Where there is no room for another member there is nothing to forget either.
        let _ = self.learn(
            Report {
                name: sender.name,
                claim,
                by: "",
                why: ClaimSource::MemberItself,
            },
            published,
            out,
        );
        self.send(
            sender,
            Some(Payload::Confirmed(SequenceNumber { sequence })),
            out,
        );
    }
}
