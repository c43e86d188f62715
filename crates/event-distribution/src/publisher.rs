//! The publisher: numbers events, and knows up to which one they are in force everywhere.
//!
//! An event is in force everywhere once all that hold a lease have applied it, and it was published so long ago that
//! those without a lease serve no copy from before it ([`DistributionSettings::max_copy_age`]).

use crate::counters::RejectReason;
use crate::distributor::{Distributor, Supply};
use crate::event::{Epoch, Event, LogPosition, Position};
use crate::log::EventLog;
use crate::output::{Notice, Output};
use crate::purges::PurgeSet;
use crate::settings::{DistributionSettings, Identity, RelayLimits, SECOND};
use crate::status::DistributorStatus;
use crate::subscriber::{Role, Subscriber};
use crate::wire::{self, Body, Packer};
use crate::{mutant, Micros};
use std::collections::VecDeque;

/// How long a publisher that starts looks for what still binds at other relays; and while a snapshot goes on, how long it
/// waits for the next part, and for all.
const RECOVERY_MOST: Micros = 2 * SECOND;
const RECOVERY_LONGEST: Micros = 20 * SECOND;
/// Out of touch with the service that tells it events, a publisher grants leases for so long.
const BEHIND_MOST: Micros = 4 * SECOND;

/// Between an epoch that was heard of and one that is drawn to follow it.
const EPOCH_STEP_MOST: u64 = 1 << 32;
/// Events that are followed until they are in force everywhere. Of more, the earliest are told no more.
const UNFINISHED_MOST: usize = 200_000;

/// An event that was told, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Pending {
    event: Event,
    told: Micros,
}

/// How far the log reached at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Cut {
    at: Micros,
    head: LogPosition,
}

/// An event that is not known to be in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Unfinished {
    event: Event,
    told: Micros,
    /// Whoever has come so far has applied it.
    end: LogPosition,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    plan: DistributionSettings,
    /// Fetches what still binds from other relays, at the start only.
    recovery: Option<Subscriber>,
    recovery_until: Micros,
    started: Micros,
    log: EventLog,
    /// Told, but not in a batch yet.
    pending: Vec<Pending>,
    /// The service has told all that still binds since this start, and it is in the log. Until then nobody gets a lease:
    /// what an earlier start said to be in force may be missing.
    is_told_all: bool,
    /// In a batch, but not in force everywhere.
    unfinished: VecDeque<Unfinished>,
    next_batch: Micros,
    /// Up to where the log reached after each of the latest batches, back to the one that the age of copies covers.
    cuts: VecDeque<Cut>,
    distributor: Distributor,
    done: LogPosition,
    /// Since when the service may have kept events back.
    behind: Option<Micros>,
    seed: u64,
}

impl Publisher {
    pub fn new(
        plan: DistributionSettings,
        relay: RelayLimits,
        me: Identity,
        now: Micros,
        seed: u64,
    ) -> Publisher {
        let alone = plan.relays.iter().all(|other| other.name == me.name);
        let recovery =
            (!alone).then(|| Subscriber::with_role(plan.clone(), me, Role::Relay, 0, now, seed));
        let purges = PurgeSet::new(plan.max_purges, plan.purge_retention);
        let mut publisher = Publisher {
            recovery,
            recovery_until: now + RECOVERY_MOST,
            started: now,
            log: EventLog::new(relay.window_bytes, purges),
            pending: Vec::new(),
            is_told_all: false,
            cuts: VecDeque::new(),
            unfinished: VecDeque::new(),
            next_batch: now,
            distributor: Distributor::new(plan.clone(), relay, now),
            done: LogPosition::default(),
            behind: None,
            seed,
            plan,
        };
        if publisher.recovery.is_none() {
            publisher.begin(now, None);
        }
        publisher
    }

    /// A new epoch, larger than any that was heard of.
    fn begin(&mut self, now: Micros, follows: Option<LogPosition>) {
        let clock = Epoch((now.max(0) as u64).min(Epoch::MAX.0));
        let epoch = follows.map_or(clock, |at| clock.max(self.epoch_behind(at.epoch)));
        self.log.begin(epoch, follows);
        self.done = LogPosition { epoch, position: 0 };
    }

