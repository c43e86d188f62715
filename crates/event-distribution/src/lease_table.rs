//! Leases that a member has granted, and the least position that their holders have applied.
//!
//! Invariant: no holder is behind `reported`. A subscriber that is behind gets no lease, or what was reported would become untrue.

use crate::event::LogPosition;
use crate::time::Micros;
use std::collections::BTreeMap;

/// One start of one subscriber. What an earlier start was granted counts until it is over.
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
    /// All holders were reported to be this far.
    reported: LogPosition,
}

impl LeaseTable {
    pub(crate) fn len(&self) -> usize {
        self.leases.len()
    }

    pub(crate) fn expires_at(&self, holder: &LeaseHolder) -> Option<Micros> {
        self.leases.get(holder).map(|lease| lease.expires_at)
    }

    /// Whether a holder that has applied so much may have a lease.
    pub(crate) fn admits(&self, acknowledged: LogPosition) -> bool {
        acknowledged >= self.reported
    }

    /// `expires_at` has to be as late as the holder's clock can make it.
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

    /// A holder has applied so much.
    pub(crate) fn acknowledge(&mut self, holder: &LeaseHolder, acknowledged: LogPosition) {
        if let Some(lease) = self.leases.get_mut(holder) {
            lease.acknowledged = lease.acknowledged.max(acknowledged);
        }
    }

    /// Takes out those that are over; their holders.
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

    /// What all holders and this member itself have applied.
    pub(crate) fn least_acknowledged(&self, own: LogPosition) -> LogPosition {
        self.leases
            .values()
            .map(|lease| lease.acknowledged)
            .fold(own, LogPosition::min)
    }

    /// The same, to be sent upstream: no lease is granted to a subscriber behind it from now on.
    pub(crate) fn report(&mut self, own: LogPosition) -> LogPosition {
        self.reported = self.reported.max(self.least_acknowledged(own));
        self.reported
    }
}
