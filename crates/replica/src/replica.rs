//! One front's part of the shared state: what it holds, what it tells on, what it compares, and how it catches up.
//!
//! Urgent records (purges, machines, effects) are pushed on as they change, each a bounded number of times; all kinds are
//! compared with one other front a period, by digests of buckets, then hashes, then what is missing. One that starts
//! asks the two nearest for all they hold, urgent kinds first, and goes on at another where one of them dies.

use crate::kind::{Kind, Tree, TREES};
use crate::kinds::{self, Ran};
use crate::ledger::{self, Electors, End, Ground, Ledger, Out, Terms, Word};
use crate::map::{hash, Key, Map, Room, Took};
use crate::opinion;
use crate::plan::Plan;
use crate::snapshot;
use crate::wire::{
    self, Ask, Buckets, CatchUp, Delta, Items, Packet, Part, Record, Records, Reply, Roots, Said, Want,
};
use crate::{mutant, Micros, SEC};
use meadowrill_members::envelope::Dropped;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// News waits so long for more to go with it.
const GATHER: Micros = 10_000;
/// Each is told to so many at a time, this many times the doublings that the fleet's size takes.
const FAN: usize = 3;
const TOLD: u32 = 1;
/// News that waits at the most; what is beyond is found by comparison.
const NEWS_MOST: usize = 20_000;
/// Of one message: what goes into a datagram, and into a chunk before it is packed.
const ROOM: usize = wire::MOST - 160;
const CHUNK: usize = 12 * 1024;
/// Of what is handed to one that catches up: lookups wait while it is packed.
const PART: usize = 6 * 1024;
/// Hashes in one comparison.
const HASHES: usize = 1500;
/// An exchange that brought nothing for so long is begun anew, at another front where there is one.
const STALLED: Micros = 400_000;
/// Requests of those that catch up which wait for bytes.
const OWED: usize = 8;
/// Bytes a second that may go at once, in seconds of them.
const BURST: f64 = 1.0;
const LENT: f64 = 0.02;
/// Weight of a new sample of a machine, objects told of in a period, and tenants.
const SMOOTHING: f64 = 0.1;
const SIGHTS: u32 = 200;
/// Of how many the lag is told between two looks.
const LAGS: usize = 256;
const TENANTS: usize = 200;
/// What others held when one died has had this many periods to reach the rest.
const SETTLED: Micros = 6;

/// Another front, as the view of the fleet has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    pub name: String,
    pub start: u64,
    pub here: bool,
    /// It left by its own word: it decides on nothing any more.
    pub left: bool,
    pub zone: String,
    /// Microseconds; none where it is not known.
    pub round_trip: Option<f64>,
    /// Whether it shares state, and decides on effects: an earlier build does not.
    pub shares: bool,
    pub ledger: bool,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    /// It decides on effects, by its own word or another's. One that starts anew says nothing for a moment, and must not be
    /// left out for that: what it and one other agreed on could be agreed on once more without them.
    elector: bool,
    /// When it was there last.
    here_at: Micros,
    /// What it holds of effects was compared since this front's start. Nothing undoes that: what this front agrees to it
    /// remembers, and what a later process of that name agrees to, that one has to compare with this front first.
    compared: bool,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Send {
        to: String,
        bytes: Vec<u8>,
    },
    Stream {
        to: String,
        bytes: Vec<u8>,
    },
    Word(Word),
    /// Heard from another front: it counts as told from now on.
    Purged {
        object: Option<u64>,
        group: u32,
        stamp: Micros,
    },
    Machine {
        id: String,
        start: Micros,
        phase: u8,
        machine: kinds::Machine,
    },
    /// What others have learned of a thing has changed: `opinion` tells what to make of it.
    Learned {
        what: Vec<u8>,
    },
    Tell(Told),
}

/// For the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// The urgent kinds are here (or time for them was up), after so long.
    Ready { caught_up: bool, took: Micros },
    /// All is here.
    CaughtUp { records: u64, took: Micros },
    /// A donor brought nothing: another is asked.
    Donor { former: String, next: String },
    /// From now on this front vouches for effects.
    Vouches { took: Micros },
}

/// One lane of catching up.
#[derive(Clone, Debug)]
struct Lane {
    donor: Option<String>,
    tree: Option<Tree>,
    asked_at: Micros,
}

#[derive(Clone, Debug)]
struct Catching {
    begun: Micros,
    lanes: [Lane; 2],
    /// How far each tree has come: none before the first part, and whether it is done.
    trees: [(Option<Key>, bool); TREES],
    records: u64,
    urgent_told: bool,
}

/// A comparison of effects with one other, so as to vouch.
#[derive(Clone, Debug)]
struct Comparing {
    asked_at: Micros,
    wants: Option<BTreeSet<u64>>,
    all: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    pub spent: BTreeMap<&'static str, u64>,
    pub dropped: BTreeMap<Dropped, u64>,
    /// Records taken in, by kind, as news and by comparison; and how long ago the news was made.
    pub news: BTreeMap<u32, u64>,
    pub repaired: BTreeMap<u32, u64>,
    /// Records that differed from one that was held, and lost or won against it.
    pub lost: u64,
    pub won: u64,
    pub held_back: u64,
    /// How old what came from others was, by kind, since somebody took these.
    pub lags: Vec<(Kind, Micros)>,
}

