//! The publisher: numbers events, sends them in batches, and knows up to which one they are in force everywhere.
//!
//! Invariants:
//! - While it recovers there is no epoch: nothing is published and no lease is granted.
//! - No lease is granted before the service has delivered everything that was in force before the start.
//! - What is in force everywhere only grows within an epoch (`in_force`).

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

/// Out of touch with the service that delivers events, a publisher grants leases for so long.
const MAX_OUT_OF_TOUCH: Micros = 4 * SECOND;

/// The state of the publisher.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    settings: DistributionSettings,
    /// Fetches the purges in force from other relays, at the start only.
    recovery: Option<Recovery>,
    /// When it started, or began an epoch beyond one that it learned of.
    started_at: Micros,
    log: EventLog,
    /// Published, but not in a batch yet.
    pending: Vec<PendingEvent>,
    /// The service has delivered everything in force since this start, and it is in the log. Until then nobody gets a
    /// lease: what an earlier start said to be in force may be missing.
    has_caught_up: bool,
    next_batch: Micros,
    in_force: InForceTracker,
    distributor: Distributor,
    /// Since when the service may have withheld events.
    behind_since: Option<Micros>,
    seed: u64,
}

impl Publisher {
    /// A publisher that starts. It recovers first, if there are other relays to recover from.
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

    /// The first epoch of this start, larger than any that others are in.
    fn begin_epoch(&mut self, now: Micros, continues_from: Option<LogPosition>) {
        let epoch = epoch::first(now, continues_from, self.seed);
        self.log.begin_epoch(epoch, continues_from);
        self.in_force.begin_epoch(epoch);
    }

    /// An event of the service: it goes out with the next batch.
    pub fn publish(&mut self, now: Micros, event: Event) {
        self.pending.push(PendingEvent {
            event,
            published_at: now,
        });
        if self.pending.len() < self.settings.max_purges {
            return;
        }
        // More than can be stored does not wait: recovery ends at the next tick.
        match &mut self.recovery {
            Some(recovery) => recovery.end_at(now),
            None => self.append_pending(now),
        }
    }

    /// The service may have withheld some events since then; none: it has delivered all. To be called before the first
    /// tick, unless all was delivered by then: until it has, no lease is granted.
    pub fn set_behind_since(&mut self, since: Option<Micros>) {
        self.behind_since = since;
    }

    /// Everything that was published, with what is not in a batch yet.
    pub fn published(&self) -> LogPosition {
        let head = self.log.position().unwrap_or_default();
        LogPosition {
            position: head.position + self.pending.len() as Position,
            ..head
        }
    }

    /// When [`Publisher::tick`] has to be called.
    pub fn next_wake(&self) -> Micros {
        self.recovery
            .iter()
            .map(Recovery::next_wake)
            .fold(self.next_batch, Micros::min)
    }

    /// A datagram has come.
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

    /// Where a subscriber is in a newer epoch than this one, the clock has stepped back: an epoch beyond that one begins.
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

    /// Begins an epoch that nobody continues with: everybody takes a snapshot.
    fn begin_epoch_beyond(&mut self, epoch: Epoch, now: Micros, out: &mut Vec<Output>) {
        let epoch = epoch::beyond(epoch, self.seed);
        // What is not in force yet is so once all have come to the new epoch, which takes a snapshot of it, and copies from
        // before now are too old: what is in force stays where it is.
        self.log.begin_epoch(epoch, None);
        self.started_at = now;
        let position = LogPosition { epoch, position: 0 };
        out.push(Output::Notice(Notice::EpochStarted { position }));
    }

    /// Events of the service are missing for good, and may have been purges of anything: copies from before now are to be
    /// refused. All come to know by the snapshot of a new epoch, without which nobody has a lease.
    pub fn bound_missed(&mut self, now: Micros, out: &mut Vec<Output>) {
        let floor = timestamp::as_sent(now);
        if let Some(recovery) = &mut self.recovery {
            // Nobody is in an epoch of this start yet.
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

    /// Goes over from recovery to publishing, once all is there or the time is over.
    fn end_recovery(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if self.pending.len() < self.settings.max_purges {
            recovery.extend();
        }
        if !recovery.is_over(now) {
            return;
        }
        let continues_from = recovery.complete_position();
        // What a broken-off snapshot brought counts as well.
        if let Some(recovery) = self.recovery.take() {
            self.log.purges = recovery.into_purges();
        }
        self.begin_epoch(now, continues_from);
        let position = self.in_force.position();
        out.push(Output::Notice(Notice::EpochStarted { position }));
    }

    /// Time has passed.
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

    /// Once the service has delivered everything: a subscriber that lacks any of it gets no lease.
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
            (since + MAX_OUT_OF_TOUCH - now).min(duration)
        })
    }

    /// Moves on what is in force everywhere: all that hold a lease have applied it, and it was published so long ago that
    /// those without a lease serve no copy from before it.
    fn update_in_force(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(head) = self.log.position() else {
            return;
        };
        let outdated_by = now - self.settings.with_drift(self.settings.max_copy_age);
        self.in_force.record_head(now, head, outdated_by);
        let Some(outdated) = self.in_force.reached_by(outdated_by) else {
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

    /// Whether no lease of an earlier start of the publisher can be valid any more.
    fn are_earlier_leases_over(&self, now: Micros) -> bool {
        let longest = self.settings.with_drift(self.settings.lease_duration);
        now >= self.started_at + longest + self.settings.batch_interval
    }

    /// Everything up to here is in force everywhere.
    pub fn in_force(&self) -> LogPosition {
        self.in_force.position()
    }

    /// Its state, for operators.
    pub fn status(&self, now: Micros) -> DistributorStatus {
        let in_force = Some(self.in_force.position());
        self.distributor.status(now, &self.log, in_force)
    }
}
