//! Decoding of times on the wire: unsigned microseconds of Unix time, which may have any value.

use crate::{Micros, SEC};

/// The latest time that is accepted from the wire, in the year 5138. Its sum with any duration from the settings cannot
/// overflow.
pub const MAX_TIME: Micros = 100_000_000_000 * SEC;

/// Decodes a time from the wire. A time beyond [`MAX_TIME`] becomes [`MAX_TIME`].
pub fn from_wire(time: u64) -> Micros {
    Micros::try_from(time).map_or(MAX_TIME, |time| time.min(MAX_TIME))
}
