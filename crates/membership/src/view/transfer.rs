//! Transfer of records between two fronts: requests for them and their delivery, in datagrams or over a stream.

use super::peers::Recipient;
use super::send::RECORD_OVERHEAD;
use super::{Action, View};
use crate::wire::{self, Payload, RecordTransfer};
use std::net::SocketAddr;

/// Room for one part of an exchange in a datagram, besides its header.
pub(super) const DATAGRAM_ROOM: usize = wire::MAX_DATAGRAM_LENGTH - 220;
/// Parts of an exchange longer than this go over a stream.
pub(super) const STREAM_THRESHOLD: usize = 2 * DATAGRAM_ROOM;
/// Length of one message of a stream before compression; compressed it is about what the default rate allows at once.
pub(super) const STREAM_CHUNK: usize = 20 * DATAGRAM_ROOM;
/// Names requested in one datagram.
const NAMES_PER_DATAGRAM: usize = 24;
/// More names than this are requested over a stream.
const STREAMED_NAMES: usize = STREAM_THRESHOLD / NAMES_PER_DATAGRAM;
/// More records than this are sent over a stream.
pub(super) const MAX_DATAGRAM_RECORDS: usize = 9;

impl View {
    /// Whether messages for this address may go over a stream.
    pub(super) fn can_stream(&self, to: SocketAddr) -> bool {
        self.plan.use_streams && !self.failed_streams.contains_key(&to)
    }

    /// Requests the records of these members. False where the budget did not allow all of the datagrams.
    pub(super) fn request_records(
        &mut self,
        to: Recipient,
        names: Vec<String>,
        out: &mut Vec<Action>,
    ) -> bool {
        if names.len() > STREAMED_NAMES && self.can_stream(to.address) {
            if self.may_send_deferrable() {
                self.send_chunk(
                    to.address,
                    Payload::RecordTransfer(RecordTransfer {
                        names,
                        records: Vec::new(),
                    }),
                    out,
                );
            }
            return true;
        }
        for names in names.chunks(NAMES_PER_DATAGRAM) {
            if !self.may_send_deferrable() {
                return false;
            }
            let request = RecordTransfer {
                names: names.to_vec(),
                records: Vec::new(),
            };
            self.send(to, Some(Payload::RecordTransfer(request)), out);
        }
        true
    }

    /// Sends the records of these members, as far as they are known and the budget allows.
    pub(super) fn send_records(
        &mut self,
        to: Recipient,
        mut names: Vec<String>,
        out: &mut Vec<Action>,
    ) {
        if names.len() > MAX_DATAGRAM_RECORDS && self.can_stream(to.address) {
            // Where the budget does not allow all, another exchange sends others.
            self.rng.shuffle(&mut names);
            return self.stream_records(to.address, &names, out);
        }
        let mut batch = RecordTransfer::default();
        for name in names {
            let Some(record) = self.record_with_body(&name) else {
                continue;
            };
            let added = prost::Message::encoded_len(&record) + RECORD_OVERHEAD;
            if !batch.records.is_empty()
                && prost::Message::encoded_len(&batch) + added > DATAGRAM_ROOM
            {
                if !self.may_send_deferrable() {
                    return;
                }
                self.send(
                    to,
                    Some(Payload::RecordTransfer(std::mem::take(&mut batch))),
                    out,
                );
            }
            batch.records.push(record);
        }
        if !batch.records.is_empty() {
            self.send(to, Some(Payload::RecordTransfer(batch)), out);
        }
    }

    fn stream_records(&mut self, to: SocketAddr, names: &[String], out: &mut Vec<Action>) {
        let mut batch = RecordTransfer::default();
        let mut length = 0;
        for (index, name) in names.iter().enumerate() {
            if let Some(record) = self.record_with_body(name) {
                length += prost::Message::encoded_len(&record) + RECORD_OVERHEAD;
                batch.records.push(record);
            }
            let is_last = index + 1 == names.len();
            if (length < STREAM_CHUNK && !is_last) || batch.records.is_empty() {
                continue;
            }
            if !self.may_send_deferrable() {
                return;
            }
            self.send_chunk(to, Payload::RecordTransfer(std::mem::take(&mut batch)), out);
            length = 0;
        }
    }

    /// Sends a message over a stream; one that is too long even when compressed is dropped.
    pub(super) fn send_chunk(&mut self, to: SocketAddr, payload: Payload, out: &mut Vec<Action>) {
        let kind = payload.name();
        let packet = self.packet(None, Some(payload), Vec::new());
        wire::encode_chunk(&packet, &mut self.send_buffer);
        if self.send_buffer.len() > wire::MAX_CHUNK_LENGTH {
            return;
        }
        self.charge_send_buffer(kind);
        self.counters.chunks_sent += 1;
        out.push(Action::SendStream {
            to,
            bytes: self.send_buffer.clone(),
        });
    }
}
