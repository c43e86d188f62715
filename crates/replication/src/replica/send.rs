//! Sends messages: splits records over several messages, and sends each message as a datagram or over a stream.

use super::{Action, Replica};
use crate::wire::{self, Body, MessageType, Packet, Record, Records};
use prost::Message;

/// Bytes of the envelope around a message in a datagram.
const ENVELOPE_BYTES: usize = 16;
/// Maximum number of bytes of a datagram that are not records.
const PACKET_BYTES: usize = 160;
/// Maximum number of bytes of records in one datagram.
const MAX_DATAGRAM_RECORD_BYTES: usize = wire::MAX_DATAGRAM_BYTES - PACKET_BYTES;
/// Maximum number of bytes of records in one message on a stream, before compression. A single record may exceed it.
pub(super) const MAX_STREAM_RECORD_BYTES: usize = 12 * 1024;
/// Records that do not fit into this number of datagrams are sent over a stream.
const MAX_DATAGRAMS: usize = 3;
/// Bytes of the tag and the length before a record in a message.
const FIELD_BYTES: usize = 4;

/// Bytes of a record in a message.
pub(super) fn encoded_size(record: &Record) -> usize {
    record.encoded_len() + FIELD_BYTES
}

/// Splits records over as many messages as are needed.
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
    /// Sends records in as many messages as are needed. `body` creates the body of each message.
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

    /// Sends one message as a datagram or, if it does not fit, over a stream.
    pub(super) fn send(&mut self, to: &str, body: Body, actions: &mut Vec<Action>) {
        let message_type = body.message_type();
        let packet = Packet {
            fleet_id: self.settings.fleet_id,
            from: self.name.clone(),
            incarnation: self.incarnation,
            body: Some(body),
        };
        let uncompressed_size = packet.encoded_len();
        let fits_datagram = uncompressed_size <= wire::MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;
        if fits_datagram {
            wire::write(&packet, &mut self.buffer);
        } else {
            wire::write_chunk(&packet, &mut self.buffer);
        }
        let (to, bytes) = (to.to_string(), self.buffer.clone());
        self.count_and_charge(message_type, uncompressed_size, bytes.len());
        actions.push(if fits_datagram {
            Action::SendDatagram { to, bytes }
        } else {
            Action::SendStream { to, bytes }
        });
    }

    fn count_and_charge(
        &mut self,
        message_type: MessageType,
        uncompressed_size: usize,
        sent_size: usize,
    ) {
        let sent_bytes = sent_size as u64;
        self.counts.sent += 1;
        self.counts.sent_bytes += sent_bytes;
        *self
            .counts
            .sent_bytes_by_type
            .entry(message_type)
            .or_default() += sent_bytes;
        if message_type == MessageType::CatchUpPage {
            // The uncompressed size counts, because client requests wait while a page is compressed.
            self.donor.spend(uncompressed_size);
        } else {
            self.budget.spend(sent_size);
        }
    }
}
