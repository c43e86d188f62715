//! Times on the wire: unsigned microseconds of Unix time, which may be anything.

use crate::{Micros, SEC};

/// The latest time that is taken from the wire, in the year 5138: sums of it with any span of the settings cannot overflow.
pub const MAX_TIME: Micros = 100_000_000_000 * SEC;

/// A time from the wire; any beyond [`MAX_TIME`] is taken for that.
pub fn from_wire(time: u64) -> Micros {
    Micros::try_from(time).map_or(MAX_TIME, |time| time.min(MAX_TIME))
}
