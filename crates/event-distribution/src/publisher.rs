//! The publisher: numbers the events of the event source, sends them in batches, and determines up to which position
//! they are in force everywhere. The event source is the service that delivers events to the publisher.
//!
//! Invariants:
//! - During recovery there is no epoch: nothing is published, and no lease is granted.
//! - No lease is granted before the event source has delivered everything that was in force before the start.
//! - The position that is in force everywhere only grows within an epoch (`in_force`).

mod batching;
mod epoch;
mod in_force;
mod recovery;

use crate::counters::RejectReason;
use crate::distributor::{Distributor, FeedSource};
use crate::event::{Epoch, Event, LogPosition, Position};
use crate::event_log::EventLog;
use crate::mutant;
use crate::output::{Notice, Output};
use crate::purge_set::PurgeSet;
use crate::settings::{DistributionSettings, Identity, RelayLimits};
use crate::status::DistributorStatus;
use crate::time::{Micros, SECOND};
use crate::timestamp;
use crate::wire::{self, Body};
use batching::PendingEvent;
use in_force::InForceTracker;
use recovery::Recovery;

/// How long a publisher that may be missing events of the event source continues to grant leases. The leases end within
/// this time.
const MAX_SOURCE_LAG: Micros = 4 * SECOND;

/// The state of the publisher.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    settings: DistributionSettings,
    /// Fetches the purges in force from other relays. Only set during recovery.
    recovery: Option<Recovery>,
    /// When the publisher started, or last began an epoch that continues no other.
    started_at: Micros,
    log: EventLog,
    /// Published events that are not in a batch yet.
    pending: Vec<PendingEvent>,
    /// Whether the event source has delivered everything in force since this start, and it is in the log. Until then no
    /// lease is granted, because events that an earlier start reported to be in force may be missing.
    has_caught_up: bool,
    next_batch: Micros,
    in_force: InForceTracker,
    distributor: Distributor,
    /// The event source may have withheld events since then.
    behind_since: Option<Micros>,
    seed: u64,
}

impl Publisher {
    /// Creates a starting publisher. It recovers first if there are other relays to recover from.
    pub fn new(
        settings: DistributionSettings,
        limits: RelayLimits,
        identity: Identity,
        now: Micros,
        seed: u64,
    ) -> Publisher {
        let purges = PurgeSet::new(settings.max_purges, settings.purge_retention);
        let mut publisher = Publisher {
            recovery: Recovery::new(&settings, identity, now, seed),
            started_at: now,
            log: EventLog::new(limits.window_bytes, purges),
            pending: Vec::new(),
            has_caught_up: false,
            in_force: InForceTracker::default(),
            next_batch: now,
            distributor: Distributor::new(settings.clone(), limits, now),
            behind_since: None,
            seed,
            settings,
        };
        if publisher.recovery.is_none() {
            publisher.begin_epoch(now, None);
        }
        publisher
    }

    /// Begins the first epoch of this start, which is larger than the epoch that it continues from.
    fn begin_epoch(&mut self, now: Micros, continues_from: Option<LogPosition>) {
        let epoch = epoch::first(now, continues_from, self.seed);
        self.log.begin_epoch(epoch, continues_from);
        self.in_force.begin_epoch(epoch);
    }

    /// Publishes an event of the event source with the next batch.
    pub fn publish(&mut self, now: Micros, event: Event) {
        self.pending.push(PendingEvent {
            event,
            published_at: now,
        });
        if self.pending.len() < self.settings.max_purges {
            return;
        }
        // If there are more events than can be stored, they are not delayed further: recovery ends with the next call
        // of `tick` or `receive`.
        match &mut self.recovery {
            Some(recovery) => recovery.set_deadline(now),
            None => self.append_pending(now),
        }
    }

    /// Sets since when the event source may have withheld events; `None` if it has delivered all of them. The host has
    /// to call this before the first tick, unless everything has been delivered by then: no lease is granted before.
    pub fn set_behind_since(&mut self, since: Option<Micros>) {
        self.behind_since = since;
    }

    /// The position after all published events, including those that are not in a batch yet.
    pub fn published(&self) -> LogPosition {
        let head = self.log.position().unwrap_or_default();
        LogPosition {
            position: head.position + self.pending.len() as Position,
            ..head
        }
    }

    /// When the host has to call [`Publisher::tick`].
    pub fn next_wake(&self) -> Micros {
        self.recovery
            .iter()
            .map(Recovery::next_wake)
            .fold(self.next_batch, Micros::min)
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        self.distributor.counters.record_received(bytes.len());
        match wire::decode(self.settings.fleet, bytes) {
            Ok(Body::Heartbeat(heartbeat)) => {
                let source = FeedSource {
                    log: &self.log,
                    max_lease: self.max_lease(now),
                    hops: 0,
                };
                let received = self
                    .distributor
                    .receive_heartbeat(now, &heartbeat, &source, out);
                self.follow_newer_epoch(now, received, out);
            }
            Ok(body) => match &mut self.recovery {
                Some(recovery) => recovery.receive(now, body, bytes.len(), out),
                None => self.distributor.counters.reject(RejectReason::Unexpected),
            },
            Err(reason) => self.distributor.counters.reject(reason),
        }
        self.end_recovery(now, out);
    }

