//! Units of time.

/// A moment or a span, in whole microseconds. Moments are of the local clock, which only moves forward.
pub type Micros = i64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;