    /// A later one, drawn: where the clock has stepped back, an earlier start may have gone on from the same epoch.
    fn epoch_behind(&self, heard: Epoch) -> Epoch {
        Epoch(heard.0 + fastrand::Rng::with_seed(self.seed ^ heard.0).u64(1..=EPOCH_STEP_MOST))
    }

    pub fn publish(&mut self, now: Micros, event: Event) {
        self.pending.push(Pending { event, told: now });
        if self.pending.len() < self.plan.max_purges {
            return;
        }
        // More than is kept does not wait: the next tick goes on without what others know.
        match self.recovery {
            Some(_) => self.recovery_until = now,
            None => self.cut_batches(now),
        }
    }

    /// The service that tells events may have kept some back since then; none: it has told all. To be called before the
    /// first tick, unless all was told by then: until it has, no lease is granted.
    pub fn set_behind_since(&mut self, since: Option<Micros>) {
        self.behind = since;
    }

    /// Everything that was told, with what is not in a batch yet.
    pub fn published(&self) -> LogPosition {
        let head = self.log.position().unwrap_or_default();
        LogPosition {
            position: head.position + self.pending.len() as Position,
            ..head
        }
    }

    pub fn next_wake(&self) -> Micros {
        let recovery = self
            .recovery
            .as_ref()
            .map(|r| r.next_wake().min(self.recovery_until));
        recovery.map_or(self.next_batch, |at| at.min(self.next_batch))
    }

    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        self.distributor.counters.record_received(bytes.len());
        match wire::decode(self.plan.fleet, bytes) {
            Ok(Body::Heartbeat(heartbeat)) => {
                let supply = self.supply_lease(now);
                let supply = Supply {
                    log: &self.log,
                    lease: supply,
                    hops: 0,
                };
                let heard = self.distributor.heartbeat(now, heartbeat, &supply, out);
                self.answer(now, heard, out);
            }
            Ok(body) => match &mut self.recovery {
                Some(recovery) => recovery.receive_body(now, body, bytes.len(), out),
                None => self.distributor.counters.reject(RejectReason::Unexpected),
            },
            Err(why) => self.distributor.counters.reject(why),
        }
        self.recover(now, out);
    }

    fn answer(
        &mut self,
        now: Micros,
        heard: Result<Option<Epoch>, RejectReason>,
        out: &mut Vec<Output>,
    ) {
        match heard {
            Ok(None) => {}
            // Somebody has followed a later publisher than this one thought to be: its clock stepped back.
            Ok(Some(later)) if later >= Epoch::MAX => {
                self.distributor.counters.reject(RejectReason::AheadOfLog)
            }
            Ok(Some(later)) if self.recovery.is_none() => {
                let at = LogPosition {
                    epoch: self.epoch_behind(later),
                    position: 0,
                };
                // What is not in force yet is so once all have come to the new epoch, which takes a snapshot of it, and
                // copies from before now are too old: `done` stays where it is.
                self.log.begin(at.epoch, None);
                self.started = now;
                out.push(Output::Notice(Notice::EpochStarted { position: at }));
            }
            Ok(Some(_)) => {}
            Err(why) => self.distributor.counters.reject(why),
        }
    }

    /// Goes over from recovery to publishing, once all is there or the time is over.
    fn recover(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let is_room = self.pending.len() < self.plan.max_purges;
        if let Some(fetched_at) = recovery.fetched_at().filter(|_| is_room) {
            let until = (fetched_at + RECOVERY_MOST).min(self.started + RECOVERY_LONGEST);
            self.recovery_until = self.recovery_until.max(until);
        }
        // Behind it, others may lack what is held here and is not published again.
        let found = recovery.complete_position();
        if found.is_none() && now < self.recovery_until {
            return;
        }
        // What a broken-off snapshot brought counts as well.
        let purges = PurgeSet::new(self.plan.max_purges, self.plan.purge_retention);
        self.log.purges = std::mem::replace(&mut recovery.log.purges, purges);
        self.recovery = None;
        self.begin(now, found);
        out.push(Output::Notice(Notice::EpochStarted {
            position: self.done,
        }));
    }

    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if let Some(recovery) = &mut self.recovery {
            if now >= recovery.next_wake() {
                recovery.tick(now, out);
            }
        }
        self.recover(now, out);
        if now < self.next_batch {
            return;
        }
        self.next_batch = now + self.plan.batch_interval;
        self.log.purges.expire(now);
        self.distributor.tick(now, out);
        if self.recovery.is_none() {
            self.cut_batches(now);
            self.note_cut(now);
            self.note_told_all();
            self.update_done(now, out);
        }
        let supply = Supply {
            log: &self.log,
            lease: self.supply_lease(now),
            hops: 0,
        };
        self.distributor.flush(now, &supply, out);
    }

    /// What was told since the last batch, without what says nothing new: a service tells again what it told before a start.
    fn cut_batches(&mut self, now: Micros) {
        let mut packer = Packer::default();
        let mut events: Vec<Event> = Vec::new();
        for Pending { event, told } in std::mem::take(&mut self.pending) {
            let Event::Purge(purge) = event;
            if self
                .log
                .purges
                .kept_from(now)
                .is_some_and(|kept_from| purge.timestamp < kept_from)
            {
                continue;
            }
            let known = self
                .log
                .purges
                .timestamp(purge.key)
                .is_some_and(|timestamp| timestamp >= purge.timestamp);
            if !known && !packer.push(&event) {
                self.append(now, &mut events, std::mem::take(&mut packer));
                // An empty one has room for any event.
                let _ = packer.push(&event);
            }
            events.extend((!known).then_some(event));
            self.follow(event, told, events.len() as Position);
        }
        self.append(now, &mut events, packer);
    }

    fn note_cut(&mut self, now: Micros) {
        if let Some(head) = self.log.position() {
            self.cuts.push_back(Cut { at: now, head });
        }
        let moment = now - self.plan.with_drift(self.plan.max_copy_age);
        while self.cuts.get(1).is_some_and(|second| second.at <= moment) {
            self.cuts.pop_front();
        }
    }

    /// Whoever lacks what was told before the first lease gets none.
    fn note_told_all(&mut self) {
        if self.is_told_all || self.behind.is_some() {
            return;
        }
        if let Some(head) = self.log.position() {
            self.is_told_all = true;
            self.distributor.bar_behind(head);
        }
    }

    fn append(&mut self, now: Micros, events: &mut Vec<Event>, packer: Packer) {
        if !events.is_empty() {
            self.log.append(now, events, packer.finish());
            events.clear();
        }
    }

    /// Waits for an event to be in force: it is there for whoever has come past what is in the log and these behind it.
    fn follow(&mut self, event: Event, told: Micros, behind_head: Position) {
        let head = self.log.position().unwrap_or_default();
        let end = LogPosition {
            position: head.position + behind_head,
            ..head
        };
        self.unfinished.push_back(Unfinished { event, told, end });
        if self.unfinished.len() > UNFINISHED_MOST {
            self.unfinished.pop_front();
        }
    }

    fn supply_lease(&self, now: Micros) -> Micros {
        if !self.is_told_all {
            return 0;
        }
        match self.behind {
            None => self.plan.lease_duration,
            Some(since) => (since + BEHIND_MOST - now).min(self.plan.lease_duration),
        }
    }

    /// What is in force everywhere only grows.
    fn update_done(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(head) = self.log.position() else {
            return;
        };
        let moment = now - self.plan.with_drift(self.plan.max_copy_age);
        let Some(old) = self.cuts.front().filter(|cut| cut.at <= moment) else {
            return;
        };
        let reported = self.distributor.report(now, &self.log, old.head);
        let acknowledged = if mutant("done-without-acknowledgement") {
            old.head
        } else {
            reported
        };
        // Leases of an earlier start of the publisher may still be held.
        let earlier_leases_over = now
            >= self.started
                + self.plan.with_drift(self.plan.lease_duration)
                + self.plan.batch_interval;
        if acknowledged.epoch != head.epoch || !earlier_leases_over {
            return;
        }
        self.done = self.done.max(acknowledged.min(old.head));
        while self
            .unfinished
            .front()
            .is_some_and(|first| first.end <= self.done)
        {
            let Some(Unfinished { event, told, .. }) = self.unfinished.pop_front() else {
                return;
            };
            out.push(Output::InForce {
                event,
                took: now - told,
            });
        }
    }

    /// Everything up to here is in force everywhere.
    pub fn in_force(&self) -> LogPosition {
        self.done
    }

    pub fn status(&self, now: Micros) -> DistributorStatus {
        self.distributor.status(now, &self.log, Some(self.done))
    }
}
