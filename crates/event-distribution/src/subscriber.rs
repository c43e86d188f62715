//! The following side: a proxy, or a relay towards the one that feeds it. It sends heartbeats to one relay, applies the
//! events that come back in order, and chooses another relay where that one fails.
//!
//! Invariants:
//! - `log` holds everything up to its position; the position never goes back.
//! - While there is no lease the age of copies is bounded ([`Subscriber::freshness_bound`]).
//! - An expired lease is noticed before a datagram is handled.

mod batches;
mod heartbeat;
mod lease;
mod relay_selection;
mod snapshot;

use crate::counters::{Counters, RejectReason};
use crate::event::{Epoch, LogPosition};
use crate::event_log::EventLog;
use crate::jitter::Jitter;
use crate::output::{Notice, Output};
use crate::purge_set::PurgeSet;
use crate::reorder_buffer::ReorderBuffer;
use crate::settings::{DistributionSettings, Identity};
use crate::snapshot_fetch::SnapshotFetch;
use crate::status::SubscriberStatus;
use crate::time::Micros;
use crate::wire::{self, Body, Busy, Heartbeat};
use heartbeat::HeartbeatSchedule;
use lease::Lease;
use relay_selection::RelaySelection;

/// Longest wait that a relay's Retry-After can bring about.
const MAX_RETRY_AFTER: Micros = 10 * crate::time::SECOND;

/// What copies may be served: none issued before a moment, and none older than a span. No bound where both are none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FreshnessBound {
    /// A timestamp in Unix microseconds: purges up to it were dropped for room.
    pub not_before: Option<Micros>,
    /// Set while there is no lease: purges may be missing.
    pub max_age: Option<Micros>,
}

/// What the subscriber is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    Proxy,
    Relay,
}

/// The state of one subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Subscriber {
    settings: DistributionSettings,
    identity: Identity,
    role: Role,
    relays: RelaySelection,
    pub(crate) log: EventLog,
    /// The last position that a relay has announced.
    relay_head: Option<LogPosition>,
    /// Of a relay: what all that it feeds have applied.
    pub(crate) acknowledged: Option<LogPosition>,
    /// Of a relay: the latest epoch, newer than its own, that a subscriber was in. The publisher has to learn of it: its
    /// clock is behind.
    pub(crate) newer_epoch: Option<Epoch>,
    /// Members between the publisher and this one.
    hops: u32,
    lease: Lease,
    heartbeats: HeartbeatSchedule,
    reorder_buffer: ReorderBuffer,
    fetch: Option<SnapshotFetch>,
    /// The last snapshot may hold events up to here, and more than all up to the own position.
    snapshot_reaches: Option<LogPosition>,
    jitter: Jitter,
    pub(crate) counters: Counters,
}

impl Subscriber {
    /// A proxy's, which stores no window for others.
    pub fn new(
        settings: DistributionSettings,
        identity: Identity,
        now: Micros,
        seed: u64,
    ) -> Subscriber {
        Subscriber::with_role(settings, identity, Role::Proxy, 0, now, seed)
    }

    pub(crate) fn with_role(
        settings: DistributionSettings,
        identity: Identity,
        role: Role,
        window_bytes: usize,
        now: Micros,
        seed: u64,
    ) -> Subscriber {
        let purges = PurgeSet::new(settings.max_purges, settings.purge_retention);
        let mut jitter = Jitter::new(seed);
        Subscriber {
            heartbeats: HeartbeatSchedule::new(now, &mut jitter),
            relays: RelaySelection::new(&settings, &identity, role, now, &mut jitter),
            role,
            log: EventLog::new(window_bytes, purges),
            relay_head: None,
            acknowledged: None,
            newer_epoch: None,
            hops: 0,
            lease: Lease::none_since(now),
            reorder_buffer: ReorderBuffer::default(),
            fetch: None,
            snapshot_reaches: None,
            jitter,
            counters: Counters::default(),
            settings,
            identity,
        }
    }

    /// Everything up to here has been applied.
    pub fn position(&self) -> Option<LogPosition> {
        self.log.position()
    }

    /// The own position, once all purges that are known are of events before it.
    pub(crate) fn complete_position(&self) -> Option<LogPosition> {
        self.log
            .position()
            .filter(|position| Some(*position) >= self.snapshot_reaches)
    }

    /// When the last part of a snapshot that is under way came.
    pub(crate) fn last_part_at(&self) -> Option<Micros> {
        self.fetch.as_ref().map(|_| self.relays.last_progress_at())
    }

    /// Whether there is a lease.
    pub fn has_lease(&self, now: Micros) -> bool {
        self.lease_remaining(now).is_some()
    }

    /// What is left of the lease, if there is one.
    pub fn lease_remaining(&self, now: Micros) -> Option<Micros> {
        self.lease.remaining(now)
    }

    /// Members between the publisher and this one.
    pub(crate) fn hops(&self) -> u32 {
        self.hops
    }

