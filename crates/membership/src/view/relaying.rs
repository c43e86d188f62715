//! Indirect probes on behalf of other proxies: this proxy pings the target and relays the response.
//!
//! A relayed probe ends with the target's ack, or after one probe period. Invariants: a relayed probe sends one ping,
//! at most one nack (the target has not responded yet) and at most one ack; the number of relayed probes is bounded.

use super::probing::DIRECT_TIMEOUT_DIVISOR;
use super::recipients::{Peer, Recipient};
use super::{Action, View};
use crate::wire::{Payload, Ping, PingRequest, SequenceNumber};
use crate::Micros;

/// A probe sent at the request of another proxy.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    requester: Peer,
    /// Sequence number of the request, which the ack or nack repeats.
    requested_sequence: u64,
    /// When to send the requester a nack if there is no response; `None` after it was sent.
    nack_at: Option<Micros>,
    expires_at: Micros,
}

impl RelayedProbe {
    /// When the next step of this probe is due.
    pub(super) fn next_deadline(&self) -> Micros {
        self.nack_at.unwrap_or(self.expires_at)
    }
}

impl View {
    /// Pings the target of a request, unless its address is invalid or too many relayed probes are open. Returns
    /// whether the address is valid.
    pub(super) fn receive_ping_request(
        &mut self,
        requester: Recipient,
        request: PingRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Ok(address) = request.address.parse() else {
            return false;
        };
        let sequence = self.next_sequence();
        if self.relayed_probes.len() >= self.settings.max_members {
            return true;
        }
        let relayed = RelayedProbe {
            requester: Peer {
                name: requester.name.into(),
                address: requester.address,
            },
            requested_sequence: request.sequence,
            nack_at: Some(self.now + self.settings.probe_period / DIRECT_TIMEOUT_DIVISOR),
            expires_at: self.now + self.settings.probe_period,
        };
        self.relayed_probes.insert(sequence, relayed);
        let ping = Ping {
            sequence,
            target: request.target.clone(),
        };
        self.send(
            Recipient {
                name: &request.target,
                address,
            },
            Some(Payload::Ping(ping)),
            actions,
        );
        true
    }

    /// Relays the response to a relayed probe. Returns false if the sequence number belongs to no relayed probe.
    pub(super) fn complete_relayed_probe(
        &mut self,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(relayed) = self.relayed_probes.remove(&sequence) else {
            return false;
        };
        let ack = SequenceNumber {
            sequence: relayed.requested_sequence,
        };
        self.send(
            relayed.requester.recipient(),
            Some(Payload::Ack(ack)),
            actions,
        );
        true
    }

    /// Sends nacks to requesters whose targets have not responded in time.
    pub(super) fn send_due_nacks(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let mut due = Vec::new();
        for relayed in self.relayed_probes.values_mut() {
            if relayed.nack_at.take_if(|at| now >= *at).is_some() {
                due.push((relayed.requester.clone(), relayed.requested_sequence));
            }
        }
        for (requester, sequence) in due {
            self.send(
                requester.recipient(),
                Some(Payload::Nack(SequenceNumber { sequence })),
                actions,
            );
        }
    }

    pub(super) fn drop_expired_relayed_probes(&mut self) {
        let now = self.now;
        self.relayed_probes
            .retain(|_, relayed| now < relayed.expires_at);
    }
}
