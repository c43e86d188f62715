//! The messages of the membership protocol: datagrams of at most [`MOST`] bytes, with the mark `mr`, the version of the
//! format, a checksum (CRC-32, as in IEEE 802.3) and a protobuf message. A member's published body is forwarded as the
//! member encoded it, so older builds forward fields that they do not know. What is too long for datagrams goes over a
//! stream in chunks: the mark `mz`, the same header, and the message compressed (DEFLATE, RFC 1951).

use crate::claim::{Claim, State};
use crate::envelope;
pub use crate::envelope::{Dropped, CHUNK_MOST};
use crate::plan::TEXT_MOST;
use prost::Message;

/// Length of a datagram at most.
pub const MOST: usize = 1200;
/// Version of the format.
pub const VERSION: u8 = 1;
const MARK: [u8; 2] = *b"mr";
const CHUNK_MARK: [u8; 2] = *b"mz";
/// Length of all values of one member together, at most.
pub const VALUES_MOST: usize = 512;
/// Length of an encoded body at most.
const BODY_MOST: usize = 900;
/// Number of buckets of a digest.
pub const BUCKETS: usize = 64;

/// A message, with what its sender claims of itself and of the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Hash of the fleet's name.
    #[prost(fixed64, tag = "1")]
    pub fleet: u64,
    #[prost(string, tag = "2")]
    pub from: String,
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
    pub rev: u64,
    /// What the sender knows of the receiver, if that is not that it is alive.
    #[prost(message, optional, tag = "8")]
    pub you: Option<You>,
    #[prost(oneof = "Said", tags = "9, 10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub said: Option<Said>,
    /// Piggybacked rumors.
    #[prost(message, repeated, tag = "30")]
    pub records: Vec<Record>,
}

/// The payload of a message. A message without one only carries rumors.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Said {
    #[prost(message, tag = "9")]
    Ping(Ping),
    #[prost(message, tag = "10")]
    Ack(Seq),
    #[prost(message, tag = "11")]
    PingRequest(PingRequest),
    #[prost(message, tag = "12")]
    Nack(Seq),
    #[prost(message, tag = "13")]
    Leaving(Seq),
    #[prost(message, tag = "14")]
    Confirmed(Seq),
    #[prost(message, tag = "15")]
    RootDigest(RootDigest),
    #[prost(message, tag = "16")]
    BucketDigests(BucketDigests),
    #[prost(message, tag = "17")]
    Inventory(Inventory),
    /// Requested and delivered records of an anti-entropy exchange, as against rumors.
    #[prost(message, tag = "18")]
    Want(Want),
}

impl Said {
    /// Its kind in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Said::Ping(_) => "ping",
            Said::Ack(_) => "ack",
            Said::PingRequest(_) => "ask",
            Said::Nack(_) => "nack",
            Said::Leaving(_) => "leaving",
            Said::Confirmed(_) => "confirmed",
            Said::RootDigest(_) => "root",
            Said::BucketDigests(_) => "buckets",
            Said::Inventory(_) => "have",
            Said::Want(_) => "want",
        }
    }
}

/// A claim about the receiver of a message.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct You {
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
    pub seq: u64,
    /// The member to answer; empty for whichever receives it.
    #[prost(string, tag = "2")]
    pub to: String,
}

/// The sequence number that a reply answers.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Seq {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
}

/// A request to ping a target and relay its answer.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequest {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
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
pub struct Want {
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
    pub by: String,
    /// Revision of the body, counted by the member from 1 at each start; 0 for none.
    #[prost(uint64, tag = "6")]
    pub rev: u64,
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
            state: State::of(self.state)?,
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
pub fn write(packet: &Packet, into: &mut Vec<u8>) {
    envelope::write(MARK, VERSION, packet, into);
}

/// Encodes a chunk of a stream.
pub fn write_chunk(packet: &Packet, into: &mut Vec<u8>) {
    envelope::write_packed(CHUNK_MARK, VERSION, envelope::SMALL, packet, into);
}

/// Length of the encoded datagram, header included.
pub fn length(packet: &Packet) -> usize {
    envelope::HEAD + packet.encoded_len()
}

fn bounded(record: &Record) -> bool {
    !record.name.is_empty()
        && record.name.len() <= TEXT_MOST
        && record.by.len() <= TEXT_MOST
        && record.body.len() <= BODY_MOST
        && State::of(record.state).is_some()
}

/// Decodes a datagram or a chunk of this fleet, and checks that all of its parts are within bounds.
pub fn read(bytes: &[u8], fleet: u64) -> Result<Packet, Dropped> {
    let packet: Packet = envelope::read(MARK, CHUNK_MARK, VERSION, bytes)?;
    if packet.fleet != fleet {
        return Err(Dropped::Fleet);
    }
    let texts = !packet.from.is_empty()
        && packet.from.len() <= TEXT_MOST
        && packet.address.len() <= TEXT_MOST;
    let records = match &packet.said {
        Some(Said::Inventory(have)) => {
            have.items.iter().all(bounded) && have.buckets.iter().all(|b| (*b as usize) < BUCKETS)
        }
        Some(Said::Want(want)) => {
            want.records.iter().all(bounded) && want.names.iter().all(|n| n.len() <= TEXT_MOST)
        }
        Some(Said::PingRequest(ask)) => {
            ask.target.len() <= TEXT_MOST && ask.address.len() <= TEXT_MOST
        }
        Some(Said::BucketDigests(b)) => b.digests.len() == BUCKETS,
        _ => true,
    };
    if !texts || !records || !packet.records.iter().all(bounded) {
        return Err(Dropped::Bounds);
    }
    Ok(packet)
}

/// Decodes a published body, if it is valid and within bounds.
pub fn body(bytes: &[u8]) -> Option<Body> {
    let body = Body::decode(bytes).ok()?;
    let values: usize = body.values.iter().map(|v| v.bytes.len()).sum();
    let texts = [&body.address, &body.zone, &body.version]
        .iter()
        .all(|text| text.len() <= TEXT_MOST);
    (texts && values <= VALUES_MOST).then_some(body)
}
