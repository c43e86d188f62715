//! Parts of records' names that have a longest length: what is longer is told apart by a hash.

use xxhash_rust::xxh3::xxh3_128;

/// Bytes of the hash that replaces the end of what is too long.
const HASH_BYTES: usize = 16;

/// The text itself, or, where it is longer than `max_bytes`, its beginning and a hash of all of it: `max_bytes` together.
pub(super) fn bounded(text: &[u8], max_bytes: usize) -> Vec<u8> {
    if text.len() <= max_bytes {
        return text.to_vec();
    }
    let mut name = text[..max_bytes - HASH_BYTES].to_vec();
    name.extend(xxh3_128(text).to_be_bytes());
    name
}
