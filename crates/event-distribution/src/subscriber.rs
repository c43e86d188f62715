//! The following side: a front, or a relay towards the one that feeds it. It asks one relay for events and for a lease,
//! applies events in order, and turns to another relay where the first one fails.

use crate::counters::{Counters, RejectReason};
use crate::early::{EarlyBatch, EarlyBatches};
use crate::event::{Epoch, Event, LogPosition};
use crate::fetch::{Fetch, Progress, Reach};
use crate::log::EventLog;
use crate::output::{Notice, Output};
use crate::purges::PurgeSet;
use crate::settings::{
    DistributionSettings, Identity, RelayAddress, MAX_RELAY_HOPS, MILLISECOND, SECOND,
};
use crate::status::SubscriberStatus;
use crate::wire::{self, Batch, Body, Busy, Grant, Heartbeat, SnapshotPart, SnapshotPlace};
use crate::{mutant, Micros};
use meadowrill_membership::rings::hash;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Heartbeats whose answers are still waited for.
const REQUESTS_MOST: usize = 32;
/// Between two tries to return to the preferred relay, drawn from this range.
const HOME_LEAST: Micros = 10 * SECOND;
const HOME_MOST: Micros = 30 * SECOND;
/// The pause between tries while no relay answers, drawn from this range.
const ALONE_LEAST: Micros = SECOND / 2;
const ALONE_MOST: Micros = 3 * SECOND / 2;
/// Refusals that add to the patience of a front with one relay.
const REFUSALS_MOST: u32 = 3;
/// The first request number is drawn below this, so that answers to an earlier start match none.
const FIRST_REQUEST_MOST: u32 = 1 << 20;

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
pub enum Role {
    Front,
    Relay,
}

/// A heartbeat whose answer has not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Request {
    number: u32,
    sent: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Subscriber {
    plan: DistributionSettings,
    me: Identity,
    role: Role,
    /// In the order in which they are asked.
    relays: Vec<RelayAddress>,
    current: usize,
    pub(crate) log: EventLog,
    /// What the relay has said that it knows.
    head: Option<LogPosition>,
    /// Of a relay: what all that it feeds have applied.
    pub(crate) acknowledged: Option<LogPosition>,
    /// Of a relay: the latest epoch that a subscriber was ahead in. The publisher has to hear of it: its clock is behind.
    pub(crate) later_epoch: Option<Epoch>,
    hops: u32,
    lease_until: Option<Micros>,
    /// Since when there is no lease.
    without_since: Option<Micros>,
    /// Since when the current relay grants none, and how often that made this one turn to another.
    refused_since: Micros,
    refusals: u32,
    /// The relay that was asked as the last lease came.
    granted_by: Option<usize>,
    /// How often a relay has turned to another one beside the publisher.
    asked_beside: usize,
    requests: VecDeque<Request>,
    next_request: u32,
    last_sent: Micros,
    next_heartbeat: Micros,
    /// Heartbeats since the last answer, to this relay and to all.
    unanswered: u32,
    unanswered_by_all: u32,
    gap: bool,
    /// When something was last asked for again.
    asked_again: Option<Micros>,
    early: EarlyBatches,
    fetch: Option<Fetch>,
    /// The last snapshot may hold events up to here, and more than all up to the own position.
    snapshot_reached: Option<LogPosition>,
    home_at: Micros,
    seed: u64,
    draws: u64,
    pub(crate) counters: Counters,
}

impl Subscriber {
    /// A front's, which keeps no window for others.
    pub fn new(plan: DistributionSettings, me: Identity, now: Micros, seed: u64) -> Subscriber {
        Subscriber::with_role(plan, me, Role::Front, 0, now, seed)
    }

