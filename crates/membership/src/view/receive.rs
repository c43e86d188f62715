//! Handling of received messages: learning from the header, and dispatch of the payload.
//!
//! Invariant: a message changes what the view knows of other members only if it belongs to this fleet and comes from a
//! process with another name that is neither forgotten nor considered dead. All other messages are counted by the
//! reason for dropping them.

use super::member::PublishedBody;
use super::merge::ClaimReport;
use super::recipients::Recipient;
use super::{Action, ClaimSource, View};
use crate::claim::{Claim, MemberState};
use crate::wire::{self, Body, DropReason, Packet, Payload, Ping, SequenceNumber};
use crate::Micros;
use std::net::SocketAddr;

impl View {
    /// Handles a datagram or a stream message.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.counters.messages_received += 1;
        self.counters.bytes_received += bytes.len() as u64;
        let packet = match wire::decode(bytes, self.fleet_id) {
            Ok(packet) => packet,
            Err(reason) => return self.count_dropped(reason),
        };
        if self.withdrawn {
            return;
        }
        if let Err(reason) = self.receive_packet(packet, actions) {
            self.count_dropped(reason);
        }
    }

    pub(super) fn count_dropped(&mut self, reason: DropReason) {
        *self.counters.dropped.entry(reason).or_default() += 1;
    }

    fn receive_packet(
        &mut self,
        mut packet: Packet,
        actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        if packet.sender == self.own.name {
            return self.receive_from_own_name(&packet, actions);
        }
        let address: SocketAddr = packet
            .address
            .parse()
            .map_err(|_| DropReason::OutOfBounds)?;
        let claim = packet.receiver_claim.take();
        let refuted = claim
            .is_some_and(|claim| self.receive_claim_about_self(claim, &packet.sender, actions));
        let name = packet.sender.clone();
        let sender = Recipient {
            name: &name,
            address,
        };
        if self.tombstones.covers(sender.name, packet.start) {
            // The reply carries the claim that the sender was forgotten, so the sender returns with a later start.
            self.send(sender, None, actions);
            return Err(DropReason::SenderDead);
        }
        self.learn_from_header(sender, &packet, refuted, actions)?;
        for record in std::mem::take(&mut packet.records) {
            self.receive_record(record, ClaimSource::Rumor, actions);
        }
        self.dispatch(sender, packet, refuted, actions);
        Ok(())
    }

    fn receive_from_own_name(
        &mut self,
        packet: &Packet,
        actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        if packet.nonce == self.own.nonce {
            return Ok(());
        }
        self.resolve_name_conflict(packet.start, packet.nonce, &packet.address, actions);
        Err(DropReason::NameConflict)
    }

    /// Learns that the sender is alive, unless it is leaving, and records when it last sent a message. Fails if the
    /// view has no capacity for the sender, or considers the sending process dead.
    fn learn_from_header(
        &mut self,
        sender: Recipient,
        packet: &Packet,
        refuted: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        let is_leaving = matches!(packet.payload, Some(Payload::Leaving(_)));
        if !is_leaving {
            self.learn_sender(packet, actions)?;
        }
        if let Some(member) = self.members.get_mut(sender.name) {
            member.received_at = Some(self.now);
        }
        if !is_leaving && self.has_sender_departed(packet) {
            self.reply_to_departed(sender, packet.payload.clone(), refuted, actions);
            return Err(DropReason::SenderDead);
        }
        Ok(())
    }

    /// Learns that the sender is alive, and its address.
    fn learn_sender(
        &mut self,
        packet: &Packet,
        actions: &mut Vec<Action>,
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
        let report = ClaimReport {
            name: &packet.sender,
            claim: sender_claim(packet, MemberState::Alive),
            accuser: "",
            source: ClaimSource::MemberItself,
        };
        self.learn(report, published, actions)
    }

    /// Whether this proxy considers the sending process dead or departed.
    fn has_sender_departed(&self, packet: &Packet) -> bool {
        let member = self.members.get(&packet.sender);
        member.is_some_and(|member| {
            member.claim.start != packet.start || !member.claim.state.is_present()
        })
    }

    /// Replies to a sender that this proxy considers dead or departed. The reply carries this proxy's claim about the
    /// sender, so that the sender can refute it; until then the sender's claims about other members are ignored. A
    /// message without a payload gets a reply only if it led to a refutation. Otherwise two proxies that consider each
    /// other dead would reply to each other forever.
    fn reply_to_departed(
        &mut self,
        sender: Recipient,
        payload: Option<Payload>,
        refuted: bool,
        actions: &mut Vec<Action>,
    ) {
        let wants_reply = payload.is_some() || refuted;
        let replied = self.receive_probe_message(sender, payload, actions);
        if !replied && wants_reply {
            self.send(sender, None, actions);
        }
    }

    fn dispatch(
        &mut self,
        sender: Recipient,
        packet: Packet,
        refuted: bool,
        actions: &mut Vec<Action>,
    ) {
        let left = sender_claim(&packet, MemberState::Left);
        match packet.payload {
            Some(Payload::Leaving(SequenceNumber { sequence })) => {
                self.receive_departure(sender, left, packet.address, sequence, actions);
            }
            Some(Payload::Confirmed(_)) => self.receive_departure_confirmation(sender.name),
            Some(Payload::RootDigest(root)) => self.receive_root_digest(sender, root, actions),
            Some(Payload::BucketDigests(buckets)) => {
                self.receive_bucket_digests(sender, &buckets.digests, actions);
            }
            Some(Payload::Inventory(inventory)) => {
                self.receive_inventory(sender, inventory, actions);
            }
            Some(Payload::RecordTransfer(transfer)) => {
                self.receive_transfer(sender, transfer, actions);
            }
            payload => {
                let replied = self.receive_probe_message(sender, payload, actions);
                if !replied && refuted {
                    self.send(sender, None, actions);
                }
            }
        }
    }

    /// Handles pings, ping requests and their responses. Returns whether the message was a ping or a valid ping
    /// request.
    fn receive_probe_message(
        &mut self,
        sender: Recipient,
        payload: Option<Payload>,
        actions: &mut Vec<Action>,
    ) -> bool {
        match payload {
            Some(Payload::Ping(ping)) => {
                self.receive_ping(sender, ping, actions);
                true
            }
            Some(Payload::PingRequest(request)) => {
                self.receive_ping_request(sender, request, actions)
            }
            Some(Payload::Ack(SequenceNumber { sequence })) => {
                self.receive_ack(sender.name, sequence, actions);
                false
            }
            Some(Payload::Nack(SequenceNumber { sequence })) => {
                self.receive_nack(sequence);
                false
            }
            _ => false,
        }
    }

    /// Responds to a ping, unless it is addressed to a member that used this proxy's address before.
    fn receive_ping(&mut self, sender: Recipient, ping: Ping, actions: &mut Vec<Action>) {
        if ping.target.is_empty() || ping.target == self.own.name {
            let ack = SequenceNumber {
                sequence: ping.sequence,
            };
            self.send(sender, Some(Payload::Ack(ack)), actions);
        }
    }
}

/// The claim about the sender with the start and incarnation of the header and this state.
fn sender_claim(packet: &Packet, state: MemberState) -> Claim {
    Claim {
        start: packet.start,
        incarnation: packet.incarnation,
        state,
    }
}
