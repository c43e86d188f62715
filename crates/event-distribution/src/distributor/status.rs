//! The state of the feeding side, for operators.

use super::subscription::Subscription;
use super::Distributor;
use crate::event::LogPosition;
use crate::event_log::EventLog;
use crate::lease_table::LeaseHolder;
use crate::status::{DistributorStatus, LaggingSubscriber};
use crate::time::Micros;

/// Lagging subscribers that are named.
const MAX_LAGGING: usize = 32;

impl Distributor {
    /// `in_force` is the publisher's alone.
    pub(crate) fn status(
        &self,
        now: Micros,
        log: &EventLog,
        in_force: Option<LogPosition>,
    ) -> DistributorStatus {
        let head = log.position().unwrap_or_default();
        DistributorStatus {
            head,
            acknowledged: self.leases.least_acknowledged(head),
            in_force,
            subscribers: self.subscriptions.len(),
            leases: self.leases.len(),
            lagging: self.lagging(now, log),
            purges: log.purges.len(),
            purge_floor: log.purges.floor(),
            window_bytes: log.window_bytes(),
            counters: self.counters.clone(),
        }
    }

    /// Those that lag or have no lease, the most recent heartbeat first.
    fn lagging(&self, now: Micros, log: &EventLog) -> Vec<LaggingSubscriber> {
        let due = log.reached_by(now - self.settings.max_lag);
        let mut lagging: Vec<LaggingSubscriber> = self
            .subscriptions
            .iter()
            .map(|(name, subscription)| self.describe(now, name, subscription))
            .filter(|one| one.lease_remaining.is_none() || one.acknowledged < due)
            .collect();
        lagging.sort_by_key(|one| one.since_heartbeat);
        lagging.truncate(MAX_LAGGING);
        lagging
    }

    fn describe(&self, now: Micros, name: &str, subscription: &Subscription) -> LaggingSubscriber {
        let holder = LeaseHolder::new(name, subscription.incarnation());
        let lease_remaining = self
            .leases
            .expires_at(&holder)
            .map(|expires_at| expires_at - now)
            .filter(|remaining| *remaining > 0);
        LaggingSubscriber {
            name: name.into(),
            acknowledged: subscription.acknowledged(),
            lease_remaining,
            since_heartbeat: now - subscription.last_heartbeat_at(),
        }
    }
}
