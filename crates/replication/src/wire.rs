//! The messages between proxies about what they share, in the envelope that the membership view uses as well
//! (`meadowrill_membership::envelope`): marked `mp` in a datagram, and `mq` when packed for a stream. On the wire fields
//! are known by their tags alone; tags and types must not change.

use meadowrill_membership::envelope::{self, DropReason};
use prost::Message;

/// Marks a message in a datagram.
pub const MARK: [u8; 2] = *b"mp";
/// Marks a packed message on a stream.
pub const CHUNK_MARK: [u8; 2] = *b"mq";
/// The version of the format.
pub const VERSION: u8 = 1;
/// Largest datagram, with the headers of the lower layers.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Longest name of a proxy, in bytes.
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
    /// The sender's incarnation: when its process started.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The message itself.
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

/// The message in a packet.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Rumors: updates to urgent records, which the receiver disseminates further.
    #[prost(message, tag = "4")]
    Rumors(Records),
    /// Anti-entropy: records that were requested or found to be missing; they are not disseminated further.
    #[prost(message, tag = "5")]
    Delta(Delta),
    /// Anti-entropy: begins a comparison of all trees.
    #[prost(message, tag = "6")]
    Roots(Roots),
    /// Anti-entropy: begins a comparison of one tree, or follows from different roots.
    #[prost(message, tag = "7")]
    BucketDigests(BucketDigests),
    /// Anti-entropy: answers digests that differ.
    #[prost(message, tag = "8")]
    BucketHashes(BucketHashes),
    /// Anti-entropy: requests records by their hashes.
    #[prost(message, tag = "9")]
    RecordRequest(RecordRequest),
    /// Catching up: requests records from a donor.
    #[prost(message, tag = "10")]
    CatchUpRequest(CatchUpRequest),
    /// Catching up: the donor's answer.
    #[prost(message, tag = "11")]
    CatchUpPage(CatchUpPage),
    /// Claims: requests an owner's vote on a claim to a key.
    #[prost(message, tag = "12")]
    ClaimRequest(ClaimRequest),
    /// Claims: the owner's vote.
    #[prost(message, tag = "13")]
    ClaimReply(ClaimReply),
}

/// The types of message, in the order of their labels.
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
    /// The number of its record type.
    #[prost(uint32, tag = "1")]
    pub record_type: u32,
    /// Its name within the type.
    #[prost(bytes = "vec", tag = "2")]
    pub name: Vec<u8>,
    /// The first part of its rank: of two records of one name the one with the larger rank wins.
    #[prost(uint64, tag = "3")]
    pub rank_high: u64,
    /// The second part of its rank.
    #[prost(uint64, tag = "4")]
    pub rank_low: u64,
    /// Its value, as its type encodes it.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// When it expires, in Unix time in microseconds.
    #[prost(uint64, tag = "6")]
    pub expires_at: u64,
}

/// Some records.
#[derive(Clone, PartialEq, Message)]
pub struct Records {
    /// In no particular order.
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
    /// By the number of the tree.
    #[prost(fixed64, repeated, tag = "1")]
    pub roots: Vec<u64>,
}

/// Digests of the buckets of a tree.
#[derive(Clone, PartialEq, Message)]
pub struct BucketDigests {
    /// The number of the tree.
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    /// By the number of the bucket.
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
    /// The hashes, of all these buckets together.
    #[prost(fixed64, repeated, tag = "3")]
    pub hashes: Vec<u64>,
    /// The proxies that vote on claims, as the sender has them; for a receiver that can't vote yet.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
    /// These are all buckets that differ.
    #[prost(bool, tag = "5")]
    pub covers_all: bool,
    /// The sender counts the receiver among the voters: from now on it accepts no quorum without regard to it.
    #[prost(bool, tag = "6")]
    pub receiver_votes: bool,
}

/// Requests records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordRequest {
    /// Their hashes.
    #[prost(fixed64, repeated, tag = "1")]
    pub hashes: Vec<u64>,
}

/// Requests the records of a tree that follow a key.
#[derive(Clone, PartialEq, Message)]
pub struct CatchUpRequest {
    /// The number of the tree.
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    /// From the first record on; the key has no meaning then.
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
    /// No others follow.
    #[prost(bool, tag = "3")]
    pub last: bool,
}

/// Requests an owner's vote on a claim to the effect of a key.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRequest {
    /// The number of the request, which the reply repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The claim.
    #[prost(message, optional, tag = "2")]
    pub claim: Option<Record>,
    /// The owners of the key, as the sender has them.
    #[prost(string, repeated, tag = "3")]
    pub owners: Vec<String>,
    /// Another's claim may be taken over until then, as the origin drops repeats for that long; 0 for never.
    #[prost(uint64, tag = "4")]
    pub takeover_until: u64,
}

/// An owner's vote on a claim.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimReply {
    /// The number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The number of the vote.
    #[prost(uint32, tag = "2")]
    pub vote: u32,
    /// The claims that conflict with it.
    #[prost(message, repeated, tag = "3")]
    pub conflicting_claims: Vec<Record>,
}

/// Encodes a message for a datagram.
pub fn write(packet: &Packet, into: &mut Vec<u8>) {
    envelope::encode(MARK, VERSION, packet, into);
}

/// Encodes and packs a message for a stream.
pub fn write_chunk(packet: &Packet, into: &mut Vec<u8>) {
    envelope::encode_compressed(CHUNK_MARK, VERSION, envelope::FAST_LEVEL, packet, into);
}

/// Decodes a message in either form, and checks that it is of this fleet.
///
/// # Errors
///
/// The reason why the message is dropped: it can't be decoded, is of another fleet, or its sender's name is out of bounds.
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