pub struct Replica {
    plan: Plan,
    me: String,
    start: u64,
    map: Map,
    ledger: Option<Ledger>,
    electors: Electors,
    /// It has compared with all that decide on effects.
    vouches: bool,
    peers: BTreeMap<String, Known>,
    news: VecDeque<Key>,
    news_at: Option<Micros>,
    queued: BTreeMap<Key, u32>,
    period_at: Micros,
    catching: Option<Catching>,
    comparing: BTreeMap<String, Comparing>,
    vouch_since: Micros,
    owed: VecDeque<(String, CatchUp)>,
    ready: Option<bool>,
    budget: f64,
    lent: f64,
    budget_at: Micros,
    now: Micros,
    rng: fastrand::Rng,
    spare: Vec<u8>,
    /// What the journal service itself said of machines: start and phase.
    said: BTreeMap<String, (Micros, u8)>,
    machines: BTreeMap<String, Seen>,
    /// What this front let in, by tenant.
    usage: BTreeMap<String, Used>,
    /// Of this period, how many more sights of objects may be told.
    sights_left: u32,
    pub counts: Counts,
}

#[derive(Clone, Debug, Default)]
struct Used {
    lookups: f64,
    kb: f64,
    /// Since it was told to the others last.
    changed: bool,
}

/// What this front sees of a machine.
#[derive(Clone, Debug, Default)]
struct Seen {
    failing: f64,
    first_byte: Option<f64>,
    /// In this period.
    sends: u64,
}

impl Replica {
    pub fn new(plan: Plan, me: &str, start: u64, now: Micros, seed: u64) -> Replica {
        let mut rng = fastrand::Rng::with_seed(seed ^ start);
        let ledger = plan.ledger.clone().map(|plan| Ledger::new(plan, me, start, rng.u64(..)));
        let lane = Lane { donor: None, tree: None, asked_at: now };
        Replica {
            map: Map::new(Room { entries: plan.entries, bytes: plan.bytes }),
            me: me.into(),
            start,
            ledger,
            electors: Electors { all: [(me.to_string(), Some(start))].into(), ..Electors::default() },
            vouches: false,
            peers: BTreeMap::new(),
            news: VecDeque::new(),
            news_at: None,
            queued: BTreeMap::new(),
            period_at: now + rng.i64(0..plan.period),
            catching: Some(Catching {
                begun: now,
                lanes: [lane.clone(), lane],
                trees: Default::default(),
                records: 0,
                urgent_told: false,
            }),
            comparing: BTreeMap::new(),
            vouch_since: now,
            owed: VecDeque::new(),
            ready: None,
            budget: plan.bytes_per_s as f64 * BURST,
            lent: plan.catch_up_bytes_per_s as f64 * LENT,
            budget_at: now,
            now,
            rng,
            spare: Vec::new(),
            said: BTreeMap::new(),
            machines: BTreeMap::new(),
            usage: BTreeMap::new(),
            sights_left: SIGHTS,
            counts: Counts::default(),
            plan,
        }
    }

    // What others ask of it.

    pub fn map(&self) -> &Map {
        &self.map
    }

    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    pub fn vouches(&self) -> bool {
        self.vouches
    }

    pub fn electors(&self) -> &Electors {
        &self.electors
    }

    /// Whether it may say that it is ready: none yet, else whether it had caught up by then.
    pub fn ready(&self) -> Option<bool> {
        self.ready
    }

    pub fn caught_up(&self) -> bool {
        self.catching.is_none()
    }

    pub fn waiting_news(&self) -> usize {
        self.news.len()
    }

    /// When [`Replica::tick`] is wanted next.
    pub fn next(&self) -> Micros {
        let mut next = self.period_at;
        next = self.news_at.into_iter().fold(next, Micros::min);
        next = self.ledger.as_ref().and_then(Ledger::next).into_iter().fold(next, Micros::min);
        if !self.owed.is_empty() {
            next = next.min(self.now + GATHER);
        }
        if self.catching.is_some() {
            next = next.min(self.now + STALLED / 4);
        }
        next
    }

    // What this front itself has to say.

    /// The journal service told of a purge. True if it was not known.
    pub fn put_purge(&mut self, now: Micros, object: Option<u64>, group: u32, stamp: Micros) -> bool {
        let (key, entry) = kinds::purge(object, group, stamp, self.plan.purge_keep);
        self.put(now, key, entry)
    }

    pub fn put_machine(
        &mut self,
        now: Micros,
        id: &str,
        start: Micros,
        phase: u8,
        machine: &kinds::Machine,
    ) -> bool {
        if self.said.len() < self.plan.entries || self.said.contains_key(id) {
            self.said.insert(id.to_string(), (start, phase));
        }
        // Rounded, so that fronts which hear of it at about the same time say the same.
        let until = (now / self.plan.machine_keep + 2) * self.plan.machine_keep;
        let (key, entry) = kinds::machine(id, start, phase, machine, until);
        let known = self.map.get(&key).is_some_and(|held| held.rank >= entry.rank && held.until >= until);
        !known && self.put(now, key, entry)
    }

    pub fn put_sight(&mut self, now: Micros, kind: Kind, what: &[u8], numbers: Vec<f64>) -> bool {
        let sight =
            kinds::Sight { writer: self.me.clone(), zone: self.plan.zone.clone(), numbers, at: now as u64 };
        let (key, entry) = kinds::sight(kind, what, self.start, &sight, now + self.plan.learned_keep);
        self.put(now, key, entry)
    }

