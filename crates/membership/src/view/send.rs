//! Encoding and sending of datagrams and of the rumors that they carry.
//!
//! Invariants: no datagram is longer than [`wire::MAX_DATAGRAM_LENGTH`]; a datagram to a member that this proxy does
//! not consider alive carries that claim, so that the member can refute it.

use super::budget::{BODY_RUMORS_FRACTION, ESSENTIAL_FRACTION};
use super::recipients::Recipient;
use super::{Action, View};
use crate::claim::{Claim, MemberState};
use crate::wire::{self, Packet, Payload, ReceiverClaim, Record};

/// Upper bound of the bytes that a record takes in a message in addition to its own encoding.
pub(super) const RECORD_OVERHEAD: usize = 4;
/// Kind of datagrams without a payload in metrics.
const RUMORS_ONLY: &str = "news";

impl View {
    pub(super) fn send(
        &mut self,
        to: Recipient,
        payload: Option<Payload>,
        actions: &mut Vec<Action>,
    ) {
        self.send_with_record(to, payload, None, actions);
    }

    /// Sends a datagram. A datagram with a given record carries no rumors.
    pub(super) fn send_with_record(
        &mut self,
        to: Recipient,
        payload: Option<Payload>,
        record: Option<Record>,
        actions: &mut Vec<Action>,
    ) {
        self.budget.refill(self.now);
        let piggyback_rumors = record.is_none() && can_piggyback_rumors(payload.as_ref());
        let kind = payload.as_ref().map_or(RUMORS_ONLY, Payload::name);
        let records = record.into_iter().collect();
        let mut packet = self.packet(self.claim_about(to.name), payload, records);
        // A member whose body this proxy does not know may not know this proxy either.
        let introduces_itself = self
            .members
            .get(to.name)
            .is_none_or(|member| member.revision == 0);
        if introduces_itself {
            packet.records.push(self.own.record_with_body());
        }
        // Rumors to a member that may be dead would be wasted.
        if piggyback_rumors
            && self.budget.has_fraction(ESSENTIAL_FRACTION)
            && !self.is_unhealthy(to.name)
        {
            self.attach_rumors(&mut packet, introduces_itself);
        }
        self.encode_datagram(packet);
        self.charge_send_buffer(kind);
        self.counters.datagrams_sent += 1;
        actions.push(Action::SendDatagram {
            to: to.address,
            bytes: self.send_buffer.clone(),
        });
    }

    /// The claim that a datagram carries about its receiver, unless the receiver is alive or unknown.
    fn claim_about(&self, name: &str) -> Option<ReceiverClaim> {
        let (claim, forgotten) = match self.members.get(name) {
            Some(member) if member.is_alive() => return None,
            Some(member) => (member.claim, false),
            None => (
                Claim::alive(self.tombstones.start_of(name)?).with_state(MemberState::Dead),
                true,
            ),
        };
        Some(ReceiverClaim {
            start: claim.start,
            incarnation: claim.incarnation,
            state: claim.state as u32,
            forgotten,
        })
    }

    /// Adds as many rumors as fit into the datagram. Rumors with published bodies are added only while enough of the
    /// send budget is available.
    fn attach_rumors(&mut self, packet: &mut Packet, includes_own_record: bool) {
        let allows_bodies = self.budget.has_fraction(BODY_RUMORS_FRACTION);
        let mut size = wire::encoded_length(packet);
        let mut rumors = std::mem::take(&mut self.rumors);
        rumors.transmit(|name| {
            if includes_own_record && name == self.own.name {
                return true;
            }
            let Some(record) = self.record_with_body(name) else {
                return true;
            };
            if !allows_bodies && !record.body.is_empty() {
                return true;
            }
            let added = prost::Message::encoded_len(&record) + RECORD_OVERHEAD;
            if size + added > wire::MAX_DATAGRAM_LENGTH {
                return false;
            }
            size += added;
            packet.records.push(record);
            true
        });
        self.rumors = rumors;
    }

    /// Encodes a packet into the send buffer, without its records if they make the datagram too long.
    fn encode_datagram(&mut self, mut packet: Packet) {
        wire::encode(&packet, &mut self.send_buffer);
        if self.send_buffer.len() > wire::MAX_DATAGRAM_LENGTH {
            packet.records.clear();
            wire::encode(&packet, &mut self.send_buffer);
        }
    }

    pub(super) fn packet(
        &self,
        receiver_claim: Option<ReceiverClaim>,
        payload: Option<Payload>,
        records: Vec<Record>,
    ) -> Packet {
        Packet {
            fleet: self.fleet_id,
            sender: self.own.name.clone(),
            start: self.own.claim.start,
            incarnation: self.own.claim.incarnation,
            nonce: self.own.nonce,
            address: self.own.body.address.clone(),
            revision: self.own.revision,
            receiver_claim,
            payload,
            records,
        }
    }

    /// The record of this proxy or of another member, with its published body.
    pub(super) fn record_with_body(&self, name: &str) -> Option<Record> {
        if name == self.own.name {
            return Some(self.own.record_with_body());
        }
        self.members
            .get(name)
            .map(|member| member.record_with_body(name, &self.own.name))
    }
}

/// Whether rumors can be piggybacked on messages of this kind: probes and acks, which are frequent, and pushes.
fn can_piggyback_rumors(payload: Option<&Payload>) -> bool {
    matches!(payload, None | Some(Payload::Ping(_) | Payload::Ack(_)))
}