    /// What copies may be served now.
    pub fn freshness_bound(&self, now: Micros) -> FreshnessBound {
        let max_age = (!self.has_lease(now)).then_some(self.settings.max_copy_age);
        FreshnessBound {
            not_before: self.log.purges.floor(),
            max_age,
        }
    }

    /// When [`Subscriber::tick`] has to be called.
    pub fn next_wake(&self) -> Micros {
        let heartbeat = self.heartbeats.next_at();
        self.lease
            .next_expiry()
            .map_or(heartbeat, |expiry| expiry.min(heartbeat))
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.expire_lease(now, out);
        self.log.purges.expire(now);
        if now >= self.heartbeats.next_at() {
            self.choose_relay(now, out);
            self.send_heartbeat(now, out);
        }
    }

    fn expire_lease(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.lease.expire(now) {
            self.counters.expired_leases += 1;
            let relay = self.relays.current_name();
            out.push(Output::Notice(Notice::LeaseExpired { relay }));
        }
    }

    /// Another relay where this one fails, and now and then the preferred one again.
    fn choose_relay(&mut self, now: Micros, out: &mut Vec<Output>) {
        let unanswered = self.heartbeats.unanswered();
        let lease_remaining = self.lease_remaining(now);
        let next = self
            .relays
            .choose(now, &self.settings, unanswered, lease_remaining);
        if let Some(next) = next {
            self.change_relay(now, next, out);
        }
    }

    fn change_relay(&mut self, now: Micros, to: usize, out: &mut Vec<Output>) {
        let from = self.relays.current_name();
        self.relays.change(now, to, &mut self.jitter);
        self.counters.relay_changes += 1;
        self.heartbeats.relay_changed();
        let to = self.relays.current_name();
        out.push(Output::Notice(Notice::RelayChanged { from, to }));
    }

    fn send_heartbeat(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(to) = self.relays.current().map(|relay| relay.address) else {
            return;
        };
        let (request, resend) = self.heartbeats.begin(now);
        let snapshot_cursor = self.fetch.as_ref().and_then(|fetch| fetch.cursor);
        let heartbeat = Heartbeat {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            address: self.identity.address.to_string(),
            request,
            position: self.log.position().map(Into::into),
            acknowledged: self.acknowledged.map(Into::into),
            resend,
            snapshot_cursor: snapshot_cursor.map(Into::into),
            fetching_snapshot: self.fetch.is_some(),
            newer_epoch: self.newer_epoch.map_or(0, |epoch| epoch.0),
        };
        let relays = self.relays.len() as u32;
        self.heartbeats
            .schedule_retry(now, &self.settings, relays, &mut self.jitter);
        let bytes = wire::encode(self.settings.fleet, Body::Heartbeat(heartbeat));
        self.counters.record_sent(bytes.len());
        out.push(Output::Send { to, bytes });
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        match wire::decode(self.settings.fleet, bytes) {
            Ok(body) => self.receive_body(now, body, bytes.len(), out),
            Err(reason) => self.counters.reject(reason),
        }
    }

    pub(crate) fn receive_body(
        &mut self,
        now: Micros,
        body: Body,
        bytes: usize,
        out: &mut Vec<Output>,
    ) {
        self.counters.record_received(bytes);
        // A process that was stopped has to notice that before it acts on anything.
        self.expire_lease(now, out);
        let former_floor = self.log.purges.floor();
        let received = match body {
            Body::Batch(batch) => self.receive_batch(now, batch, out),
            Body::SnapshotPart(part) => self.receive_part(now, part, out),
            Body::Busy(busy) => self.receive_busy(now, busy, out),
            Body::Heartbeat(_) => Err(RejectReason::Unexpected),
        };
        if let Err(reason) = received {
            self.counters.reject(reason);
        }
        let floor = self.log.purges.floor();
        if let Some(floor) = floor.filter(|floor| Some(*floor) > former_floor) {
            out.push(Output::Notice(Notice::PurgeFloorRaised { floor }));
        }
    }

    /// The relay cannot serve this one now: Retry-After, or another relay.
    fn receive_busy(
        &mut self,
        now: Micros,
        busy: Busy,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        self.heartbeats.take_answered(busy.request)?;
        if self.relays.len() > 1 && (busy.full || self.relays.has_former_grantor()) {
            let next = self.relays.next_relay();
            self.change_relay(now, next, out);
        }
        let retry_after = Micros::from(busy.retry_after_ms) * crate::time::MILLISECOND;
        let wait = retry_after.clamp(self.settings.retry_interval, MAX_RETRY_AFTER);
        self.heartbeats.schedule_at(now + wait);
        Ok(())
    }

    /// Its state, for operators.
    pub fn status(&self, now: Micros) -> SubscriberStatus {
        SubscriberStatus {
            relay: self.relays.current_name(),
            position: self.log.position(),
            relay_head: self.relay_head,
            lease_remaining: self.lease_remaining(now),
            fetching_snapshot: self.fetch.is_some(),
            purges: self.log.purges.len(),
            purge_floor: self.log.purges.floor(),
            counters: self.counters.clone(),
        }
    }
}
