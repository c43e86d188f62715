//! The subscription of a proxy, or of a relay to the member that serves it. A subscriber sends heartbeats to one relay,
//! applies the events that it receives in order, and chooses another relay when that one fails.
//!
//! Invariants:
//! - `log` contains everything up to its position, and the position never goes back.
//! - Without a lease, the age of copies is bounded ([`Subscriber::freshness_bound`]).
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

/// Maximum wait for the Retry-After of a relay.
const MAX_RETRY_AFTER: Micros = 10 * crate::time::SECOND;

/// Bound on the copies that may be served. Without either value, there is no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FreshnessBound {
    /// Copies from before this timestamp, in Unix microseconds, are refused: purges up to it may be missing, because
    /// they were dropped to stay within the bound or never reached the publisher.
    pub not_before: Option<Micros>,
    /// Maximum age of a copy. Set while there is no lease, because purges may be missing.
    pub max_age: Option<Micros>,
}

/// The kind of member that the subscriber belongs to.
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
    /// Relay only: everything up to here has been applied by all subscribers that it serves.
    pub(crate) acknowledged: Option<LogPosition>,
    /// Relay only: the latest epoch of a subscriber that is newer than the relay's own. The relay reports it to the
    /// publisher, whose clock is behind.
    pub(crate) newer_epoch: Option<Epoch>,
    /// Distance from the publisher, in hops.
    hops: u32,
    lease: Lease,
    heartbeats: HeartbeatSchedule,
    reorder_buffer: ReorderBuffer,
    fetch: Option<SnapshotFetch>,
    /// The last snapshot may contain events up to here, some of them after the own position.
    snapshot_max_position: Option<LogPosition>,
    jitter: Jitter,
    pub(crate) counters: Counters,
}

impl Subscriber {
    /// Creates the subscriber of a proxy, which stores no window for others.
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
            snapshot_max_position: None,
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

    /// The own position, if no known purge may belong to a later event.
    pub(crate) fn complete_position(&self) -> Option<LogPosition> {
        self.log
            .position()
            .filter(|position| Some(*position) >= self.snapshot_max_position)
    }

    /// While a snapshot is being fetched: when its last part arrived, the last lease was granted or the relay was
    /// changed.
    pub(crate) fn last_part_at(&self) -> Option<Micros> {
        self.fetch.as_ref().map(|_| self.relays.last_progress_at())
    }

    /// Whether the subscriber holds a lease.
    pub fn has_lease(&self, now: Micros) -> bool {
        self.lease_remaining(now).is_some()
    }

    /// Remaining time of the lease, if the subscriber holds one.
    pub fn lease_remaining(&self, now: Micros) -> Option<Micros> {
        self.lease.remaining(now)
    }

    /// Distance from the publisher, in hops.
    pub(crate) fn hops(&self) -> u32 {
        self.hops
    }

    /// The bound on the copies that may be served now.
    pub fn freshness_bound(&self, now: Micros) -> FreshnessBound {
        let max_age = (!self.has_lease(now)).then_some(self.settings.max_copy_age);
        FreshnessBound {
            not_before: self.log.purges.floor(),
            max_age,
        }
    }

    /// When the host has to call [`Subscriber::tick`].
    pub fn next_wake(&self) -> Micros {
        let heartbeat = self.heartbeats.next_at();
        self.lease
            .next_expiry()
            .map_or(heartbeat, |expiry| expiry.min(heartbeat))
    }

    /// Runs the tasks that are due.
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

    /// Changes the relay if the current one fails, and occasionally back to the preferred one.
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

    /// Handles a received datagram.
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
        // A process that was suspended has to notice its expired lease before it acts on anything.
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

    /// The relay cannot serve this subscriber now: waits for the Retry-After, and changes the relay first if the
    /// current one is full or another one granted the last lease.
    fn receive_busy(
        &mut self,
        now: Micros,
        busy: Busy,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        self.heartbeats.record_answer(busy.request)?;
        if self.relays.len() > 1 && (busy.full || self.relays.has_former_grantor()) {
            let next = self.relays.next_relay();
            self.change_relay(now, next, out);
        }
        let retry_after = Micros::from(busy.retry_after_ms) * crate::time::MILLISECOND;
        let wait = retry_after.clamp(self.settings.retry_interval, MAX_RETRY_AFTER);
        self.heartbeats.schedule_at(now + wait);
        Ok(())
    }

    /// The state of the subscriber, for operators.
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
