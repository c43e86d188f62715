//! Leases that a member has granted, and the minimum position that their holders have applied.
//!
//! Invariant: no holder is behind `reported`. A subscriber that is behind it gets no lease, because the reported
//! position would become false.

use crate::event::LogPosition;
use crate::time::Micros;
use std::collections::BTreeMap;

/// One incarnation of a subscriber. The leases of earlier incarnations count until they expire.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeaseHolder {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
}

impl LeaseHolder {
    pub(crate) fn new(name: &str, incarnation: u64) -> LeaseHolder {
        LeaseHolder {
            name: name.into(),
            incarnation,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    expires_at: Micros,
    acknowledged: LogPosition,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaseTable {
    leases: BTreeMap<LeaseHolder, GrantedLease>,
    /// The position that all holders were reported to have applied.
    reported: LogPosition,
}

impl LeaseTable {
    pub(crate) fn len(&self) -> usize {
        self.leases.len()
    }

    pub(crate) fn expires_at(&self, holder: &LeaseHolder) -> Option<Micros> {
        self.leases.get(holder).map(|lease| lease.expires_at)
    }

    /// Whether a holder that has applied everything up to a position may get a lease.
    pub(crate) fn admits(&self, acknowledged: LogPosition) -> bool {
        acknowledged >= self.reported
    }

    /// Grants or extends a lease. `expires_at` has to be at least as late as the expiry by the slowest clock of a
    /// holder.
    pub(crate) fn grant(
        &mut self,
        holder: LeaseHolder,
        acknowledged: LogPosition,
        expires_at: Micros,
    ) {
        let lease = self.leases.entry(holder).or_insert(GrantedLease {
            expires_at,
            acknowledged,
        });
        lease.expires_at = lease.expires_at.max(expires_at);
        lease.acknowledged = lease.acknowledged.max(acknowledged);
    }

    /// Records that a holder has applied everything up to a position.
    pub(crate) fn acknowledge(&mut self, holder: &LeaseHolder, acknowledged: LogPosition) {
        if let Some(lease) = self.leases.get_mut(holder) {
            lease.acknowledged = lease.acknowledged.max(acknowledged);
        }
    }

    /// Removes expired leases and returns their holders.
    pub(crate) fn expire(&mut self, now: Micros) -> Vec<LeaseHolder> {
        let expired: Vec<LeaseHolder> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(holder, _)| holder.clone())
            .collect();
        for holder in &expired {
            self.leases.remove(holder);
        }
        expired
    }

    /// The minimum of the own position and the positions that the holders have applied.
    pub(crate) fn min_acknowledged(&self, own: LogPosition) -> LogPosition {
        self.leases
            .values()
            .map(|lease| lease.acknowledged)
            .fold(own, LogPosition::min)
    }

    /// Returns the minimum that is reported upstream. From now on, a subscriber that is behind it gets no lease.
    pub(crate) fn report(&mut self, own: LogPosition) -> LogPosition {
        self.reported = self.reported.max(self.min_acknowledged(own));
        self.reported
    }
}
