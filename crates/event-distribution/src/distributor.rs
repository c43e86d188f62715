//! The feeding side of a relay or a publisher: subscribers, the batches and snapshots they get, and their leases.

use crate::budget::Budget;
use crate::counters::{Counters, RejectReason};
use crate::event::{Epoch, Event, LogPosition, Position};
use crate::leases::{Holder, Leases};
use crate::log::{EventLog, Next};
use crate::output::{Notice, Output};
use crate::purges::Cursor;
use crate::settings::{DistributionSettings, RelayLimits, MILLISECOND};
use crate::status::{DistributorStatus, LaggingSubscriber};
use crate::wire::{self, Batch, Body, Busy, Grant, Heartbeat, Packer, SnapshotPart, SnapshotPlace};
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Datagrams of events that one subscriber gets at once, and events that may be under way to it.
const BATCHES_AT_ONCE: usize = 16;
const UNACKNOWLEDGED_MOST: u64 = 8_192;
/// Parts of a snapshot that are sent for one request.
const PARTS_AT_ONCE: usize = 16;
/// A subscriber that was not heard for so many leases is forgotten.
const FORGET_AFTER_LEASES: Micros = 4;
/// When those that find no room are to come again: spread over this span, by their names.
const RETRY_LEAST_MS: u64 = 100;
const RETRY_SPREAD_MS: u64 = 900;
/// Late subscribers that are named in a status.
const LATE_MOST: usize = 32;

/// What a member can hand on at this moment.
pub struct Supply<'a> {
    pub log: &'a EventLog,
    /// The longest lease that may be granted now.
    pub lease: Micros,
    /// Members between the publisher and this one.
    pub hops: u32,
}

/// One subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Subscription {
    incarnation: u64,
    address: SocketAddr,
    /// The last heartbeat.
    request: u32,
    heard: Micros,
    /// It has applied everything up to here; none while it fetches its first snapshot.
    at: Option<LogPosition>,
    acknowledged: Option<LogPosition>,
    /// What was sent to it.
    sent: Option<LogPosition>,
    /// The last heartbeat has not been answered since then.
    unanswered_since: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Distributor {
    plan: DistributionSettings,
    relay: RelayLimits,
    subscriptions: BTreeMap<String, Subscription>,
    leases: Leases,
    joins: Budget,
    snapshot_bytes: Budget,
    pub counters: Counters,
}

impl Distributor {
    pub fn new(plan: DistributionSettings, relay: RelayLimits, now: Micros) -> Distributor {
        Distributor {
            joins: Budget::new(relay.joins_per_second, now),
            snapshot_bytes: Budget::new(relay.snapshot_bytes_per_second, now),
            plan,
            relay,
            subscriptions: BTreeMap::new(),
            leases: Leases::default(),
            counters: Counters::default(),
        }
    }

    /// Everything up to here has been applied by this member and by all that hold a lease of it. Whoever is behind gets
    /// no lease from now on. Those that wait for their first lease and do not lag are not put behind by it: else none
    /// would come up with a log that grows with each batch.
    pub fn report(&mut self, now: Micros, log: &EventLog, own: LogPosition) -> LogPosition {
        let due = log.reached_by(now - self.plan.max_lag);
        let waiting = self
            .subscriptions
            .values()
            .filter(|subscription| subscription.is_live(now, &self.plan));
        let waiting =
            waiting.filter(|subscription| due.is_none_or(|due| subscription.at >= Some(due)));
        let least = waiting
            .filter_map(|subscription| subscription.acknowledged)
            .fold(own, LogPosition::min);
        self.leases.report(least)
    }

    /// Before the first lease: whoever is behind this gets none.
    pub fn bar_behind(&mut self, at: LogPosition) {
        self.leases.report(at);
    }