    pub(crate) fn with_role(
        plan: DistributionSettings,
        me: Identity,
        role: Role,
        window_bytes: usize,
        now: Micros,
        seed: u64,
    ) -> Subscriber {
        let relays = by_preference(&plan, &me, role);
        let purges = PurgeSet::new(plan.max_purges, plan.purge_retention);
        let mut subscriber = Subscriber {
            relays,
            role,
            current: 0,
            log: EventLog::new(window_bytes, purges),
            head: None,
            acknowledged: None,
            later_epoch: None,
            hops: 0,
            lease_until: None,
            without_since: Some(now),
            refused_since: now,
            refusals: 0,
            granted_by: None,
            asked_beside: 0,
            requests: VecDeque::new(),
            next_request: 1,
            last_sent: now,
            next_heartbeat: now,
            unanswered: 0,
            unanswered_by_all: 0,
            gap: false,
            asked_again: None,
            early: EarlyBatches::default(),
            fetch: None,
            snapshot_reached: None,
            home_at: now,
            seed,
            draws: 0,
            counters: Counters::default(),
            plan,
            me,
        };
        subscriber.next_request = 1 + subscriber.draw(0, i64::from(FIRST_REQUEST_MOST)) as u32;
        subscriber.home_at = now + subscriber.draw(HOME_LEAST, HOME_MOST);
        subscriber
    }

    fn draw(&mut self, least: Micros, most: Micros) -> Micros {
        self.draws += 1;
        let mixed = self
            .seed
            .wrapping_add(self.draws.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        fastrand::Rng::with_seed(mixed).i64(least..=most)
    }

    /// Everything up to here has been applied.
    pub fn position(&self) -> Option<LogPosition> {
        self.log.position()
    }

    /// The own position, once all purges that are held are of events before it.
    pub(crate) fn complete_position(&self) -> Option<LogPosition> {
        self.log
            .position()
            .filter(|at| Some(*at) >= self.snapshot_reached)
    }

    /// When the last part of a snapshot that is under way came.
    pub(crate) fn fetched_at(&self) -> Option<Micros> {
        self.fetch.as_ref().map(|_| self.refused_since)
    }

    pub fn has_lease(&self, now: Micros) -> bool {
        self.lease_remaining(now).is_some()
    }

    pub fn lease_remaining(&self, now: Micros) -> Option<Micros> {
        self.lease_until
            .map(|until| until - now)
            .filter(|left| *left > 0)
    }

    /// Members between the publisher and this one.
    pub(crate) fn hops(&self) -> u32 {
        self.hops
    }

    pub fn freshness_bound(&self, now: Micros) -> FreshnessBound {
        let max_age = (!self.has_lease(now)).then_some(self.plan.max_copy_age);
        FreshnessBound {
            not_before: self.log.purges.floor(),
            max_age,
        }
    }

    pub fn next_wake(&self) -> Micros {
        let lapse = self.lease_until.filter(|_| self.without_since.is_none());
        lapse.map_or(self.next_heartbeat, |until| until.min(self.next_heartbeat))
    }

    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.notice_lapse(now, out);
        self.log.purges.expire(now);
        if now >= self.next_heartbeat {
            self.choose_relay(now, out);
            self.send_heartbeat(now, out);
        }
    }

    fn notice_lapse(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.without_since.is_none() && !self.has_lease(now) {
            self.without_since = Some(now);
            self.counters.expired_leases += 1;
            let relay = self.relay_name();
            out.push(Output::Notice(Notice::LeaseExpired { relay }));
        }
    }

    fn relay_name(&self) -> String {
        self.relays
            .get(self.current)
            .map(|relay| relay.name.clone())
            .unwrap_or_default()
    }

