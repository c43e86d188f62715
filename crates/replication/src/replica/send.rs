//! Sending: records are split over messages, and each message goes out as a datagram or over a stream.

use super::{Action, Replica};
use crate::wire::{self, Body, MessageType, Packet, Record, Records};
use prost::Message;

/// Bytes of the envelope around a message in a datagram.
const ENVELOPE_BYTES: usize = 16;
/// Bytes of the packet around the records in a datagram.
const PACKET_BYTES: usize = 160;
/// Bytes of records in one datagram.
const MAX_DATAGRAM_RECORD_BYTES: usize = wire::MAX_DATAGRAM_BYTES - PACKET_BYTES;
/// Bytes of records in one message that goes over a stream, before it is packed.
pub(super) const MAX_STREAM_RECORD_BYTES: usize = 12 * 1024;
/// More bytes of records than fit into so many datagrams go over a stream.
const MAX_DATAGRAMS: usize = 3;
/// Tag and length in front of a record within a message.
const FIELD_BYTES: usize = 4;

/// What a record takes in a message.
pub(super) fn encoded_size(record: &Record) -> usize {
    record.encoded_len() + FIELD_BYTES
}

/// Splits records over as many messages as it takes.
fn split(records: &[Record]) -> Vec<Records> {
    let total: usize = records.iter().map(encoded_size).sum();
    let max_size = if total > MAX_DATAGRAMS * MAX_DATAGRAM_RECORD_BYTES {
        MAX_STREAM_RECORD_BYTES
    } else {
        MAX_DATAGRAM_RECORD_BYTES
    };
    let (mut messages, mut message, mut size) = (Vec::new(), Records::default(), 0);
    for record in records {
        let added = encoded_size(record);
        if size + added > max_size && !message.records.is_empty() {
            messages.push(std::mem::take(&mut message));
            size = 0;
        }
        size += added;
        message.records.push(record.clone());
    }
    if !message.records.is_empty() {
        messages.push(message);
    }
    messages
}

impl Replica {
    /// Sends records in as many messages as it takes; `body` makes the body of each.
    pub(super) fn send_records(
        &mut self,
        to: &str,
        records: &[Record],
        body: impl Fn(Records) -> Body,
        actions: &mut Vec<Action>,
    ) {
        for message in split(records) {
            self.send(to, body(message), actions);
        }
    }

    /// Sends one message, over a stream where it does not fit into a datagram.
    pub(super) fn send(&mut self, to: &str, body: Body, actions: &mut Vec<Action>) {
        let message_type = body.message_type();
        let packet = Packet {
            fleet_id: self.settings.fleet_id,
            from: self.name.clone(),
            incarnation: self.incarnation,
            body: Some(body),
        };
        let unpacked_size = packet.encoded_len();
        let fits_datagram = unpacked_size <= wire::MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;
        if fits_datagram {
            wire::write(&packet, &mut self.buffer);
        } else {
            wire::write_chunk(&packet, &mut self.buffer);
        }
        let (to, bytes) = (to.to_string(), self.buffer.clone());
        self.account_for(message_type, unpacked_size, bytes.len());
        actions.push(if fits_datagram {
            Action::SendDatagram { to, bytes }
        } else {
            Action::SendStream { to, bytes }
        });
    }

    fn account_for(&mut self, message_type: MessageType, unpacked_size: usize, sent_size: usize) {
        let sent_bytes = sent_size as u64;
        self.counts.sent += 1;
        self.counts.sent_bytes += sent_bytes;
        *self
            .counts
            .sent_bytes_by_type
            .entry(message_type)
            .or_default() += sent_bytes;
        if message_type == MessageType::CatchUpPage {
            // Unpacked: it is the packing that requests wait for.
            self.donor.spend(unpacked_size);
        } else {
            self.budget.spend(sent_size);
        }
    }
}
