//! The protobuf messages. Field numbers are the wire format and never change their meaning; a field that a build does
//! not know is skipped by it.

use crate::claim::{Claim, MemberState};
use prost::Message;

/// A message, with what its sender claims of itself and of the receiver.
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
    /// What the message is for; none where it only carries rumors.
    #[prost(oneof = "Payload", tags = "9, 10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub payload: Option<Payload>,
    /// Piggybacked rumors.
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
    /// Responds to a ping request: the target has not responded yet.
    #[prost(message, tag = "12")]
    Nack(SequenceNumber),
    /// The sender leaves the fleet.
    #[prost(message, tag = "13")]
    Leaving(SequenceNumber),
    /// Confirms that the receiver leaves.
    #[prost(message, tag = "14")]
    Confirmed(SequenceNumber),
    /// Begins an anti-entropy exchange.
    #[prost(message, tag = "15")]
    RootDigest(RootDigest),
    /// Responds to a root digest that differs.
    #[prost(message, tag = "16")]
    BucketDigests(BucketDigests),
    /// Responds to bucket digests that differ.
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
    /// Start of the process that the claim is about.
    #[prost(uint64, tag = "1")]
    pub start: u64,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of its state.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// The sender has forgotten the process with this start, and accepts only a later one.
    #[prost(bool, tag = "4")]
    pub forgotten: bool,
}

/// A probe of the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    /// The number that the ack repeats.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The member that is to respond; empty for whichever receives it.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// The sequence number of the message that a reply belongs to.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SequenceNumber {
    /// The number.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// A request to ping a target and relay its response.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequest {
    /// The number that the ack or nack repeats.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Name of the member to probe.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Where it receives datagrams.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// The digest of the sender's whole view.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RootDigest {
    /// Hash over all buckets.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Number of members that the sender knows to be present.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// The digest of each bucket of the sender's view.
#[derive(Clone, PartialEq, Message)]
pub struct BucketDigests {
    /// In the order of the buckets.
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

/// Names of which the sender requests records, and records that it delivers.
#[derive(Clone, PartialEq, Message)]
pub struct RecordTransfer {
    /// Names of the requested records.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
    /// Delivered records.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Record>,
}

/// What the sender knows of a member.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Name of the member.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Start of its process.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Its incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The number of its state.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// The observer whose probe failed, for a member that is suspected or dead.
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
    /// Where it receives datagrams.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its weight against other proxies.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
    /// The version of its program.
    #[prost(string, tag = "4")]
    pub version: String,
    /// Tells processes of one name apart.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// What its other modules publish.
    #[prost(message, repeated, tag = "7")]
    pub values: Vec<Value>,
}

/// What another module of the member publishes with its body.
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