    /// Another relay where this one fails, and now and then the preferred one again.
    fn choose_relay(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.relays.len() < 2 {
            return;
        }
        // Where all refuse, going from one to the other helps nobody: more and more patience.
        let patience = self.plan.lease_duration * Micros::from(1 + self.refusals);
        let refuses = now - self.refused_since > patience;
        if self.unanswered >= self.plan.max_unanswered || refuses {
            self.refusals = (self.refusals + u32::from(refuses)).min(self.refusals_most());
            let next = self.next_relay();
            return self.switch(now, next, out);
        }
        let fresh = self
            .lease_remaining(now)
            .is_some_and(|left| left > self.plan.lease_duration / 2);
        if self.current != 0 && fresh && now >= self.home_at {
            self.switch(now, 0, out);
        }
    }

    /// A relay without a lease asks the publisher again after each other relay: those that follow one another in a ring
    /// would else wait for each other.
    fn next_relay(&mut self) -> usize {
        // Where the preferred one does not answer, back to the one that did.
        if let Some(granted_by) = self
            .granted_by
            .take()
            .filter(|relay| *relay != self.current)
        {
            return granted_by;
        }
        if self.role == Role::Relay && self.current != 0 {
            return 0;
        }
        let others = self.relays.len() - 1;
        match self.role {
            Role::Front => (self.current + 1) % self.relays.len(),
            Role::Relay => {
                self.asked_beside += 1;
                1 + (self.asked_beside - 1) % others
            }
        }
    }

    fn refusals_most(&self) -> u32 {
        match self.role {
            Role::Front => REFUSALS_MOST,
            Role::Relay => 0,
        }
    }

    fn switch(&mut self, now: Micros, to: usize, out: &mut Vec<Output>) {
        let from = self.relay_name();
        self.current = to;
        self.counters.relay_changes += 1;
        self.unanswered = 0;
        self.refused_since = now;
        self.home_at = now + self.draw(HOME_LEAST, HOME_MOST);
        let to = self.relay_name();
        out.push(Output::Notice(Notice::RelayChanged { from, to }));
    }

    fn send_heartbeat(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(to) = self.relays.get(self.current).map(|relay| relay.address) else {
            return;
        };
        let at = self.log.position().map(Into::into);
        let gap = std::mem::take(&mut self.gap);
        if gap {
            self.asked_again = Some(now);
        }
        let heartbeat = Heartbeat {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            address: self.me.address.to_string(),
            request: self.next_request,
            at,
            acknowledged: self.acknowledged.map(Into::into),
            gap,
            cursor: self
                .fetch
                .as_ref()
                .and_then(|fetch| fetch.cursor)
                .map(SnapshotPlace::of),
            snapshot: self.fetch.is_some(),
            later_epoch: self.later_epoch.map_or(0, |epoch| epoch.0),
        };
        self.requests.push_back(Request {
            number: self.next_request,
            sent: now,
        });
        if self.requests.len() > REQUESTS_MOST {
            self.requests.pop_front();
        }
        self.next_request += 1;
        self.unanswered += 1;
        self.unanswered_by_all = self.unanswered_by_all.saturating_add(1);
        self.last_sent = now;
        self.next_heartbeat = now + self.pause();
        let bytes = wire::encode(self.plan.fleet, Body::Heartbeat(heartbeat));
        self.counters.record_sent(bytes.len());
        out.push(Output::Send { to, bytes });
    }

