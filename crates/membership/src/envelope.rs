//! The envelope of every message between fronts: a mark of two letters for its kind, a version, a checksum (CRC-32, as in
//! IEEE 802.3), and a protobuf message, plain in a datagram and compressed (DEFLATE, RFC 1951) in a chunk of a stream.

use prost::Message;

/// Length of the header: mark, version and checksum.
pub const HEAD: usize = 7;
/// Length of a chunk at most, as it is sent and after decompression: a longer one is dropped unread.
pub const CHUNK_MOST: usize = 64 * 1024;
const UNPACKED_MOST: usize = 256 * 1024;
/// Compression level for messages that a small send budget limits.
pub const SMALL: u8 = 6;
/// Compression level for messages that the event loop waits for.
pub const FAST: u8 = 1;

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    Short,
    Mark,
    Version,
    Checksum,
    Garbled,
    Fleet,
    /// A part of it is too long or out of range.
    Bounds,
    /// There is no room for another member.
    Full,
    /// It is from a member that is held to be dead.
    Dead,
    /// It is from another process of this front's name.
    Twin,
}

impl Dropped {
    /// All reasons.
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

    /// Its name in metrics.
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

/// Encodes a plain message.
pub fn write(mark: [u8; 2], version: u8, message: &impl Message, into: &mut Vec<u8>) {
    head(mark, version, into);
    // A vector grows as it needs to.
    let _ = message.encode(into);
    seal(into);
}

/// Encodes a compressed message.
pub fn write_packed(
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
    let sum = crc32fast::hash(&into[HEAD..]).to_le_bytes();
    into[HEAD - 4..HEAD].copy_from_slice(&sum);
}

/// The mark of an encoded message.
pub fn mark(bytes: &[u8]) -> Option<[u8; 2]> {
    bytes.first_chunk::<2>().copied()
}

/// Decodes a message, plain or compressed.
pub fn read<M: Message + Default>(
    plain: [u8; 2],
    packed: [u8; 2],
    version: u8,
    bytes: &[u8],
) -> Result<M, Dropped> {
    let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() else {
        return Err(Dropped::Short);
    };
    let chunk = head[..2] == packed;
    if head[..2] != plain && !chunk {
        return Err(Dropped::Mark);
    }
    if head[2] != version {
        return Err(Dropped::Version);
    }
    if head[3..] != crc32fast::hash(rest).to_le_bytes() {
        return Err(Dropped::Checksum);
    }
    let unpacked =
        chunk.then(|| miniz_oxide::inflate::decompress_to_vec_with_limit(rest, UNPACKED_MOST));
    let unpacked = unpacked.transpose().map_err(|_| Dropped::Garbled)?;
    M::decode(unpacked.as_deref().unwrap_or(rest)).map_err(|_| Dropped::Garbled)
}
