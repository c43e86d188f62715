//! The messages of the membership protocol: datagrams of at most [`MAX_DATAGRAM_LENGTH`] bytes, with the mark `mr`, the version of the
//! format, a checksum (CRC-32, as in IEEE 802.3) and a protobuf message. A member's published body is forwarded as the
//! member encoded it, so older builds forward fields that they do not know. What is too long for datagrams goes over a
//! stream in chunks: the mark `mz`, the same header, and the message compressed (DEFLATE, RFC 1951).

use crate::claim::{Claim, MemberState};
use crate::envelope;
pub use crate::envelope::{DropReason, MAX_CHUNK_LENGTH};
use crate::settings::MAX_TEXT_LENGTH;
use prost::Message;

/// Length of a datagram at most.
pub const MAX_DATAGRAM_LENGTH: usize = 1200;
/// Version of the format.
pub const FORMAT_VERSION: u8 = 1;
const MARK: [u8; 2] = *b"mr";
const CHUNK_MARK: [u8; 2] = *b"mz";
/// Length of all values of one member together, at most.
pub const MAX_VALUES_LENGTH: usize = 512;
/// Length of an encoded body at most.
const MAX_BODY_LENGTH: usize = 900;
/// Number of buckets of a digest.
pub const BUCKET_COUNT: usize = 64;

/// A message, with what its sender claims of itself and of the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Hash of the fleet's name.
    #[prost(fixed64, tag = "1")]
    pub fleet: u64,
    #[prost(string, tag = "2")]
    pub sender: String,
    #[prost(uint64, tag = "3")]
    pub start: u64,
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Tells processes of one name apart.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// Where the sender receives: replies go there, not to the datagram's source address.
    #[prost(string, tag = "6")]
    pub address: String,
    /// Revision of the sender's body.
    #[prost(uint64, tag = "7")]
    pub revision: u64,
    /// What the sender knows of the receiver, if that is not that it is alive.
    #[prost(message, optional, tag = "8")]
    pub receiver_claim: Option<ReceiverClaim>,
    #[prost(oneof = "Payload", tags = "9, 10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub payload: Option<Payload>,
    /// Piggybacked rumors.
    #[prost(message, repeated, tag = "30")]
    pub records: Vec<Record>,
}

/// The payload of a message. A message without one only carries rumors.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    #[prost(message, tag = "9")]
    Ping(Ping),
    #[prost(message, tag = "10")]
    Ack(SequenceNumber),
    #[prost(message, tag = "11")]
    PingRequest(PingRequest),
    #[prost(message, tag = "12")]
    Nack(SequenceNumber),
    #[prost(message, tag = "13")]
    Leaving(SequenceNumber),
    #[prost(message, tag = "14")]
    Confirmed(SequenceNumber),
    #[prost(message, tag = "15")]
    RootDigest(RootDigest),
    #[prost(message, tag = "16")]
    BucketDigests(BucketDigests),
    #[prost(message, tag = "17")]
    Inventory(Inventory),
    /// Requested and delivered records of an anti-entropy exchange, as against rumors.
    #[prost(message, tag = "18")]
    RecordTransfer(RecordTransfer),
}

impl Payload {
    /// Its kind in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Payload::Ping(_) => "ping",
            Payload::Ack(_) => "ack",
            Payload::PingRequest(_) => "ask",
            Payload::Nack(_) => "nack",
            Payload::Leaving(_) => "leaving",
            Payload::Confirmed(_) => "confirmed",
            Payload::RootDigest(_) => "root",
            Payload::BucketDigests(_) => "buckets",
            Payload::Inventory(_) => "have",
            Payload::RecordTransfer(_) => "want",
        }
    }
}

/// A claim about the receiver of a message.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ReceiverClaim {
    #[prost(uint64, tag = "1")]
    pub start: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// The sender has forgotten the process with this start, and accepts only a later one.
    #[prost(bool, tag = "4")]
    pub forgotten: bool,
}

/// A probe of the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The member to answer; empty for whichever receives it.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// The sequence number that a reply answers.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SequenceNumber {
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// A request to ping a target and relay its answer.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequest {
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    #[prost(string, tag = "2")]
    pub target: String,
    #[prost(string, tag = "3")]
    pub address: String,
}

/// The digest of the sender's whole view.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RootDigest {
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Number of members that it holds to be present.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// The digest of each bucket of the sender's view.
#[derive(Clone, PartialEq, Message)]
pub struct BucketDigests {
    #[prost(fixed32, repeated, tag = "1")]
    pub digests: Vec<u32>,
}

