//! One front's view of the fleet: a membership protocol without I/O (docs/membership.md).
//!
//! [`View`] takes datagrams and the time and returns [`Act`]s: datagrams to send and [`Change`]s to report. It
//! follows SWIM, with fixed observers on rings in place of random probe targets. The modules:
//!
//! - `schedule`, `probing`, `relaying`: whom to probe when, direct probes, indirect probes for others;
//! - `suspicion`, `refutation`, `name_conflict`: failure claims about others, and about this front;
//! - `receive`, `merge`: dispatch of received messages, and which claims replace what is known;
//! - `dissemination`, `anti_entropy`, `inventory`, `transfer`: rumors, and the comparison of whole views;
//! - `maintenance`, `forgotten`, `departure`: periodic work, tombstones, leaving;
//! - `send`, `budget`, `peers`: encoding, rate limiting and the choice of recipients.

mod anti_entropy;
mod budget;
mod departure;
mod dissemination;
mod event;
mod forgotten;
mod inventory;
mod maintenance;
mod member;
mod merge;
mod name_conflict;
mod own;
mod peers;
mod probing;
mod receive;
mod refutation;
mod relaying;
mod schedule;
mod send;
mod suspicion;
mod transfer;

pub use event::{Action, Change, ClaimSource, Counters, MemberIdentity};
pub use member::{Member, Suspicion};

use crate::claim::{Claim, MemberState};
use crate::digest::Digest;
use crate::hash::{stable_hash, SEED_SALT};
use crate::health::{pause_length, Health};
use crate::rings::Rings;
use crate::rumors::Rumors;
use crate::settings::FleetSettings;
use crate::wire::{Body, Value};
use crate::{mutant, Micros};
use budget::SendBudget;
use departure::Departure;
use forgotten::ForgottenMembers;
use maintenance::MaintenanceTimer;
use own::OwnMember;
use probing::Probe;
use relaying::RelayedProbe;
use schedule::ProbeSchedule;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long streams to an address that refused one are avoided, in periods; datagrams do the same in more bytes.
const STREAM_RETRY_PERIODS: Micros = 30;

/// The membership state machine of one front.
#[derive(Clone, Debug)]
pub struct View {
    plan: FleetSettings,
    fleet_id: u64,
    own: OwnMember,
    members: BTreeMap<String, Member>,
    rings: Rings,
    /// Summary of all present members, this front among them.
    digest: Digest,
    health: Health,
    rumors: Rumors,
    /// Probes of this front without an answer yet, by sequence number.
    probes: BTreeMap<u64, Probe>,
    /// Probes sent at the request of other fronts, by this front's sequence number.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    schedule: ProbeSchedule,
    maintenance: MaintenanceTimer,
    /// When rumors are to be pushed to random members, if any are urgent.
    push_at: Option<Micros>,
    forgotten: ForgottenMembers,
    /// Addresses to which a stream failed, and until when streams to them are avoided.
    failed_streams: BTreeMap<SocketAddr, Micros>,
    last_sequence: u64,
    /// Nonces of other processes with this front's name whose start this front has passed.
    passed_nonces: Vec<u64>,
    departure: Option<Departure>,
    gave_way: bool,
    joined: bool,
    budget: SendBudget,
    membership_changed_at: Micros,
    now: Micros,
    rng: fastrand::Rng,
    send_buffer: Vec<u8>,
    body_updates: u64,
    pub counters: Counters,
}

impl View {
    /// A view that knows only itself. `seed` determines all of its random choices.
    pub fn new(plan: FleetSettings, me: MemberIdentity, now: Micros, seed: u64) -> View {
        let mut rng = fastrand::Rng::with_seed(seed ^ stable_hash(&me.name, SEED_SALT));
        let own = OwnMember::new(me, &plan, rng.u64(1..));
        // Fronts that start together spread their periods.
        let first_probe_at = now + rng.i64(0..plan.probe_period);
        let mut rings = Rings::new(plan.observers);
        rings.insert(&own.name);
        let mut view = View {
            fleet_id: plan.fleet_id(),
            own,
            members: BTreeMap::new(),
            rings,
            digest: Digest::default(),
            health: Health::new(plan.local_health),
            rumors: Rumors::default(),
            probes: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            schedule: ProbeSchedule::new(now, first_probe_at),
            maintenance: MaintenanceTimer::new(now),
            push_at: None,
            forgotten: ForgottenMembers::new(plan.max_members),
            failed_streams: BTreeMap::new(),
            last_sequence: 0,
            passed_nonces: Vec::new(),
            departure: None,
            gave_way: false,
            joined: false,
            budget: SendBudget::new(plan.bytes_per_second, now),
            membership_changed_at: now,
            now,
            rng,
            send_buffer: Vec::new(),
            body_updates: 0,
            counters: Counters::default(),
            plan,
        };
        view.toggle_own_digest();
        view.publish_own_body();
        view
    }

    /// This front's name.
    pub fn name(&self) -> &str {
        &self.own.name
    }

    /// What this front publishes of itself.
    pub fn own(&self) -> (Claim, &Body) {
        (self.own.claim, &self.own.body)
    }

