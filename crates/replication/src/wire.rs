//! The messages of the replication protocol. They use the same envelope as the messages of the membership protocol
//! (`meadowrill_membership::envelope`), with the mark `mp` in a datagram, and the mark `mq` when compressed for a
//! stream. On the wire only the tags identify the fields, so tags and types must not change.

use meadowrill_membership::envelope::{self, DropReason};
use prost::Message;

/// The envelope's mark for a message in a datagram.
pub const MARK: [u8; 2] = *b"mp";
/// The envelope's mark for a compressed message on a stream.
pub const CHUNK_MARK: [u8; 2] = *b"mq";
/// Version of the format.
pub const VERSION: u8 = 1;
/// Size of the largest datagram, including the headers of the lower layers.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum length of a proxy's name.
const MAX_SENDER_BYTES: usize = 64;

/// One message with its sender.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Hash of the fleet's name.
    #[prost(fixed64, tag = "1")]
    pub fleet_id: u64,
    /// The sender's name.
    #[prost(string, tag = "2")]
    pub from: String,
    /// The sender's incarnation: the start time of its process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The message itself.
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

/// The message in a packet.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Rumors: updates to records of the urgent and claims trees, which the receiver disseminates further.
    #[prost(message, tag = "4")]
    Rumors(Records),
    /// Anti-entropy: records that were requested or found to be missing. They are not disseminated further.
    #[prost(message, tag = "5")]
    Delta(Delta),
    /// Anti-entropy: starts a comparison of all trees.
    #[prost(message, tag = "6")]
    Roots(Roots),
    /// Anti-entropy: starts a comparison of one tree, or continues one after roots differed.
    #[prost(message, tag = "7")]
    BucketDigests(BucketDigests),
    /// Anti-entropy: the answer to digests that differ.
    #[prost(message, tag = "8")]
    BucketHashes(BucketHashes),
    /// Anti-entropy: requests records by their hashes.
    #[prost(message, tag = "9")]
    RecordRequest(RecordRequest),
    /// Catch-up: requests records from another proxy, the donor.
    #[prost(message, tag = "10")]
    CatchUpRequest(CatchUpRequest),
    /// Catch-up: the donor's answer.
    #[prost(message, tag = "11")]
    CatchUpPage(CatchUpPage),
    /// Claims: requests an owner's vote on a claim to a key.
    #[prost(message, tag = "12")]
    ClaimRequest(ClaimRequest),
    /// Claims: the owner's vote.
    #[prost(message, tag = "13")]
    ClaimReply(ClaimReply),
}

/// The types of message, in the order of their labels in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageType {
    /// [`ClaimRequest`].
    ClaimRequest,
    /// [`BucketDigests`].
    BucketDigests,
    /// [`CatchUpRequest`].
    CatchUpRequest,
    /// [`Delta`].
    Delta,
    /// [`BucketHashes`].
    BucketHashes,
    /// Rumors: [`Records`].
    Rumors,
    /// [`CatchUpPage`].
    CatchUpPage,
    /// [`ClaimReply`].
    ClaimReply,
    /// [`Roots`].
    Roots,
    /// [`RecordRequest`].
    RecordRequest,
}

impl MessageType {
    /// The label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            MessageType::ClaimRequest => "ask",
            MessageType::BucketDigests => "buckets",
            MessageType::CatchUpRequest => "catch_up",
            MessageType::Delta => "delta",
            MessageType::BucketHashes => "items",
            MessageType::Rumors => "news",
            MessageType::CatchUpPage => "part",
            MessageType::ClaimReply => "reply",
            MessageType::Roots => "roots",
            MessageType::RecordRequest => "want",
        }
    }
}

impl Body {
    /// The type of this message.
    pub fn message_type(&self) -> MessageType {
        match self {
            Body::Rumors(_) => MessageType::Rumors,
            Body::Delta(_) => MessageType::Delta,
            Body::Roots(_) => MessageType::Roots,
            Body::BucketDigests(_) => MessageType::BucketDigests,
            Body::BucketHashes(_) => MessageType::BucketHashes,
            Body::RecordRequest(_) => MessageType::RecordRequest,
            Body::CatchUpRequest(_) => MessageType::CatchUpRequest,
            Body::CatchUpPage(_) => MessageType::CatchUpPage,
            Body::ClaimRequest(_) => MessageType::ClaimRequest,
            Body::ClaimReply(_) => MessageType::ClaimReply,
        }
    }
}

/// A replicated record.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// The number of the record's type.
    #[prost(uint32, tag = "1")]
    pub record_type: u32,
    /// The name of the record within its type.
    #[prost(bytes = "vec", tag = "2")]
    pub name: Vec<u8>,
    /// The first part of the rank: of two records with the same name, the one with the larger rank wins.
    #[prost(uint64, tag = "3")]
    pub rank_high: u64,
    /// The second part of the rank.
    #[prost(uint64, tag = "4")]
    pub rank_low: u64,
    /// The value, in the encoding of the record's type.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// When the record expires, in Unix time in microseconds.
    #[prost(uint64, tag = "6")]
    pub expires_at: u64,
}

