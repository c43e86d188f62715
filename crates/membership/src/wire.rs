//! The wire format of the membership protocol: the encoding of its messages, and the bounds that received ones must
//! meet.
//!
//! A datagram has at most [`MAX_DATAGRAM_LENGTH`] bytes: the mark `mr`, the version of the format, a checksum (CRC-32,
//! as in IEEE 802.3) and a protobuf message. What is too long for datagrams goes over a stream in chunks: the mark
//! `mz`, the same header, and the message compressed (DEFLATE, RFC 1951). A member's published body is forwarded as the
//! member encoded it, so older builds forward fields that they do not know.
//!
//! Invariant: what [`decode`] returns is of this fleet, and all of its parts are within bounds.

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

/// Most bytes of a datagram: fits an Ethernet frame, with room for the headers of tunnels.
pub const MAX_DATAGRAM_LENGTH: usize = 1200;
/// Version of the format.
pub const FORMAT_VERSION: u8 = 1;
const DATAGRAM_MARK: [u8; 2] = *b"mr";
const CHUNK_MARK: [u8; 2] = *b"mz";
/// Most bytes of all values of one member together.
pub const MAX_VALUES_LENGTH: usize = 512;
/// Most bytes of an encoded body.
const MAX_BODY_LENGTH: usize = 900;
/// Number of buckets of a digest.
pub const BUCKET_COUNT: usize = 64;

/// Encodes a datagram.
pub fn encode(packet: &Packet, into: &mut Vec<u8>) {
    envelope::encode(DATAGRAM_MARK, FORMAT_VERSION, packet, into);
}

/// Encodes a chunk of a stream.
pub fn encode_chunk(packet: &Packet, into: &mut Vec<u8>) {
    let level = envelope::COMPACT_LEVEL;
    envelope::encode_compressed(CHUNK_MARK, FORMAT_VERSION, level, packet, into);
}

/// Length of the encoded datagram, header included.
pub fn encoded_length(packet: &Packet) -> usize {
    envelope::HEADER_LENGTH + packet.encoded_len()
}

/// Decodes a datagram or a chunk of this fleet.
///
/// # Errors
/// The reason to drop the message: it is not one of this format and fleet, or a part of it is out of bounds.
pub fn decode(bytes: &[u8], fleet: u64) -> Result<Packet, DropReason> {
    let packet: Packet = envelope::decode(DATAGRAM_MARK, CHUNK_MARK, FORMAT_VERSION, bytes)?;
    if packet.fleet != fleet {
        return Err(DropReason::OtherFleet);
    }
    let is_bounded = is_sender_bounded(&packet)
        && packet.payload.as_ref().is_none_or(is_payload_bounded)
        && packet.records.iter().all(is_record_bounded);
    is_bounded.then_some(packet).ok_or(DropReason::OutOfBounds)
}

/// Decodes a published body, if it is valid and within bounds.
pub fn decode_body(bytes: &[u8]) -> Option<Body> {
    let body = Body::decode(bytes).ok()?;
    let values: usize = body.values.iter().map(|value| value.bytes.len()).sum();
    let texts = [&body.address, &body.zone, &body.version];
    let is_bounded = texts.into_iter().all(|text| is_text_bounded(text));
    (is_bounded && values <= MAX_VALUES_LENGTH).then_some(body)
}

fn is_text_bounded(text: &str) -> bool {
    text.len() <= MAX_TEXT_LENGTH
}

fn is_sender_bounded(packet: &Packet) -> bool {
    !packet.sender.is_empty() && is_text_bounded(&packet.sender) && is_text_bounded(&packet.address)
}

fn is_payload_bounded(payload: &Payload) -> bool {
    match payload {
        Payload::Inventory(inventory) => {
            let mut buckets = inventory.buckets.iter();
            inventory.items.iter().all(is_record_bounded)
                && buckets.all(|bucket| (*bucket as usize) < BUCKET_COUNT)
        }
        Payload::RecordTransfer(transfer) => {
            transfer.records.iter().all(is_record_bounded)
                && transfer.names.iter().all(|name| is_text_bounded(name))
        }
        Payload::PingRequest(request) => {
            is_text_bounded(&request.target) && is_text_bounded(&request.address)
        }
        Payload::BucketDigests(buckets) => buckets.digests.len() == BUCKET_COUNT,
        _ => true,
    }
}

fn is_record_bounded(record: &Record) -> bool {
    !record.name.is_empty()
        && is_text_bounded(&record.name)
        && is_text_bounded(&record.accuser)
        && record.body.len() <= MAX_BODY_LENGTH
        && MemberState::from_wire(record.state).is_some()
}
