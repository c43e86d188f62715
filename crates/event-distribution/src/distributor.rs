//! The serving side of a relay or a publisher: it answers the heartbeats of subscribers with events, snapshots and
//! leases.
//!
//! Invariants:
//! - No subscriber that is behind the position reported upstream gets a lease (`lease_table`).
//! - No lease is longer than [`FeedSource::max_lease`].
//! - A reported position beyond the own log is not accepted.

mod admission;
mod leasing;
mod snapshot;
mod status;
mod subscription;

use crate::counters::{Counters, RejectReason};
use crate::event::{Epoch, LogPosition, Position};
use crate::event_log::{EventLog, NextInLog};
use crate::lease_table::{LeaseHolder, LeaseTable};
use crate::output::{Notice, Output};
use crate::settings::{DistributionSettings, RelayLimits};
use crate::time::Micros;
use crate::token_bucket::TokenBucket;
use crate::wire::{self, Batch, Body, Heartbeat, LeaseGrant};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use subscription::Subscription;

/// Maximum number of batches that one subscriber is sent at once.
const MAX_BATCHES_AT_ONCE: usize = 16;
/// A subscriber is removed after this many lease durations without a heartbeat.
const SUBSCRIBER_TIMEOUT_LEASES: Micros = 4;

/// The log from which a member currently serves its subscribers, and the limit on its leases.
pub(crate) struct FeedSource<'a> {
    pub(crate) log: &'a EventLog,
    /// Maximum duration of a lease that is granted now.
    pub(crate) max_lease: Micros,
    /// Distance of this member from the publisher, in hops.
    pub(crate) hops: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Distributor {
    settings: DistributionSettings,
    limits: RelayLimits,
    subscriptions: BTreeMap<String, Subscription>,
    leases: LeaseTable,
    joins: TokenBucket,
    snapshot_bytes: TokenBucket,
    pub(crate) counters: Counters,
}

impl Distributor {
    pub(crate) fn new(
        settings: DistributionSettings,
        limits: RelayLimits,
        now: Micros,
    ) -> Distributor {
        Distributor {
            joins: TokenBucket::new(limits.joins_per_second, now),
            snapshot_bytes: TokenBucket::new(limits.snapshot_bytes_per_second, now),
            settings,
            limits,
            subscriptions: BTreeMap::new(),
            leases: LeaseTable::default(),
            counters: Counters::default(),
        }
    }

