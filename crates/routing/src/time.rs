//! Units of time.

use crate::interface::Micros;

/// One second, in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;
