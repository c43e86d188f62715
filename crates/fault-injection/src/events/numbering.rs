//! Reversible mapping between the running number of a purge and the id of the purged object. The ids look like hashes,
//! as in production, so they compress no better than real ids.

const FACTORS: [u64; 2] = [0x9e37_79b9_7f4a_7c15, 0xbf58_476d_1ce4_e5b9];
const INVERSES: [u64; 2] = [inverse(FACTORS[0]), inverse(FACTORS[1])];
/// Bits by which the upper half is shifted onto the lower half.
const SHIFT_BITS: u32 = 32;

/// The inverse of an odd number modulo 2^64, by Newton's iteration; each round doubles the number of correct bits.
const fn inverse(odd: u64) -> u64 {
    let mut inverse = odd;
    let mut round = 0;
    while round < 5 {
        inverse = inverse.wrapping_mul(2u64.wrapping_sub(odd.wrapping_mul(inverse)));
        round += 1;
    }
    inverse
}

/// The id of the object that the purge with this number purges.
pub fn object_of(number: u64) -> u64 {
    let mixed = number.wrapping_mul(FACTORS[0]);
    (mixed ^ (mixed >> SHIFT_BITS)).wrapping_mul(FACTORS[1])
}

/// The number of the purge of this object.
pub fn number_of(object: u64) -> u64 {
    let mixed = object.wrapping_mul(INVERSES[1]);
    (mixed ^ (mixed >> SHIFT_BITS)).wrapping_mul(INVERSES[0])
}