    /// A heartbeat of a subscriber. The epoch that it is in, or one that it feeds, where that is later than the one here.
    pub fn heartbeat(
        &mut self,
        now: Micros,
        heartbeat: Heartbeat,
        supply: &Supply,
        out: &mut Vec<Output>,
    ) -> Result<Option<Epoch>, RejectReason> {
        let address: SocketAddr = heartbeat
            .address
            .parse()
            .map_err(|_| RejectReason::OutOfBounds)?;
        let Some(head) = supply.log.position() else {
            self.refuse(&heartbeat, address, false, out);
            return Ok(None);
        };
        if !self.subscriptions.contains_key(&heartbeat.name) {
            self.admit(now, &heartbeat, address, out)?;
        }
        let later = Some(Epoch(heartbeat.later_epoch)).filter(|later| *later > head.epoch);
        let Some(subscription) = self.subscriptions.get_mut(&heartbeat.name) else {
            return Ok(None);
        };
        let at = heartbeat.at.map(LogPosition::from);
        if at.is_some_and(|at| at.epoch == head.epoch && at.position > head.position) {
            // It is ahead of a relay that lags; of a publisher nobody is. Nothing of it is believed, or leased to it.
            self.answer_without_lease(&heartbeat, address, head, supply.hops, out);
            return Err(RejectReason::AheadOfLog);
        }
        subscription.renew(now, &heartbeat, address)?;
        self.counters.resend_requests += u64::from(heartbeat.gap);
        let holder = Holder {
            name: heartbeat.name.clone(),
            incarnation: heartbeat.incarnation,
        };
        if let Some(acknowledged) = subscription.acknowledged {
            self.leases.acknowledge(&holder, acknowledged);
        }
        let Some(at) = subscription.at.filter(|_| !heartbeat.snapshot) else {
            self.send_snapshot(now, &heartbeat, address, supply.log, out);
            return Ok(later);
        };
        match supply.log.next_after(at) {
            Next::Missing => self.send_snapshot(now, &heartbeat, address, supply.log, out),
            Next::Ahead => return Ok(later.max(Some(at.epoch))),
            Next::Batch { .. } | Next::Epoch { .. } | Next::UpToDate => {}
        }
        Ok(later)
    }

    fn answer_without_lease(
        &mut self,
        heartbeat: &Heartbeat,
        to: SocketAddr,
        head: LogPosition,
        hops: u32,
        out: &mut Vec<Output>,
    ) {
        let grant = Grant {
            request: heartbeat.request,
            lease_us: 0,
            hops,
        };
        self.send(
            to,
            Body::Batch(empty_batch(head, head.position, Some(grant))),
            out,
        );
    }

    /// Takes in a new subscriber, or tells it when to come again.
    fn admit(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        address: SocketAddr,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        if self.subscriptions.len() >= self.relay.max_subscribers {
            self.refuse(heartbeat, address, true, out);
            return Err(RejectReason::Full);
        }
        if !self.joins.take(now, 1) {
            self.refuse(heartbeat, address, false, out);
            return Ok(());
        }
        let subscription = Subscription {
            incarnation: heartbeat.incarnation,
            address,
            request: 0,
            heard: now,
            at: None,
            acknowledged: None,
            sent: None,
            unanswered_since: None,
        };
        self.subscriptions
            .insert(heartbeat.name.clone(), subscription);
        Ok(())
    }

    fn refuse(
        &mut self,
        heartbeat: &Heartbeat,
        address: SocketAddr,
        full: bool,
        out: &mut Vec<Output>,
    ) {
        self.counters.busy += 1;
        let spread =
            meadowrill_membership::rings::hash(&heartbeat.name, u64::from(heartbeat.request));
        let retry_ms = (RETRY_LEAST_MS + spread % RETRY_SPREAD_MS) as u32;
        self.send(
            address,
            Body::Busy(Busy {
                request: heartbeat.request,
                retry_ms,
                full,
            }),
            out,
        );
    }

    /// Sends some parts of what still binds, from where the subscriber has come so far.
    fn send_snapshot(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        to: SocketAddr,
        log: &EventLog,
        out: &mut Vec<Output>,
    ) {
        let mut cursor = heartbeat
            .cursor
            .filter(|_| heartbeat.snapshot)
            .and_then(SnapshotPlace::cursor);
        for number in 0..PARTS_AT_ONCE {
            let part = snapshot_part(log, cursor, heartbeat.request, number + 1 == PARTS_AT_ONCE);
            if !self.snapshot_bytes.take(now, part.events.len() as u64) {
                return self.refuse(heartbeat, to, false, out);
            }
            cursor = part.next.and_then(SnapshotPlace::cursor);
            let last = part.next.is_none();
            self.counters.snapshots += u64::from(last);
            self.send(to, Body::SnapshotPart(part), out);
            if last {
                break;
            }
        }
        if let Some(subscription) = self.subscriptions.get_mut(&heartbeat.name) {
            subscription.unanswered_since = None;
        }
    }

    /// Sends what subscribers lack, and the answers to their heartbeats with it.
    pub fn flush(&mut self, now: Micros, supply: &Supply, out: &mut Vec<Output>) {
        let names: Vec<String> = self.subscriptions.keys().cloned().collect();
        for name in names {
            self.feed(now, &name, supply, out);
        }
    }

