//! Encoding and sending of datagrams, with the rumors that they carry.

use super::budget::{BODY_RUMORS_SHARE, ESSENTIAL_SHARE};
use super::peers::Recipient;
use super::{Action, View};
use crate::claim::{Claim, MemberState};
use crate::wire::{self, Packet, Payload, ReceiverClaim, Record};

/// What a record takes in a message besides its own encoding, at most.
pub(super) const RECORD_OVERHEAD: usize = 4;
/// The kind under which datagrams without a payload are counted.
const RUMORS_ONLY: &str = "news";

impl View {
    pub(super) fn send(&mut self, to: Recipient, payload: Option<Payload>, out: &mut Vec<Action>) {
        self.send_with_record(to, payload, None, out);
    }

    /// Sends a datagram. One with a record of its own carries no rumors.
    pub(super) fn send_with_record(
        &mut self,
        to: Recipient,
        payload: Option<Payload>,
        record: Option<Record>,
        out: &mut Vec<Action>,
    ) {
        self.budget.refill(self.now);
        let may_carry =
            record.is_none() && matches!(payload, None | Some(Payload::Ping(_) | Payload::Ack(_)));
        let kind = payload.as_ref().map_or(RUMORS_ONLY, Payload::name);
        let records = record.into_iter().collect();
        let mut packet = self.packet(self.claim_held_of(to.name), payload, records);
        // A member that is not known well may not know this front either.
        let introduces_itself = self
            .members
            .get(to.name)
            .is_none_or(|member| member.revision == 0);
        if introduces_itself {
            packet.records.push(self.own.record_with_body());
        }
        // Rumors to a member that may be dead would be wasted.
        if may_carry && self.budget.has_share(ESSENTIAL_SHARE) && !self.is_unhealthy(to.name) {
            self.attach_rumors(&mut packet, introduces_itself);
        }
        self.encode_datagram(packet);
        self.charge_send_buffer(kind);
        self.counters.datagrams_sent += 1;
        out.push(Action::SendDatagram {
            to: to.address,
            bytes: self.send_buffer.clone(),
        });
    }

    /// What a datagram tells its receiver of itself, where that is not alive.
    fn claim_held_of(&self, name: &str) -> Option<ReceiverClaim> {
        let (claim, forgotten) = match self.members.get(name) {
            Some(member) if member.is_alive() => return None,
            Some(member) => (member.claim, false),
            None => (
                Claim::alive(self.forgotten.start_of(name)?).with_state(MemberState::Dead),
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

    /// Adds rumors as far as the datagram has room; those with published bodies only where the budget is ample.
    fn attach_rumors(&mut self, packet: &mut Packet, includes_own_record: bool) {
        let allows_bodies = self.budget.has_share(BODY_RUMORS_SHARE);
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

    /// Encodes into the send buffer, without records where they make it too long.
    fn encode_datagram(&mut self, mut packet: Packet) {
        wire::encode(&packet, &mut self.send_buffer);
        if self.send_buffer.len() > wire::MAX_DATAGRAM_LENGTH {
            packet.records.clear();
            wire::encode(&packet, &mut self.send_buffer);
        }
    }

    pub(super) fn packet(
        &self,
        you: Option<ReceiverClaim>,
        said: Option<Payload>,
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
            receiver_claim: you,
            payload: said,
            records,
        }
    }

    /// The record of this front or of a member, with its published body.
    pub(super) fn record_with_body(&self, name: &str) -> Option<Record> {
        if name == self.own.name {
            return Some(self.own.record_with_body());
        }
        self.members
            .get(name)
            .map(|member| member.record_with_body(name, &self.own.name))
    }
}
