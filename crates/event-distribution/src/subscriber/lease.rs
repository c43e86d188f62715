//! The lease that a subscriber holds.
//!
//! It counts from when the request was sent that it answers, so it is over here before it is over at its grantor.
//! Invariant: `missing_since` is none from the moment a lease is granted until its expiry is noticed.

use crate::time::Micros;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    expires_at: Option<Micros>,
    /// Since when there is no lease.
    missing_since: Option<Micros>,
}

impl Lease {
    pub(super) fn none_since(now: Micros) -> Lease {
        Lease {
            expires_at: None,
            missing_since: Some(now),
        }
    }

    /// What is left of it, if anything.
    pub(super) fn remaining(&self, now: Micros) -> Option<Micros> {
        self.expires_at
            .map(|expires_at| expires_at - now)
            .filter(|remaining| *remaining > 0)
    }

    /// When its expiry is to be noticed.
    pub(super) fn next_expiry(&self) -> Option<Micros> {
        self.expires_at.filter(|_| self.missing_since.is_none())
    }

    /// True where it has expired since the last call.
    pub(super) fn expire(&mut self, now: Micros) -> bool {
        let has_expired = self.missing_since.is_none() && self.remaining(now).is_none();
        if has_expired {
            self.missing_since = Some(now);
        }
        has_expired
    }

    /// A lease until then was granted. Where there was none, for how long.
    pub(super) fn extend(&mut self, now: Micros, until: Micros) -> Option<Micros> {
        self.expires_at = self.expires_at.max(Some(until));
        self.missing_since
            .take_if(|_| until > now)
            .map(|since| now - since)
    }
}
