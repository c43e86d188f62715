//! Sending: records are split over messages, and each message goes out as a datagram or over a stream.

use super::{Act, Replica};
use crate::wire::{self, Body, MessageKind, Packet, Record, Records};
use prost::Message;

/// Room for the envelope around a message in a datagram.
const ENVELOPE_BYTES: usize = 16;
/// Bytes of records in one datagram; the rest is for the packet around them.
const DATAGRAM_BYTES: usize = wire::DATAGRAM_MOST - 160;
/// Bytes of records in one message that goes over a stream, before it is packed.
pub(super) const STREAM_BYTES: usize = 12 * 1024;
/// More bytes of records than fit into so many datagrams go over a stream.
const DATAGRAMS_MOST: usize = 3;
/// Tag and length in front of a record within a message.
const FIELD_BYTES: usize = 4;

/// What a record takes in a message.
pub(super) fn encoded_size(record: &Record) -> usize {
    record.encoded_len() + FIELD_BYTES
}

/// Splits records over as many messages as it takes.
fn split(records: &[Record]) -> Vec<Records> {
    let whole: usize = records.iter().map(encoded_size).sum();
    let most = if whole > DATAGRAMS_MOST * DATAGRAM_BYTES {
        STREAM_BYTES
    } else {
        DATAGRAM_BYTES
    };
    let (mut messages, mut message, mut size) = (Vec::new(), Records::default(), 0);
    for record in records {
        let more = encoded_size(record);
        if size + more > most && !message.records.is_empty() {
            messages.push(std::mem::take(&mut message));
            size = 0;
        }
        size += more;
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
        acts: &mut Vec<Act>,
    ) {
        for message in split(records) {
            self.send(to, body(message), acts);
        }
    }

    /// Sends one message, over a stream where it does not fit into a datagram.
    pub(super) fn send(&mut self, to: &str, body: Body, acts: &mut Vec<Act>) {
        let kind = body.kind();
        let (fleet, from, start) = (self.plan.fleet, self.name.clone(), self.start);
        let packet = Packet {
            fleet,
            from,
            start,
            body: Some(body),
        };
        let plain = packet.encoded_len();
        let stream = plain > wire::DATAGRAM_MOST - ENVELOPE_BYTES;
        if stream {
            wire::write_chunk(&packet, &mut self.buffer);
        } else {
            wire::write(&packet, &mut self.buffer);
        }
        let bytes = self.buffer.clone();
        self.account_for(kind, plain, bytes.len());
        let to = to.to_string();
        acts.push(if stream {
            Act::Stream { to, bytes }
        } else {
            Act::Send { to, bytes }
        });
    }

    fn account_for(&mut self, kind: MessageKind, plain: usize, packed: usize) {
        self.counts.sent += 1;
        self.counts.sent_bytes += packed as u64;
        *self.counts.spent.entry(kind).or_default() += packed as u64;
        if kind == MessageKind::CatchUpPage {
            // Unpacked: it is the packing that lookups wait for.
            self.donor.spend(plain);
        } else {
            self.budget.spend(packed);
        }
    }
}
