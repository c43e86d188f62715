//! Units of time.

/// A point in time or a duration, in whole microseconds. Points in time are read from the local clock, which only moves
/// forward.
pub type Micros = i64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;