    /// All known members but this front, with those that are dead or have left until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// The member of that name, if it is known and not this front.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Number of present members, this front included.
    pub fn present_count(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.claim.state.is_present())
            .count()
            + 1
    }

    /// Hash over the present members and their revisions: equal at all fronts whose views agree.
    pub fn digest(&self) -> u64 {
        self.digest.root()
    }

    /// Number of times a member's published body was learned or replaced. A member's first one counts here although it
    /// is not reported as a [`Change::Values`].
    pub fn body_updates(&self) -> u64 {
        self.body_updates
    }

    /// When the membership last changed; none while a member is suspected or this front has not joined.
    pub fn settled_since(&self) -> Option<Micros> {
        let suspects = self
            .members
            .values()
            .any(|m| m.claim.state == MemberState::Suspected);
        (!suspects && self.joined).then_some(self.membership_changed_at)
    }

    /// Whether this front's view has agreed with that of another front since it started.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// The local health score: 0 is healthy, larger ones make probe timeouts longer.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Whether this front has withdrawn because another live process has its name.
    pub fn is_withdrawn(&self) -> bool {
        self.gave_way
    }

    /// Whether a departure is complete: enough members have confirmed it, or its deadline has passed.
    pub fn has_left(&self) -> bool {
        self.departure
            .as_ref()
            .is_some_and(|departure| departure.is_complete(self.now))
    }

    /// Names of those that probe this member.
    pub fn observers_of(&self, name: &str) -> Vec<&str> {
        self.rings
            .observers_of(name, |name| self.is_unhealthy(name))
    }

    /// Publishes a value of another module with this front's body, in place of an earlier one of the same kind. False,
    /// and nothing is changed, where all values together would be too large.
    pub fn put_value(&mut self, now: Micros, value: Value) -> bool {
        self.now = now;
        if !self.own.put_value(value) {
            return false;
        }
        self.publish_own_body();
        true
    }

    /// Reports that a stream to this address failed: datagrams are used in its place for a while.
    pub fn stream_failed(&mut self, now: Micros, to: SocketAddr) {
        if self.failed_streams.len() < self.plan.max_members {
            self.failed_streams
                .insert(to, now + STREAM_RETRY_PERIODS * self.plan.probe_period);
        }
    }

    /// When [`View::tick`] has to be called next.
    pub fn next_timeout(&self) -> Micros {
        if self.gave_way {
            // Probes and pushes that were due are never sent any more.
            return self.maintenance.next_at;
        }
        let timers = [self.maintenance.next_at, self.schedule.next_at].into_iter();
        timers
            .chain(self.probes.values().map(Probe::next_deadline))
            .chain(
                self.relayed_probes
                    .values()
                    .map(RelayedProbe::next_deadline),
            )
            .chain(self.push_at)
            .chain(
                self.departure
                    .iter()
                    .map(|departure| departure.next_announcement_at),
            )
            .fold(Micros::MAX, Micros::min)
    }

    /// Runs everything that is due.
    pub fn handle_timeout(&mut self, now: Micros, out: &mut Vec<Action>) {
        let due = self.next_timeout();
        self.now = now;
        if self.gave_way {
            self.maintenance.next_at = now + self.plan.probe_period;
            return;
        }
        if let Some(span) =
            pause_length(due, now, self.plan.probe_period).filter(|_| self.plan.local_health)
        {
            self.recover_from_pause(span, out);
        }
        self.process_probe_deadlines(out);
        if now >= self.schedule.next_at {
            self.probe_next_scheduled(out);
        }
        if now >= self.maintenance.next_at {
            self.run_maintenance(out);
        }
        if self.push_at.is_some_and(|at| now >= at) {
            self.push_rumors(out);
        }
        if self
            .departure
            .as_ref()
            .is_some_and(|departure| now >= departure.next_announcement_at)
        {
            self.announce_departure(out);
        }
    }

    /// This process was paused and knows nothing of what happened meanwhile: it withdraws its open probes and its
    /// accusations of others.
    fn recover_from_pause(&mut self, span: Micros, out: &mut Vec<Action>) {
        self.health.record_pause();
        if !mutant("trusts-itself") {
            self.probes.clear();
            self.relayed_probes.clear();
            for suspicion in self
                .members
                .values_mut()
                .filter_map(|member| member.suspicion.as_mut())
            {
                suspicion.accusers.remove(&self.own.name);
                suspicion.since = self.now;
            }
        }
        self.maintenance.next_at = self.now;
        self.schedule.next_at = self.now + self.plan.probe_period / 4;
        out.push(Action::Notify(Change::ProcessPaused { duration: span }));
    }

    /// Whether a known member is not alive; false for unknown names and for this front.
    fn is_unhealthy(&self, name: &str) -> bool {
        self.members
            .get(name)
            .is_some_and(|member| !member.is_alive())
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Adds a present member's claim and revision to the digest, or removes them if they are in it: to be called
    /// before and after each change of either.
    fn toggle_digest(&mut self, name: &str) {
        if let Some(member) = self
            .members
            .get(name)
            .filter(|member| member.claim.state.is_present())
        {
            self.digest.toggle(name, &member.claim, member.revision);
        }
    }

    /// The same for this front, whatever its state.
    fn toggle_own_digest(&mut self) {
        self.digest
            .toggle(&self.own.name, &self.own.claim, self.own.revision);
    }
}
