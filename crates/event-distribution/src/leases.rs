//! Leases that a member has granted, and the least position that their holders have applied.

use crate::event::LogPosition;
use crate::Micros;
use std::collections::BTreeMap;

/// One start of one subscriber. What an earlier start was granted counts until it is over.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    pub name: String,
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    until: Micros,
    acknowledged: LogPosition,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leases {
    held: BTreeMap<Holder, Lease>,
    /// All holders were told to be this far: whoever is behind gets no lease, or that word would become untrue.
    reported: LogPosition,
}

impl Leases {
    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn until(&self, holder: &Holder) -> Option<Micros> {
        self.held.get(holder).map(|lease| lease.until)
    }

    /// Whether a holder that has applied so much may have a lease.
    pub fn admits(&self, acknowledged: LogPosition) -> bool {
        acknowledged >= self.reported
    }

    /// `until` has to be as late as the holder's clock can make it.
    pub fn grant(&mut self, holder: Holder, acknowledged: LogPosition, until: Micros) {
        let lease = self.held.entry(holder).or_insert(Lease {
            until,
            acknowledged,
        });
        lease.until = lease.until.max(until);
        lease.acknowledged = lease.acknowledged.max(acknowledged);
    }

    pub fn acknowledge(&mut self, holder: &Holder, acknowledged: LogPosition) {
        if let Some(lease) = self.held.get_mut(holder) {
            lease.acknowledged = lease.acknowledged.max(acknowledged);
        }
    }

    /// Takes out those that are over; their holders.
    pub fn expire(&mut self, now: Micros) -> Vec<Holder> {
        let over: Vec<Holder> = self
            .held
            .iter()
            .filter(|(_, l)| l.until <= now)
            .map(|(holder, _)| holder.clone())
            .collect();
        for holder in &over {
            self.held.remove(holder);
        }
        over
    }

    /// What all holders and this member itself have applied.
    pub fn least(&self, own: LogPosition) -> LogPosition {
        self.held
            .values()
            .map(|lease| lease.acknowledged)
            .fold(own, LogPosition::min)
    }

    /// The same, told to others: no lease is granted to whoever is behind it from now on.
    pub fn report(&mut self, own: LogPosition) -> LogPosition {
        self.reported = self.reported.max(self.least(own));
        self.reported
    }
}
