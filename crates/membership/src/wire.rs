//! The wire format of the membership protocol: the encoding of its messages, and the bounds that received messages must
//! meet.
//!
//! A datagram has at most [`MAX_DATAGRAM_LENGTH`] bytes: the magic bytes `mr`, the format version, a checksum (CRC-32,
//! as in IEEE 802.3) and a protobuf message. Messages that are too long for datagrams are sent over a stream in chunks:
//! the magic bytes `mz`, the same version and checksum fields, and the compressed message (DEFLATE, RFC 1951). A
//! member's published body is forwarded as the member encoded it, so older builds forward fields that they do not know.
//!
//! Invariant: a packet that [`decode`] returns belongs to this fleet, and all of its parts are within bounds.

mod messages;

use crate::claim::MemberState;
use crate::envelope;
pub use crate::envelope::{DropReason, MAX_CHUNK_LENGTH};
use crate::settings::MAX_TEXT_LENGTH;
pub use messages::{
    Body, BucketDigests, Inventory, Packet, Payload, Ping, PingRequest, ReceiverClaim, Record,
    RecordTransfer, RootDigest, SequenceNumber, Value,
};
use prost::Message;

/// Maximum length of a datagram, in bytes: it fits into an Ethernet frame with room for tunnel headers.
pub const MAX_DATAGRAM_LENGTH: usize = 1200;
/// Version of the wire format.
pub const FORMAT_VERSION: u8 = 1;
const DATAGRAM_MAGIC: [u8; 2] = *b"mr";
const CHUNK_MAGIC: [u8; 2] = *b"mz";
/// Maximum total length of the values of one member, in bytes.
pub const MAX_VALUES_LENGTH: usize = 512;
/// Maximum length of an encoded body, in bytes.
const MAX_BODY_LENGTH: usize = 900;
/// Number of buckets of a digest.
pub const BUCKET_COUNT: usize = 64;

/// Encodes a packet as a datagram.
pub fn encode(packet: &Packet, into: &mut Vec<u8>) {
    envelope::encode(DATAGRAM_MAGIC, FORMAT_VERSION, packet, into);
}

/// Encodes a packet as a stream chunk.
pub fn encode_chunk(packet: &Packet, into: &mut Vec<u8>) {
    let level = envelope::COMPACT_LEVEL;
    envelope::encode_compressed(CHUNK_MAGIC, FORMAT_VERSION, level, packet, into);
}

/// Length of the encoded datagram, including its header, in bytes.
pub fn encoded_length(packet: &Packet) -> usize {
    envelope::HEADER_LENGTH + packet.encoded_len()
}

/// Decodes a datagram or a stream chunk of this fleet.
///
/// # Errors
/// Returns the reason to drop the message: it has another format or fleet, or a part of it is out of bounds.
pub fn decode(bytes: &[u8], fleet: u64) -> Result<Packet, DropReason> {
    let packet: Packet = envelope::decode(DATAGRAM_MAGIC, CHUNK_MAGIC, FORMAT_VERSION, bytes)?;
    if packet.fleet != fleet {
        return Err(DropReason::OtherFleet);
    }
    let is_within_bounds = is_sender_within_bounds(&packet)
        && packet.payload.as_ref().is_none_or(is_payload_within_bounds)
        && packet.records.iter().all(is_record_within_bounds);
    is_within_bounds
        .then_some(packet)
        .ok_or(DropReason::OutOfBounds)
}

/// Decodes a published body, or returns `None` if it is invalid or out of bounds.
pub fn decode_body(bytes: &[u8]) -> Option<Body> {
    let body = Body::decode(bytes).ok()?;
    let values: usize = body.values.iter().map(|value| value.bytes.len()).sum();
    let texts = [&body.address, &body.zone, &body.version];
    let is_within_bounds = texts.into_iter().all(|text| is_text_within_bounds(text));
    (is_within_bounds && values <= MAX_VALUES_LENGTH).then_some(body)
}

fn is_text_within_bounds(text: &str) -> bool {
    text.len() <= MAX_TEXT_LENGTH
}

fn is_sender_within_bounds(packet: &Packet) -> bool {
    !packet.sender.is_empty()
        && is_text_within_bounds(&packet.sender)
        && is_text_within_bounds(&packet.address)
}

fn is_payload_within_bounds(payload: &Payload) -> bool {
    match payload {
        Payload::Inventory(inventory) => {
            let mut buckets = inventory.buckets.iter();
            inventory.items.iter().all(is_record_within_bounds)
                && buckets.all(|bucket| (*bucket as usize) < BUCKET_COUNT)
        }
        Payload::RecordTransfer(transfer) => {
            transfer.records.iter().all(is_record_within_bounds)
                && transfer
                    .names
                    .iter()
                    .all(|name| is_text_within_bounds(name))
        }
        Payload::PingRequest(request) => {
            is_text_within_bounds(&request.target) && is_text_within_bounds(&request.address)
        }
        Payload::BucketDigests(buckets) => buckets.digests.len() == BUCKET_COUNT,
        _ => true,
    }
}

fn is_record_within_bounds(record: &Record) -> bool {
    !record.name.is_empty()
        && is_text_within_bounds(&record.name)
        && is_text_within_bounds(&record.accuser)
        && record.body.len() <= MAX_BODY_LENGTH
        && MemberState::from_wire(record.state).is_some()
}
