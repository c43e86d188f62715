//! Received messages: what their header tells of the sender, and their dispatch.

use super::member::PublishedBody;
use super::merge::Report;
use super::peers::Recipient;
use super::{Action, ClaimSource, View};
use crate::claim::{Claim, MemberState};
use crate::wire::{self, Body, DropReason, Packet, Payload, Ping, SequenceNumber};
use crate::Micros;
use std::net::SocketAddr;

impl View {
    /// A datagram, or a message of a stream.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.counters.messages_received += 1;
        self.counters.bytes_received += bytes.len() as u64;
        let packet = match wire::decode(bytes, self.fleet_id) {
            Ok(packet) => packet,
            Err(reason) => return self.count_dropped(reason),
        };
        if self.gave_way {
            return;
        }
        if let Err(reason) = self.receive_packet(packet, out) {
            self.count_dropped(reason);
        }
    }

    pub(super) fn count_dropped(&mut self, reason: DropReason) {
        *self.counters.dropped.entry(reason).or_default() += 1;
    }

    fn receive_packet(
        &mut self,
        mut packet: Packet,
        out: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        if packet.sender == self.own.name {
            return self.receive_from_own_name(&packet, out);
        }
        let address: SocketAddr = packet
            .address
            .parse()
            .map_err(|_| DropReason::OutOfBounds)?;
        let you = packet.receiver_claim.take();
        let refuted =
            you.is_some_and(|you| self.receive_claim_about_self(you, &packet.sender, out));
        let from = packet.sender.clone();
        let sender = Recipient {
            name: &from,
            address,
        };
        if self.forgotten.covers(sender.name, packet.start) {
            // The reply tells the sender so. It returns by a later start.
            self.send(sender, None, out);
            return Err(DropReason::SenderDead);
        }
        let is_leaving = matches!(packet.payload, Some(Payload::Leaving(_)));
        if !is_leaving {
            self.learn_from_header(&packet, out)?;
        }
        if let Some(member) = self.members.get_mut(sender.name) {
            member.received_at = Some(self.now);
        }
        if !is_leaving && self.is_sender_gone(&packet) {
            self.reply_to_gone(sender, packet.payload, refuted, out);
            return Err(DropReason::SenderDead);
        }
        for record in std::mem::take(&mut packet.records) {
            self.receive_record(record, ClaimSource::Rumor, out);
        }
        self.dispatch(sender, packet, refuted, out);
        Ok(())
    }

    fn receive_from_own_name(
        &mut self,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        if packet.nonce == self.own.nonce {
            return Ok(());
        }
        self.resolve_name_conflict(packet.start, packet.nonce, &packet.address, out);
        Err(DropReason::NameConflict)
    }

    /// The sender is alive, and this is its address.
    fn learn_from_header(
        &mut self,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        let body = Body {
            address: packet.address.clone(),
            nonce: packet.nonce,
            ..Body::default()
        };
        let published = PublishedBody {
            body,
            ..PublishedBody::default()
        };
        let claim = Claim {
            start: packet.start,
            incarnation: packet.incarnation,
            state: MemberState::Alive,
        };
        self.learn(
            Report {
                name: &packet.sender,
                claim,
                by: "",
                why: ClaimSource::MemberItself,
            },
            published,
            out,
        )
    }

    /// Whether this front holds the sending process to be dead or to have left.
    fn is_sender_gone(&self, packet: &Packet) -> bool {
        let member = self.members.get(&packet.sender);
        member.is_some_and(|m| m.claim.start != packet.start || !m.claim.state.is_present())
    }

    /// The reply tells such a sender what is held of it, so that it can refute that; what it tells of others does not
    /// count until then. A message that requests nothing gets a reply only after a refutation: two fronts that hold
    /// each other dead would go on replying for ever.
    fn reply_to_gone(
        &mut self,
        sender: Recipient,
        payload: Option<Payload>,
        refuted: bool,
        out: &mut Vec<Action>,
    ) {
        let wants_reply = payload.is_some() || refuted;
        let replied = self.receive_probe_message(sender, payload, out);
        if !replied && wants_reply {
            self.send(sender, None, out);
        }
    }

    fn dispatch(
        &mut self,
        sender: Recipient,
        packet: Packet,
        refuted: bool,
        out: &mut Vec<Action>,
    ) {
        match packet.payload {
            Some(Payload::Leaving(SequenceNumber { sequence: seq })) => {
                let claim = Claim {
                    start: packet.start,
                    incarnation: packet.incarnation,
                    state: MemberState::Left,
                };
                self.receive_departure(sender, claim, packet.address, seq, out);
            }
            Some(Payload::Confirmed(_)) => self.receive_departure_confirmation(sender.name),
            Some(Payload::RootDigest(root)) => self.receive_root_digest(sender, root, out),
            Some(Payload::BucketDigests(buckets)) => {
                self.receive_bucket_digests(sender, &buckets.digests, out)
            }
            Some(Payload::Inventory(inventory)) => self.receive_inventory(sender, inventory, out),
            Some(Payload::RecordTransfer(want)) => {
                for record in want.records {
                    self.receive_record(record, ClaimSource::AntiEntropy, out);
                }
                self.send_records(sender, want.names, out);
            }
            payload => {
                let replied = self.receive_probe_message(sender, payload, out);
                if !replied && refuted {
                    self.send(sender, None, out);
                }
            }
        }
    }

    /// Probes, requests for them and their answers. Whether it was one that a reply belongs to.
    fn receive_probe_message(
        &mut self,
        sender: Recipient,
        payload: Option<Payload>,
        out: &mut Vec<Action>,
    ) -> bool {
        match payload {
            Some(Payload::Ping(ping)) => {
                self.receive_ping(sender, ping, out);
                true
            }
            Some(Payload::PingRequest(request)) => self.receive_ping_request(sender, request, out),
            Some(Payload::Ack(SequenceNumber { sequence: seq })) => {
                self.receive_ack(sender.name, seq, out);
                false
            }
            Some(Payload::Nack(SequenceNumber { sequence: seq })) => {
                self.receive_nack(seq);
                false
            }
            _ => false,
        }
    }

    /// Answers a ping, unless it is meant for a member that had this address before.
    fn receive_ping(&mut self, sender: Recipient, ping: Ping, out: &mut Vec<Action>) {
        if ping.target.is_empty() || ping.target == self.own.name {
            self.send(
                sender,
                Some(Payload::Ack(SequenceNumber {
                    sequence: ping.sequence,
                })),
                out,
            );
        }
    }
}
