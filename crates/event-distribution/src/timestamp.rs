//! Timestamps of purges as they travel: whole milliseconds, rounded up, within bounds.
//!
//! Every member keeps the rounded form, so the order of purges, and with it that of a snapshot, is the same at all of
//! them. A timestamp rounded up invalidates more copies, never fewer.

use crate::time::{Micros, MILLISECOND};

/// Timestamps are within so many milliseconds of the Unix epoch: the year 6429.
const MAX_MILLISECONDS: i64 = 1 << 47;

/// Whether a timestamp in milliseconds may travel.
pub(crate) fn is_valid(milliseconds: i64) -> bool {
    (-MAX_MILLISECONDS..=MAX_MILLISECONDS).contains(&milliseconds)
}

/// In milliseconds, rounded up.
pub(crate) fn to_milliseconds(timestamp: Micros) -> i64 {
    timestamp.div_euclid(MILLISECOND) + i64::from(timestamp.rem_euclid(MILLISECOND) != 0)
}

/// The timestamp as it travels, and as every member keeps it.
pub(crate) fn as_sent(timestamp: Micros) -> Micros {
    to_milliseconds(timestamp).clamp(-MAX_MILLISECONDS, MAX_MILLISECONDS) * MILLISECOND
}