    fn feed(&mut self, now: Micros, name: &str, supply: &Supply, out: &mut Vec<Output>) {
        let Some(head) = supply.log.position() else {
            return;
        };
        let Some(mut subscription) = self.subscriptions.remove(name) else {
            return;
        };
        if subscription.is_live(now, &self.plan) {
            let mut sent_any = false;
            for _ in 0..BATCHES_AT_ONCE {
                let Some(mut batch) = subscription.next_batch(now, supply.log, head) else {
                    break;
                };
                if !sent_any {
                    batch.grant = self.grant(now, name, &mut subscription, supply);
                }
                sent_any = true;
                self.counters.batches += 1;
                self.send(subscription.address, Body::Batch(batch), out);
            }
            let waited = subscription
                .unanswered_since
                .is_some_and(|since| now >= since + self.plan.batch_interval / 2);
            if !sent_any && waited {
                let grant = self.grant(now, name, &mut subscription, supply);
                let place = subscription.sent.filter(|sent| sent.epoch == head.epoch);
                let first = place.map_or(head.position, |sent| sent.position.min(head.position));
                self.send(
                    subscription.address,
                    Body::Batch(empty_batch(head, first, grant)),
                    out,
                );
            }
        }
        self.subscriptions.insert(name.to_string(), subscription);
    }

    /// The answer to the last heartbeat: with a lease, if the subscriber is far enough.
    fn grant(
        &mut self,
        now: Micros,
        name: &str,
        subscription: &mut Subscription,
        supply: &Supply,
    ) -> Option<Grant> {
        subscription.unanswered_since.take()?;
        let span = supply.lease.min(self.plan.lease_duration);
        let admitted = span > 0 && self.is_far_enough(now, subscription, supply.log);
        let lease = if admitted { span } else { 0 };
        if let Some(acknowledged) = subscription.acknowledged.filter(|_| admitted) {
            let holder = Holder {
                name: name.into(),
                incarnation: subscription.incarnation,
            };
            self.leases
                .grant(holder, acknowledged, now + self.plan.with_drift(span));
        }
        let lease_us = u32::try_from(lease).unwrap_or(u32::MAX);
        Some(Grant {
            request: subscription.request,
            lease_us,
            hops: supply.hops,
        })
    }

    fn is_far_enough(&self, now: Micros, subscription: &Subscription, log: &EventLog) -> bool {
        let (Some(at), Some(acknowledged)) = (subscription.at, subscription.acknowledged) else {
            return false;
        };
        let known = matches!(
            log.next_after(at),
            Next::Batch { .. } | Next::UpToDate | Next::Epoch { .. }
        );
        let due = log.reached_by(now - self.plan.max_lag);
        known && due.is_none_or(|due| at >= due) && self.leases.admits(acknowledged)
    }

    /// Drops leases that are over, and subscribers that have gone.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        for holder in self.leases.expire(now) {
            self.counters.expired_leases += 1;
            out.push(Output::Notice(Notice::SubscriberLeaseExpired {
                name: holder.name,
            }));
        }
        let patience = FORGET_AFTER_LEASES * self.plan.lease_duration;
        self.subscriptions
            .retain(|_, subscription| now < subscription.heard + patience);
    }

    fn send(&mut self, to: SocketAddr, body: Body, out: &mut Vec<Output>) {
        let bytes = wire::encode(self.plan.fleet, body);
        self.counters.record_sent(bytes.len());
        out.push(Output::Send { to, bytes });
    }

    pub fn status(
        &self,
        now: Micros,
        log: &EventLog,
        done: Option<LogPosition>,
    ) -> DistributorStatus {
        let head = log.position().unwrap_or_default();
        let mut late: Vec<LaggingSubscriber> = self
            .subscriptions
            .iter()
            .map(|(name, subscription)| self.fed_status(now, name, subscription))
            .filter(|fed| {
                fed.lease_remaining.is_none()
                    || fed.acknowledged < log.reached_by(now - self.plan.max_lag)
            })
            .collect();
        late.sort_by_key(|fed| fed.since_heartbeat);
        late.truncate(LATE_MOST);
        DistributorStatus {
            head,
            acknowledged: self.leases.least(head),
            in_force: done,
            subscribers: self.subscriptions.len(),
            leases: self.leases.len(),
            lagging: late,
            purges: log.purges.len(),
            purge_floor: log.purges.floor(),
            window_bytes: log.window_bytes(),
            counters: self.counters.clone(),
        }
    }

    fn fed_status(
        &self,
        now: Micros,
        name: &str,
        subscription: &Subscription,
    ) -> LaggingSubscriber {
        let holder = Holder {
            name: name.into(),
            incarnation: subscription.incarnation,
        };
        LaggingSubscriber {
            name: name.into(),
            acknowledged: subscription.acknowledged,
            lease_remaining: self
                .leases
                .until(&holder)
                .map(|until| until - now)
                .filter(|left| *left > 0),
            since_heartbeat: now - subscription.heard,
        }
    }
}

