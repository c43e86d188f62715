//! The state of the serving side, for operators.

use super::subscription::Subscription;
use super::Distributor;
use crate::event::LogPosition;
use crate::event_log::EventLog;
use crate::lease_table::LeaseHolder;
use crate::status::{DistributorStatus, LaggingSubscriber};
use crate::time::Micros;

/// Maximum number of lagging subscribers in the status.
const MAX_LAGGING: usize = 32;

impl Distributor {
    /// `in_force` is only set by the publisher.
    pub(crate) fn status(
        &self,
        now: Micros,
        log: &EventLog,
        in_force: Option<LogPosition>,
    ) -> DistributorStatus {
        let head = log.position().unwrap_or_default();
        DistributorStatus {
            head,
            acknowledged: self.leases.min_acknowledged(head),
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

    /// Subscribers that lag or have no lease, ordered by their last heartbeat, most recent first.
    fn lagging(&self, now: Micros, log: &EventLog) -> Vec<LaggingSubscriber> {
        let due = log.position_at(now - self.settings.max_lag);
        let mut lagging: Vec<LaggingSubscriber> = self
            .subscriptions
            .iter()
            .map(|(name, subscription)| self.describe(now, name, subscription))
            .filter(|subscriber| {
                subscriber.lease_remaining.is_none() || subscriber.acknowledged < due
            })
            .collect();
        lagging.sort_by_key(|subscriber| subscriber.since_heartbeat);
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
