//! A token bucket: so many a second, and one second's worth at once.

use crate::settings::SECOND;
use crate::Micros;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    per_second: i64,
    /// Tokens times a million.
    available: i64,
    at: Micros,
}

impl Budget {
    pub(crate) fn new(per_second: u64, now: Micros) -> Budget {
        let per_second = i64::try_from(per_second).unwrap_or(i64::MAX / SECOND);
        Budget {
            per_second,
            available: per_second * SECOND,
            at: now,
        }
    }

    /// Takes so many tokens, if they are there.
    pub(crate) fn take(&mut self, now: Micros, tokens: u64) -> bool {
        let elapsed = (now - self.at).clamp(0, SECOND);
        self.at = now;
        self.available = (self.available + elapsed * self.per_second).min(self.per_second * SECOND);
        let cost = i64::try_from(tokens)
            .unwrap_or(i64::MAX / SECOND)
            .saturating_mul(SECOND);
        let enough = self.available >= cost;
        if enough {
            self.available -= cost;
        }
        enough
    }
}