impl Subscription {
    /// What a heartbeat says, if it is a newer one.
    fn renew(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        address: SocketAddr,
    ) -> Result<(), RejectReason> {
        if heartbeat.incarnation < self.incarnation {
            return Err(RejectReason::OldIncarnation);
        }
        if heartbeat.incarnation > self.incarnation {
            (self.incarnation, self.request) = (heartbeat.incarnation, 0);
            (self.at, self.acknowledged, self.sent) = (None, None, None);
        }
        if heartbeat.request <= self.request {
            // A copy of an earlier one, or overtaken on the way.
            return Err(RejectReason::Unexpected);
        }
        let at = heartbeat.at.map(LogPosition::from);
        if at < self.at {
            return Err(RejectReason::PositionRegressed);
        }
        (self.request, self.heard, self.address) = (heartbeat.request, now, address);
        self.at = at;
        self.acknowledged = heartbeat.acknowledged.map(LogPosition::from).or(at);
        self.unanswered_since = Some(now);
        if self.sent < at {
            // It has more than was sent to it: by another relay, or by a snapshot.
            self.sent = at;
        }
        if heartbeat.gap {
            self.sent = at;
        }
        Ok(())
    }

    fn is_live(&self, now: Micros, plan: &DistributionSettings) -> bool {
        self.at.is_some() && now < self.heard + plan.lease_duration
    }

    /// What is to be sent to it next, taken as sent.
    fn next_batch(&mut self, now: Micros, log: &EventLog, head: LogPosition) -> Option<Batch> {
        let (sent, at) = (self.sent?, self.at?);
        if sent.epoch == at.epoch && sent.position >= at.position + UNACKNOWLEDGED_MOST {
            return None;
        }
        match log.next_after(sent) {
            Next::Batch {
                epoch,
                follows,
                batch,
            } => {
                self.sent = Some(LogPosition {
                    epoch,
                    position: batch.end(),
                });
                let follows = follows.filter(|_| batch.first == 0).map(Into::into);
                // Of a former epoch all that is kept is told: whoever reads it learns of the next one by itself.
                let known = if epoch == head.epoch {
                    head.position
                } else {
                    batch.end()
                };
                let (first, events) = (batch.first, batch.bytes.clone());
                let age_ms = u32::try_from((now - batch.at) / MILLISECOND).unwrap_or(0);
                Some(Batch {
                    epoch: epoch.0,
                    first,
                    head: known,
                    events,
                    grant: None,
                    follows,
                    age_ms,
                })
            }
            Next::Epoch { epoch, follows } => {
                self.sent = Some(LogPosition { epoch, position: 0 });
                let head = if epoch == head.epoch {
                    head.position
                } else {
                    0
                };
                let start = empty_batch(
                    LogPosition {
                        epoch,
                        position: head,
                    },
                    0,
                    None,
                );
                Some(Batch {
                    follows: Some(follows.into()),
                    ..start
                })
            }
            Next::UpToDate | Next::Missing | Next::Ahead => None,
        }
    }
}

/// No events: tells up to where all has been sent, and brings a grant.
fn empty_batch(head: LogPosition, first: Position, grant: Option<Grant>) -> Batch {
    let LogPosition { epoch, position } = head;
    Batch {
        epoch: epoch.0,
        first,
        head: position,
        events: Vec::new(),
        grant,
        follows: None,
        age_ms: 0,
    }
}

/// One part of a snapshot, from behind a place on.
fn snapshot_part(
    log: &EventLog,
    after: Option<Cursor>,
    request: u32,
    paused: bool,
) -> SnapshotPart {
    let mut packer = Packer::default();
    let mut last = after;
    let mut more = false;
    for purge in log.purges.after(after) {
        if !packer.push(&Event::Purge(purge)) {
            more = true;
            break;
        }
        last = Some((purge.timestamp, purge.key));
    }
    SnapshotPart {
        at: log.position().map(Into::into),
        after: after.map(SnapshotPlace::of),
        next: last.filter(|_| more).map(SnapshotPlace::of),
        events: packer.finish(),
        floor: log.purges.floor(),
        paused: paused && more,
        request,
    }
}

/// How long a lease of `left` may be handed on, so that it ends before this member's own by any clock.
pub fn lease_to_hand_on(plan: &DistributionSettings, left: Micros) -> Micros {
    (left - left * plan.clock_drift_per_mille / 1000 - MILLISECOND).max(0)
}
