//! The envelope of every message between fronts: a mark of two letters for its kind, a version, a checksum (CRC-32, as in
//! IEEE 802.3), and a protobuf message, plain in a datagram and compressed (DEFLATE, RFC 1951) in a chunk of a stream.

use prost::Message;

/// Length of the header: mark, version and checksum.
pub const HEADER_LENGTH: usize = 7;
/// Length of a chunk at most, as it is sent and after decompression: a longer one is dropped unread.
pub const MAX_CHUNK_LENGTH: usize = 64 * 1024;
const MAX_DECOMPRESSED_LENGTH: usize = 256 * 1024;
/// Compression level for messages that a small send budget limits.
pub const COMPACT_LEVEL: u8 = 6;
/// Compression level for messages that the event loop waits for.
pub const FAST_LEVEL: u8 = 1;

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    TooShort,
    UnknownMark,
    UnknownVersion,
    WrongChecksum,
    Malformed,
    OtherFleet,
    /// A part of it is too long or out of range.
    OutOfBounds,
    /// There is no room for another member.
    ViewFull,
    /// It is from a member that is held to be dead.
    SenderDead,
    /// It is from another process of this front's name.
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

/// Encodes a plain message.
pub fn encode(mark: [u8; 2], version: u8, message: &impl Message, into: &mut Vec<u8>) {
    head(mark, version, into);
    // A vector grows as it needs to.
    let _ = message.encode(into);
    seal(into);
}

/// Encodes a compressed message.
pub fn encode_compressed(
    mark: [u8; 2],
    version: u8,
    level: u8,
    message: &impl Message,
    into: &mut Vec<u8>,
) {
    head(mark, version, into);
    into.extend(miniz_oxide::deflate::compress_to_vec(
        &message.encode_to_vec(),
        level,
    ));
    seal(into);
}

fn head(mark: [u8; 2], version: u8, into: &mut Vec<u8>) {
    into.clear();
    into.extend(mark);
    into.push(version);
    into.extend([0; 4]);
}

fn seal(into: &mut [u8]) {
    let sum = crc32fast::hash(&into[HEADER_LENGTH..]).to_le_bytes();
    into[HEADER_LENGTH - 4..HEADER_LENGTH].copy_from_slice(&sum);
}

/// The mark of an encoded message.
pub fn message_mark(bytes: &[u8]) -> Option<[u8; 2]> {
    bytes.first_chunk::<2>().copied()
}

/// Decodes a message, plain or compressed.
pub fn decode<M: Message + Default>(
    plain: [u8; 2],
    packed: [u8; 2],
    version: u8,
    bytes: &[u8],
) -> Result<M, DropReason> {
    let Some((head, rest)) = bytes.split_first_chunk::<HEADER_LENGTH>() else {
        return Err(DropReason::TooShort);
    };
    let chunk = head[..2] == packed;
    if head[..2] != plain && !chunk {
        return Err(DropReason::UnknownMark);
    }
    if head[2] != version {
        return Err(DropReason::UnknownVersion);
    }
    if head[3..] != crc32fast::hash(rest).to_le_bytes() {
        return Err(DropReason::WrongChecksum);
    }
    let unpacked = chunk
        .then(|| miniz_oxide::inflate::decompress_to_vec_with_limit(rest, MAX_DECOMPRESSED_LENGTH));
    let unpacked = unpacked.transpose().map_err(|_| DropReason::Malformed)?;
    M::decode(unpacked.as_deref().unwrap_or(rest)).map_err(|_| DropReason::Malformed)
}
