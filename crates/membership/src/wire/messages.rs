//! The protobuf messages. Field numbers are part of the wire format and never change their meaning. A build skips
//! fields that it does not know.

use crate::claim::{Claim, MemberState};
use prost::Message;

/// A message, with the sender's claims about itself and about the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Hash of the fleet's name.
    #[prost(fixed64, tag = "1")]
    pub fleet: u64,
    /// Name of the sender.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// Start of the sender's process.
    #[prost(uint64, tag = "3")]
    pub start: u64,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Random number that distinguishes processes with the same name.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// Address at which the sender receives datagrams. Replies are sent to it, not to the datagram's source address.
    #[prost(string, tag = "6")]
    pub address: String,
    /// Revision of the sender's body.
    #[prost(uint64, tag = "7")]
    pub revision: u64,
    /// The sender's claim about the receiver, unless the sender considers it alive.
    #[prost(message, optional, tag = "8")]
    pub receiver_claim: Option<ReceiverClaim>,
    /// The payload; absent if the message carries only records or a claim about the receiver.
    #[prost(oneof = "Payload", tags = "9, 10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub payload: Option<Payload>,
    /// Piggybacked records, usually rumors.
    #[prost(message, repeated, tag = "30")]
    pub records: Vec<Record>,
}

/// The payload of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// Probes the receiver.
    #[prost(message, tag = "9")]
    Ping(Ping),
    /// Responds to a ping.
    #[prost(message, tag = "10")]
    Ack(SequenceNumber),
    /// Requests an indirect probe.
    #[prost(message, tag = "11")]
    PingRequest(PingRequest),
    /// Responds to a ping request if the target has not responded yet.
    #[prost(message, tag = "12")]
    Nack(SequenceNumber),
    /// Announces that the sender leaves the fleet.
    #[prost(message, tag = "13")]
    Leaving(SequenceNumber),
    /// Confirms that the sender received the receiver's departure announcement.
    #[prost(message, tag = "14")]
    Confirmed(SequenceNumber),
    /// Begins an anti-entropy exchange.
    #[prost(message, tag = "15")]
    RootDigest(RootDigest),
    /// Responds to a root digest that differs from the local one.
    #[prost(message, tag = "16")]
    BucketDigests(BucketDigests),
    /// Responds to bucket digests that differ from the local ones.
    #[prost(message, tag = "17")]
    Inventory(Inventory),
    /// Requests and delivers records of an anti-entropy exchange, as opposed to rumors.
    #[prost(message, tag = "18")]
    RecordTransfer(RecordTransfer),
}

impl Payload {
    /// The name of the payload kind in metrics.
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
    /// Start of the process that the claim is about.
    #[prost(uint64, tag = "1")]
    pub start: u64,
    /// Incarnation of that process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the claimed state.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// Whether the sender has forgotten the process with this start, and accepts only a later one.
    #[prost(bool, tag = "4")]
    pub forgotten: bool,
}

/// A probe of the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    /// Sequence number that the ack repeats.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Name of the member that has to respond; empty if any receiver may respond.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// The sequence number of a message, which its reply repeats.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SequenceNumber {
    /// The sequence number.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// A request to ping a target and relay its response.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequest {
    /// Sequence number that the ack or nack repeats.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Name of the member to probe.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Address at which the target receives datagrams.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// The digest of the sender's complete view.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RootDigest {
    /// Hash of all buckets.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Number of present members in the sender's view.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// The digest of each bucket of the sender's view.
#[derive(Clone, PartialEq, Message)]
pub struct BucketDigests {
    /// One digest per bucket, in the order of the buckets.
    #[prost(fixed32, repeated, tag = "1")]
    pub digests: Vec<u32>,
}

/// The sender's records in some buckets, without bodies.
#[derive(Clone, PartialEq, Message)]
pub struct Inventory {
    /// Complete buckets: the sender knows no members in them other than the listed ones.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    /// Records without bodies.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<Record>,
}

/// Names whose records the sender requests, and records that it delivers.
#[derive(Clone, PartialEq, Message)]
pub struct RecordTransfer {
    /// Names of the requested records.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
    /// Delivered records.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Record>,
}

/// The sender's knowledge of a member.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Name of the member.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Start of the member's process.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Incarnation of the member.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Number of the member's state.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// The observer whose probe failed, for a member that is suspected or dead.
    #[prost(string, tag = "5")]
    pub accuser: String,
    /// Revision of the body, which the member counts from 1 at each start; 0 if there is no body.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// The [`Body`] as the member itself encoded it.
    #[prost(bytes = "vec", tag = "7")]
    pub body: Vec<u8>,
}

impl Record {
    /// The claim of the record, or `None` if the number of its state is unknown.
    pub fn claim(&self) -> Option<Claim> {
        Some(Claim {
            start: self.start,
            incarnation: self.incarnation,
            state: MemberState::from_wire(self.state)?,
        })
    }
}

/// The information that a member publishes about itself.
#[derive(Clone, PartialEq, Message)]
pub struct Body {
    /// Address at which the member receives datagrams.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Zone of the member.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Weight of the member relative to other proxies.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
    /// Version of the member's program.
    #[prost(string, tag = "4")]
    pub version: String,
    /// Random number that distinguishes processes with the same name.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// Values that other modules of the member publish.
    #[prost(message, repeated, tag = "7")]
    pub values: Vec<Value>,
}

/// A value that another module of the member publishes with its body.
#[derive(Clone, PartialEq, Message)]
pub struct Value {
    /// Number of the module; a body has one value of each kind.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Version of the encoding.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The encoded value.
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
}