    /// Until the next heartbeat, if no answer comes.
    fn pause(&mut self) -> Micros {
        let all_asked = self.plan.max_unanswered * self.relays.len() as u32;
        if self.unanswered_by_all > all_asked {
            return self.draw(ALONE_LEAST, ALONE_MOST);
        }
        self.plan.retry_interval
    }

    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        match wire::decode(self.plan.fleet, bytes) {
            Ok(body) => self.receive_body(now, body, bytes.len(), out),
            Err(why) => self.counters.reject(why),
        }
    }

    pub(crate) fn receive_body(
        &mut self,
        now: Micros,
        body: Body,
        length: usize,
        out: &mut Vec<Output>,
    ) {
        self.counters.record_received(length);
        // One that was stopped has to know that before it takes anything for granted.
        self.notice_lapse(now, out);
        let floor = self.log.purges.floor();
        let taken = match body {
            Body::Batch(batch) => self.receive_batch(now, batch, out),
            Body::SnapshotPart(part) => self.receive_part(now, part, out),
            Body::Busy(busy) => self.receive_busy(now, busy, out),
            Body::Heartbeat(_) => Err(RejectReason::Unexpected),
        };
        if let Err(why) = taken {
            self.counters.reject(why);
        }
        let raised = self
            .log
            .purges
            .floor()
            .filter(|now| floor.is_none_or(|before| *now > before));
        if let Some(floor) = raised {
            out.push(Output::Notice(Notice::PurgeFloorRaised { floor }));
        }
    }

    fn receive_batch(
        &mut self,
        now: Micros,
        batch: Batch,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let events = wire::unpack(&batch.events)?;
        let place = LogPosition {
            epoch: Epoch(batch.epoch),
            position: batch.first,
        };
        let end = batch
            .first
            .checked_add(events.len() as u64)
            .ok_or(RejectReason::OutOfBounds)?;
        if batch.head < end {
            return Err(RejectReason::OutOfBounds);
        }
        let published = now - Micros::from(batch.age_ms) * MILLISECOND;
        let taken = self.follow_epoch(now, place, &batch, out);
        if taken.is_ok() {
            let early = EarlyBatch {
                first: place.position,
                events,
                packed: batch.events,
                published,
            };
            self.take_events(now, place.epoch, early, out);
        }
        self.head = self.head.max(Some(LogPosition {
            position: batch.head,
            ..place
        }));
        if let Some(grant) = batch.grant {
            self.take_grant(now, grant, out)?;
        }
        taken
    }

    /// The publisher has started anew: whoever has all that it builds on goes over.
    fn follow_epoch(
        &mut self,
        now: Micros,
        place: LogPosition,
        batch: &Batch,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let Some(at) = self.log.position() else {
            return Ok(());
        };
        if place.epoch == at.epoch {
            return Ok(());
        }
        if place.epoch < at.epoch && !mutant("old-epoch") {
            return Err(RejectReason::OldEpoch);
        }
        let follows = batch.follows.map(LogPosition::from);
        let linked = follows.is_some_and(|f| f.epoch == at.epoch && at.position >= f.position);
        if (linked && place.position == 0) || place.epoch < at.epoch {
            self.log.begin(place.epoch, follows);
            self.early.clear();
            let at = LogPosition {
                position: 0,
                ..place
            };
            out.push(Output::Notice(Notice::EpochStarted { position: at }));
            return Ok(());
        }
        // The start of the epoch was lost on the way. Where it does not follow, the relay offers a snapshot as soon as it
        // hears where this one is.
        if self.fetch.is_none() {
            self.ask_again(now);
        }
        Err(RejectReason::Unexpected)
    }

    fn take_events(&mut self, now: Micros, epoch: Epoch, batch: EarlyBatch, out: &mut Vec<Output>) {
        let Some(at) = self.log.position().filter(|at| at.epoch == epoch) else {
            return;
        };
        // A batch without events tells what was sent before it.
        let tolerated = u64::from(mutant("resume-off-by-one"));
        if batch.first > at.position + tolerated {
            self.counters.gaps += 1;
            self.early.insert(batch);
            self.ask_again(now);
            return;
        }
        self.take_in_order(batch, out);
        while let Some(batch) = self
            .log
            .position()
            .and_then(|at| self.early.take(at.position))
        {
            self.take_in_order(batch, out);
        }
        if self.log.position() > Some(at) {
            self.gap = !self.early.is_empty();
        }
    }

    /// A batch that begins no later than the log ends: what of it is new.
    fn take_in_order(&mut self, batch: EarlyBatch, out: &mut Vec<Output>) {
        let at = self.log.position().map_or(0, |at| at.position);
        let EarlyBatch {
            first,
            events,
            packed,
            published,
        } = batch;
        let known = at.saturating_sub(first);
        if known >= events.len() as u64 {
            return;
        }
        self.counters.batches += 1;
        self.counters.events += events.len() as u64 - known;
        let fresh = self
            .log
            .append_rest(published, known as usize, &events, packed);
        out.extend(fresh.into_iter().map(Output::Apply));
    }

    /// A heartbeat at once, but not before what the last one asked for can be here: it would all be sent once more.
    fn ask_again(&mut self, now: Micros) {
        self.gap = true;
        let answered = self
            .asked_again
            .map_or(now, |asked| asked + self.plan.retry_interval);
        let soonest = now
            .max(self.last_sent + self.plan.batch_interval / 2)
            .max(answered);
        self.next_heartbeat = self.next_heartbeat.min(soonest);
    }

    fn answered(&mut self, request: u32) -> Result<Request, RejectReason> {
        let found = self.requests.iter().position(|sent| sent.number == request);
        let request = found
            .and_then(|at| self.requests.remove(at))
            .ok_or(RejectReason::Unexpected)?;
        (self.unanswered, self.unanswered_by_all) = (0, 0);
        Ok(request)
    }

    fn take_grant(
        &mut self,
        now: Micros,
        grant: Grant,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let request = self.answered(grant.request)?;
        let too_far = self.role == Role::Relay && grant.hops >= MAX_RELAY_HOPS;
        if grant.lease_us == 0 || too_far {
            self.next_heartbeat = self
                .next_heartbeat
                .min(request.sent + self.plan.retry_interval)
                .max(now);
            return Ok(());
        }
        self.hops = grant.hops.saturating_add(1);
        (self.refused_since, self.refusals) = (now, 0);
        self.granted_by = Some(self.current);
        let from = if mutant("lease-from-arrival") {
            now
        } else {
            request.sent
        };
        let until = from + Micros::from(grant.lease_us).min(self.plan.lease_duration);
        self.lease_until = self.lease_until.max(Some(until));
        let pause = if self.role == Role::Relay {
            self.plan.batch_interval
        } else {
            self.plan.heartbeat_interval
        };
        if !self.gap {
            self.next_heartbeat = (request.sent + pause).max(now);
        }
        if let Some(since) = self.without_since.take_if(|_| until > now) {
            let relay = self.relay_name();
            out.push(Output::Notice(Notice::LeaseAcquired {
                relay,
                without: now - since,
            }));
        }
        Ok(())
    }

    fn receive_busy(
        &mut self,
        now: Micros,
        busy: Busy,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        self.answered(busy.request)?;
        let has_other = self.granted_by.is_some_and(|relay| relay != self.current);
        if (busy.full || has_other) && self.relays.len() > 1 {
            let next = self.next_relay();
            self.switch(now, next, out);
        }
        let pause = Micros::from(busy.retry_ms) * 1000;
        self.next_heartbeat = now + pause.clamp(self.plan.retry_interval, 10 * SECOND);
        Ok(())
    }

    fn receive_part(
        &mut self,
        now: Micros,
        part: SnapshotPart,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let writer = part
            .at
            .map(LogPosition::from)
            .ok_or(RejectReason::OutOfBounds)?;
        if self
            .log
            .position()
            .is_some_and(|at| writer.epoch < at.epoch)
        {
            return Err(RejectReason::OldEpoch);
        }
        // A late one of a relay that was asked before. Where the one that is asked now is in an older epoch than the
        // snapshot that was begun, it is begun anew: nothing of it is held to be applied.
        let is_late = part.request.checked_add(1) != Some(self.next_request);
        if is_late
            && self
                .fetch
                .as_ref()
                .is_some_and(|fetch| writer.epoch < fetch.at.epoch)
        {
            return Err(RejectReason::OldEpoch);
        }
        let events = wire::unpack(&part.events)?;
        if self.answered(part.request).is_err() && self.fetch.is_none() {
            return Err(RejectReason::Unexpected);
        }
        if self
            .fetch
            .as_ref()
            .is_none_or(|fetch| fetch.at.epoch != writer.epoch)
        {
            self.begin_fetch(now, writer, out);
        }
        let Some(fetch) = self.fetch.as_mut() else {
            return Err(RejectReason::Unexpected);
        };
        let after = part.after.and_then(SnapshotPlace::cursor);
        let next = part.next.and_then(SnapshotPlace::cursor);
        let progress = fetch.take(
            after,
            Reach {
                next,
                is_paused: part.paused,
            },
        );
        if progress == Progress::None {
            return Err(RejectReason::Unexpected);
        }
        fetch.at = fetch.at.min(writer);
        fetch.reached = fetch.reached.max(writer);
        fetch.purges += events.len() as u64;
        if let Some(floor) = part.floor {
            self.log.purges.raise_floor(floor);
        }
        for Event::Purge(purge) in events {
            if self.log.purges.insert(purge) {
                out.push(Output::Apply(Event::Purge(purge)));
            }
        }
        match progress {
            Progress::Done => self.finish_fetch(now, out),
            Progress::Paused => self.next_heartbeat = now,
            Progress::Going => self.next_heartbeat = now + self.plan.retry_interval,
            Progress::Early | Progress::None => {}
        }
        self.refused_since = now;
        Ok(())
    }

    fn begin_fetch(&mut self, now: Micros, at: LogPosition, out: &mut Vec<Output>) {
        let began = self.fetch.as_ref().map_or(now, |fetch| fetch.began);
        self.fetch = Some(Fetch::new(began, at));
        self.counters.snapshots += 1;
        out.push(Output::Notice(Notice::SnapshotStarted {
            relay: self.relay_name(),
        }));
    }

    fn finish_fetch(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(mut fetch) = self.fetch.take() else {
            return;
        };
        // A relay that is behind this one may have written a part: what was applied before still counts.
        fetch.at = self
            .log
            .position()
            .map_or(fetch.at, |own| own.max(fetch.at));
        self.log.reset(fetch.at);
        self.snapshot_reached = Some(fetch.reached);
        self.early.clear();
        // Parts that are still under way begin no new one.
        self.requests.clear();
        self.next_heartbeat = now;
        let (purges, took, at) = (fetch.purges, now - fetch.began, fetch.at);
        out.push(Output::Notice(Notice::SnapshotCompleted {
            purges,
            took,
            position: at,
        }));
    }

    pub fn status(&self, now: Micros) -> SubscriberStatus {
        SubscriberStatus {
            relay: self.relay_name(),
            position: self.log.position(),
            relay_head: self.head,
            lease_remaining: self.lease_remaining(now),
            fetching_snapshot: self.fetch.is_some(),
            purges: self.log.purges.len(),
            purge_floor: self.log.purges.floor(),
            counters: self.counters.clone(),
        }
    }
}

/// The relays in the order in which a member asks them: a relay those that publish first; then the own zone, the own
/// region, the others; within each by rendezvous hashing, so that those who follow a failed one spread over the rest.
fn by_preference(plan: &DistributionSettings, me: &Identity, role: Role) -> Vec<RelayAddress> {
    let mut relays: Vec<RelayAddress> = plan
        .relays
        .iter()
        .filter(|relay| role == Role::Front || relay.name != me.name)
        .cloned()
        .collect();
    let weight = |relay: &RelayAddress| hash(&format!("{} {}", me.name, relay.name), 0);
    let distance = |relay: &RelayAddress| match (relay.zone == me.zone, relay.region == me.region) {
        (true, true) => 0,
        (false, true) => 1,
        (_, false) => 2,
    };
    relays.sort_by_cached_key(|relay| {
        (
            role == Role::Relay && !relay.publishes,
            distance(relay),
            Reverse(weight(relay)),
        )
    });
    relays
}
