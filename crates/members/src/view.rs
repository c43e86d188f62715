//! One front's view of the fleet: takes datagrams and time, gives datagrams and changes (docs/fleet.md).
//!
//! Each member is probed by a few observers that all can work out ([`Rings`]), directly and through others. An
//! observer that gets no answer suspects; the suspected hears of it and can refute; observers that agree shorten the
//! wait, and what stays unrefuted is dead. News rides on the probes; digests find what news has missed.

use crate::claim::{past, refute, Claim, State};
use crate::health::{away, Health};
use crate::plan::{Plan, SEC};
use crate::rings::{hash, Rings};
use crate::rumors::Rumors;
use crate::sync::{bucket, Digest};
use crate::wire::{
    self, Ask, Body, Buckets, Dropped, Have, Packet, Ping, Record, Root, Said, Seq, Value, Want, You,
};
use crate::{mutant, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Parts of a period: until others are asked to try, and until news is pushed on to some at once.
const DIRECT: Micros = 3;
const PUSH: Micros = 20;
/// How many are asked to try, and get pushed news.
const HELPERS: usize = 3;
const PUSHED: usize = 4;
/// Observers that have to agree for the shortest wait, besides the first.
const AGREE: usize = 2;
/// How many are drawn for one place among those that are told something.
const DRAWN: usize = 3;
/// For so many periods after a change digests are compared four times as often.
const STIRRED: Micros = 3;
/// Observers that are told directly of a failure.
const VOTES: usize = 4;
/// The longest wait against the shortest.
const ALONE: f64 = 5.0;
/// A round trip this many periods ago speaks against hearsay of a death.
const FRESH: f64 = 1.5;
/// A suspicion this many periods old gives way to one who held it for a death all along.
const STALE: Micros = 2;
/// A suspicion that nobody decides is looked into by whoever holds it, after so many of the longest waits.
const UNDECIDED: f64 = 2.0;
/// So many confirm that one leaves before it goes, and how long it waits for that at most, in periods.
const CONFIRMED: usize = 3;
const LEAVING: Micros = 2;
const LEAVING_TO: usize = 8;
/// A member goes past another start of its name so often; then the other lives, and it gives way.
const PASSES: usize = 3;
/// What may be sent at once, in seconds of the bytes a second, and what probes leave of it to news and digests.
const BURST: u64 = 3;
/// From this part of that on, news tells at length too; below it digests go first, which tell nothing twice.
const TALK: f64 = 0.5;
/// And from this one on it tells who has failed or come back.
const SPEAK: f64 = 0.2;
/// The forgotten are held off for so many times as many members as there may be.
const FORGOTTEN: usize = 2;
/// Room for one part of an exchange, beside the head.
const ROOM: usize = wire::MOST - 220;
/// Members that one who knows few is told of at once; over a stream as many as it knows, which doubles them.
const HANDED: usize = 9;
/// From so many bytes on a part of an exchange goes over a stream, and so many bytes has one chunk before it is packed:
/// packed it is about what the bytes a second allow at once, with the usual ones.
const STREAMED: usize = 2 * ROOM;
const CHUNK: usize = 20 * ROOM;
/// A stream that came to nothing is not tried again for so many periods; datagrams do the same, in more bytes.
const UNSTREAMED: Micros = 30;
/// Smoothing of round trips.
const SMOOTHING: f64 = 0.2;

/// Who this front is.
#[derive(Clone, Debug)]
pub struct Me {
    pub name: String,
    pub version: String,
    /// When it started, by its own clock: only compared with other starts of the same name.
    pub start: u64,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Over a stream, as it may be longer than a datagram. What comes of none is told by [`View::unstreamed`].
    Stream {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Tell(Change),
}

/// For the log and for other modules.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Member {
        name: String,
        from: Option<State>,
        to: State,
        start: u64,
        incarnation: u64,
        why: Why,
        by: String,
    },
    Values {
        name: String,
    },
    Forgotten {
        name: String,
    },
    /// This front had been said to fail, and spoke up.
    Refuted {
        by: String,
    },
    /// It was stopped or starved for so long: what it believed of others may be old.
    WasAway {
        span: Micros,
    },
    /// It has heard from others and agreed with one of them.
    Joined,
    /// Another process has its name, and started later or as it did.
    Passed {
        start: u64,
    },
    /// That other one lives: this one takes no more part.
    GaveWay {
        to: String,
    },
    /// It has told that it leaves, and so many have confirmed.
    Gone {
        confirmed: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its own word.
    Said,
    /// By this front's own probes.
    Seen,
    /// By others.
    Heard,
    /// By a digest: others have known for a while.
    Caught,
}

#[derive(Clone, Debug)]
pub struct Suspicion {
    pub since: Micros,
    /// Who saw it fail.
    pub by: BTreeSet<String>,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub claim: Claim,
    pub since: Micros,
    pub rev: u64,
    pub body: Body,
    raw: Vec<u8>,
    pub suspicion: Option<Suspicion>,
    /// Who said that it is dead.
    pub by: String,
    /// Last round trip: when, and how long they take.
    pub heard: Option<Micros>,
    /// When anything came from it.
    met: Option<Micros>,
    pub round_trip: Option<f64>,
}

#[derive(Clone, Debug)]
struct Probe {
    name: String,
    sent: Micros,
    direct: Micros,
    end: Micros,
    asked: bool,
    /// A helper was there, so this front is not cut off.
    helped: bool,
}

/// A probe on behalf of another.
#[derive(Clone, Debug)]
struct Errand {
    seq: u64,
    back: SocketAddr,
    who: String,
    until: Micros,
    nack: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub probes: u64,
    pub failures: u64,
    pub suspicions: u64,
    pub refutations: u64,
    pub deaths: u64,
    pub sent: u64,
    /// Sent over streams.
    pub chunks: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    pub held_back: u64,
    pub dropped: BTreeMap<Dropped, u64>,
    /// Bytes sent, by what they were sent for.
    pub spent: BTreeMap<&'static str, u64>,
}

#[derive(Clone, Debug)]
struct Leave {
    until: Micros,
    again: Micros,
    confirmed: BTreeSet<String>,
}

#[derive(Clone, Debug)]
pub struct View {
    plan: Plan,
    fleet: u64,
    me: Me,
    nonce: u64,
    own: Claim,
    rev: u64,
    body: Body,
    raw: Vec<u8>,
    members: BTreeMap<String, Member>,
    rings: Rings,
    digest: Digest,
    health: Health,
    rumors: Rumors,
    probes: BTreeMap<u64, Probe>,
    errands: BTreeMap<u64, Errand>,
    /// Whom this front still has to probe in this period.
    turns: VecDeque<String>,
    /// All of this period.
    round: BTreeSet<String>,
    turn_at: Micros,
    round_at: Micros,
    period_at: Micros,
    quarter: u8,
    push_at: Option<Micros>,
    forgotten: BTreeMap<String, (u64, Micros)>,
    /// Addresses that no stream reaches, until when.
    unstreamed: BTreeMap<SocketAddr, Micros>,
    seq: u64,
    passed: Vec<u64>,
    leave: Option<Leave>,
    out: bool,
    joined: bool,
    budget: f64,
    budget_at: Micros,
    changed_at: Micros,
    now: Micros,
    rng: fastrand::Rng,
    spare: Vec<u8>,
    worded: u64,
    pub counts: Counts,
}

impl View {
    pub fn new(plan: Plan, me: Me, now: Micros, seed: u64) -> View {
        let mut rng = fastrand::Rng::with_seed(seed ^ hash(&me.name, 99));
        let nonce = rng.u64(1..);
        let own = Claim::alive(me.start.max(1));
        let body = Body {
            address: plan.advertise.to_string(),
            zone: plan.zone.clone(),
            weight: plan.weight,
            version: me.version.clone(),
            nonce,
            values: Vec::new(),
        };
        let mut rings = Rings::new(plan.observers);
        rings.put(&me.name);
        let health = Health::new(plan.own_health);
        let mut view = View {
            fleet: plan.number(),
            budget: (plan.bytes_per_s * BURST) as f64,
            // Fronts that start together spread their periods.
            period_at: now,
            round_at: now,
            turn_at: now + rng.i64(0..plan.period),
            plan,
            me,
            nonce,
            own,
            rev: 0,
            body,
            raw: Vec::new(),
            members: BTreeMap::new(),
            rings,
            digest: Digest::default(),
            health,
            rumors: Rumors::default(),
            probes: BTreeMap::new(),
            errands: BTreeMap::new(),
            turns: VecDeque::new(),
            round: BTreeSet::new(),
            quarter: 0,
            push_at: None,
            forgotten: BTreeMap::new(),
            unstreamed: BTreeMap::new(),
            seq: 0,
            passed: Vec::new(),
            leave: None,
            out: false,
            joined: false,
            budget_at: now,
            changed_at: now,
            now,
            rng,
            spare: Vec::new(),
            worded: 0,
            counts: Counts::default(),
        };
        view.digest.turn(&view.me.name, &view.own, 0);
        view.reword();
        view
    }

    // What others ask of it.

    pub fn name(&self) -> &str {
        &self.me.name
    }

    pub fn own(&self) -> (Claim, &Body) {
        (self.own, &self.body)
    }

    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members.iter().map(|(name, member)| (name.as_str(), member))
    }

    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// How many are there, with this front.
    pub fn here(&self) -> usize {
        self.members.values().filter(|m| m.claim.state.here()).count() + 1
    }

    /// The same at all that agree on who is there and what each says of itself.
    pub fn digest(&self) -> u64 {
        self.digest.root()
    }

    /// Grows with each thing that a member is heard to say of itself, also the first, which is told as no change.
    pub fn worded(&self) -> u64 {
        self.worded
    }

    /// When who is there changed last, by this view.
    pub fn settled_since(&self) -> Option<Micros> {
        let open = self.members.values().any(|m| m.claim.state == State::Suspected);
        (!open && self.joined).then_some(self.changed_at)
    }

    /// It has agreed with another front, or has none to agree with.
    pub fn joined(&self) -> bool {
        self.joined
    }

    pub fn health(&self) -> u32 {
        self.health.score()
    }

    pub fn gave_way(&self) -> bool {
        self.out
    }

    /// True once those who need to know that it leaves do, or time for that is up.
    pub fn left(&self) -> bool {
        self.leave.as_ref().is_some_and(|l| l.confirmed.len() >= CONFIRMED || self.now >= l.until)
    }

    pub fn observers_of(&self, name: &str) -> Vec<&str> {
        self.rings.observers_of(name, |name| self.sick(name))
    }

    /// Hangs a value on this front, for all others to see; false where all together would be too large.
    pub fn put_value(&mut self, now: Micros, value: Value) -> bool {
        self.now = now;
        let mut values = self.body.values.clone();
        values.retain(|v| v.kind != value.kind);
        values.push(value);
        values.sort_by_key(|v| v.kind);
        let size: usize = values.iter().map(|v| v.bytes.len()).sum();
        if size > wire::VALUES_MOST {
            return false;
        }
        self.body.values = values;
        self.reword();
        true
    }

    /// A stream to there did not come up, or ended before all of it was taken: datagrams for a while.
    pub fn unstreamed(&mut self, now: Micros, to: SocketAddr) {
        if self.unstreamed.len() < self.plan.members_most {
            self.unstreamed.insert(to, now + UNSTREAMED * self.plan.period);
        }
    }

    /// When [`View::tick`] is wanted next.
    pub fn next(&self) -> Micros {
        let mut next = self.period_at.min(self.turn_at);
        let probes = self.probes.values().map(|p| if p.asked { p.end } else { p.direct });
        let errands = self.errands.values().map(|e| if e.nack > 0 { e.nack } else { e.until });
        next = probes.chain(errands).chain(self.push_at).fold(next, Micros::min);
        self.leave.iter().fold(next, |next, l| next.min(l.again))
    }

    // Time.

    pub fn tick(&mut self, now: Micros, out: &mut Vec<Act>) {
        let due = self.next();
        self.now = now;
        if self.out {
            (self.period_at, self.turn_at) = (now + self.plan.period, now + self.plan.period);
            return;
        }
        if let Some(span) = away(due, now, self.plan.period).filter(|_| self.plan.own_health) {
            self.was_away(span, out);
        }
        self.ends(out);
        if now >= self.turn_at {
            self.turn(out);
        }
        if now >= self.period_at {
            self.period(out);
        }
        if self.push_at.is_some_and(|at| now >= at) {
            self.push_at = None;
            self.push(out);
        }
        if self.leave.as_ref().is_some_and(|l| now >= l.again) {
            self.tell_leave(out);
        }
    }

    /// It knows nothing of what went on meanwhile: what it had begun to hold against others it takes back.
    fn was_away(&mut self, span: Micros, out: &mut Vec<Act>) {
        self.health.was_away();
        if !mutant("trusts-itself") {
            self.probes.clear();
            self.errands.clear();
            let name = &self.me.name;
            for member in self.members.values_mut() {
                if let Some(suspicion) = &mut member.suspicion {
                    suspicion.by.remove(name);
                    suspicion.since = self.now;
                }
            }
        }
        (self.period_at, self.turn_at) = (self.now, self.now + self.plan.period / 4);
        out.push(Act::Tell(Change::WasAway { span }));
    }

    fn ends(&mut self, out: &mut Vec<Act>) {
        let now = self.now;
        let direct: Vec<u64> =
            self.probes.iter().filter(|(_, p)| !p.asked && now >= p.direct).map(|(seq, _)| *seq).collect();
        for seq in direct {
            self.ask_others(seq, out);
        }
        let over: Vec<u64> = self.probes.iter().filter(|(_, p)| now >= p.end).map(|(seq, _)| *seq).collect();
        for seq in over {
            if let Some(probe) = self.probes.remove(&seq) {
                self.failed(probe, out);
            }
        }
        let nacks: Vec<(u64, SocketAddr, String)> = self
            .errands
            .values_mut()
            .filter(|e| e.nack > 0 && now >= e.nack)
            .map(|e| {
                e.nack = 0;
                (e.seq, e.back, e.who.clone())
            })
            .collect();
        for (seq, back, who) in nacks {
            self.send(&who, back, Some(Said::Nack(Seq { seq })), out);
        }
        self.errands.retain(|_, e| now < e.until);
    }

    /// The next of those it observes, evenly over the period. One that has not caught up knows a few contacts only,
    /// and with all of those that join it would run them over: it judges nobody yet.
    fn turn(&mut self, out: &mut Vec<Act>) {
        let period = self.plan.period;
        if self.turns.is_empty() {
            self.round_at = self.now;
            self.round.clear();
            self.observe_more();
        }
        let left = (self.round_at + period - self.now).max(1);
        self.turn_at = self.now + left / self.turns.len().max(1) as Micros;
        if let Some(name) = self.turns.pop_front() {
            self.probe(&name, out);
        }
    }

    /// Whom it observes by now and has not probed in this round.
    fn observe_more(&mut self) {
        let observed = if self.joined { self.observed() } else { Vec::new() };
        for name in observed {
            if self.round.insert(name.clone()) {
                self.turns.push_back(name);
            }
        }
    }

    fn sick(&self, name: &str) -> bool {
        self.members.get(name).is_some_and(|m| !m.sound())
    }

    fn observed(&self) -> Vec<String> {
        let observed = self.rings.observed_by(&self.me.name, |name| self.sick(name));
        observed.into_iter().map(str::to_string).collect()
    }

    fn probe(&mut self, name: &str, out: &mut Vec<Act>) {
        let Some(address) = self.members.get(name).and_then(Member::address) else { return };
        if self.probes.values().any(|p| p.name == name) {
            return;
        }
        self.seq += 1;
        let (now, stretch, period) = (self.now, self.health.stretch(), self.plan.period);
        let probe = Probe {
            name: name.into(),
            sent: now,
            direct: now + period / DIRECT * stretch,
            end: now + period * stretch,
            asked: false,
            helped: false,
        };
        self.counts.probes += 1;
        self.probes.insert(self.seq, probe);
        let ping = Ping { seq: self.seq, to: name.into() };
        self.send(name, address, Some(Said::Ping(ping)), out);
    }

    fn ask_others(&mut self, seq: u64, out: &mut Vec<Act>) {
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        probe.asked = true;
        let target = probe.name.clone();
        let Some(address) = self.members.get(&target).and_then(Member::address) else { return };
        // With much failing at once the bytes go to telling of it; one helper shows that this front is not the one cut off.
        self.refill();
        let helpers = if self.budget < self.plenty(SPEAK) { 1 } else { HELPERS };
        for (name, to) in self.some(helpers, &target) {
            let ask = Ask { seq, target: target.clone(), address: address.to_string() };
            self.send(&name, to, Some(Said::Ask(ask)), out);
        }
    }

    /// No answer, neither directly nor through others.
    fn failed(&mut self, probe: Probe, out: &mut Vec<Act>) {
        self.counts.failures += 1;
        let others = self.members.values().filter(|m| m.claim.state.here()).count() > 1;
        if !probe.helped && others {
            self.health.worse();
        }
        let Some(member) = self.members.get(&probe.name) else { return };
        if !member.claim.state.here() {
            return;
        }
        self.counts.suspicions += 1;
        let claim = member.claim.with(State::Suspected);
        let me = self.me.name.clone();
        self.suspect(&probe.name, claim, &me, Why::Seen, out);
        // Whoever stands behind it on the rings is looked at at once.
        self.observe_more();
        self.turn_at = self.turn_at.min(if self.turns.is_empty() { self.turn_at } else { self.now });
        if mutant("no-suspicion") {
            self.bury(&probe.name, out);
            return;
        }
        // The other observers hear of it at once: together they can be sure sooner.
        let others: Vec<String> = self.observers_of(&probe.name).into_iter().map(str::to_string).collect();
        let others: Vec<String> = others.into_iter().filter(|name| *name != me && !self.sick(name)).collect();
        for name in others.into_iter().take(VOTES) {
            if let Some(to) = self.members.get(&name).and_then(Member::address) {
                let record = self.vote(&probe.name);
                self.send_with(&name, to, None, record, out);
            }
        }
    }

    fn vote(&self, name: &str) -> Option<Record> {
        let member = self.members.get(name)?;
        Some(Record { by: self.me.name.clone(), ..member.record(name, false, "") })
    }

    fn suspect(&mut self, name: &str, claim: Claim, by: &str, why: Why, out: &mut Vec<Act>) {
        let now = self.now;
        let Some(member) = self.members.get_mut(name) else { return };
        let first = claim.overrules(&member.claim);
        if first {
            member.suspicion = Some(Suspicion { since: now, by: BTreeSet::new() });
            self.stand(name, claim, why, by, out);
        }
        let Some(member) = self.members.get_mut(name).filter(|m| m.claim == claim) else { return };
        if let Some(suspicion) = &mut member.suspicion {
            // What each sees ends with its own round trips: no vote stays that could not be given now.
            if suspicion.by.len() < 16
                && !by.is_empty()
                && suspicion.by.insert(by.into())
                && by == self.me.name
            {
                suspicion.since = suspicion.since.max(now - self.plan.period);
            }
        }
    }

    /// How long a suspicion of this front's own stands before it is a death.
    fn wait(&self, name: &str, suspicion: &Suspicion) -> Micros {
        let here = self.here();
        let scale = ((here as f64).log10() / 2.0).max(1.0);
        let least = self.plan.period as f64 * scale;
        let observers = self.observers_of(name);
        let agree = observers.iter().filter(|o| suspicion.by.contains(**o)).count().saturating_sub(1);
        // One that is itself suspected may never speak: with many gone at once the rest decide among themselves.
        let able = |o: &&&str| ***o == self.me.name || self.members.get(**o).is_some_and(Member::sound);
        let needed = AGREE.min(observers.iter().filter(able).count().saturating_sub(1));
        let share = if needed == 0 { 1.0 } else { (agree as f64 + 1.0).ln() / (needed as f64 + 1.0).ln() };
        let wait = least * ALONE - (least * ALONE - least) * share.min(1.0);
        wait as Micros * self.health.stretch()
    }

    /// Once a period: suspicions that are due, forgetting, digests, the dead and the contacts.
    fn period(&mut self, out: &mut Vec<Act>) {
        let (now, period) = (self.now, self.plan.period);
        // Suspicions are looked at four times a period, all else once.
        self.period_at = now + period / 4;
        let me = self.me.name.clone();
        let mut due = Vec::new();
        let mut look = Vec::new();
        for (name, member) in &self.members {
            let Some(suspicion) =
                member.suspicion.as_ref().filter(|_| member.claim.state == State::Suspected)
            else {
                continue;
            };
            let age = now - suspicion.since;
            if suspicion.by.contains(&me) {
                if age >= self.wait(name, suspicion) {
                    due.push(name.clone());
                }
            } else if age as f64 > UNDECIDED * ALONE * period as f64 {
                look.push(name.clone());
            }
        }
        for name in due {
            self.bury(&name, out);
        }
        for name in look {
            self.probe(&name, out);
        }
        // One that has not caught up asks four times as often.
        self.quarter = (self.quarter + 1) % 4;
        let stirred = now - self.changed_at < STIRRED * period;
        // What begins an exchange that there are no bytes to go on with is wasted, and takes more from the next.
        self.refill();
        let poor = self.budget < self.plenty(SPEAK);
        if self.quarter != 0 && ((self.joined && !stirred) || poor) {
            return;
        }
        let here = self.some(1, "");
        if let Some((name, to)) = here.first() {
            let root = Root { digest: self.digest.root(), count: self.here() as u64 };
            self.send(name, *to, Some(Said::Root(root)), out);
        }
        if self.quarter != 0 {
            return;
        }
        self.forget(out);
        self.unstreamed.retain(|_, until| now < *until);
        // A split that heals is noticed by asking one of those beyond it now and then.
        let dead: Vec<(String, SocketAddr)> = self
            .members
            .iter()
            .filter(|(_, m)| m.claim.state == State::Dead)
            .filter_map(|(name, m)| Some((name.clone(), m.address()?)))
            .collect();
        if !dead.is_empty() {
            let (name, to) = dead[self.rng.usize(0..dead.len())].clone();
            let seq = 0;
            self.send(&name, to, Some(Said::Ping(Ping { seq, to: name.clone() })), out);
        }
        let known = |to: &SocketAddr| {
            let to = to.to_string();
            self.members.values().any(|m| m.claim.state.here() && m.body.address == to)
        };
        let asked: Vec<SocketAddr> = self
            .plan
            .contacts
            .iter()
            .copied()
            .filter(|to| *to != self.plan.advertise && !known(to))
            .collect();
        for to in asked {
            self.send("", to, Some(Said::Ping(Ping { seq: 0, to: String::new() })), out);
        }
    }

    /// Nobody spoke up for it.
    fn bury(&mut self, name: &str, out: &mut Vec<Act>) {
        let Some(member) = self.members.get(name).filter(|m| m.claim.state == State::Suspected) else {
            return;
        };
        let claim = member.claim.with(State::Dead);
        self.counts.deaths += 1;
        let me = self.me.name.clone();
        self.stand(name, claim, Why::Seen, &me, out);
    }

    fn forget(&mut self, out: &mut Vec<Act>) {
        let before = self.now - self.plan.remember;
        if mutant("tombstones-for-ever") {
            return;
        }
        let old: Vec<String> = self
            .members
            .iter()
            .filter(|(_, m)| !m.claim.state.here() && m.since < before)
            .map(|(name, _)| name.clone())
            .collect();
        for name in old {
            if let Some(member) = self.members.remove(&name) {
                if !mutant("forgets-whole") {
                    self.forgotten.insert(name.clone(), (member.claim.start, self.now));
                }
            }
            self.rumors.forget(&name);
            out.push(Act::Tell(Change::Forgotten { name }));
        }
        while self.forgotten.len() > FORGOTTEN * self.plan.members_most {
            let oldest = self.forgotten.iter().min_by_key(|(_, (_, at))| *at).map(|(name, _)| name.clone());
            oldest.into_iter().for_each(|name| {
                self.forgotten.remove(&name);
            });
        }
    }

    // What is heard.

    pub fn hear(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Act>) {
        self.now = self.now.max(now);
        self.counts.heard += 1;
        self.counts.heard_bytes += bytes.len() as u64;
        match wire::read(bytes, self.fleet) {
            Ok(packet) if !self.out => {
                if let Err(why) = self.heard(packet, out) {
                    self.drop(why);
                }
            }
            Ok(_) => {}
            Err(why) => self.drop(why),
        }
    }

    fn drop(&mut self, why: Dropped) {
        *self.counts.dropped.entry(why).or_default() += 1;
    }

    fn heard(&mut self, packet: Packet, out: &mut Vec<Act>) -> Result<(), Dropped> {
        let from = packet.from.clone();
        if from == self.me.name {
            if packet.nonce != self.nonce {
                self.twin(packet.start, packet.nonce, &packet.address, out);
                return Err(Dropped::Twin);
            }
            return Ok(());
        }
        let back: SocketAddr = packet.address.parse().map_err(|_| Dropped::Bounds)?;
        let spoke_up = packet.you.is_some_and(|you| self.told_of_me(you, &from, out));
        // Its own word, as far as its head tells.
        let own = Claim { start: packet.start, incarnation: packet.incarnation, state: State::Alive };
        if self.forgotten.get(&from).is_some_and(|(start, _)| packet.start <= *start) {
            // Whoever is alive and was forgotten is to come back by a later start.
            self.send(&from, back, None, out);
            return Err(Dropped::Dead);
        }
        if !matches!(packet.said, Some(Said::Leaving(_))) {
            let body = Body { address: packet.address.clone(), nonce: packet.nonce, ..Body::default() };
            self.learn(&from, own, (0, body, Vec::new()), "", Why::Said, out)?;
        }
        let now = self.now;
        self.members.get_mut(&from).into_iter().for_each(|m| m.met = Some(now));
        let dead =
            self.members.get(&from).is_some_and(|m| m.claim.start != packet.start || !m.claim.state.here());
        if dead && !matches!(packet.said, Some(Said::Leaving(_))) {
            // It hears what is held of it, and can speak up; what it says of others does not count till then. To what
            // asks nothing there is no answer, or two that hold each other dead would never end.
            let asked = packet.said.is_some();
            if !self.answer(&from, back, packet.said, out) && (asked || spoke_up) {
                self.send(&from, back, None, out);
            }
            return Err(Dropped::Dead);
        }
        for record in packet.records {
            self.record(record, true, out);
        }
        match packet.said {
            Some(Said::Leaving(Seq { seq })) => {
                let left = own.with(State::Left);
                let body = Body { address: packet.address.clone(), ..Body::default() };
                let _ = self.learn(&from, left, (0, body, Vec::new()), "", Why::Said, out);
                self.send(&from, back, Some(Said::Confirmed(Seq { seq })), out);
            }
            Some(Said::Confirmed(_)) => {
                if let Some(leave) = &mut self.leave {
                    leave.confirmed.insert(from);
                }
            }
            Some(Said::Root(Root { digest, count })) => {
                let here = self.here() as u64;
                if digest == self.digest.root() {
                    self.agreed(out);
                } else if count * 2 < here {
                    // It knows so little that some at random are more use to it than a comparison; from those it
                    // hears of others, so that a few contacts need not tell it all.
                    if self.afford() {
                        let many = if self.streams(back) { HANDED.max(count as usize) } else { HANDED };
                        let some = self.some(many, &from).into_iter().map(|(name, _)| name).collect();
                        self.hand_out(&from, back, some, out);
                    }
                } else if self.afford() {
                    let digests = self.digest.short();
                    self.send(&from, back, Some(Said::Buckets(Buckets { digests })), out);
                }
            }
            Some(Said::Buckets(Buckets { digests })) => self.differ(&from, back, &digests, out),
            Some(Said::Have(have)) => self.compare(&from, back, have, out),
            Some(Said::Want(want)) => {
                for record in want.records {
                    self.record(record, false, out);
                }
                self.hand_out(&from, back, want.names, out);
            }
            said => {
                if !self.answer(&from, back, said, out) && spoke_up {
                    self.send(&from, back, None, out);
                }
            }
        }
        Ok(())
    }

    /// Probes and their answers. True if something was sent back.
    fn answer(&mut self, from: &str, back: SocketAddr, said: Option<Said>, out: &mut Vec<Act>) -> bool {
        match said {
            Some(Said::Ping(ping)) => {
                // One that took over the address of another is not who was meant.
                if ping.to.is_empty() || ping.to == self.me.name {
                    self.send(from, back, Some(Said::Ack(Seq { seq: ping.seq })), out);
                }
                true
            }
            Some(Said::Ack(Seq { seq })) => {
                self.acked(from, seq, out);
                false
            }
            Some(Said::Ask(ask)) => {
                let Ok(to) = ask.address.parse() else { return false };
                self.seq += 1;
                let (period, now) = (self.plan.period, self.now);
                let nack = now + period / DIRECT;
                let errand = Errand { seq: ask.seq, back, who: from.into(), until: now + period, nack };
                if self.errands.len() < self.plan.members_most {
                    self.errands.insert(self.seq, errand);
                    let ping = Ping { seq: self.seq, to: ask.target.clone() };
                    self.send(&ask.target, to, Some(Said::Ping(ping)), out);
                }
                true
            }
            Some(Said::Nack(Seq { seq })) => {
                if let Some(probe) = self.probes.get_mut(&seq) {
                    probe.helped = true;
                    self.health.better();
                }
                false
            }
            _ => false,
        }
    }

    fn acked(&mut self, from: &str, seq: u64, out: &mut Vec<Act>) {
        if let Some(errand) = self.errands.remove(&seq) {
            self.send(&errand.who, errand.back, Some(Said::Ack(Seq { seq: errand.seq })), out);
            return;
        }
        let Some(probe) = self.probes.remove(&seq) else { return };
        self.health.better();
        let now = self.now;
        let took = (now - probe.sent) as f64;
        let direct = probe.name == from;
        let me = self.me.name.clone();
        if let Some(member) = self.members.get_mut(&probe.name) {
            member.heard = Some(now);
            if direct {
                member.round_trip = Some(member.round_trip.map_or(took, |r| r + SMOOTHING * (took - r)));
            }
            // This front no longer says so; who does is told by the one concerned, who has heard of it by now.
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.by.remove(&me);
            }
        }
    }

    /// What another holds of this front. True if it had to speak up.
    fn told_of_me(&mut self, you: You, by: &str, out: &mut Vec<Act>) -> bool {
        let Some(state) = State::of(you.state) else { return false };
        if you.forgotten || you.start > self.own.start {
            if you.start < self.own.start {
                return false;
            }
            return match past(self.own, you.start) {
                Some(claim) if you.forgotten || self.leave.is_none() => {
                    out.push(Act::Tell(Change::Passed { start: you.start }));
                    self.speak(claim, out)
                }
                _ => false,
            };
        }
        let heard = Claim { start: you.start, incarnation: you.incarnation, state };
        match refute(self.own, heard) {
            Some(claim) => {
                self.counts.refutations += 1;
                out.push(Act::Tell(Change::Refuted { by: by.into() }));
                self.speak(claim, out)
            }
            None => false,
        }
    }

    fn speak(&mut self, claim: Claim, _: &mut Vec<Act>) -> bool {
        self.digest.turn(&self.me.name, &self.own, self.rev);
        if claim.start != self.own.start {
            self.rev = self.rev.max(1);
        }
        self.own = claim;
        self.digest.turn(&self.me.name, &self.own, self.rev);
        let members = self.members.len();
        self.rumors.put(&self.me.name.clone(), members);
        self.push_soon();
        true
    }

    /// Another process of this front's name.
    fn twin(&mut self, start: u64, nonce: u64, address: &str, out: &mut Vec<Act>) {
        if start < self.own.start {
            return;
        }
        if self.passed.contains(&nonce) || self.passed.len() >= PASSES {
            self.out = true;
            out.push(Act::Tell(Change::GaveWay { to: address.into() }));
            return;
        }
        self.passed.push(nonce);
        if let Some(claim) = past(self.own, start) {
            out.push(Act::Tell(Change::Passed { start }));
            self.speak(claim, out);
        }
    }

    fn record(&mut self, record: Record, fresh: bool, out: &mut Vec<Act>) {
        let Some(claim) = record.claim() else { return };
        if record.name == self.me.name {
            let body = wire::body(&record.body).filter(|_| !record.body.is_empty());
            if record.start > self.own.start {
                let nonce = body.as_ref().map_or(0, |b| b.nonce);
                let address = body.map_or(String::new(), |b| b.address);
                self.twin(record.start, nonce, &address, out);
            } else {
                let you = You {
                    start: record.start,
                    incarnation: record.incarnation,
                    state: record.state,
                    forgotten: false,
                };
                self.told_of_me(you, &record.by, out);
            }
            return;
        }
        let why = if fresh { Why::Heard } else { Why::Caught };
        let kept = self.forgotten.get(&record.name);
        if kept.is_some_and(|(start, _)| record.start <= *start) {
            return;
        }
        let body = wire::body(&record.body).unwrap_or_default();
        let told = (if record.body.is_empty() { 0 } else { record.rev }, body, record.body);
        let known = self.members.get(&record.name);
        match claim.state {
            State::Suspected => {
                if known.is_none() && self.learn(&record.name, claim, told, &record.by, why, out).is_err() {
                    self.drop(Dropped::Full);
                }
                self.suspect(&record.name, claim, &record.by, why, out);
            }
            State::Dead if known.is_some_and(|m| self.doubtful(m, claim, fresh)) => {
                // Better evidence than hearsay, or old news: the one concerned is asked to speak up.
                self.suspect(&record.name, claim.with(State::Suspected), "", why, out);
                self.probe(&record.name, out);
            }
            _ => {
                if self.learn(&record.name, claim, told, &record.by, why, out).is_err() {
                    self.drop(Dropped::Full);
                }
            }
        }
    }

    /// Whether to believe at once that one of whom this front thinks better is dead.
    fn doubtful(&self, member: &Member, claim: Claim, fresh: bool) -> bool {
        if !claim.overrules(&member.claim) || !member.claim.state.here() || claim.start != member.claim.start
        {
            return false;
        }
        let age = |at: Micros| self.now - at;
        let met = member.heard.is_some_and(|at| (age(at) as f64) < FRESH * self.plan.period as f64);
        let held = member.claim.state == State::Suspected && age(member.since) >= STALE * self.plan.period;
        met || !(fresh || held)
    }

    /// Takes in what stands over what is known.
    fn learn(
        &mut self,
        name: &str,
        claim: Claim,
        (rev, body, raw): (u64, Body, Vec<u8>),
        by: &str,
        why: Why,
        out: &mut Vec<Act>,
    ) -> Result<(), Dropped> {
        let now = self.now;
        let Some(member) = self.members.get_mut(name) else {
            if self.members.len() + 1 >= self.plan.members_most || name.len() > crate::plan::TEXT_MOST {
                return Err(Dropped::Full);
            }
            let suspicion =
                (claim.state == State::Suspected).then(|| Suspicion { since: now, by: BTreeSet::new() });
            let (by, heard, round_trip) = (by.to_string(), None, None);
            let met = (why == Why::Said).then_some(now);
            let member = Member { claim, since: now, rev, body, raw, suspicion, by, heard, met, round_trip };
            self.members.insert(name.into(), member);
            if claim.state.here() {
                self.rings.put(name);
                self.digest.turn(name, &claim, rev);
                self.changed_at = now;
            }
            self.forgotten.remove(name);
            self.worded += 1;
            let by = by_of(why, name, &self.members);
            self.news(name, None, claim, why, by, out);
            return Ok(());
        };
        let later = claim.start > member.claim.start;
        if later {
            // Another process: nothing of what the former said holds.
            if member.claim.state.here() {
                self.digest.turn(name, &member.claim, member.rev);
            }
            (member.rev, member.heard, member.round_trip) = (0, None, None);
            member.raw.clear();
            member.body = body.clone();
            if member.claim.state.here() {
                self.digest.turn(name, &member.claim, 0);
            }
        }
        let address_only = rev == 0 && member.body.address.is_empty();
        if claim.start == member.claim.start.max(claim.start) && (rev > member.rev || address_only) {
            let here = member.claim.state.here();
            if here {
                self.digest.turn(name, &member.claim, member.rev);
            }
            let first = member.rev == 0;
            self.worded += 1;
            // Old news, from a digest, is not told on: digests go on by themselves.
            let told_on = why != Why::Caught;
            (member.rev, member.body, member.raw) = (rev.max(member.rev), body, raw);
            if here {
                self.digest.turn(name, &member.claim, member.rev);
                self.changed_at = now;
            }
            let members = self.members.len();
            if told_on {
                self.rumors.put(name, members);
            }
            if !first {
                out.push(Act::Tell(Change::Values { name: name.into() }));
            }
        }
        if self.members.get(name).is_some_and(|m| claim.overrules(&m.claim)) {
            self.stand(name, claim, why, by, out);
        }
        Ok(())
    }

    /// From here on this claim stands.
    fn stand(&mut self, name: &str, claim: Claim, why: Why, by: &str, out: &mut Vec<Act>) {
        let now = self.now;
        let Some(member) = self.members.get_mut(name) else { return };
        let former = member.claim;
        if former.state.here() {
            self.digest.turn(name, &former, member.rev);
        }
        member.claim = claim;
        if former.state != claim.state || former.start != claim.start {
            member.since = now;
        }
        if claim.state != State::Suspected {
            member.suspicion = None;
            member.by = by.into();
        } else if member.suspicion.is_none() {
            member.suspicion = Some(Suspicion { since: now, by: BTreeSet::new() });
        }
        if claim.state.here() {
            self.digest.turn(name, &claim, member.rev);
        }
        match (former.state.here(), claim.state.here()) {
            (true, false) => self.rings.take(name),
            (false, true) => self.rings.put(name),
            _ => {}
        }
        if former.state.here() != claim.state.here() || former.start != claim.start {
            self.changed_at = now;
        }
        self.news(name, Some(former), claim, why, by.to_string(), out);
    }

    fn news(
        &mut self,
        name: &str,
        former: Option<Claim>,
        claim: Claim,
        why: Why,
        by: String,
        out: &mut Vec<Act>,
    ) {
        let members = self.members.len();
        // What is known by name only says nothing yet, and what came from a digest is old news.
        let bare = claim.state == State::Alive && self.members.get(name).is_none_or(|m| m.raw.is_empty());
        let back = former.is_some_and(|f| !f.state.here());
        if (why != Why::Caught && !bare) || back {
            self.rumors.put(name, members);
        }
        let grave = |c: Claim| !c.state.here();
        let seen = why == Why::Seen;
        if seen
            || (why != Why::Caught || back)
                && former.is_none_or(|f| grave(f) != grave(claim) || f.start != claim.start)
        {
            self.push_soon();
        }
        let from = former.map(|f| f.state);
        if from != Some(claim.state) || former.is_some_and(|f| f.start != claim.start) {
            out.push(Act::Tell(Change::Member {
                name: name.into(),
                from,
                to: claim.state,
                start: claim.start,
                incarnation: claim.incarnation,
                why,
                by,
            }));
        }
    }

    fn push_soon(&mut self) {
        let at = self.now + self.plan.period / PUSH;
        self.push_at = Some(self.push_at.map_or(at, |p| p.min(at)));
    }

    fn push(&mut self, out: &mut Vec<Act>) {
        for (name, to) in self.some(PUSHED, "") {
            if !self.afford() {
                return;
            }
            self.send(&name, to, None, out);
        }
    }

    // Digests.

    fn agreed(&mut self, out: &mut Vec<Act>) {
        if !self.joined {
            self.joined = true;
            out.push(Act::Tell(Change::Joined));
        }
    }

    fn differ(&mut self, from: &str, back: SocketAddr, theirs: &[u32], out: &mut Vec<Act>) {
        let mine = self.digest.short();
        let start = self.rng.usize(0..wire::BUCKETS);
        let differing: Vec<usize> = (0..wire::BUCKETS)
            .map(|at| (start + at) % wire::BUCKETS)
            .filter(|at| theirs.get(*at) != mine.get(*at))
            .collect();
        if differing.is_empty() {
            return self.agreed(out);
        }
        let mut lists: BTreeMap<usize, Vec<Record>> = differing.iter().map(|b| (*b, Vec::new())).collect();
        if let Some(list) = lists.get_mut(&bucket(&self.me.name)) {
            list.push(self.own_record(false));
        }
        for (name, member) in &self.members {
            if let Some(list) = lists.get_mut(&bucket(name)) {
                list.push(member.record(name, false, &self.me.name));
            }
        }
        let all: usize = lists.values().flatten().map(|r| prost::Message::encoded_len(r) + 3).sum();
        if all > STREAMED && self.streams(back) {
            // Whole buckets as far as one chunk goes; the rest is found by the next comparison, from another on.
            let (mut have, mut size) = (Have::default(), 0);
            for at in differing {
                let list = lists.remove(&at).unwrap_or_default();
                size += list.iter().map(|r| prost::Message::encoded_len(r) + 3).sum::<usize>();
                if size > CHUNK && !have.buckets.is_empty() {
                    break;
                }
                have.buckets.push(at as u32);
                have.items.extend(list);
            }
            if self.afford() {
                self.chunk(back, Said::Have(have), out);
            }
            return;
        }
        let mut have = Have::default();
        for at in differing {
            let list = lists.remove(&at).unwrap_or_default();
            let more: usize = list.iter().map(|r| prost::Message::encoded_len(r) + 3).sum();
            if prost::Message::encoded_len(&have) + more + 8 > ROOM && !have.items.is_empty() {
                let full = std::mem::take(&mut have);
                if !self.afford() {
                    return;
                }
                self.send(from, back, Some(Said::Have(full)), out);
            }
            if more <= ROOM {
                have.buckets.push(at as u32);
                have.items.extend(list);
                continue;
            }
            // Too many for one datagram: told in parts, and none of them as the whole.
            for part in list.chunks(10) {
                if !self.afford() {
                    return;
                }
                let part = Have { buckets: Vec::new(), items: part.to_vec() };
                self.send(from, back, Some(Said::Have(part)), out);
            }
        }
        if !have.buckets.is_empty() {
            self.send(from, back, Some(Said::Have(have)), out);
        }
    }

    fn compare(&mut self, from: &str, back: SocketAddr, have: Have, out: &mut Vec<Act>) {
        let mut names = Vec::new();
        let mut newer: Vec<String> = Vec::new();
        let told: BTreeSet<String> = have.items.iter().map(|i| i.name.clone()).collect();
        for item in have.items {
            let Some(claim) = item.claim() else { continue };
            if item.name == self.me.name {
                let behind = (self.own.start, self.own.incarnation, self.rev)
                    > (claim.start, claim.incarnation, item.rev);
                self.record(item.clone(), false, out);
                if behind || claim.state != State::Alive {
                    newer.push(item.name);
                }
                continue;
            }
            match self.members.get(&item.name) {
                None => {
                    let kept = self.forgotten.get(&item.name);
                    if kept.is_none_or(|(start, _)| item.start > *start) {
                        names.push(item.name);
                    }
                }
                Some(m) if claim == m.claim && item.rev == m.rev => {}
                Some(m) => {
                    let body =
                        claim.start > m.claim.start || (claim.start == m.claim.start && item.rev > m.rev);
                    let mine = m.claim > claim || (claim.start == m.claim.start && m.rev > item.rev);
                    if body {
                        names.push(item.name.clone());
                    } else if claim > m.claim {
                        self.record(item.clone(), false, out);
                    }
                    if mine {
                        newer.push(item.name);
                    }
                }
            }
        }
        // What a bucket told whole does not name, the other does not know.
        let whole: BTreeSet<usize> = have.buckets.iter().map(|b| *b as usize).collect();
        let unknown = |(name, m): &(&String, &Member)| {
            m.claim.state.here() && whole.contains(&bucket(name)) && !told.contains(*name)
        };
        newer.extend(self.members.iter().filter(unknown).map(|(name, _)| name.clone()));
        if whole.contains(&bucket(&self.me.name)) && !told.contains(&self.me.name) {
            newer.push(self.me.name.clone());
        }
        if names.len() > STREAMED / 24 && self.streams(back) {
            if self.afford() {
                self.chunk(back, Said::Want(Want { names, records: Vec::new() }), out);
            }
            return self.hand_out(from, back, newer, out);
        }
        for chunk in names.chunks(24) {
            if !self.afford() {
                return;
            }
            let want = Want { names: chunk.to_vec(), records: Vec::new() };
            self.send(from, back, Some(Said::Want(want)), out);
        }
        self.hand_out(from, back, newer, out);
    }

    /// Records to one that lacks them.
    fn hand_out(&mut self, to: &str, back: SocketAddr, mut names: Vec<String>, out: &mut Vec<Act>) {
        if names.len() > HANDED && self.streams(back) {
            // Where not all go at once, others are sent next time.
            self.rng.shuffle(&mut names);
            return self.hand_chunks(back, &names, out);
        }
        let mut want = Want::default();
        for name in names {
            let Some(record) = self.whole_record(&name) else { continue };
            let more = prost::Message::encoded_len(&record) + 4;
            if !want.records.is_empty() && prost::Message::encoded_len(&want) + more > ROOM {
                let full = std::mem::take(&mut want);
                if !self.afford() {
                    return;
                }
                self.send(to, back, Some(Said::Want(full)), out);
            }
            want.records.push(record);
        }
        if !want.records.is_empty() {
            self.send(to, back, Some(Said::Want(want)), out);
        }
    }

    fn streams(&self, to: SocketAddr) -> bool {
        self.plan.streams && !self.unstreamed.contains_key(&to)
    }

    fn hand_chunks(&mut self, back: SocketAddr, names: &[String], out: &mut Vec<Act>) {
        let (mut records, mut size) = (Vec::new(), 0);
        for (at, name) in names.iter().enumerate() {
            if let Some(record) = self.whole_record(name) {
                size += prost::Message::encoded_len(&record) + 4;
                records.push(record);
            }
            let last = at + 1 == names.len();
            if (size >= CHUNK || last) && !records.is_empty() {
                if !self.afford() {
                    return;
                }
                let records = std::mem::take(&mut records);
                self.chunk(back, Said::Want(Want { names: Vec::new(), records }), out);
                size = 0;
            }
        }
    }

    fn chunk(&mut self, to: SocketAddr, said: Said, out: &mut Vec<Act>) {
        let kind = said.name();
        let packet = self.packet(None, Some(said), Vec::new());
        wire::write_chunk(&packet, &mut self.spare);
        if self.spare.len() > wire::CHUNK_MOST {
            return;
        }
        self.spend(kind);
        self.counts.chunks += 1;
        out.push(Act::Stream { to, bytes: self.spare.clone() });
    }

    // Leaving.

    pub fn leave(&mut self, now: Micros, out: &mut Vec<Act>) {
        self.now = now;
        if self.leave.is_some() || self.out {
            return;
        }
        self.digest.turn(&self.me.name, &self.own, self.rev);
        self.own = self.own.with(State::Left);
        let until = now + LEAVING * self.plan.period;
        self.leave = Some(Leave { until, again: now, confirmed: BTreeSet::new() });
        self.tell_leave(out);
    }

    fn tell_leave(&mut self, out: &mut Vec<Act>) {
        let now = self.now;
        let Some(leave) = &mut self.leave else { return };
        if leave.confirmed.len() >= CONFIRMED || now >= leave.until {
            let confirmed = leave.confirmed.len();
            leave.again = Micros::MAX;
            out.push(Act::Tell(Change::Gone { confirmed }));
            return;
        }
        leave.again = now + self.plan.period / 10;
        let done = leave.confirmed.clone();
        let to = self.some(LEAVING_TO, "");
        for (name, to) in to.into_iter().filter(|(name, _)| !done.contains(name)) {
            self.send(&name, to, Some(Said::Leaving(Seq { seq: 0 })), out);
        }
    }

    // Sending.

    /// Some that are there, by chance; of a few drawn for each place the one that was met last, as when many have just
    /// gone most of those that the view still holds are not there.
    fn some(&mut self, many: usize, but: &str) -> Vec<(String, SocketAddr)> {
        let here = self.members.iter().filter(|(name, m)| m.claim.state == State::Alive && *name != but);
        let mut all: Vec<(&String, SocketAddr, Option<Micros>)> =
            here.filter_map(|(name, m)| Some((name, m.address()?, m.met))).collect();
        let mut some = Vec::new();
        while some.len() < many && !all.is_empty() {
            let draws = (0..DRAWN).map(|_| self.rng.usize(0..all.len()));
            let best = draws.max_by_key(|at| all[*at].2.map(|met| met / self.plan.period)).unwrap_or(0);
            let (name, to, _) = all.swap_remove(best);
            some.push((name.clone(), to));
        }
        some
    }

    fn refill(&mut self) {
        let rate = self.plan.bytes_per_s as f64;
        self.budget += (self.now - self.budget_at) as f64 * rate / SEC as f64;
        self.budget = self.budget.min(rate * BURST as f64);
        self.budget_at = self.now;
    }

    fn plenty(&self, part: f64) -> f64 {
        (self.plan.bytes_per_s * BURST) as f64 * part
    }

    /// Whether there is room in the bytes a second for what can wait.
    fn afford(&mut self) -> bool {
        self.refill();
        let room = self.budget >= wire::MOST as f64;
        self.counts.held_back += u64::from(!room);
        room
    }

    fn send(&mut self, name: &str, to: SocketAddr, said: Option<Said>, out: &mut Vec<Act>) {
        self.send_with(name, to, said, None, out);
    }

    fn send_with(
        &mut self,
        name: &str,
        to: SocketAddr,
        said: Option<Said>,
        first: Option<Record>,
        out: &mut Vec<Act>,
    ) {
        self.refill();
        let forgotten = self.forgotten.get(name).filter(|_| !self.members.contains_key(name));
        let you = match (self.members.get(name), forgotten) {
            (Some(m), _) if m.claim.state != State::Alive => Some(m.claim).map(|c| (c, false)),
            (None, Some((start, _))) => Some((Claim::alive(*start).with(State::Dead), true)),
            _ => None,
        };
        let you = you.map(|(c, forgotten)| You {
            start: c.start,
            incarnation: c.incarnation,
            state: c.state as u32,
            forgotten,
        });
        let carries = first.is_none() && matches!(said, None | Some(Said::Ping(_) | Said::Ack(_)));
        let kind = said.as_ref().map_or("news", Said::name);
        let mut packet = self.packet(you, said, first.into_iter().collect());
        // One that is not known is told who asks, whole: it may not know this front either.
        let stranger = self.members.get(name).is_none_or(|m| m.rev == 0);
        if stranger {
            packet.records.push(self.own_record(true));
        }
        // Probes go out whatever was sent; news only as far as the bytes a second go.
        let plenty = self.budget >= self.plenty(TALK);
        // What is told to one that may be dead is not told.
        if carries && self.budget >= self.plenty(SPEAK) && !self.sick(name) {
            let mut size = wire::length(&packet);
            let mut rumors = std::mem::take(&mut self.rumors);
            rumors.tell(|rumor| {
                if rumor == self.me.name && stranger {
                    return true;
                }
                let Some(record) = self.whole_record(rumor) else { return true };
                if !plenty && !record.body.is_empty() {
                    return true;
                }
                let more = prost::Message::encoded_len(&record) + 4;
                if size + more > wire::MOST {
                    return false;
                }
                size += more;
                packet.records.push(record);
                true
            });
            self.rumors = rumors;
        }
        wire::write(&packet, &mut self.spare);
        if self.spare.len() > wire::MOST {
            packet.records.clear();
            wire::write(&packet, &mut self.spare);
        }
        self.spend(kind);
        self.counts.sent += 1;
        out.push(Act::Send { to, bytes: self.spare.clone() });
    }

    fn packet(&self, you: Option<You>, said: Option<Said>, records: Vec<Record>) -> Packet {
        Packet {
            fleet: self.fleet,
            from: self.me.name.clone(),
            start: self.own.start,
            incarnation: self.own.incarnation,
            nonce: self.nonce,
            address: self.body.address.clone(),
            rev: self.rev,
            you,
            said,
            records,
        }
    }

    /// What lies ready to be sent is counted against the bytes a second.
    fn spend(&mut self, kind: &'static str) {
        // Answers go out whatever was sent. What a thousand that start at once cost a contact is not paid back for a
        // minute in silence, or nobody could tell them of each other.
        let most = (self.plan.bytes_per_s * BURST) as f64;
        self.budget = (self.budget - self.spare.len() as f64).max(-most);
        self.counts.sent_bytes += self.spare.len() as u64;
        *self.counts.spent.entry(kind).or_default() += self.spare.len() as u64;
    }

    /// Of this front or of a member, with what it says of itself.
    fn whole_record(&self, name: &str) -> Option<Record> {
        if name == self.me.name {
            return Some(self.own_record(true));
        }
        self.members.get(name).map(|member| member.record(name, true, &self.me.name))
    }

    fn own_record(&self, whole: bool) -> Record {
        Record {
            name: self.me.name.clone(),
            start: self.own.start,
            incarnation: self.own.incarnation,
            state: self.own.state as u32,
            by: String::new(),
            rev: self.rev,
            body: if whole { self.raw.clone() } else { Vec::new() },
        }
    }

    /// It says something else of itself from here on.
    fn reword(&mut self) {
        if self.own.state == State::Alive {
            self.digest.turn(&self.me.name, &self.own, self.rev);
        }
        self.rev += 1;
        if self.own.state == State::Alive {
            self.digest.turn(&self.me.name, &self.own, self.rev);
        }
        self.raw = prost::Message::encode_to_vec(&self.body);
        let members = self.members.len();
        self.rumors.put(&self.me.name.clone(), members);
        self.push_soon();
    }
}

/// Who is behind what one has heard, for the log.
fn by_of(why: Why, name: &str, members: &BTreeMap<String, Member>) -> String {
    match why {
        Why::Said => name.to_string(),
        _ => members.get(name).map_or(String::new(), |m| m.by.clone()),
    }
}

impl Member {
    fn sound(&self) -> bool {
        self.claim.state == State::Alive
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.body.address.parse().ok()
    }

    fn record(&self, name: &str, whole: bool, by: &str) -> Record {
        let by = match (&self.suspicion, self.claim.state) {
            (Some(s), State::Suspected) if s.by.contains(by) => by.to_string(),
            (Some(s), State::Suspected) => s.by.iter().next().cloned().unwrap_or_default(),
            (_, State::Dead) => self.by.clone(),
            _ => String::new(),
        };
        Record {
            name: name.into(),
            start: self.claim.start,
            incarnation: self.claim.incarnation,
            state: self.claim.state as u32,
            by,
            rev: self.rev,
            body: if whole && self.claim.state.here() { self.raw.clone() } else { Vec::new() },
        }
    }
}
