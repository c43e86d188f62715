//! Running numbers of purges, hidden in the ids of the purged objects: ids look like hashes, as they do in earnest, so
//! that they pack no better than these.

const FACTORS: [u64; 2] = [0x9e37_79b9_7f4a_7c15, 0xbf58_476d_1ce4_e5b9];
const INVERSES: [u64; 2] = [inverse(FACTORS[0]), inverse(FACTORS[1])];
const FOLD: u32 = 32;

/// The inverse of an odd number modulo 2^64, by Newton's iteration; each round doubles the bits that are right.
const fn inverse(odd: u64) -> u64 {
    let mut inverse = odd;
    let mut round = 0;
    while round < 5 {
        inverse = inverse.wrapping_mul(2u64.wrapping_sub(odd.wrapping_mul(inverse)));
        round += 1;
    }
    inverse
}

/// The id of the object that the purge of this number is about.
pub fn object_of(number: u64) -> u64 {
    let mixed = number.wrapping_mul(FACTORS[0]);
    (mixed ^ (mixed >> FOLD)).wrapping_mul(FACTORS[1])
}

/// The number of the purge of this object.
pub fn number_of(object: u64) -> u64 {
    let mixed = object.wrapping_mul(INVERSES[1]);
    (mixed ^ (mixed >> FOLD)).wrapping_mul(INVERSES[0])
}
