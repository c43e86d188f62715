//! The envelope of every message between proxies: a mark of two letters for its kind, a version, a checksum (CRC-32, as
//! in IEEE 802.3), and a protobuf message, plain in a datagram and compressed (DEFLATE, RFC 1951) in a chunk of a stream.
//!
//! Invariant: a message is decoded only behind a matching mark, version and checksum, and decompressed only up to a
//! bound.

use prost::Message;
use std::fmt;

/// Bytes of the header: mark, version and checksum.
pub const HEADER_LENGTH: usize = 7;
const CHECKSUM_LENGTH: usize = 4;
/// Most bytes of a chunk as it is sent: hosts drop a longer one unread.
pub const MAX_CHUNK_LENGTH: usize = 64 * 1024;
/// Most bytes of a chunk after decompression.
const MAX_DECOMPRESSED_LENGTH: usize = 256 * 1024;
/// Compression level for messages that a small send budget limits.
pub const COMPACT_LEVEL: u8 = 6;
/// Compression level for messages that the event loop waits for.
pub const FAST_LEVEL: u8 = 1;

/// Why a message or a record was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// It is shorter than a header.
    TooShort,
    /// It has the mark of no message that is expected here.
    UnknownMark,
    /// It is of another version of the format.
    UnknownVersion,
    /// Its checksum does not match.
    WrongChecksum,
    /// It cannot be decompressed or decoded.
    Malformed,
    /// It is of another fleet.
    OtherFleet,
    /// A part of it is too long or out of range.
    OutOfBounds,
    /// There is no capacity for another member.
    ViewFull,
    /// It is from a member that is considered dead or forgotten.
    SenderDead,
    /// It is from another process of this proxy's name.
    NameConflict,
}

impl DropReason {
    /// All reasons.
    pub const ALL: [DropReason; 10] = [
        DropReason::TooShort,
        DropReason::UnknownMark,
        DropReason::UnknownVersion,
        DropReason::WrongChecksum,
        DropReason::Malformed,
        DropReason::OtherFleet,
        DropReason::OutOfBounds,
        DropReason::ViewFull,
        DropReason::SenderDead,
        DropReason::NameConflict,
    ];

    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::TooShort => "short",
            DropReason::UnknownMark => "mark",
            DropReason::UnknownVersion => "version",
            DropReason::WrongChecksum => "checksum",
            DropReason::Malformed => "garbled",
            DropReason::OtherFleet => "fleet",
            DropReason::OutOfBounds => "bounds",
            DropReason::ViewFull => "full",
            DropReason::SenderDead => "dead",
            DropReason::NameConflict => "twin",
        }
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::TooShort => "shorter than a header",
            DropReason::UnknownMark => "unknown mark",
            DropReason::UnknownVersion => "unknown version",
            DropReason::WrongChecksum => "wrong checksum",
            DropReason::Malformed => "malformed message",
            DropReason::OtherFleet => "of another fleet",
            DropReason::OutOfBounds => "out of bounds",
            DropReason::ViewFull => "no capacity for another member",
            DropReason::SenderDead => "sender is considered dead",
            DropReason::NameConflict => "sender has this proxy's name",
        })
    }
}

impl std::error::Error for DropReason {}

/// Encodes a plain message.
pub fn encode(mark: [u8; 2], version: u8, message: &impl Message, into: &mut Vec<u8>) {
    begin(mark, version, into);
    // A vector grows as it needs to.
    let _ = message.encode(into);
    write_checksum(into);
}

/// Encodes a compressed message.
pub fn encode_compressed(
    mark: [u8; 2],
    version: u8,
    level: u8,
    message: &impl Message,
    into: &mut Vec<u8>,
) {
    begin(mark, version, into);
    let plain = message.encode_to_vec();
    into.extend(miniz_oxide::deflate::compress_to_vec(&plain, level));
    write_checksum(into);
}

/// Clears the buffer, and writes a header without its checksum.
fn begin(mark: [u8; 2], version: u8, into: &mut Vec<u8>) {
    into.clear();
    into.extend(mark);
    into.push(version);
    into.extend([0; CHECKSUM_LENGTH]);
}

fn write_checksum(into: &mut [u8]) {
    let checksum = crc32fast::hash(&into[HEADER_LENGTH..]).to_le_bytes();
    into[HEADER_LENGTH - CHECKSUM_LENGTH..HEADER_LENGTH].copy_from_slice(&checksum);
}

/// The mark of an encoded message.
pub fn message_mark(bytes: &[u8]) -> Option<[u8; 2]> {
    bytes.first_chunk::<2>().copied()
}

/// Decodes a message, plain or compressed, by its mark.
///
/// # Errors
/// The reason to drop the message: its header is wrong, or what follows cannot be decoded.
pub fn decode<M: Message + Default>(
    plain_mark: [u8; 2],
    compressed_mark: [u8; 2],
    version: u8,
    bytes: &[u8],
) -> Result<M, DropReason> {
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER_LENGTH>() else {
        return Err(DropReason::TooShort);
    };
    let is_compressed = header[..2] == compressed_mark;
    if header[..2] != plain_mark && !is_compressed {
        return Err(DropReason::UnknownMark);
    }
    if header[2] != version {
        return Err(DropReason::UnknownVersion);
    }
    if header[3..] != crc32fast::hash(rest).to_le_bytes() {
        return Err(DropReason::WrongChecksum);
    }
    if is_compressed {
        let limit = MAX_DECOMPRESSED_LENGTH;
        let plain = miniz_oxide::inflate::decompress_to_vec_with_limit(rest, limit);
        let plain = plain.map_err(|_| DropReason::Malformed)?;
        return M::decode(plain.as_slice()).map_err(|_| DropReason::Malformed);
    }
    M::decode(rest).map_err(|_| DropReason::Malformed)
}
