//! Transfer of records between two proxies: requests for them and their delivery, in datagrams or over a stream.
//!
//! Invariant: each datagram and chunk is sent only if the send budget allows it when its turn comes; what is not sent is
//! left to a later exchange.

use super::recipients::Recipient;
use super::send::RECORD_OVERHEAD;
use super::{Action, ClaimSource, View};
use crate::wire::{self, Payload, RecordTransfer};
use crate::Micros;
use std::net::SocketAddr;

/// Bytes that one part of an exchange may take in a datagram, besides its header.
pub(super) const DATAGRAM_CAPACITY: usize = wire::MAX_DATAGRAM_LENGTH - 220;
/// Parts of an exchange longer than this go over a stream.
pub(super) const STREAM_THRESHOLD: usize = 2 * DATAGRAM_CAPACITY;
/// Length of one message of a stream before compression; compressed it is about what the default rate allows at once.
pub(super) const STREAM_CHUNK: usize = 20 * DATAGRAM_CAPACITY;
/// Names requested in one datagram.
const NAMES_PER_DATAGRAM: usize = 24;
/// More names than this are requested over a stream.
const STREAMED_NAMES: usize = STREAM_THRESHOLD / NAMES_PER_DATAGRAM;
/// More records than this are sent over a stream.
pub(super) const MAX_DATAGRAM_RECORDS: usize = 9;

/// How long streams to an address that refused one are avoided, in probe periods; datagrams do the same in more bytes.
const STREAM_RETRY_PERIODS: Micros = 30;

impl View {
    /// Reports that a stream to this address failed: datagrams are used in its place for a while.
    pub fn stream_failed(&mut self, now: Micros, to: SocketAddr) {
        if self.failed_streams.len() < self.settings.max_members {
            self.failed_streams
                .insert(to, now + STREAM_RETRY_PERIODS * self.settings.probe_period);
        }
    }

    /// Whether messages for this address may go over a stream.
    pub(super) fn can_stream(&self, to: SocketAddr) -> bool {
        self.settings.use_streams && !self.failed_streams.contains_key(&to)
    }

    /// Requests the records of these members. False where the budget did not allow all of the datagrams.
    pub(super) fn request_records(
        &mut self,
        to: Recipient,
        names: Vec<String>,
        actions: &mut Vec<Action>,
    ) -> bool {
        if names.len() > STREAMED_NAMES && self.can_stream(to.address) {
            if self.may_send_deferrable() {
                self.send_chunk(
                    to.address,
                    Payload::RecordTransfer(RecordTransfer {
                        names,
                        records: Vec::new(),
                    }),
                    actions,
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
            self.send(to, Some(Payload::RecordTransfer(request)), actions);
        }
        true
    }

    /// Records that this proxy requested, and names whose records the other requests.
    pub(super) fn receive_transfer(
        &mut self,
        sender: Recipient,
        transfer: RecordTransfer,
        actions: &mut Vec<Action>,
    ) {
        for record in transfer.records {
            self.receive_record(record, ClaimSource::AntiEntropy, actions);
        }
        self.send_records(sender, transfer.names, actions);
    }

    /// Sends the records of these members, as far as they are known and the budget allows.
    pub(super) fn send_records(
        &mut self,
        to: Recipient,
        mut names: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        if names.len() > MAX_DATAGRAM_RECORDS && self.can_stream(to.address) {
            // Where the budget does not allow all, another exchange sends others.
            self.rng.shuffle(&mut names);
            return self.stream_records(to.address, &names, actions);
        }
        let mut batch = RecordTransfer::default();
        for name in names {
            let Some(record) = self.record_with_body(&name) else {
                continue;
            };
            let added = prost::Message::encoded_len(&record) + RECORD_OVERHEAD;
            if !batch.records.is_empty()
                && prost::Message::encoded_len(&batch) + added > DATAGRAM_CAPACITY
            {
                if !self.may_send_deferrable() {
                    return;
                }
                self.send(
                    to,
                    Some(Payload::RecordTransfer(std::mem::take(&mut batch))),
                    actions,
                );
            }
            batch.records.push(record);
        }
        if !batch.records.is_empty() {
            self.send(to, Some(Payload::RecordTransfer(batch)), actions);
        }
    }

    fn stream_records(&mut self, to: SocketAddr, names: &[String], actions: &mut Vec<Action>) {
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
            self.send_chunk(
                to,
                Payload::RecordTransfer(std::mem::take(&mut batch)),
                actions,
            );
            length = 0;
        }
    }

    /// Sends a message over a stream; one that is too long even when compressed is dropped.
    pub(super) fn send_chunk(
        &mut self,
        to: SocketAddr,
        payload: Payload,
        actions: &mut Vec<Action>,
    ) {
        let kind = payload.name();
        let packet = self.packet(None, Some(payload), Vec::new());
        wire::encode_chunk(&packet, &mut self.send_buffer);
        if self.send_buffer.len() > wire::MAX_CHUNK_LENGTH {
            return;
        }
        self.charge_send_buffer(kind);
        self.counters.chunks_sent += 1;
        actions.push(Action::SendStream {
            to,
            bytes: self.send_buffer.clone(),
        });
    }
}