    /// Handles a heartbeat of a subscriber. Returns the epoch of the subscriber, or of one that the subscriber serves,
    /// if it is newer than the epoch of this member.
    pub(crate) fn receive_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        source: &FeedSource,
        out: &mut Vec<Output>,
    ) -> Result<Option<Epoch>, RejectReason> {
        let address: SocketAddr = heartbeat
            .address
            .parse()
            .map_err(|_| RejectReason::OutOfBounds)?;
        let Some(head) = source.log.position() else {
            self.send_busy(heartbeat, address, false, out);
            return Ok(None);
        };
        if !self.subscriptions.contains_key(&heartbeat.name) {
            self.admit(now, heartbeat, address, out)?;
        }
        let Some(subscription) = self.subscriptions.get_mut(&heartbeat.name) else {
            return Ok(None);
        };
        let reported = heartbeat.position.map(LogPosition::from);
        if reported.is_some_and(|at| at.epoch == head.epoch && at.position > head.position) {
            // A subscriber may be ahead of a relay that lags, but never ahead of the publisher. The reported position
            // is rejected, and no lease is granted.
            self.answer_without_lease(heartbeat, address, head, source.hops, out);
            return Err(RejectReason::AheadOfLog);
        }
        subscription.record_heartbeat(now, heartbeat, address)?;
        let (position, acknowledged) = (subscription.position(), subscription.acknowledged());
        self.counters.resend_requests += u64::from(heartbeat.resend);
        if let Some(acknowledged) = acknowledged {
            let holder = LeaseHolder::new(&heartbeat.name, heartbeat.incarnation);
            self.leases.acknowledge(&holder, acknowledged);
        }
        let newer_epoch = Some(Epoch(heartbeat.newer_epoch)).filter(|newer| *newer > head.epoch);
        let continues_from = position.filter(|_| !heartbeat.fetching_snapshot);
        match continues_from.map(|position| (position, source.log.next_after(position))) {
            Some((position, NextInLog::Ahead)) => return Ok(newer_epoch.max(Some(position.epoch))),
            None | Some((_, NextInLog::Missing)) => {
                self.send_snapshot(now, heartbeat, address, source.log, out);
            }
            // The next flush sends the events and the answer.
            Some(_) => {}
        }
        Ok(newer_epoch)
    }

    fn answer_without_lease(
        &mut self,
        heartbeat: &Heartbeat,
        to: SocketAddr,
        head: LogPosition,
        hops: u32,
        out: &mut Vec<Output>,
    ) {
        let grant = LeaseGrant {
            request: heartbeat.request,
            lease_micros: 0,
            hops,
        };
        let batch = empty_batch(head, head.position, Some(grant));
        self.send(to, Body::Batch(batch), out);
    }

    /// Sends the missing events to all subscribers, together with the answers to their heartbeats.
    pub(crate) fn flush(&mut self, now: Micros, source: &FeedSource, out: &mut Vec<Output>) {
        let Some(head) = source.log.position() else {
            return;
        };
        // The subscriptions are moved out of `self`, because serving them needs all other fields of this member.
        let mut subscriptions = std::mem::take(&mut self.subscriptions);
        for (name, subscription) in &mut subscriptions {
            if subscription.is_live(now, &self.settings) {
                self.serve(now, name, subscription, head, source, out);
            }
        }
        self.subscriptions = subscriptions;
    }

    fn serve(
        &mut self,
        now: Micros,
        name: &str,
        subscription: &mut Subscription,
        head: LogPosition,
        source: &FeedSource,
        out: &mut Vec<Output>,
    ) {
        let mut sent_any = false;
        for _ in 0..MAX_BATCHES_AT_ONCE {
            let Some(mut batch) = subscription.next_batch(now, source.log, head) else {
                break;
            };
            if !sent_any {
                batch.grant = self.answer(now, name, subscription, source);
            }
            sent_any = true;
            self.counters.batches += 1;
            self.send(subscription.address(), Body::Batch(batch), out);
        }
        let answer_delay = self.settings.batch_interval / 2;
        if !sent_any && subscription.is_answer_due(now, answer_delay) {
            let grant = self.answer(now, name, subscription, source);
            let first = subscription.sent_in(head);
            let batch = empty_batch(head, first, grant);
            self.send(subscription.address(), Body::Batch(batch), out);
        }
    }

    /// Removes expired leases and subscribers that no longer send heartbeats.
    pub(crate) fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        for holder in self.leases.expire(now) {
            self.counters.expired_leases += 1;
            let name = holder.name;
            out.push(Output::Notice(Notice::SubscriberLeaseExpired { name }));
        }
        let timeout = SUBSCRIBER_TIMEOUT_LEASES * self.settings.lease_duration;
        self.subscriptions
            .retain(|_, subscription| now < subscription.last_heartbeat_at() + timeout);
    }

    fn send(&mut self, to: SocketAddr, body: Body, out: &mut Vec<Output>) {
        let bytes = wire::encode(self.settings.fleet, body);
        self.counters.record_sent(bytes.len());
        out.push(Output::Send { to, bytes });
    }
}

/// A batch without events, which shows the position up to which all events have been sent, and carries a grant.
fn empty_batch(head: LogPosition, first: Position, grant: Option<LeaseGrant>) -> Batch {
    Batch {
        epoch: head.epoch.0,
        first,
        head: head.position,
        events: Vec::new(),
        grant,
        continues_from: None,
        age_ms: 0,
    }
}
