//! Transfer of records between two proxies: requests for records and their delivery, in datagrams or over a stream.
//!
//! Invariant: stream chunks, and all datagrams of a transfer except the last, are sent only while the send budget
//! allows it. A later exchange transfers the records that were not sent.

use super::recipients::Recipient;
use super::send::RECORD_OVERHEAD;
use super::{Action, ClaimSource, View};
use crate::wire::{self, Payload, RecordTransfer};
use crate::Micros;
use std::net::SocketAddr;

/// Maximum length of one part of an exchange in a datagram, in bytes. The rest of the datagram is left for its header.
pub(super) const DATAGRAM_CAPACITY: usize = wire::MAX_DATAGRAM_LENGTH - 220;
/// Parts of an exchange that are longer than this number of bytes are sent over a stream if streams are usable.
pub(super) const STREAM_THRESHOLD: usize = 2 * DATAGRAM_CAPACITY;
/// Length of one stream message before compression, in bytes. Its compressed length is about as much as the default
/// rate allows at once.
pub(super) const STREAM_CHUNK: usize = 20 * DATAGRAM_CAPACITY;
/// Maximum number of names requested in one datagram.
const NAMES_PER_DATAGRAM: usize = 24;
/// A request for more names than this is sent over a stream if streams are usable.
const STREAMED_NAMES: usize = STREAM_THRESHOLD / NAMES_PER_DATAGRAM;
/// More records than this are sent over a stream if streams are usable.
pub(super) const MAX_DATAGRAM_RECORDS: usize = 9;
/// How long streams to an address are avoided after one failed, in probe periods. Datagrams replace them, but need more
/// bytes.
const STREAM_RETRY_PERIODS: Micros = 30;

impl View {
    /// Reports that a stream to this address failed. Datagrams are used instead of streams for a while.
    pub fn stream_failed(&mut self, now: Micros, to: SocketAddr) {
        if self.failed_streams.len() < self.settings.max_members {
            self.failed_streams
                .insert(to, now + STREAM_RETRY_PERIODS * self.settings.probe_period);
        }
    }

    /// Whether messages to this address may be sent over a stream.
    pub(super) fn can_stream(&self, to: SocketAddr) -> bool {
        self.settings.use_streams && !self.failed_streams.contains_key(&to)
    }

    /// Requests the records of these members. Returns false if the send budget did not allow all datagrams.
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

    /// Handles records that this proxy requested, and names whose records the other proxy requests.
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

    /// Sends the known records of these members, until the send budget is exhausted.
    pub(super) fn send_records(
        &mut self,
        to: Recipient,
        mut names: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        if names.len() > MAX_DATAGRAM_RECORDS && self.can_stream(to.address) {
            // If the budget does not allow all records, another exchange sends different ones.
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

    /// Sends a message over a stream. A message that is too long even after compression is dropped.
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
