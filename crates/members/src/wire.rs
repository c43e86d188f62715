//! What fronts say to each other: a datagram of at most [`MOST`] bytes, `mr`, the version of the form, a checksum
//! (CRC-32, as in IEEE 802.3) and a protobuf message. What a member says of itself travels as it wrote it, so fields
//! that an older build does not know are passed on by it untouched. What is too long for datagrams goes over a
//! stream in chunks: `mz`, the same head, and the message compressed (DEFLATE, RFC 1951).

use crate::claim::{Claim, State};
use crate::envelope;
pub use crate::envelope::{Dropped, CHUNK_MOST};
use crate::plan::TEXT_MOST;
use prost::Message;

pub const MOST: usize = 1200;
pub const VERSION: u8 = 1;
const MARK: [u8; 2] = *b"mr";
const CHUNK_MARK: [u8; 2] = *b"mz";
/// Of what other modules hang on a member, all together.
pub const VALUES_MOST: usize = 512;
/// What a member says of itself, whole.
const BODY_MOST: usize = 900;
/// So many buckets has a digest.
pub const BUCKETS: usize = 64;

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
    /// Where the sender is reached; answers go there, not to where the datagram seems to come from.
    #[prost(string, tag = "6")]
    pub address: String,
    #[prost(uint64, tag = "7")]
    pub rev: u64,
    /// What the sender holds of the receiver, if that is not `alive`.
    #[prost(message, optional, tag = "8")]
    pub you: Option<You>,
    #[prost(oneof = "Said", tags = "9, 10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub said: Option<Said>,
    /// Rumors that ride along.
    #[prost(message, repeated, tag = "30")]
    pub records: Vec<Record>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Said {
    #[prost(message, tag = "9")]
    Ping(Ping),
    #[prost(message, tag = "10")]
    Ack(Seq),
    #[prost(message, tag = "11")]
    Ask(Ask),
    #[prost(message, tag = "12")]
    Nack(Seq),
    #[prost(message, tag = "13")]
    Leaving(Seq),
    #[prost(message, tag = "14")]
    Confirmed(Seq),
    #[prost(message, tag = "15")]
    Root(Root),
    #[prost(message, tag = "16")]
    Buckets(Buckets),
    #[prost(message, tag = "17")]
    Have(Have),
    /// Records that are an answer to a digest: old news, not fresh rumors.
    #[prost(message, tag = "18")]
    Want(Want),
}

impl Said {
    pub fn name(&self) -> &'static str {
        match self {
            Said::Ping(_) => "ping",
            Said::Ack(_) => "ack",
            Said::Ask(_) => "ask",
            Said::Nack(_) => "nack",
            Said::Leaving(_) => "leaving",
            Said::Confirmed(_) => "confirmed",
            Said::Root(_) => "root",
            Said::Buckets(_) => "buckets",
            Said::Have(_) => "have",
            Said::Want(_) => "want",
        }
    }
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct You {
    #[prost(uint64, tag = "1")]
    pub start: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// The sender had forgotten this start: only a later one will do.
    #[prost(bool, tag = "4")]
    pub forgotten: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Who is meant; empty for whoever is there.
    #[prost(string, tag = "2")]
    pub to: String,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Seq {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
}

/// Ping that one for me.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    #[prost(string, tag = "2")]
    pub target: String,
    #[prost(string, tag = "3")]
    pub address: String,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Root {
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// How many it holds to be there.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Buckets {
    #[prost(fixed32, repeated, tag = "1")]
    pub digests: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Have {
    /// These are told whole: what is not among the items the sender does not know.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    /// Records without what members say of themselves.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<Record>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Want {
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Record>,
}

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
    /// Who saw it fail, while it is suspected or dead.
    #[prost(string, tag = "5")]
    pub by: String,
    /// Which of the things that the member said of itself, counted from 1 at each start; 0 for none.
    #[prost(uint64, tag = "6")]
    pub rev: u64,
    /// A [`Body`] as the member itself wrote it.
    #[prost(bytes = "vec", tag = "7")]
    pub body: Vec<u8>,
}

impl Record {
    pub fn claim(&self) -> Option<Claim> {
        Some(Claim { start: self.start, incarnation: self.incarnation, state: State::of(self.state)? })
    }
}

/// What a member says of itself.
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

/// What another module hangs on a member.
#[derive(Clone, PartialEq, Message)]
pub struct Value {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
}

pub fn write(packet: &Packet, into: &mut Vec<u8>) {
    envelope::write(MARK, VERSION, packet, into);
}

/// The same for a stream.
pub fn write_chunk(packet: &Packet, into: &mut Vec<u8>) {
    envelope::write_packed(CHUNK_MARK, VERSION, envelope::SMALL, packet, into);
}

/// What writing it takes, head and all.
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

pub fn read(bytes: &[u8], fleet: u64) -> Result<Packet, Dropped> {
    let packet: Packet = envelope::read(MARK, CHUNK_MARK, VERSION, bytes)?;
    if packet.fleet != fleet {
        return Err(Dropped::Fleet);
    }
    let texts =
        !packet.from.is_empty() && packet.from.len() <= TEXT_MOST && packet.address.len() <= TEXT_MOST;
    let records = match &packet.said {
        Some(Said::Have(have)) => {
            have.items.iter().all(bounded) && have.buckets.iter().all(|b| (*b as usize) < BUCKETS)
        }
        Some(Said::Want(want)) => {
            want.records.iter().all(bounded) && want.names.iter().all(|n| n.len() <= TEXT_MOST)
        }
        Some(Said::Ask(ask)) => ask.target.len() <= TEXT_MOST && ask.address.len() <= TEXT_MOST,
        Some(Said::Buckets(b)) => b.digests.len() == BUCKETS,
        _ => true,
    };
    if !texts || !records || !packet.records.iter().all(bounded) {
        return Err(Dropped::Bounds);
    }
    Ok(packet)
}

/// What a member says of itself, if it can be used.
pub fn body(bytes: &[u8]) -> Option<Body> {
    let body = Body::decode(bytes).ok()?;
    let values: usize = body.values.iter().map(|v| v.bytes.len()).sum();
    let texts = [&body.address, &body.zone, &body.version].iter().all(|text| text.len() <= TEXT_MOST);
    (texts && values <= VALUES_MOST).then_some(body)
}
