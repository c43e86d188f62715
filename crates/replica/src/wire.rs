//! What fronts say to each other of what they share: the same envelope as that of the view (`members::envelope`), `mp` in a
//! datagram and `mq` in a chunk.

use meadowrill_members::envelope::{self, Dropped};
use prost::Message;

pub const MARK: [u8; 2] = *b"mp";
pub const CHUNK_MARK: [u8; 2] = *b"mq";
pub const VERSION: u8 = 1;
/// A datagram with all that is round it.
pub const MOST: usize = 1200;
const NAME_MOST: usize = 64;

#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Hash of the fleet's name.
    #[prost(fixed64, tag = "1")]
    pub fleet: u64,
    #[prost(string, tag = "2")]
    pub from: String,
    /// Of the sender's process.
    #[prost(uint64, tag = "3")]
    pub start: u64,
    #[prost(oneof = "Said", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub said: Option<Said>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Said {
    /// News, told on.
    #[prost(message, tag = "4")]
    News(Records),
    /// Records that were asked for or found missing: not told on.
    #[prost(message, tag = "5")]
    Delta(Delta),
    #[prost(message, tag = "6")]
    Roots(Roots),
    #[prost(message, tag = "7")]
    Buckets(Buckets),
    #[prost(message, tag = "8")]
    Items(Items),
    #[prost(message, tag = "9")]
    Want(Want),
    #[prost(message, tag = "10")]
    CatchUp(CatchUp),
    #[prost(message, tag = "11")]
    Part(Part),
    #[prost(message, tag = "12")]
    Ask(Ask),
    #[prost(message, tag = "13")]
    Reply(Reply),
}

/// The kinds of message, in the order of their labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    Ask,
    Buckets,
    CatchUp,
    Delta,
    Items,
    News,
    Part,
    Reply,
    Roots,
    Want,
}

impl MessageKind {
    /// The label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::Ask => "ask",
            MessageKind::Buckets => "buckets",
            MessageKind::CatchUp => "catch_up",
            MessageKind::Delta => "delta",
            MessageKind::Items => "items",
            MessageKind::News => "news",
            MessageKind::Part => "part",
            MessageKind::Reply => "reply",
            MessageKind::Roots => "roots",
            MessageKind::Want => "want",
        }
    }
}

impl Said {
    /// What kind of message this is.
    pub fn kind(&self) -> MessageKind {
        match self {
            Said::News(_) => MessageKind::News,
            Said::Delta(_) => MessageKind::Delta,
            Said::Roots(_) => MessageKind::Roots,
            Said::Buckets(_) => MessageKind::Buckets,
            Said::Items(_) => MessageKind::Items,
            Said::Want(_) => MessageKind::Want,
            Said::CatchUp(_) => MessageKind::CatchUp,
            Said::Part(_) => MessageKind::Part,
            Said::Ask(_) => MessageKind::Ask,
            Said::Reply(_) => MessageKind::Reply,
        }
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct Record {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(bytes = "vec", tag = "2")]
    pub name: Vec<u8>,
    /// The rank, by which the larger of two stands.
    #[prost(uint64, tag = "3")]
    pub high: u64,
    #[prost(uint64, tag = "4")]
    pub low: u64,
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// Unix time in microseconds.
    #[prost(uint64, tag = "6")]
    pub until: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Records {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
    /// Hashes that were wanted and are no longer held.
    #[prost(fixed64, repeated, tag = "2")]
    pub gone: Vec<u64>,
}

/// By tree.
#[derive(Clone, PartialEq, Message)]
pub struct Roots {
    #[prost(fixed64, repeated, tag = "1")]
    pub roots: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Buckets {
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    #[prost(fixed32, repeated, tag = "2")]
    pub digests: Vec<u32>,
}

/// All that is held in these buckets, by hashes.
#[derive(Clone, PartialEq, Message)]
pub struct Items {
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    #[prost(uint32, repeated, tag = "2")]
    pub buckets: Vec<u32>,
    #[prost(fixed64, repeated, tag = "3")]
    pub hashes: Vec<u64>,
    /// Whom the sender holds to be of the fleet, for one that asked so as to vouch for effects.
    #[prost(string, repeated, tag = "4")]
    pub electors: Vec<String>,
    /// These are all buckets that differ.
    #[prost(bool, tag = "5")]
    pub all: bool,
    /// The sender holds the receiver to decide on effects, so it agrees to nothing without it from now on.
    #[prost(bool, tag = "6")]
    pub knows: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Want {
    #[prost(fixed64, repeated, tag = "1")]
    pub hashes: Vec<u64>,
}

/// Records of a tree from behind a key on.
#[derive(Clone, PartialEq, Message)]
pub struct CatchUp {
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    #[prost(bool, tag = "2")]
    pub first: bool,
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    #[prost(bytes = "vec", tag = "4")]
    pub name: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Part {
    #[prost(uint32, tag = "1")]
    pub tree: u32,
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Record>,
    #[prost(bool, tag = "3")]
    pub last: bool,
}

/// May this claim have the effect?
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, optional, tag = "2")]
    pub claim: Option<Record>,
    /// Whom the asker takes to decide on this key.
    #[prost(string, repeated, tag = "3")]
    pub owners: Vec<String>,
    /// Another's claim may be taken over until then, as the origin drops repeats so long; 0 for never.
    #[prost(uint64, tag = "4")]
    pub take_over: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
    /// What stands in the way.
    #[prost(message, repeated, tag = "3")]
    pub claims: Vec<Record>,
}

pub fn write(packet: &Packet, into: &mut Vec<u8>) {
    envelope::write(MARK, VERSION, packet, into);
}

pub fn write_chunk(packet: &Packet, into: &mut Vec<u8>) {
    envelope::write_packed(CHUNK_MARK, VERSION, envelope::FAST, packet, into);
}

pub fn read(bytes: &[u8], fleet: u64) -> Result<Packet, Dropped> {
    let packet: Packet = envelope::read(MARK, CHUNK_MARK, VERSION, bytes)?;
    if packet.fleet != fleet {
        return Err(Dropped::Fleet);
    }
    if packet.from.is_empty() || packet.from.len() > NAME_MOST {
        return Err(Dropped::Bounds);
    }
    Ok(packet)
}