    /// Begins a later epoch if a subscriber is in a newer one than this publisher, because the clock has stepped back.
    fn follow_newer_epoch(
        &mut self,
        now: Micros,
        received: Result<Option<Epoch>, RejectReason>,
        out: &mut Vec<Output>,
    ) {
        let newer = match received {
            Ok(Some(newer)) if newer >= Epoch::MAX => {
                return self.distributor.counters.reject(RejectReason::AheadOfLog);
            }
            Ok(newer) => newer,
            Err(reason) => return self.distributor.counters.reject(reason),
        };
        let Some(newer) = newer.filter(|_| self.recovery.is_none()) else {
            return;
        };
        self.begin_epoch_beyond(newer, now, out);
    }

    /// Begins an epoch that continues no other one, so that every subscriber fetches a snapshot.
    fn begin_epoch_beyond(&mut self, epoch: Epoch, now: Micros, out: &mut Vec<Output>) {
        let epoch = epoch::beyond(epoch, self.seed);
        // Events that are not in force yet become so once all subscribers have entered the new epoch, which takes a
        // snapshot of it, and copies from before now are too old. The position in force therefore stays unchanged until
        // then.
        self.log.begin_epoch(epoch, None);
        self.started_at = now;
        let position = LogPosition { epoch, position: 0 };
        out.push(Output::Notice(Notice::EpochStarted { position }));
    }

    /// Handles the permanent loss of events of the event source. They may have been purges of any copies, so copies
    /// from before now have to be refused. Subscribers receive that floor with the snapshot of a new epoch, and get no
    /// lease without it.
    pub fn handle_missed_events(&mut self, now: Micros, out: &mut Vec<Output>) {
        let floor = timestamp::round_to_wire(now);
        if let Some(recovery) = &mut self.recovery {
            // No subscriber is in an epoch of this start yet.
            recovery.raise_floor(floor);
            return;
        }
        self.log.purges.raise_floor(floor);
        let Some(former) = self.log.position() else {
            return;
        };
        self.append_pending(now);
        self.begin_epoch_beyond(former.epoch, now, out);
        if let Some(head) = self.log.position().filter(|_| self.has_caught_up) {
            self.distributor.require_for_lease(head);
        }
    }

    /// Switches from recovery to publishing once recovery is complete or its deadline has passed.
    fn end_recovery(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if self.pending.len() < self.settings.max_purges {
            recovery.extend_deadline();
        }
        if !recovery.is_over(now) {
            return;
        }
        let continues_from = recovery.complete_position();
        // The purges of an incomplete snapshot are used as well.
        if let Some(recovery) = self.recovery.take() {
            self.log.purges = recovery.into_purges();
        }
        self.begin_epoch(now, continues_from);
        let position = self.in_force.position();
        out.push(Output::Notice(Notice::EpochStarted { position }));
    }

    /// Runs the tasks that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.tick(now, out);
        }
        self.end_recovery(now, out);
        if now < self.next_batch {
            return;
        }
        self.next_batch = now + self.settings.batch_interval;
        self.log.purges.expire(now);
        self.distributor.tick(now, out);
        if self.recovery.is_none() {
            self.append_pending(now);
            self.check_caught_up();
            self.update_in_force(now, out);
        }
        let source = FeedSource {
            log: &self.log,
            max_lease: self.max_lease(now),
            hops: 0,
        };
        self.distributor.flush(now, &source, out);
    }

    /// Once the event source has delivered everything, a subscriber that lacks any of it gets no lease.
    fn check_caught_up(&mut self) {
        if self.has_caught_up || self.behind_since.is_some() {
            return;
        }
        if let Some(head) = self.log.position() {
            self.has_caught_up = true;
            self.distributor.require_for_lease(head);
        }
    }

    fn max_lease(&self, now: Micros) -> Micros {
        if !self.has_caught_up {
            return 0;
        }
        let duration = self.settings.lease_duration;
        self.behind_since.map_or(duration, |since| {
            (since + MAX_SOURCE_LAG - now).min(duration)
        })
    }

    /// Advances the position in force everywhere: all lease holders have applied it, and it was published so long ago
    /// that subscribers without a lease serve no copy from before it.
    fn update_in_force(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(head) = self.log.position() else {
            return;
        };
        let outdated_by = now - self.settings.with_drift(self.settings.max_copy_age);
        self.in_force.record_head(now, head, outdated_by);
        let Some(outdated) = self.in_force.head_at(outdated_by) else {
            return;
        };
        let reported = self
            .distributor
            .report_acknowledged(now, &self.log, outdated);
        let acknowledged = if mutant("done-without-acknowledgement") {
            outdated
        } else {
            reported
        };
        if acknowledged.epoch == head.epoch && self.are_earlier_leases_over(now) {
            self.in_force.advance(now, acknowledged.min(outdated), out);
        }
    }

    /// Whether all leases of earlier starts of the publisher have expired.
    fn are_earlier_leases_over(&self, now: Micros) -> bool {
        let longest = self.settings.with_drift(self.settings.lease_duration);
        now >= self.started_at + longest + self.settings.batch_interval
    }

    /// Everything up to here is in force everywhere.
    pub fn in_force(&self) -> LogPosition {
        self.in_force.position()
    }

    /// The state of the publisher, for operators.
    pub fn status(&self, now: Micros) -> DistributorStatus {
        let in_force = Some(self.in_force.position());
        self.distributor.status(now, &self.log, in_force)
    }
}
