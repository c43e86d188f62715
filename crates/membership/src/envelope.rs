//! The envelope of every message between proxies: two magic bytes for the kind of the message, a version, a checksum
//! (CRC-32, as in IEEE 802.3), and a protobuf message. The message is plain in a datagram, and compressed (DEFLATE,
//! RFC 1951) in a stream chunk.
//!
//! Invariant: a message is decoded only if magic bytes, version and checksum match, and decompressed only up to a size
//! limit.

use prost::Message;
use std::fmt;

/// Length of the header in bytes: magic bytes, version and checksum.
pub const HEADER_LENGTH: usize = 7;
const CHECKSUM_LENGTH: usize = 4;
/// Maximum length of a compressed chunk, in bytes. Hosts drop longer chunks without reading them.
pub const MAX_CHUNK_LENGTH: usize = 64 * 1024;
/// Maximum length of a chunk after decompression, in bytes.
const MAX_DECOMPRESSED_LENGTH: usize = 256 * 1024;
/// Compression level of messages that are limited by a small send budget.
pub const COMPACT_LEVEL: u8 = 6;
/// Compression level of messages for which the event loop waits.
pub const FAST_LEVEL: u8 = 1;

/// Why a message or a record was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The message is shorter than a header.
    TooShort,
    /// The magic bytes are not those of an expected message.
    UnknownMagic,
    /// The message has another format version.
    UnknownVersion,
    /// The checksum does not match.
    WrongChecksum,
    /// The message cannot be decompressed or decoded.
    Malformed,
    /// The message belongs to another fleet.
    OtherFleet,
    /// A part of the message is too long or out of range.
    OutOfBounds,
    /// The view has no capacity for another member.
    ViewFull,
    /// The sender is considered dead, has left or was forgotten.
    SenderDead,
    /// The sender is another process with this proxy's name.
    NameConflict,
}

impl DropReason {
    /// All reasons.
    pub const ALL: [DropReason; 10] = [
        DropReason::TooShort,
        DropReason::UnknownMagic,
        DropReason::UnknownVersion,
        DropReason::WrongChecksum,
        DropReason::Malformed,
        DropReason::OtherFleet,
        DropReason::OutOfBounds,
        DropReason::ViewFull,
        DropReason::SenderDead,
        DropReason::NameConflict,
    ];

    /// The name of the reason in metrics.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::TooShort => "short",
            DropReason::UnknownMagic => "mark",
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
            DropReason::TooShort => "message is shorter than a header",
            DropReason::UnknownMagic => "unknown magic bytes",
            DropReason::UnknownVersion => "unknown format version",
            DropReason::WrongChecksum => "wrong checksum",
            DropReason::Malformed => "malformed message",
            DropReason::OtherFleet => "message belongs to another fleet",
            DropReason::OutOfBounds => "a part of the message is out of bounds",
            DropReason::ViewFull => "view has no capacity for another member",
            DropReason::SenderDead => "sender is considered dead",
            DropReason::NameConflict => "sender has this proxy's name",
        })
    }
}

impl std::error::Error for DropReason {}

/// Encodes a message without compression.
pub fn encode(magic: [u8; 2], version: u8, message: &impl Message, into: &mut Vec<u8>) {
    write_header(magic, version, into);
    // Encoding into a vector cannot fail, because the vector grows as needed.
    let _ = message.encode(into);
    write_checksum(into);
}

/// Encodes and compresses a message.
pub fn encode_compressed(
    magic: [u8; 2],
    version: u8,
    level: u8,
    message: &impl Message,
    into: &mut Vec<u8>,
) {
    write_header(magic, version, into);
    let plain = message.encode_to_vec();
    into.extend(miniz_oxide::deflate::compress_to_vec(&plain, level));
    write_checksum(into);
}

/// Clears the buffer and writes a header whose checksum is still zero.
fn write_header(magic: [u8; 2], version: u8, into: &mut Vec<u8>) {
    into.clear();
    into.extend(magic);
    into.push(version);
    into.extend([0; CHECKSUM_LENGTH]);
}

fn write_checksum(into: &mut [u8]) {
    let checksum = crc32fast::hash(&into[HEADER_LENGTH..]).to_le_bytes();
    into[HEADER_LENGTH - CHECKSUM_LENGTH..HEADER_LENGTH].copy_from_slice(&checksum);
}

/// The magic bytes of an encoded message, or `None` if the message is too short.
pub fn message_magic(bytes: &[u8]) -> Option<[u8; 2]> {
    bytes.first_chunk::<2>().copied()
}

/// Decodes a plain or compressed message, depending on its magic bytes.
///
/// # Errors
/// Returns the reason to drop the message: its header is invalid, or the content cannot be decoded.
pub fn decode<M: Message + Default>(
    plain_magic: [u8; 2],
    compressed_magic: [u8; 2],
    version: u8,
    bytes: &[u8],
) -> Result<M, DropReason> {
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER_LENGTH>() else {
        return Err(DropReason::TooShort);
    };
    let is_compressed = header[..2] == compressed_magic;
    if header[..2] != plain_magic && !is_compressed {
        return Err(DropReason::UnknownMagic);
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
