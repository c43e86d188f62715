//! Which subscribers get a lease, and what all that hold one have applied.

use super::subscription::Subscription;
use super::{Distributor, FeedSource};
use crate::event::LogPosition;
use crate::event_log::{EventLog, NextInLog};
use crate::lease_table::LeaseHolder;
use crate::time::Micros;
use crate::wire::LeaseGrant;

impl Distributor {
    /// Everything up to here has been applied by this member and by all lease holders. A subscriber that is behind gets
    /// no lease from now on. Those that wait for their first lease and do not lag are not put behind by it: otherwise
    /// none would get one with a log that grows with each batch.
    pub(crate) fn report_acknowledged(
        &mut self,
        now: Micros,
        log: &EventLog,
        own: LogPosition,
    ) -> LogPosition {
        let due = log.reached_by(now - self.settings.max_lag);
        let least = self
            .subscriptions
            .values()
            .filter(|subscription| subscription.is_live(now, &self.settings))
            .filter(|subscription| due.is_none_or(|due| subscription.position() >= Some(due)))
            .filter_map(Subscription::acknowledged)
            .fold(own, LogPosition::min);
        self.leases.report(least)
    }

    /// No subscriber behind this position gets a lease from now on.
    pub(crate) fn require_for_lease(&mut self, position: LogPosition) {
        self.leases.report(position);
    }

    /// The answer to the last heartbeat: with a lease, if the subscriber has come far enough; none where it was answered.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        name: &str,
        subscription: &mut Subscription,
        source: &FeedSource,
    ) -> Option<LeaseGrant> {
        let request = subscription.take_unanswered()?;
        let span = source.max_lease.min(self.settings.lease_duration);
        let holds = if span > 0 {
            self.eligible_position(now, subscription, source.log)
        } else {
            None
        };
        if let Some(acknowledged) = holds {
            let holder = LeaseHolder::new(name, subscription.incarnation());
            let expires_at = now + self.settings.with_drift(span);
            self.leases.grant(holder, acknowledged, expires_at);
        }
        let lease = if holds.is_some() { span } else { 0 };
        Some(LeaseGrant {
            request,
            lease_micros: u32::try_from(lease).unwrap_or(u32::MAX),
            hops: source.hops,
        })
    }

    /// What a subscriber has acknowledged, where that is enough for a lease.
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
        let due = log.reached_by(now - self.settings.max_lag);
        let lags = due.is_some_and(|due| position < due);
        (is_known && !lags && self.leases.admits(acknowledged)).then_some(acknowledged)
    }
}
