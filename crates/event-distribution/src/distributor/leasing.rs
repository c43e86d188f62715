//! Granting of leases, and the position that all lease holders have applied.

use super::subscription::Subscription;
use super::{Distributor, FeedSource};
use crate::event::LogPosition;
use crate::event_log::{EventLog, NextInLog};
use crate::lease_table::LeaseHolder;
use crate::time::Micros;
use crate::wire::LeaseGrant;

impl Distributor {
    /// Returns the position that this member and all lease holders have applied. From now on, a subscriber that is
    /// behind it gets no lease. Subscribers that wait for their first lease and do not lag are included in the minimum:
    /// otherwise none of them would get a lease while the log grows with each batch.
    pub(crate) fn report_acknowledged(
        &mut self,
        now: Micros,
        log: &EventLog,
        own: LogPosition,
    ) -> LogPosition {
        let due = log.position_at(now - self.settings.max_lag);
        let least = self
            .subscriptions
            .values()
            .filter(|subscription| subscription.is_live(now, &self.settings))
            .filter(|subscription| due.is_none_or(|due| subscription.position() >= Some(due)))
            .filter_map(Subscription::acknowledged)
            .fold(own, LogPosition::min);
        self.leases.report(least)
    }

    /// From now on, a subscriber that is behind this position gets no lease.
    pub(crate) fn require_for_lease(&mut self, position: LogPosition) {
        self.leases.report(position);
    }

    /// The answer to the last heartbeat, with a lease if the subscriber is eligible. `None` if the heartbeat has been
    /// answered.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        name: &str,
        subscription: &mut Subscription,
        source: &FeedSource,
    ) -> Option<LeaseGrant> {
        let request = subscription.mark_answered()?;
        let duration = source.max_lease.min(self.settings.lease_duration);
        let eligible = if duration > 0 {
            self.eligible_position(now, subscription, source.log)
        } else {
            None
        };
        if let Some(acknowledged) = eligible {
            let holder = LeaseHolder::new(name, subscription.incarnation());
            let expires_at = now + self.settings.with_drift(duration);
            self.leases.grant(holder, acknowledged, expires_at);
        }
        let lease = if eligible.is_some() { duration } else { 0 };
        Some(LeaseGrant {
            request,
            lease_micros: u32::try_from(lease).unwrap_or(u32::MAX),
            hops: source.hops,
        })
    }

    /// The position that the subscriber has acknowledged, if it is eligible for a lease.
    fn eligible_position(
        &self,
        now: Micros,
        subscription: &Subscription,
        log: &EventLog,
    ) -> Option<LogPosition> {
        let position = subscription.position()?;
        let acknowledged = subscription.acknowledged()?;
        let is_known = matches!(
            log.next_after(position),
            NextInLog::Batch { .. } | NextInLog::UpToDate | NextInLog::EpochStart { .. }
        );
        let due = log.position_at(now - self.settings.max_lag);
        let is_lagging = due.is_some_and(|due| position < due);
        (is_known && !is_lagging && self.leases.admits(acknowledged)).then_some(acknowledged)
    }
}