    /// A lookup asked for this part; told to the others where it is the highest that this front saw of late.
    pub fn saw_part(&mut self, now: Micros, object: u64, part: u32) {
        let what = sight_of_object(object);
        if self.sights_left == 0 || self.says(&what, now).is_some_and(|n| n[0] >= f64::from(part)) {
            return;
        }
        self.sights_left -= 1;
        self.put_sight(now, Kind::Learned, &what, vec![f64::from(part)]);
    }

    /// What this front itself says of a thing, while it is young.
    fn says(&self, what: &[u8], now: Micros) -> Option<Vec<f64>> {
        let sight = kinds::Sight { writer: self.me.clone(), ..kinds::Sight::default() };
        let (key, _) = kinds::sight(Kind::Learned, what, self.start, &sight, 0);
        let entry = self.map.get(&key).filter(|e| now < e.until - self.plan.learned_keep / 2)?;
        kinds::read_sight(&key, entry).map(|(_, sight)| sight.numbers).filter(|n| !n.is_empty())
    }

    /// A send to a machine ended so.
    pub fn saw_end(&mut self, machine: &str, failed: bool, first_byte: Option<Micros>) {
        let seen = self.machines.entry(machine.to_string()).or_default();
        seen.failing += SMOOTHING * (f64::from(u8::from(failed)) - seen.failing);
        if let Some(time) = first_byte {
            let time = time as f64;
            seen.first_byte = Some(seen.first_byte.map_or(time, |f| f + SMOOTHING * (time - f)));
        }
        seen.sends += 1;
    }

    /// A tenant's lookup was let in.
    pub fn used(&mut self, tenant: &str, size_kb: f64) {
        if self.usage.len() >= TENANTS && !self.usage.contains_key(tenant) {
            return;
        }
        let used = self.usage.entry(tenant.to_string()).or_default();
        (used.lookups, used.kb, used.changed) = (used.lookups + 1.0, used.kb + size_kb, true);
    }

    /// Once a period: what this front has seen of machines and tenants goes to the others.
    fn publish(&mut self) {
        self.sights_left = SIGHTS;
        let now = self.now;
        let machines = std::mem::take(&mut self.machines);
        for (id, seen) in &machines {
            if seen.sends > 0 {
                let what = sight_of_machine(id);
                let numbers = vec![seen.failing, seen.first_byte.unwrap_or(-1.0), seen.sends as f64];
                self.put_sight(now, Kind::Learned, &what, numbers);
            }
        }
        self.machines = machines;
        self.machines.retain(|_, seen| std::mem::replace(&mut seen.sends, 0) > 0);
        let usage: Vec<(String, Vec<f64>)> = self
            .usage
            .iter_mut()
            .filter_map(|(tenant, used)| {
                let changed = std::mem::take(&mut used.changed);
                changed.then(|| (tenant.clone(), vec![used.lookups, used.kb]))
            })
            .collect();
        for (tenant, numbers) in usage {
            self.put_sight(now, Kind::Usage, tenant.as_bytes(), numbers);
        }
    }

    /// What the others make of a thing.
    pub fn opinion(&self, what: &[u8]) -> Option<opinion::Opinion> {
        let sights = opinion::sights(&self.map, Kind::Learned, what, (&self.me, self.start));
        opinion::of(&sights, &self.plan.zone, self.now)
    }

    /// All things of which others have learned something.
    pub fn learned(&self) -> BTreeSet<Vec<u8>> {
        let all = self.map.of_kind(Kind::Learned);
        all.filter_map(|(key, entry)| kinds::read_sight(key, entry).map(|(what, _)| what)).collect()
    }

    /// How far a machine has come by all that is known: its start and phase.
    pub fn standing(&self, id: &str) -> Option<(Micros, u8)> {
        let entry = self.map.get(&Key::new(Kind::Machine, id))?;
        Some((entry.rank.0 as Micros, entry.rank.1.min(2) as u8))
    }

    /// The same by the journal service alone.
    pub fn journal_said(&self, id: &str) -> Option<(Micros, u8)> {
        self.said.get(id).copied()
    }

