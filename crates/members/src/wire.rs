//! What fronts say to each other: a datagram of at most [`MOST`] bytes, `mr`, the version of the form, a checksum
//! (CRC-32, as in IEEE 802.3) and a protobuf message. What a member says of itself travels as it wrote it, so fields
//! that an older build does not know are passed on by it untouched. What is too long for datagrams goes over a
//! stream in chunks: `mz`, the same head, and the message compressed (DEFLATE, RFC 1951).

use crate::claim::{Claim, State};
use crate::plan::TEXT_MOST;
use prost::Message;

pub const MOST: usize = 1200;
pub const VERSION: u8 = 1;
const MARK: [u8; 2] = *b"mr";
const CHUNK_MARK: [u8; 2] = *b"mz";
/// A chunk, as it travels and unpacked: more is dropped unread.
pub const CHUNK_MOST: usize = 64 * 1024;
const UNPACKED_MOST: usize = 256 * 1024;
/// Of the compressor: small before fast, but not at any price.
const LEVEL: u8 = 6;
const HEAD: usize = 7;
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

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    Short,
    Mark,
    Version,
    Checksum,
    Garbled,
    Fleet,
    /// A part of it is out of bounds.
    Bounds,
    /// No room for one more member.
    Full,
    /// From one that is held to be dead, about others.
    Dead,
    Twin,
}

impl Dropped {
    pub const ALL: [Dropped; 10] = [
        Dropped::Short,
        Dropped::Mark,
        Dropped::Version,
        Dropped::Checksum,
        Dropped::Garbled,
        Dropped::Fleet,
        Dropped::Bounds,
        Dropped::Full,
        Dropped::Dead,
        Dropped::Twin,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Dropped::Short => "short",
            Dropped::Mark => "mark",
            Dropped::Version => "version",
            Dropped::Checksum => "checksum",
            Dropped::Garbled => "garbled",
            Dropped::Fleet => "fleet",
            Dropped::Bounds => "bounds",
            Dropped::Full => "full",
            Dropped::Dead => "dead",
            Dropped::Twin => "twin",
        }
    }
}

pub fn write(packet: &Packet, into: &mut Vec<u8>) {
    head(MARK, into);
    // A vector grows as it needs to.
    let _ = packet.encode(into);
    seal(into);
}

/// The same for a stream.
pub fn write_chunk(packet: &Packet, into: &mut Vec<u8>) {
    head(CHUNK_MARK, into);
    into.extend(miniz_oxide::deflate::compress_to_vec(&packet.encode_to_vec(), LEVEL));
    seal(into);
}

fn head(mark: [u8; 2], into: &mut Vec<u8>) {
    into.clear();
    into.extend(mark);
    into.push(VERSION);
    into.extend([0; 4]);
}

fn seal(into: &mut [u8]) {
    let sum = crc32fast::hash(&into[HEAD..]).to_le_bytes();
    into[HEAD - 4..HEAD].copy_from_slice(&sum);
}

/// What writing it takes, head and all.
pub fn length(packet: &Packet) -> usize {
    HEAD + packet.encoded_len()
}

fn bounded(record: &Record) -> bool {
    !record.name.is_empty()
        && record.name.len() <= TEXT_MOST
        && record.by.len() <= TEXT_MOST
        && record.body.len() <= BODY_MOST
        && State::of(record.state).is_some()
}

pub fn read(bytes: &[u8], fleet: u64) -> Result<Packet, Dropped> {
    let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() else { return Err(Dropped::Short) };
    let chunk = head[..2] == CHUNK_MARK;
    if head[..2] != MARK && !chunk {
        return Err(Dropped::Mark);
    }
    if head[2] != VERSION {
        return Err(Dropped::Version);
    }
    if head[3..] != crc32fast::hash(rest).to_le_bytes() {
        return Err(Dropped::Checksum);
    }
    let unpacked = chunk.then(|| miniz_oxide::inflate::decompress_to_vec_with_limit(rest, UNPACKED_MOST));
    let unpacked = unpacked.transpose().map_err(|_| Dropped::Garbled)?;
    let packet = Packet::decode(unpacked.as_deref().unwrap_or(rest)).map_err(|_| Dropped::Garbled)?;
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
