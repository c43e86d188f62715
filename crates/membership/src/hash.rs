//! A hash that is the same on every proxy and platform and in every version, because the wire format and the choice of
//! observers depend on it. It is FNV-1a over the text, finalized by the mixer of SplitMix64.
//!
//! Each use has its own salt, so that the hashes of one name differ between uses. Salts below `FLEET_SALT` are the
//! numbers of the observer rings.

/// Salt of the hash of the fleet's name.
pub(crate) const FLEET_SALT: u64 = 98;
/// Salt that gives proxies with different names different random seeds.
pub(crate) const SEED_SALT: u64 = 99;
/// Salt of the hash that assigns names to the buckets of a digest.
pub(crate) const BUCKET_SALT: u64 = 1 << 40;
/// Salt of the hash of a digest entry.
pub(crate) const ENTRY_SALT: u64 = BUCKET_SALT + 1;

/// Returns the salted hash of a text.
pub fn stable_hash(text: &str, salt: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
