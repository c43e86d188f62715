//! Length limit for parts of record names. Longer parts are distinguished by a hash.

use xxhash_rust::xxh3::xxh3_128;

/// Bytes of the hash that replaces the end of a text that is too long.
const HASH_BYTES: usize = 16;

/// Returns the text itself or, if it is longer than `max_bytes`, its beginning and a hash of the complete text, which
/// together have `max_bytes`.
pub(super) fn bounded(text: &[u8], max_bytes: usize) -> Vec<u8> {
    if text.len() <= max_bytes {
        return text.to_vec();
    }
    let mut name = text[..max_bytes - HASH_BYTES].to_vec();
    name.extend(xxh3_128(text).to_be_bytes());
    name
}
