//! A token bucket that holds up to one second's worth of tokens.

use crate::time::{Micros, SECOND};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TokenBucket {
    per_second: i64,
    /// Tokens times a million, so that each microsecond adds a whole number.
    level: i64,
    filled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(per_second: u64, now: Micros) -> TokenBucket {
        let per_second = i64::try_from(per_second).unwrap_or(i64::MAX / SECOND);
        TokenBucket {
            per_second,
            level: per_second * SECOND,
            filled_at: now,
        }
    }

    /// Takes tokens if enough are available, and returns whether it did.
    pub(crate) fn try_take(&mut self, now: Micros, tokens: u64) -> bool {
        let elapsed = (now - self.filled_at).clamp(0, SECOND);
        self.filled_at = now;
        self.level = (self.level + elapsed * self.per_second).min(self.per_second * SECOND);
        let cost = i64::try_from(tokens)
            .unwrap_or(i64::MAX / SECOND)
            .saturating_mul(SECOND);
        let is_enough = self.level >= cost;
        if is_enough {
            self.level -= cost;
        }
        is_enough
    }
}