/// What the sender knows in some buckets.
#[derive(Clone, PartialEq, Message)]
pub struct Inventory {
    /// Buckets that are complete: the sender knows no members of them but the listed ones.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    /// Records without bodies.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<Record>,
}

/// Names whose records the sender requests, and records that it delivers.
#[derive(Clone, PartialEq, Message)]
pub struct RecordTransfer {
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Record>,
}

/// What the sender knows of a member.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub start: u64,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// Whose probe failed, for a member that is suspected or dead.
    #[prost(string, tag = "5")]
    pub accuser: String,
    /// Revision of the body, counted by the member from 1 at each start; 0 for none.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// A [`Body`] as the member itself encoded it.
    #[prost(bytes = "vec", tag = "7")]
    pub body: Vec<u8>,
}

impl Record {
    /// The claim in it, if its state is a known one.
    pub fn claim(&self) -> Option<Claim> {
        Some(Claim {
            start: self.start,
            incarnation: self.incarnation,
            state: MemberState::from_wire(self.state)?,
        })
    }
}

/// What a member publishes of itself.
#[derive(Clone, PartialEq, Message)]
pub struct Body {
    #[prost(string, tag = "1")]
    pub address: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(uint32, tag = "3")]
    pub weight: u32,
    #[prost(string, tag = "4")]
    pub version: String,
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    #[prost(message, repeated, tag = "7")]
    pub values: Vec<Value>,
}

/// What another module of the member publishes with it.
#[derive(Clone, PartialEq, Message)]
pub struct Value {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
}

/// Encodes a datagram.
pub fn encode(packet: &Packet, into: &mut Vec<u8>) {
    envelope::encode(MARK, FORMAT_VERSION, packet, into);
}

/// Encodes a chunk of a stream.
pub fn encode_chunk(packet: &Packet, into: &mut Vec<u8>) {
    envelope::encode_compressed(
        CHUNK_MARK,
        FORMAT_VERSION,
        envelope::COMPACT_LEVEL,
        packet,
        into,
    );
}

/// Length of the encoded datagram, header included.
pub fn encoded_length(packet: &Packet) -> usize {
    envelope::HEADER_LENGTH + packet.encoded_len()
}

fn bounded(record: &Record) -> bool {
    !record.name.is_empty()
        && record.name.len() <= MAX_TEXT_LENGTH
        && record.accuser.len() <= MAX_TEXT_LENGTH
        && record.body.len() <= MAX_BODY_LENGTH
        && MemberState::from_wire(record.state).is_some()
}

/// Decodes a datagram or a chunk of this fleet, and checks that all of its parts are within bounds.
pub fn decode(bytes: &[u8], fleet: u64) -> Result<Packet, DropReason> {
    let packet: Packet = envelope::decode(MARK, CHUNK_MARK, FORMAT_VERSION, bytes)?;
    if packet.fleet != fleet {
        return Err(DropReason::OtherFleet);
    }
    let texts = !packet.sender.is_empty()
        && packet.sender.len() <= MAX_TEXT_LENGTH
        && packet.address.len() <= MAX_TEXT_LENGTH;
    let records = match &packet.payload {
        Some(Payload::Inventory(have)) => {
            have.items.iter().all(bounded)
                && have.buckets.iter().all(|b| (*b as usize) < BUCKET_COUNT)
        }
        Some(Payload::RecordTransfer(want)) => {
            want.records.iter().all(bounded)
                && want.names.iter().all(|n| n.len() <= MAX_TEXT_LENGTH)
        }
        Some(Payload::PingRequest(ask)) => {
            ask.target.len() <= MAX_TEXT_LENGTH && ask.address.len() <= MAX_TEXT_LENGTH
        }
        Some(Payload::BucketDigests(b)) => b.digests.len() == BUCKET_COUNT,
        _ => true,
    };
    if !texts || !records || !packet.records.iter().all(bounded) {
        return Err(DropReason::OutOfBounds);
    }
    Ok(packet)
}

/// Decodes a published body, if it is valid and within bounds.
pub fn decode_body(bytes: &[u8]) -> Option<Body> {
    let body = Body::decode(bytes).ok()?;
    let values: usize = body.values.iter().map(|v| v.bytes.len()).sum();
    let texts = [&body.address, &body.zone, &body.version]
        .iter()
        .all(|text| text.len() <= MAX_TEXT_LENGTH);
    (texts && values <= MAX_VALUES_LENGTH).then_some(body)
}
