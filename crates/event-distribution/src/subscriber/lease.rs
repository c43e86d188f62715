//! The lease that a subscriber holds.
//!
//! It counts from when the granted request was sent, so it expires here before it expires at the grantor. Invariant:
//! `missing_since` is `None` from the moment a lease is granted until its expiry is noticed.

use crate::time::Micros;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    expires_at: Option<Micros>,
    /// Since when there has been no lease.
    missing_since: Option<Micros>,
}

impl Lease {
    pub(super) fn none_since(now: Micros) -> Lease {
        Lease {
            expires_at: None,
            missing_since: Some(now),
        }
    }

    /// Remaining time of the lease, if it has not expired.
    pub(super) fn remaining(&self, now: Micros) -> Option<Micros> {
        self.expires_at
            .map(|expires_at| expires_at - now)
            .filter(|remaining| *remaining > 0)
    }

    /// When the expiry of the lease has to be noticed.
    pub(super) fn next_expiry(&self) -> Option<Micros> {
        self.expires_at.filter(|_| self.missing_since.is_none())
    }

    /// Returns true if the lease has expired since the last call.
    pub(super) fn expire(&mut self, now: Micros) -> bool {
        let has_expired = self.missing_since.is_none() && self.remaining(now).is_none();
        if has_expired {
            self.missing_since = Some(now);
        }
        has_expired
    }

    /// Extends the lease. If there was none, returns how long it was missing.
    pub(super) fn extend(&mut self, now: Micros, until: Micros) -> Option<Micros> {
        self.expires_at = self.expires_at.max(Some(until));
        self.missing_since
            .take_if(|_| until > now)
            .map(|since| now - since)
    }
}