    /// Takes in what was kept across a start.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<(usize, Micros), snapshot::Refused> {
        let oldest = self.plan.purge_keep.max(self.plan.learned_keep);
        snapshot::read(bytes, &mut self.map, self.plan.fleet, oldest, now)
    }

    pub fn snapshot(&self, now: Micros) -> impl FnOnce() -> Vec<u8> + Send + 'static {
        // To pack it takes a while: a copy is packed elsewhere.
        let (map, fleet) = (self.map.clone(), self.plan.fleet);
        move || snapshot::write(&map, fleet, now)
    }

    /// Purges and machines that are held, as acts: what a snapshot brought.
    pub fn recall(&self, acts: &mut Vec<Act>) {
        for (key, entry) in self.map.of_kind(Kind::Purge).chain(self.map.of_kind(Kind::Machine)) {
            acts.extend(heard(key, entry));
        }
    }

    fn put(&mut self, now: Micros, key: Key, entry: crate::map::Entry) -> bool {
        self.now = self.now.max(now);
        let new = matches!(self.map.merge(key.clone(), entry, now), Took::New(_));
        if new {
            self.tell_on(key);
        }
        new
    }

    /// A keyed lookup came: words about it follow as acts. False where there is no ledger.
    pub fn ask(&mut self, now: Micros, token: u64, key: &[u8], terms: Terms, acts: &mut Vec<Act>) -> bool {
        self.now = self.now.max(now);
        self.with_ledger(acts, |ledger, on, out| ledger.ask(token, key, terms, on, out))
    }

    pub fn end(&mut self, now: Micros, token: u64, end: End, acts: &mut Vec<Act>) {
        self.now = self.now.max(now);
        self.with_ledger(acts, |ledger, on, out| ledger.end(token, end, on, out));
    }

    /// True if nothing of it was sent.
    pub fn left(&mut self, now: Micros, token: u64, acts: &mut Vec<Act>) -> bool {
        self.now = self.now.max(now);
        let mut unsent = false;
        self.with_ledger(acts, |ledger, on, out| unsent = ledger.left(token, on, out));
        unsent
    }

    fn with_ledger(
        &mut self,
        acts: &mut Vec<Act>,
        step: impl FnOnce(&mut Ledger, &mut Ground, &mut Out),
    ) -> bool {
        let Some(ledger) = &mut self.ledger else { return false };
        let mut out = Out::default();
        let (now, electors) = (self.now, &self.electors);
        step(ledger, &mut Ground { now, map: &mut self.map, electors }, &mut out);
        // An end is told to the owners at once: whoever waits asks there, and news takes some steps.
        let mut ends: BTreeMap<String, Vec<Record>> = BTreeMap::new();
        for key in &out.changed {
            let open = self.map.get(key).and_then(kinds::read_effect).is_none_or(|(ran, _)| ran.open());
            if let Some(record) = self.map.record(key).filter(|_| !open) {
                for owner in ledger.owners(key, &self.electors) {
                    ends.entry(owner).or_default().push(record.clone());
                }
            }
        }
        for (owner, records) in ends {
            self.send(&owner, Said::News(Records { records }), acts);
        }
        for letter in out.letters {
            self.send(&letter.to, Said::Ask(letter.ask), acts);
        }
        out.changed.into_iter().for_each(|key| self.tell_on(key));
        acts.extend(out.words.into_iter().map(Act::Word));
        true
    }

    /// This front was stopped or starved for so long: what it held may be old.
    pub fn was_away(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.now = self.now.max(now);
        // Of effects it has forgotten nothing that it agreed to, so it goes on to vouch; all else is compared at once.
        self.period_at = now;
        for name in self.some(2) {
            self.ask_roots(&name, acts);
        }
    }

    /// Who there is, whenever that has changed.
    pub fn fleet(&mut self, now: Micros, joined: bool, peers: Vec<Peer>, acts: &mut Vec<Act>) {
        self.now = self.now.max(now);
        self.electors.joined = joined;
        let names: BTreeSet<String> = peers.iter().map(|p| p.name.clone()).collect();
        for peer in peers {
            let known = self.peers.entry(peer.name.clone()).or_insert_with(|| Known {
                peer: peer.clone(),
                elector: false,
                here_at: now,
                compared: false,
            });
            known.elector |= peer.ledger;
            if peer.here || known.peer.here {
                known.here_at = now;
            }
            known.peer = peer;
        }
        // One that the view has forgotten decides on nothing any more once claims of then are over.
        let keep = self.plan.ledger.as_ref().map_or(0, |l| l.keep);
        self.peers.retain(|name, known| {
            let there = names.contains(name);
            known.peer.here &= there;
            there || now < known.here_at + keep
        });
        self.elect();
        self.with_ledger(acts, |ledger, on, out| ledger.tick(on, out));
    }

    /// Those that decide on effects: all that are there, and those that are not but may come back with what they held.
    fn elect(&mut self) {
        let settled = SETTLED * self.plan.period;
        let now = self.now;
        let counts = |known: &&Known| known.elector && (!known.peer.left || now < known.here_at + settled);
        self.electors.all = self
            .peers
            .values()
            .filter(counts)
            .map(|k| (k.peer.name.clone(), k.peer.here.then_some(k.peer.start)))
            .collect();
        self.electors.all.insert(self.me.clone(), Some(self.start));
        self.electors.compared =
            self.peers.iter().filter(|(_, k)| k.compared).map(|(name, _)| name.clone()).collect();
    }

    // Time.

    pub fn tick(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.now = self.now.max(now);
        self.refill();
        self.with_ledger(acts, |ledger, on, out| ledger.tick(on, out));
        if self.news_at.is_some_and(|at| now >= at) {
            self.news_at = None;
            self.push(acts);
        }
        self.lend(acts);
        self.catch_up(acts);
        if now >= self.period_at {
            self.period_at = now + self.plan.period;
            self.map.sweep(now);
            self.elect();
            self.vouch(acts);
            self.publish();
            self.compare(acts);
        }
    }

    fn refill(&mut self) {
        let span = (self.now - self.budget_at).max(0) as f64 / SEC as f64;
        let (calm, lent) = (self.plan.bytes_per_s as f64, self.plan.catch_up_bytes_per_s as f64);
        self.budget = (self.budget + span * calm).min(calm * BURST);
        self.lent = (self.lent + span * lent).min(lent * LENT);
        self.budget_at = self.now;
    }

    fn some(&mut self, many: usize) -> Vec<String> {
        let mut here: Vec<&String> =
            self.peers.iter().filter(|(_, k)| k.peer.here && k.peer.shares).map(|(name, _)| name).collect();
        let many = many.min(here.len());
        for at in 0..many {
            let drawn = self.rng.usize(at..here.len());
            here.swap(at, drawn);
        }
        here.into_iter().take(many).cloned().collect()
    }

    // News.

    fn tell_on(&mut self, key: Key) {
        if !Tree::of(key.kind).pushed() || mutant("no-news") {
            return;
        }
        let many = self.peers.len() + 1;
        let times = TOLD * (usize::BITS - many.leading_zeros());
        if self.queued.insert(key.clone(), times).is_none() {
            if self.news.len() >= NEWS_MOST {
                self.queued.remove(&key);
                return;
            }
            self.news.push_back(key);
        }
        let at = self.now + GATHER;
        self.news_at = Some(self.news_at.map_or(at, |n| n.min(at)));
    }

    /// Tells some what is new, each a bounded number of times.
    fn push(&mut self, acts: &mut Vec<Act>) {
        let to = self.some(FAN);
        if to.is_empty() {
            return;
        }
        let (mut records, mut size, mut rest) = (Vec::new(), 0, VecDeque::new());
        while let Some(key) = self.news.pop_front() {
            let Some(left) = self.queued.get_mut(&key) else { continue };
            let Some(record) = self.map.record(&key) else {
                self.queued.remove(&key);
                continue;
            };
            let more = record.encoded_len() + 4;
            if size + more > CHUNK && !records.is_empty() {
                rest.push_back(key);
                break;
            }
            size += more;
            records.push(record);
            *left -= 1;
            if *left == 0 {
                self.queued.remove(&key);
            } else {
                rest.push_back(key);
            }
        }
        // Those told fewer times come first next time.
        self.news.extend(rest);
        for name in to {
            self.send_records(&name, &records, Said::News, acts);
        }
        if !self.news.is_empty() {
            self.news_at = Some(self.now + GATHER);
        }
    }

    /// In as many messages as it takes.
    fn send_records<F>(&mut self, to: &str, records: &[Record], said: F, acts: &mut Vec<Act>)
    where
        F: Fn(Records) -> Said,
    {
        let (mut some, mut size) = (Vec::new(), 0);
        let whole: usize = records.iter().map(|r| r.encoded_len() + 4).sum();
        let most = if whole > 3 * ROOM { CHUNK } else { ROOM };
        for record in records {
            let more = record.encoded_len() + 4;
            if size + more > most && !some.is_empty() {
                self.send(to, said(Records { records: std::mem::take(&mut some) }), acts);
                size = 0;
            }
            size += more;
            some.push(record.clone());
        }
        if !some.is_empty() {
            self.send(to, said(Records { records: some }), acts);
        }
    }

    fn send(&mut self, to: &str, said: Said, acts: &mut Vec<Act>) {
        let kind = said.name();
        let packet =
            Packet { fleet: self.plan.fleet, from: self.me.clone(), start: self.start, said: Some(said) };
        let plain = packet.encoded_len();
        let stream = plain > wire::MOST - 16;
        if stream {
            wire::write_chunk(&packet, &mut self.spare);
        } else {
            wire::write(&packet, &mut self.spare);
        }
        let bytes = self.spare.clone();
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        *self.counts.spent.entry(kind).or_default() += bytes.len() as u64;
        if kind == "part" {
            // Unpacked: it is the packing that lookups wait for.
            self.lent -= plain as f64;
        } else {
            self.budget = (self.budget - bytes.len() as f64).max(-(self.plan.bytes_per_s as f64) * BURST);
        }
        let to = to.to_string();
        acts.push(if stream { Act::Stream { to, bytes } } else { Act::Send { to, bytes } });
    }

    fn afford(&mut self) -> bool {
        self.refill();
        self.counts.held_back += u64::from(self.budget <= 0.0);
        self.budget > 0.0
    }

    // Comparing.

    fn compare(&mut self, acts: &mut Vec<Act>) {
        if !self.afford() {
            return;
        }
        for name in self.some(1) {
            self.ask_roots(&name, acts);
        }
    }

    fn ask_roots(&mut self, name: &str, acts: &mut Vec<Act>) {
        let roots = Tree::ALL.into_iter().map(|tree| self.map.root(tree)).collect();
        self.send(name, Said::Roots(Roots { roots }), acts);
    }

    /// Asks whom it still has to compare effects with, so as to vouch.
    fn vouch(&mut self, acts: &mut Vec<Act>) {
        if self.ledger.is_none() || !self.electors.joined {
            return;
        }
        let now = self.now;
        let open = self.peers.iter().filter(|(_, known)| known.elector && !known.compared);
        let open: Vec<String> =
            open.filter(|(_, known)| known.peer.here).map(|(name, _)| name.clone()).collect();
        // Those that are gone are missed by the keys that they own with this front, and by no others.
        let mut others = self.electors.all.keys().filter(|name| **name != self.me);
        // In its first moments a front does not know of all others, nor they of it.
        let young = now < self.vouch_since + 2 * self.plan.period || self.catching.is_some();
        let all = !young && others.all(|name| self.electors.compared.contains(name));
        if all && !self.vouches {
            acts.push(Act::Tell(Told::Vouches { took: now - self.vouch_since }));
        }
        self.vouches = all;
        for name in open {
            if self.comparing.get(&name).is_some_and(|c| now < c.asked_at + STALLED) {
                continue;
            }
            let comparing = Comparing { asked_at: now, wants: None, all: false };
            self.comparing.insert(name.clone(), comparing);
            self.send_buckets(&name, Tree::Effects, acts);
        }
    }

    fn send_buckets(&mut self, to: &str, tree: Tree, acts: &mut Vec<Act>) {
        let buckets = Buckets { tree: tree as u32, digests: self.map.digests(tree) };
        self.send(to, Said::Buckets(buckets), acts);
    }

    fn compared(&mut self, name: &str) {
        let done = self
            .comparing
            .get(name)
            .is_some_and(|c| c.all && c.wants.as_ref().is_some_and(BTreeSet::is_empty));
        if done {
            self.comparing.remove(name);
            self.peers.get_mut(name).into_iter().for_each(|known| known.compared = true);
            self.elect();
        }
    }

    fn roots(&mut self, from: &str, roots: &[u64], acts: &mut Vec<Act>) {
        for tree in Tree::ALL {
            let differs = roots.get(tree as usize).is_none_or(|root| *root != self.map.root(tree));
            // One that has not caught up is told all in order; a comparison would tell it the same in more bytes.
            if differs && !self.catching_up(tree) && self.afford() {
                self.send_buckets(from, tree, acts);
            }
        }
    }

    fn catching_up(&self, tree: Tree) -> bool {
        self.catching.as_ref().is_some_and(|c| !c.trees[tree as usize].1)
    }

    fn buckets(&mut self, from: &str, buckets: &Buckets, acts: &mut Vec<Act>) {
        let Some(tree) = Tree::number(buckets.tree) else { return };
        let mut differing = self.map.differing(tree, &buckets.digests);
        let many = differing.len();
        let from_bucket = self.rng.usize(0..crate::map::BUCKETS);
        differing.sort_by_key(|at| (at + crate::map::BUCKETS - from_bucket) % crate::map::BUCKETS);
        let mut items = Items { tree: tree as u32, ..Items::default() };
        for at in differing {
            let hashes: Vec<u64> = self.map.hashes_in(tree, at).collect();
            if items.hashes.len() + hashes.len() > HASHES && !items.buckets.is_empty() {
                break;
            }
            items.buckets.push(at as u32);
            items.hashes.extend(hashes);
        }
        items.all = items.buckets.len() == many;
        if tree == Tree::Effects {
            items.knows = self.electors.all.contains_key(from);
            items.electors = self.electors.all.keys().cloned().collect();
            items.electors.truncate(256);
        }
        self.send(from, Said::Items(items), acts);
    }

    fn items(&mut self, from: &str, items: Items, acts: &mut Vec<Act>) {
        let Some(tree) = Tree::number(items.tree) else { return };
        let theirs: BTreeSet<u64> = items.hashes.iter().copied().collect();
        let wants: BTreeSet<u64> = theirs.iter().copied().filter(|h| !self.map.has(*h)).collect();
        let buckets = items.buckets.iter().map(|b| *b as usize).filter(|b| *b < crate::map::BUCKETS);
        let lacks: Vec<u64> = buckets
            .flat_map(|at| self.map.hashes_in(tree, at).collect::<Vec<_>>())
            .filter(|h| !theirs.contains(h))
            .collect();
        let records: Vec<Record> = lacks.into_iter().filter_map(|hash| self.map.by_hash(hash)).collect();
        self.send_records(
            from,
            &records,
            |r| Said::Delta(Delta { records: r.records, gone: Vec::new() }),
            acts,
        );
        let open = tree == Tree::Effects && self.comparing.contains_key(from);
        if let Some(comparing) = self.comparing.get_mut(from).filter(|_| open) {
            comparing.wants = Some(wants.clone());
            comparing.all = items.all && items.knows;
            // Whom the other counts besides: they may come back with what they held.
            let (now, me, settled) = (self.now, self.me.clone(), SETTLED * self.plan.period);
            for name in items.electors.into_iter().filter(|name| *name != me) {
                self.peers.entry(name.clone()).or_insert_with(|| {
                    let zone = String::new();
                    let (shares, ledger) = (true, true);
                    let peer = Peer {
                        name,
                        start: 0,
                        here: false,
                        left: false,
                        zone,
                        round_trip: None,
                        shares,
                        ledger,
                    };
                    Known { peer, elector: true, here_at: now - settled, compared: false }
                });
            }
            if !comparing.all {
                // The rest is found by the next comparison, which begins at another bucket.
                comparing.asked_at = self.now - STALLED;
            }
        }
        if open {
            self.elect();
            self.compared(from);
        }
        if !wants.is_empty() {
            self.send(from, Said::Want(Want { hashes: wants.into_iter().collect() }), acts);
        }
    }

    fn want(&mut self, from: &str, want: &Want, acts: &mut Vec<Act>) {
        let (mut records, mut gone, mut size) = (Vec::new(), Vec::new(), 0);
        for hash in &want.hashes {
            match self.map.by_hash(*hash) {
                Some(record) => {
                    size += record.encoded_len() + 4;
                    records.push(record);
                }
                None => gone.push(*hash),
            }
            if size > CHUNK {
                let records = std::mem::take(&mut records);
                self.send(from, Said::Delta(Delta { records, gone: Vec::new() }), acts);
                size = 0;
            }
        }
        if !records.is_empty() || !gone.is_empty() {
            self.send(from, Said::Delta(Delta { records, gone }), acts);
        }
    }

    // Catching up.

    fn nearest(&self, but: &BTreeSet<String>) -> Option<String> {
        let here =
            self.peers.values().filter(|k| k.peer.here && k.peer.shares && !but.contains(&k.peer.name));
        let near = |k: &&Known| {
            let trip = k.peer.round_trip.unwrap_or(1e9) as i64;
            (k.peer.zone != self.plan.zone, trip, k.peer.name.clone())
        };
        here.min_by_key(near).map(|k| k.peer.name.clone())
    }

    fn catch_up(&mut self, acts: &mut Vec<Act>) {
        let Some(mut catching) = self.catching.take() else { return };
        let (now, took) = (self.now, self.now - catching.begun);
        let done = |tree: Tree, c: &Catching| c.trees[tree as usize].1;
        let alone = self.electors.joined && self.peers.values().all(|k| !k.peer.here || !k.peer.shares);
        if alone {
            catching.trees.iter_mut().for_each(|(_, done)| *done = true);
        }
        let urgent = done(Tree::Urgent, &catching) && done(Tree::Effects, &catching);
        if !catching.urgent_told && (urgent || took >= self.plan.ready_after) {
            catching.urgent_told = true;
            self.ready = Some(urgent);
            acts.push(Act::Tell(Told::Ready { caught_up: urgent, took }));
        }
        if Tree::ALL.into_iter().all(|tree| done(tree, &catching)) {
            acts.push(Act::Tell(Told::CaughtUp { records: catching.records, took }));
            return;
        }
        for at in 0..catching.lanes.len() {
            let lane = &catching.lanes[at];
            let other = catching.lanes[1 - at].clone();
            let there =
                lane.donor.as_ref().is_some_and(|name| self.peers.get(name).is_some_and(|k| k.peer.here));
            let stalled = lane.tree.is_some() && now >= lane.asked_at + STALLED;
            if lane.tree.is_some() && there && !stalled {
                continue;
            }
            let mut but: BTreeSet<String> = other.donor.iter().cloned().collect();
            if stalled {
                but.extend(lane.donor.clone());
            }
            let former = lane.donor.clone();
            let next = self
                .nearest(&but)
                .or_else(|| former.clone().filter(|_| there))
                .or_else(|| self.nearest(&BTreeSet::new()));
            let Some(donor) = next else { continue };
            // The first lane takes the urgent kinds, the second the rest from the start.
            let order = if at == 0 { Tree::ALL } else { [Tree::Rest, Tree::Effects, Tree::Urgent] };
            let open = |tree: &Tree| !done(*tree, &catching) && other.tree != Some(*tree);
            let Some(tree) = order.into_iter().find(open) else { continue };
            if let Some(former) = former.filter(|f| *f != donor && (stalled || !there)) {
                acts.push(Act::Tell(Told::Donor { former, next: donor.clone() }));
            }
            catching.lanes[at] = Lane { donor: Some(donor.clone()), tree: Some(tree), asked_at: now };
            self.request(&donor, tree, catching.trees[tree as usize].0.clone(), acts);
        }
        self.catching = Some(catching);
    }

    fn request(&mut self, donor: &str, tree: Tree, after: Option<Key>, acts: &mut Vec<Act>) {
        let first = after.is_none();
        let Key { kind, name } = after.unwrap_or(Key { kind: 0, name: Vec::new() });
        self.send(donor, Said::CatchUp(CatchUp { tree: tree as u32, first, kind, name }), acts);
    }

    /// Hands parts to those that catch up, as far as the bytes a second for that go.
    fn lend(&mut self, acts: &mut Vec<Act>) {
        while self.lent > 0.0 {
            let Some((to, ask)) = self.owed.pop_front() else { return };
            let Some(tree) = Tree::number(ask.tree) else { continue };
            let after = (!ask.first).then_some(Key { kind: ask.kind, name: ask.name });
            let (mut records, mut size, mut last) = (Vec::new(), 0, true);
            for record in self.map.from(tree, after.as_ref()) {
                if size > PART {
                    last = false;
                    break;
                }
                size += record.encoded_len() + 4;
                records.push(record);
            }
            self.send(&to, Said::Part(Part { tree: tree as u32, records, last }), acts);
        }
    }

    fn part(&mut self, from: &str, part: Part, acts: &mut Vec<Act>) {
        let Some(tree) = Tree::number(part.tree) else { return };
        let behind = part.records.last().map(|r| Key { kind: r.kind, name: r.name.clone() });
        let many = part.records.len() as u64;
        for record in part.records {
            self.take(record, false, acts);
        }
        let Some(mut catching) = self.catching.take() else { return };
        let lane =
            catching.lanes.iter().position(|l| l.donor.as_deref() == Some(from) && l.tree == Some(tree));
        if let Some(lane) = lane {
            catching.records += many;
            let at = &mut catching.trees[tree as usize];
            at.0 = behind.or(at.0.take());
            at.1 |= part.last;
            let next = (!part.last).then(|| at.0.clone());
            catching.lanes[lane].asked_at = self.now;
            match next {
                Some(after) => self.request(from, tree, after, acts),
                None => catching.lanes[lane].tree = None,
            }
        }
        self.catching = Some(catching);
        self.catch_up(acts);
    }

    // What is heard.

    pub fn hear(&mut self, now: Micros, bytes: &[u8], acts: &mut Vec<Act>) {
        self.now = self.now.max(now);
        self.counts.heard += 1;
        self.counts.heard_bytes += bytes.len() as u64;
        let packet = match wire::read(bytes, self.plan.fleet) {
            Ok(packet) => packet,
            Err(why) => return *self.counts.dropped.entry(why).or_default() += 1,
        };
        // Only members of the view are heard: a made-up one would have to pass there.
        if !self.peers.contains_key(&packet.from) {
            return *self.counts.dropped.entry(Dropped::Dead).or_default() += 1;
        }
        let from = packet.from;
        match packet.said {
            Some(Said::News(news)) => {
                for record in news.records {
                    self.take(record, true, acts);
                }
                self.changed(acts);
            }
            Some(Said::Delta(delta)) => {
                let mut had: BTreeSet<u64> = delta.gone.into_iter().collect();
                for record in delta.records {
                    let key = Key { kind: record.kind, name: record.name.clone() };
                    had.insert(hash(&key, &ledger::entry(&record)));
                    self.take(record, false, acts);
                }
                if let Some(wants) = self.comparing.get_mut(&from).and_then(|c| c.wants.as_mut()) {
                    wants.retain(|hash| !had.contains(hash));
                    self.compared(&from);
                }
                self.changed(acts);
            }
            Some(Said::Roots(roots)) => self.roots(&from, &roots.roots, acts),
            Some(Said::Buckets(buckets)) => self.buckets(&from, &buckets, acts),
            Some(Said::Items(items)) => self.items(&from, items, acts),
            Some(Said::Want(want)) => self.want(&from, &want, acts),
            Some(Said::CatchUp(ask)) => {
                self.refill();
                self.owed.retain(|(to, former)| *to != from || former.tree != ask.tree);
                if self.owed.len() < OWED {
                    self.owed.push_back((from, ask));
                }
                self.lend(acts);
            }
            Some(Said::Part(part)) => {
                self.part(&from, part, acts);
                self.changed(acts);
            }
            Some(Said::Ask(ask)) => self.asked(&from, &ask, acts),
            Some(Said::Reply(reply)) => {
                self.with_ledger(acts, |ledger, on, out| ledger.reply(&from, reply, on, out));
            }
            None => {}
        }
    }

    /// Claims of others may have decided what lookups here wait for.
    fn changed(&mut self, acts: &mut Vec<Act>) {
        if self.ledger.as_ref().is_some_and(|ledger| ledger.open() > 0) {
            self.with_ledger(acts, |ledger, on, out| ledger.tick(on, out));
        }
    }

    fn asked(&mut self, from: &str, ask: &Ask, acts: &mut Vec<Act>) {
        let Some(ledger) = &mut self.ledger else { return };
        let (now, electors) = (self.now, &self.electors);
        let (verdict, claims) = ledger.judge(ask, &mut Ground { now, map: &mut self.map, electors });
        let reply = Reply { number: ask.number, verdict: verdict as u32, claims };
        self.send(from, Said::Reply(reply), acts);
    }

    fn take(&mut self, record: Record, news: bool, acts: &mut Vec<Act>) {
        let (key, entry) = (Key { kind: record.kind, name: record.name.clone() }, ledger::entry(&record));
        // This front's own claims end by its own word.
        let own = self.ledger.is_some() && entry.rank.0 == Ran::Asked as u64;
        let took = self.map.merge(key.clone(), entry.clone(), self.now);
        match took {
            Took::New(differed) => {
                self.counts.won += u64::from(differed);
                let count = if news { &mut self.counts.news } else { &mut self.counts.repaired };
                *count.entry(key.kind).or_default() += 1;
            }
            Took::Known => {
                self.counts.lost += u64::from(!own && self.map.get(&key) != Some(&entry));
                return;
            }
            Took::Refused => return,
        }
        if news {
            self.tell_on(key.clone());
        }
        // What a catch-up brings is old without anything being late.
        if self.catching.is_none() && self.counts.lags.len() < LAGS {
            let lag = made_at(&key, &entry).map(|(kind, at)| (kind, (self.now - at).max(0)));
            self.counts.lags.extend(lag);
        }
        acts.extend(heard(&key, &entry));
    }
}

