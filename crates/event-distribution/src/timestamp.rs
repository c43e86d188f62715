//! Timestamps of purges as they are sent: in whole milliseconds, rounded up, within bounds.
//!
//! Every member stores the rounded timestamp, so the order of purges, and therefore of snapshots, is the same at all
//! members. A timestamp that is rounded up invalidates more copies, never fewer.

use crate::time::{Micros, MILLISECOND};

/// Maximum distance of a timestamp from the Unix epoch, in milliseconds: the year 6429.
const MAX_MILLISECONDS: i64 = 1 << 47;

/// Whether a timestamp in milliseconds may be sent.
pub(crate) fn is_valid(milliseconds: i64) -> bool {
    (-MAX_MILLISECONDS..=MAX_MILLISECONDS).contains(&milliseconds)
}

/// Converts a timestamp to milliseconds, rounded up.
pub(crate) fn to_milliseconds(timestamp: Micros) -> i64 {
    timestamp.div_euclid(MILLISECOND) + i64::from(timestamp.rem_euclid(MILLISECOND) != 0)
}

/// Rounds a timestamp to the value that is sent and that every member stores.
pub(crate) fn round_to_wire(timestamp: Micros) -> Micros {
    to_milliseconds(timestamp).clamp(-MAX_MILLISECONDS, MAX_MILLISECONDS) * MILLISECOND
}