/// A list of records.
#[derive(Clone, PartialEq, Message)]
pub struct Records {
    /// The records, in no particular order.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
}

/// Records that the receiver lacks.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
    /// Hashes of records that were requested and are no longer stored.
    #[prost(fixed64, repeated, tag = "2")]
    pub no_longer_stored: Vec<u64>,
}

/// Digests of all trees.
#[derive(Clone, PartialEq, Message)]
pub struct Roots {
    /// The digests of the trees, in the order of the trees' numbers.
    #[prost(fixed64, repeated, tag = "1")]
    pub roots: Vec<u64>,
}

/// Digests of the buckets of a tree.
#[derive(Clone, PartialEq, Message)]
pub struct BucketDigests {
    /// The number of the tree.
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    /// The digests of the buckets, in the order of the buckets' numbers.
    #[prost(fixed32, repeated, tag = "2")]
    pub digests: Vec<u32>,
}

/// Hashes of all records in some buckets of a tree.
#[derive(Clone, PartialEq, Message)]
pub struct BucketHashes {
    /// The number of the tree.
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    /// The numbers of the buckets.
    #[prost(uint32, repeated, tag = "2")]
    pub buckets: Vec<u32>,
    /// The hashes of the records in all these buckets.
    #[prost(fixed64, repeated, tag = "3")]
    pub hashes: Vec<u64>,
    /// The voters known to the sender, for a receiver that cannot vote yet.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
    /// Whether the message covers all buckets that differ.
    #[prost(bool, tag = "5")]
    pub covers_all: bool,
    /// Whether the sender counts the receiver as a voter. If so, it takes the receiver into account in every quorum
    /// that it accepts from now on.
    #[prost(bool, tag = "6")]
    pub receiver_votes: bool,
}

/// Requests records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordRequest {
    /// The hashes of the requested records.
    #[prost(fixed64, repeated, tag = "1")]
    pub hashes: Vec<u64>,
}

/// Requests the records of a tree that follow a key.
#[derive(Clone, PartialEq, Message)]
pub struct CatchUpRequest {
    /// The number of the tree.
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    /// Whether the request is for records from the first one on. The key is ignored then.
    #[prost(bool, tag = "2")]
    pub from_start: bool,
    /// The record type of the key.
    #[prost(uint32, tag = "3")]
    pub record_type: u32,
    /// The name of the key.
    #[prost(bytes = "vec", tag = "4")]
    pub name: Vec<u8>,
}

/// Records of a tree, in the order of their keys.
#[derive(Clone, PartialEq, Message)]
pub struct CatchUpPage {
    /// The number of the tree.
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    /// The records.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Record>,
    /// Whether no more records follow.
    #[prost(bool, tag = "3")]
    pub last: bool,
}

/// Requests an owner's vote on a claim to the side effect of a key.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRequest {
    /// The number of the claim, which the reply repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The claim.
    #[prost(message, optional, tag = "2")]
    pub claim: Option<Record>,
    /// The owners of the key according to the sender.
    #[prost(string, repeated, tag = "3")]
    pub owners: Vec<String>,
    /// Time until which the origin drops repeats of an earlier claim's attempts, so that this claim may take over
    /// from it; 0 if it does not take over from another.
    #[prost(uint64, tag = "4")]
    pub takeover_until: u64,
}

/// An owner's vote on a claim.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimReply {
    /// The number of the claim.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The number of the vote.
    #[prost(uint32, tag = "2")]
    pub vote: u32,
    /// The claims that conflict with the requested claim.
    #[prost(message, repeated, tag = "3")]
    pub conflicting_claims: Vec<Record>,
}

/// Encodes a message for a datagram.
pub fn write(packet: &Packet, into: &mut Vec<u8>) {
    envelope::encode(MARK, VERSION, packet, into);
}

/// Encodes and compresses a message for a stream.
pub fn write_chunk(packet: &Packet, into: &mut Vec<u8>) {
    envelope::encode_compressed(CHUNK_MARK, VERSION, envelope::FAST_LEVEL, packet, into);
}

/// Decodes a message in either encoding, and checks that it is of this fleet.
///
/// # Errors
///
/// Returns the reason for which the message has to be dropped: it cannot be decoded, is of another fleet, or its
/// sender's name has no valid length.
pub fn read(bytes: &[u8], fleet_id: u64) -> Result<Packet, DropReason> {
    let packet: Packet = envelope::decode(MARK, CHUNK_MARK, VERSION, bytes)?;
    if packet.fleet_id != fleet_id {
        return Err(DropReason::OtherFleet);
    }
    if packet.from.is_empty() || packet.from.len() > MAX_SENDER_BYTES {
        return Err(DropReason::OutOfBounds);
    }
    Ok(packet)
}