/// When a record was made, where it tells.
fn made_at(key: &Key, entry: &crate::map::Entry) -> Option<(Kind, Micros)> {
    let kind = Kind::of(key.kind)?;
    match kind {
        Kind::Purge => Some((kind, entry.rank.0 as Micros)),
        Kind::Learned | Kind::Usage => Some((kind, entry.rank.1 as Micros)),
        Kind::Machine | Kind::Effect => None,
    }
}

/// What the host is to do about a record that came from another.
fn heard(key: &Key, entry: &crate::map::Entry) -> Option<Act> {
    match Kind::of(key.kind)? {
        Kind::Purge => {
            kinds::read_purge(key, entry).map(|(object, group, stamp)| Act::Purged { object, group, stamp })
        }
        Kind::Machine => kinds::read_machine(key, entry).map(|(id, start, phase, machine)| Act::Machine {
            id,
            start,
            phase,
            machine,
        }),
        Kind::Learned => kinds::read_sight(key, entry).map(|(what, _)| Act::Learned { what }),
        Kind::Effect | Kind::Usage => None,
    }
}

pub fn sight_of_object(object: u64) -> Vec<u8> {
    [&b"l"[..], &object.to_be_bytes()].concat()
}

pub fn sight_of_machine(id: &str) -> Vec<u8> {
    [b"m", id.as_bytes()].concat()
}

/// What a thing is that was learned of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Thing {
    Object(u64),
    Machine(String),
}

pub fn thing(what: &[u8]) -> Option<Thing> {
    match what.split_first()? {
        (b'l', object) => object.try_into().ok().map(|o| Thing::Object(u64::from_be_bytes(o))),
        (b'm', id) => String::from_utf8(id.to_vec()).ok().map(Thing::Machine),
        _ => None,
    }
}
