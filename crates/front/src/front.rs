//! The loop: gathers what is ready, hands it to the module in one go, and carries out what came back. It
//! decides nothing: time limits are those that the module or the settings give.

use crate::config::Config;
use crate::frame;
use crate::http;
use crate::net::caches::{ending, report, Caches, Ended, Out};
use crate::net::calls::add;
use crate::net::clients::{Clients, Heard};
use crate::net::journal::{self, Change, Journal, Member, News};
use crate::net::operators::Operators;
use crate::net::{Cause, Fault, Gathered, Key, Poll, Reach};
use crate::report::{self, Metrics};
use calloop::{EventLoop, Readiness, RegistrationToken};
use compact_str::CompactString;
use meadowrill_core::control;
use meadowrill_core::door::{contained, remark, stable, Indices};
use meadowrill_core::interface::*;
use meadowrill_turns::door::{Away, Bounds, Done, Door, Offer, Ticket, Turn, Verdict};
use meadowrill_turns::names::{Names, Seen};
use meadowrill_turns::plan::{ClientBy, Plan};
use slog::{debug, error, info, warn, Logger};
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Housekeeping: idle and stuck connections, the journal service.
const TICK: Micros = 250_000;
/// How long after the signal to end connections and lookups may still come in (the platform says 0.6 s).
const LINGER: Micros = 700_000;
/// What rounding may add to the limit that a client tells.
const ROUNDED_MS: f64 = 1.0;
/// How long last answers are left to be read by whoever is slow, before the program ends.
const LAST: Micros = 300_000;

/// Unix time, moved on by the monotonic clock: a step of the system's time must not shift what is out.
struct Clock {
    unix: Micros,
    since: Instant,
}

impl Clock {
    fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as Micros, since: Instant::now() }
    }

    fn now(&self) -> Micros {
        self.unix + self.since.elapsed().as_micros() as Micros
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The module's.
    Ring(u32),
    /// A send's time is up, or its connection should be up: connection and serial of the send.
    Send(u64, u64),
    Connect(u64, u64),
    Tick,
    /// What operators want to see regularly.
    Report,
    /// The front is ending: no more comes in from here on, and it may be done.
    Part,
}

/// A lookup, until it was answered and all of its sends have ended.
struct Taken {
    client: u64,
    stream: u32,
    request: Box<frame::Request>,
    kind: usize,
    expires: Micros,
    owed: bool,
    /// Its place at the door or behind it, until it was answered or has left.
    place: Option<Ticket>,
    done: Done,
    /// By the number of the send: the connection and the serial, while it is out.
    sends: SmallVec<[Option<(u64, u64)>; 4]>,
}

#[derive(Default)]
struct Spare {
    events: Vec<Event>,
    actions: Vec<Action>,
    ended: Vec<Ended>,
    heard: Vec<Heard>,
    turns: Vec<Turn>,
    over: Vec<u32>,
    request: Vec<u8>,
}

pub struct Front {
    config: Config,
    log: Logger,
    clock: Clock,
    module: control::Front,
    poll: Poll,
    listener: Option<(TcpListener, RegistrationToken)>,
    /// Connections may be waiting to be accepted.
    knocking: bool,
    clients: Clients,
    door: Door,
    names: Names,
    metrics: Metrics,
    operators: Option<Operators>,
    /// Further counts of a bench build.
    counts: Option<fn() -> String>,
    caches: Caches,
    journal: Journal,
    machines: Indices<String>,
    /// With the text that requests carry.
    addresses: HashMap<PeerIx, (SocketAddr, CompactString)>,
    lookups: HashMap<u32, Taken>,
    /// Those that may be over, since the module was last handed something.
    over: Vec<u32>,
    /// Lookups that are open by the id that their client gave them.
    named: HashMap<u64, u32>,
    /// Bytes of bodies that lookups hold for their sends.
    bodies: usize,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    serial: u64,
    events: Vec<Event>,
    /// Kept empty, so that a round needs no new ones.
    spare: Spare,
    /// Cache connections that wait until rings have room again.
    held_back: BTreeSet<Key>,
    /// When the last lookup was done with, once the front is ending.
    done_at: Option<Micros>,
}

impl Front {
    pub fn new(
        config: Config,
        listener: TcpListener,
        events: &EventLoop<'static, Gathered>,
        log: Logger,
        counts: Option<fn() -> String>,
    ) -> io::Result<Front> {
        let poll = Poll::new(events)?;
        listener.set_nonblocking(true)?;
        let token = poll.watch(listener.try_clone()?, Key::Door)?;
        let clock = Clock::start();
        let now = clock.now();
        let mut actions = Vec::new();
        let module = control::Front::start(config.seed, config.settings.clone(), now, &mut actions);
        let last = config.known["pos"].as_u64().unwrap_or(0);
        let kinds: Vec<_> = config.classes.iter().map(|class| class.door).collect();
        let bounds =
            Bounds { lookups: config.lookups, bytes: config.buffers, longest_away: config.longest_away };
        let operators = config.own.socket.as_ref().map(|path| Operators::listen(Path::new(path), &poll));
        let mut front = Front {
            module,
            poll,
            listener: Some((listener, token)),
            knocking: true,
            clients: Clients::new(config.clients, config.longest),
            door: Door::new(config.own.turns.clone(), &kinds, bounds, config.seed, now),
            names: Names::new(&config.own.turns, config.seed),
            metrics: Metrics::default(),
            operators: operators.transpose()?,
            counts,
            caches: Caches::new(config.caches, config.conn_idle),
            journal: Journal::new(config.journal, last),
            machines: Indices::default(),
            addresses: HashMap::new(),
            lookups: HashMap::new(),
            over: Vec::new(),
            named: HashMap::new(),
            bodies: 0,
            timers: BinaryHeap::new(),
            serial: 0,
            events: Vec::new(),
            spare: Spare::default(),
            held_back: BTreeSet::new(),
            done_at: None,
            clock,
            log,
            config,
        };
        front.know(now);
        front.hand_over(now, actions);
        front.timers.push(Reverse((now, Timer::Tick)));
        front.follow_plan(now);
        Ok(front)
    }

    /// What the journal service had told at the start, before the first lookup.
    fn know(&mut self, now: Micros) {
        let known = std::mem::take(&mut self.config.known);
        for entry in known["entries"].as_array().into_iter().flatten() {
            let news = journal::entry(entry).map(|line| line.change).transpose();
            if let Some(news) = news {
                self.told(news, now);
            }
        }
    }

    pub fn run(&mut self, events: &mut EventLoop<'static, Gathered>) -> io::Result<()> {
        let mut gathered = Vec::new();
        while !self.ended() {
            let timer = self.due();
            let next = [timer, self.door.next()].into_iter().flatten().min();
            let next = next.map_or(TICK, |at| at - self.clock.now());
            let at_once = !self.events.is_empty() || !self.over.is_empty() || self.clients.waits();
            let pause = if at_once { 0 } else { next.max(0) as u64 };
            if self.poll.wait(Duration::from_micros(pause), &mut gathered)? {
                // The library's poller: time, its re-arming, the wait, its note and that re-armed.
                add(&self.poll.calls.waits, 5);
                events.dispatch(Some(Duration::ZERO), &mut gathered).map_err(io::Error::other)?;
            }
            let now = self.clock.now();
            self.gather(&mut gathered, now);
            let actions = std::mem::take(&mut self.spare.actions);
            self.hand_over(now, actions);
        }
        info!(self.log, "ended");
        Ok(())
    }

    /// When the next timer rings. Those of sends that have ended are passed over: each would wake the loop for nothing.
    fn due(&mut self) -> Option<Micros> {
        loop {
            let Reverse((at, timer)) = *self.timers.peek()?;
            match timer {
                Timer::Send(conn, serial) | Timer::Connect(conn, serial)
                    if !self.caches.out(conn, serial) =>
                {
                    self.timers.pop();
                }
                _ => return Some(at),
            }
        }
    }

    fn ended(&mut self) -> bool {
        let now = self.clock.now();
        if self.listener.is_some() || !self.lookups.is_empty() {
            self.done_at = None;
            return false;
        }
        let done_at = *self.done_at.get_or_insert_with(|| {
            self.timers.push(Reverse((now + LAST, Timer::Part)));
            now
        });
        self.clients.is_empty() || now >= done_at + LAST
    }

    /// Purges first, so that no lookup read after one is answered by what stood before; then what caches
    /// answered, so that no time limit overtakes an answer that is there; then what clients say.
    fn gather(&mut self, gathered: &mut Gathered, now: Micros) {
        if self.poll.tally.bytes() < self.config.buffers {
            gathered
                .extend(std::mem::take(&mut self.held_back).into_iter().map(|key| (key, Readiness::EMPTY)));
        }
        gathered.extend(self.clients.more().into_iter().map(|n| (Key::Client(n), Readiness::EMPTY)));
        gathered.sort_unstable_by_key(|(key, _)| *key);
        for (key, ready) in gathered.drain(..) {
            if let Err(panic) = contained(|| self.ready(key, ready, now)) {
                error!(self.log, "panic at a connection"; "key" => ?key, "text" => panic);
                match key {
                    Key::Client(number) => self.clients.drop(number, &self.poll),
                    Key::Cache(number) => self.caches.panicked(number, &self.poll),
                    Key::Journal(_) => self.journal.lose("panic", &self.poll, &mut Vec::new()),
                    Key::Operator(number) => {
                        self.operators.iter_mut().for_each(|o| o.drop(number, &self.poll))
                    }
                    Key::Door | Key::Operators | Key::Reload | Key::Report | Key::Signal => {}
                }
            }
        }
        let rest = contained(|| {
            self.ends(now);
            self.ring(now);
            self.admit(now);
            self.hear(now);
            self.turns(now);
        });
        if let Err(panic) = rest {
            error!(self.log, "panic in a round"; "text" => panic);
        }
    }

    fn ready(&mut self, key: Key, ready: Readiness, now: Micros) {
        match key {
            Key::Door => self.knocking = true,
            Key::Signal if self.clients.ready => {
                info!(self.log, "ending"; "open" => self.lookups.len());
                self.clients.ready = false;
                self.timers.push(Reverse((now + LINGER, Timer::Part)));
            }
            Key::Signal => {}
            Key::Reload => self.reload(now),
            Key::Report => report::log(&self.log, &self.door.report()),
            Key::Operators => self.operators.iter_mut().for_each(|o| o.accept(&mut self.poll)),
            Key::Operator(number) => {
                let (door, metrics) = (&self.door, &self.metrics);
                let (calls, counts) = (&self.poll.calls, self.counts);
                let tell = |word: &str| match word {
                    "turns" => report::table(&door.report()),
                    "metrics" => metrics.text(door),
                    "counts" => format!("{}{}", calls.text(), counts.map_or(String::new(), |more| more())),
                    _ => "turns, metrics or counts\n".to_string(),
                };
                self.operators.iter_mut().for_each(|o| o.handle(number, &self.poll, tell));
            }
            Key::Journal(_) => {
                self.follow(now, |journal, poll, news| journal.handle(key, ready, now, poll, news));
            }
            // Each is dealt with before the next is read: together they could hold more than there is.
            Key::Cache(number) => {
                // Answers stay with the kernel until those before them have left: memory is bounded, while
                // requests go on being written and time limits go on.
                let room = self.poll.tally.bytes() < self.config.buffers;
                if !room {
                    self.held_back.insert(key);
                }
                self.caches.handle(number, ready, room, &mut self.poll);
                self.ends(now);
            }
            Key::Client(number) => {
                self.clients.handle(number, ready, now, &mut self.poll);
                self.hear(now);
            }
        }
    }

    /// A new configuration: what can be changed under way takes effect at once, all or nothing.
    fn reload(&mut self, now: Micros) {
        let fresh = match self.config.again() {
            Ok(fresh) => fresh,
            Err(faulty) => {
                return error!(self.log, "configuration refused, the former goes on"; "key" => &faulty.key,
                    "what" => &faulty.what);
            }
        };
        let former = self.config.own.turns.clone();
        for key in self.config.renew(fresh) {
            warn!(self.log, "takes effect at the next start only"; "key" => key);
        }
        info!(self.log, "configuration read again"; "journal" => %self.config.journal);
        if former != self.config.own.turns {
            info!(self.log, "door renewed"; "waiting" => self.door.waiting(), "open" => self.door.open());
            self.door.renew(now, self.config.own.turns.clone());
            self.names = Names::new(&self.config.own.turns, self.config.seed);
        }
        self.follow_plan(now);
        let address = self.config.journal;
        self.follow(now, |journal, poll, news| journal.move_to(address, now, poll, news));
    }

    /// What else the settings of the door and of operators ask for.
    fn follow_plan(&mut self, now: Micros) {
        let Plan { tenant_field, client_by, .. } = &self.config.own.turns;
        let desk = match client_by {
            ClientBy::Field(name) => Some(name.clone()),
            ClientBy::Address | ClientBy::Connection => None,
        };
        self.clients.who = frame::Who { tenant: tenant_field.clone(), desk };
        let again = self.config.own.report_every.map(|every| now + (every * 1e6) as Micros);
        self.timers.retain(|Reverse((_, timer))| *timer != Timer::Report);
        self.timers.extend(again.map(|at| Reverse((at, Timer::Report))));
    }

    /// One step with the journal service, and what it told.
    fn follow(&mut self, now: Micros, step: impl FnOnce(&mut Journal, &mut Poll, &mut Vec<News>)) {
        let mut news = Vec::new();
        step(&mut self.journal, &mut self.poll, &mut news);
        news.into_iter().for_each(|news| self.told(news, now));
    }

    fn told(&mut self, news: News, now: Micros) {
        match news {
            Err(what) => warn!(self.log, "journal"; "what" => what),
            Ok(Change::Purge { object, group, stamp }) => {
                self.events.push(Event::Purged { object, group, ago: now - stamp });
            }
            Ok(Change::Hosts { complete, members }) => {
                info!(self.log, "list"; "complete" => complete, "members" => members.len());
                let entries = members.into_iter().map(|m| self.entry(m)).collect();
                let listing = if complete { Listing::Full(entries) } else { Listing::Delta(entries) };
                self.events.push(Event::Listed(listing));
            }
        }
    }

    fn entry(&mut self, member: Member) -> Entry {
        let peer = self.machines.of(&member.id);
        if let Some(address) = member.address {
            self.addresses.insert(peer, (address, CompactString::from(address.to_string())));
        }
        if member.standing != Standing::Ready {
            self.caches.forget(peer, &self.poll);
        }
        let stable = stable(&member.id);
        // The module's lines name machines by their stable numbers; here they can be looked up.
        info!(self.log, "machine"; "standing" => ?member.standing, "at" => self.addresses.get(&peer).map(|a| a.1.as_str()),
            "id" => &member.id, "kind" => &member.flavor, "place" => &member.locality, "stable" => format!("{stable:012x}"));
        // What the settings do not name is none of those that they do.
        let place = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX)
        };
        Entry {
            peer,
            stable,
            machine: place(&self.config.machines, &member.flavor),
            since: member.up_since,
            zone: place(&self.config.zones, &member.locality),
            cell: member.cell,
            weight: member.size,
            standing: member.standing,
        }
    }

    /// Sends that have ended become outcomes; the first that satisfies is the client's answer.
    fn ends(&mut self, now: Micros) {
        let mut ended = std::mem::take(&mut self.spare.ended);
        self.caches.ended(&mut ended);
        for ended in ended.drain(..) {
            self.end(&ended, now);
            // Only now may the body's place be used again.
            self.caches.release(ended.conn, now, &self.poll);
        }
        self.spare.ended = ended;
    }

    fn end(&mut self, Ended { out, peer, result, conn }: &Ended, now: Micros) {
        let Some(taken) = self.lookups.get_mut(&out.lookup) else { return };
        if let Some(send) = taken.sends.get_mut(usize::from(out.send)) {
            *send = None;
        }
        let ending = match result {
            Ok(head) => ending(head),
            Err(fault) => fault.ending(),
        };
        let machine = self.machines.name(*peer);
        match result {
            Ok(head) if ending != Ending::Satisfied => {
                debug!(self.log, "send unsatisfied"; "lookup" => taken.request.txn.as_str(), "at" => machine,
                        "kind" => taken.request.verb.as_str(), "status" => head.status, "note" => head.note);
            }
            Ok(_) => {}
            Err(fault) => {
                debug!(self.log, "send failed"; "lookup" => taken.request.txn.as_str(), "at" => machine,
                        "took" => now - out.at, "why" => %fault);
            }
        }
        let mut outcome = Outcome {
            id: out.lookup,
            send: out.send,
            peer: *peer,
            ending,
            took: now - out.at,
            finished: false,
            remark: Remark::None,
            first_byte: None,
            size_kb: 0.0,
            report: Vec::new(),
        };
        if let Ok(head) = result {
            outcome.remark = remark(head.note);
            outcome.first_byte = head.source_ms.map(|ms| (ms * 1e3) as Micros);
            outcome.size_kb = head.body as f64 * self.config.kb_per_byte;
            outcome.report = report(&head.load, &self.config.reports);
            if ending == Ending::Satisfied {
                // What carries no note came from a machine that does not tell; it counts as one that had it.
                let hit = matches!(outcome.remark, Remark::Hit | Remark::None);
                taken.done = Done { satisfied: true, hit, size_kb: outcome.size_kb, left: false };
                let current = head.status == 304;
                let fields: &[(&str, &str)] = if current { &[("current", "1")] } else { &[] };
                if let Some((client, stream)) = self.answered(out.lookup, now) {
                    let body = self.caches.body(*conn, head);
                    let answer = (frame::SATISFIED, fields, body);
                    self.clients.answer((client, stream, out.lookup), answer, now, &self.poll);
                }
            }
        }
        outcome.finished = self.lookups.get(&out.lookup).is_none_or(|taken| !taken.owed);
        self.events.push(Event::Ended(outcome));
        self.settle(out.lookup);
    }

    fn answer(&mut self, lookup: u32, answer: (u8, &[(&str, &str)], &[u8]), now: Micros) {
        if let Some((client, stream)) = self.answered(lookup, now) {
            self.clients.answer((client, stream, lookup), answer, now, &self.poll);
        }
    }

    /// Whose answer it is, if one is still owed; from here on none is.
    fn answered(&mut self, lookup: u32, now: Micros) -> Option<(u64, u32)> {
        let taken = self.lookups.get_mut(&lookup).filter(|t| t.owed)?;
        taken.owed = false;
        if let Some(place) = taken.place.take() {
            self.door.ended(now, place, taken.done);
        }
        let whose = (taken.client, taken.stream);
        self.settle(lookup);
        Some(whose)
    }

    /// Forgets a lookup that was answered once no send of it is out. Not before the module has heard so: until
    /// then it may send for it, and would wait for ever for the end of a send that nobody knows.
    fn settle(&mut self, lookup: u32) {
        self.over.push(lookup);
    }

    fn forget(&mut self, lookup: u32) {
        let done = |t: &&Taken| !t.owed && t.sends.iter().all(Option::is_none);
        if let Some(taken) = self.lookups.get(&lookup).filter(done) {
            self.bodies -= taken.request.body.len();
            if self.named.get(&taken.request.id) == Some(&lookup) {
                self.named.remove(&taken.request.id);
            }
            let taken = self.lookups.remove(&lookup);
            taken.into_iter().for_each(|taken| self.clients.give_back(taken.request));
        }
    }

    fn ring(&mut self, now: Micros) {
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, timer))) = self.timers.pop() else { return };
            match timer {
                Timer::Ring(token) => self.events.push(Event::Rang { token }),
                Timer::Send(number, serial) => self.caches.fail(number, serial, Cause::TimeUp, &self.poll),
                Timer::Connect(number, serial) => {
                    if self.caches.connecting(number, serial) {
                        self.caches.fail(number, serial, Cause::TimeUp, &self.poll);
                    }
                }
                Timer::Tick => self.tick(now),
                Timer::Report => {
                    report::log(&self.log, &self.door.report());
                    self.follow_plan(now);
                }
                Timer::Part => self.part(now),
            }
        }
        self.ends(now);
    }

    fn tick(&mut self, now: Micros) {
        self.knocking = true;
        self.caches.sweep(now, &self.poll);
        self.clients.sweep(now, &mut self.poll);
        self.follow(now, |journal, poll, news| journal.keep_up(now, poll, news));
        self.timers.push(Reverse((now + TICK, Timer::Tick)));
    }

    fn part(&mut self, now: Micros) {
        // Whoever got as far as the kernel has been accepted by it; take them in before the door closes.
        self.admit(now);
        if let Some((_, token)) = self.listener.take() {
            self.poll.unwatch(token);
            self.clients.part(now, &self.poll);
        }
    }

    fn admit(&mut self, now: Micros) {
        while self.knocking && self.clients.room(now, &mut self.poll) {
            let Some((listener, _)) = &self.listener else { return };
            add(&self.poll.calls.connections, 1);
            match listener.accept() {
                Ok((stream, from)) => {
                    if let Err(e) = self.clients.accept(stream, from.ip(), now, &mut self.poll) {
                        warn!(self.log, "client not taken in"; "error" => %e);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.knocking = false;
                    if e.kind() != io::ErrorKind::WouldBlock {
                        warn!(self.log, "accept"; "error" => %e);
                    }
                }
            }
        }
    }

    fn hear(&mut self, now: Micros) {
        let mut all = std::mem::take(&mut self.spare.heard);
        self.clients.heard(&mut all);
        for heard in all.drain(..) {
            match heard {
                Heard::Bad { client, fault } => {
                    debug!(self.log, "bad frame"; "client" => client, "why" => %fault)
                }
                Heard::Left { lookup } => {
                    if let Some(taken) = self.lookups.get_mut(&lookup) {
                        taken.owed = false;
                        let waited = taken.place.take().is_some_and(|place| self.door.left(now, place));
                        if !waited {
                            self.events.push(Event::Left { id: lookup });
                        }
                        self.settle(lookup);
                    }
                }
                Heard::Asked { lookup, client, from, stream, request } => {
                    self.take(lookup, (client, from), stream, request, now);
                }
            }
        }
        self.spare.heard = all;
    }

    fn take(
        &mut self,
        lookup: u32,
        (client, from): (u64, IpAddr),
        stream: u32,
        request: Box<frame::Request>,
        now: Micros,
    ) {
        let expires = now + (request.limit_ms * 1e3) as Micros;
        let held = self.poll.tally.bytes() + self.bodies + request.body.len();
        let usable = self.usable(&request);
        self.bodies += request.body.len();
        if usable.is_ok() {
            self.named.insert(request.id, lookup);
        }
        let seen = Seen {
            address: from,
            connection: client,
            tenant_field: request.tenant.as_deref(),
            client_field: request.desk.as_deref(),
        };
        let (asker, kind) = (self.names.asker(seen), usable.unwrap_or(0));
        let (size_kb, bytes) = (request.size_kb, request.body.len() as u32);
        let (sends, done) = (SmallVec::new(), Done::default());
        let taken = Taken { client, stream, request, kind, expires, owed: true, place: None, done, sends };
        self.lookups.insert(lookup, taken);
        if let Err(what) = usable {
            debug!(self.log, "lookup unusable"; "client" => client, "why" => what);
            self.answer(lookup, (frame::FAILED, &[], &[]), now);
            self.clients.blame(client, now, &self.poll);
            return;
        }
        let (verdict, place) =
            match self.door.offer(now, Offer { id: lookup, asker, kind, size_kb, bytes, expires }, held) {
                Verdict::In(place) => (Ok(true), Some(place)),
                Verdict::Waits(place) => (Ok(false), Some(place)),
                Verdict::Away(away) => (Err(away), None),
            };
        if let Some(taken) = self.lookups.get_mut(&lookup) {
            taken.place = place;
        }
        match verdict {
            Ok(true) => self.ask(lookup),
            Ok(false) => {}
            Err(away) => self.turn_away(lookup, away, now),
        }
    }

    /// Hands a lookup to the decisions.
    fn ask(&mut self, lookup: u32) {
        let Some(Taken { request, kind, expires, .. }) = self.lookups.get(&lookup) else { return };
        let (object, part, group, size_kb) = (request.object, request.slice, request.set, request.size_kb);
        let asked = Lookup { id: lookup, object, part, size_kb, group, kind: *kind, expires: *expires };
        self.events.push(Event::Asked(asked));
    }

    /// No send was made, so to try again is harmless whatever the class.
    fn turn_away(&mut self, lookup: u32, away: Away, now: Micros) {
        if let Some(taken) = self.lookups.get(&lookup) {
            debug!(self.log, "turned away"; "lookup" => taken.request.txn.as_str(), "client" => taken.client,
                "why" => %away.why, "come_back_ms" => away.come_back / 1000, "booked" => away.booked);
        }
        self.nack(lookup, away.come_back, now);
    }

    fn nack(&mut self, lookup: u32, come_back: Micros, now: Micros) {
        let later = (come_back / 1000).to_string();
        let fields: &[(&str, &str)] = if come_back >= 1000 { &[("later", &later)] } else { &[] };
        self.answer(lookup, (frame::NACKED, fields, &[]), now);
    }

    /// Whose wait at the door is over.
    fn turns(&mut self, now: Micros) {
        let mut turns = std::mem::take(&mut self.spare.turns);
        self.door.turns(now, &mut turns);
        for turn in turns.drain(..) {
            match turn {
                Turn::In { id, tenant, waited } => {
                    let names = &self.door.plan().tenants;
                    self.metrics
                        .waited(names.get(usize::from(tenant)).map_or("", |t| &t.name), waited as f64 / 1e6);
                    debug!(self.log, "waited"; "lookup" => id, "us" => waited);
                    self.ask(id);
                }
                Turn::Away { id, away } => {
                    if let Some(taken) = self.lookups.get_mut(&id) {
                        taken.place = None;
                    }
                    self.turn_away(id, away, now);
                }
            }
        }
        self.spare.turns = turns;
    }

    /// Whether a lookup is one that the settings allow, and of which class. Caches answer others with an error,
    /// which would be held against them, and what is far out of range would stay in the module's memories.
    fn usable(&self, request: &frame::Request) -> Result<usize, &'static str> {
        let kind = self.config.classes.iter().position(|class| class.name == request.verb);
        let kind = kind.ok_or("class")?;
        let class = &self.config.classes[kind];
        if request.limit_ms > class.deadline_ms + ROUNDED_MS {
            return Err("limit");
        }
        if class.keyed && request.unique.is_none() {
            return Err("unique");
        }
        let open = self.named.get(&request.id).and_then(|lookup| self.lookups.get(lookup));
        match open.filter(|taken| taken.owed).map(|taken| &taken.request) {
            Some(r) if (r.object, r.slice, &r.verb) != (request.object, request.slice, &request.verb) => {
                Err("txn")
            }
            _ => Ok(kind),
        }
    }

    /// One batch to the module, then what it wants done.
    fn hand_over(&mut self, now: Micros, mut actions: Vec<Action>) {
        let mut over = std::mem::replace(&mut self.over, std::mem::take(&mut self.spare.over));
        let module = &mut self.module;
        let mut failed = Vec::new();
        let mut events = std::mem::replace(&mut self.events, std::mem::take(&mut self.spare.events));
        for event in events.drain(..) {
            let lookup = match &event {
                Event::Asked(lk) => Some(lk.id),
                Event::Ended(outcome) => Some(outcome.id),
                _ => None,
            };
            if let Err(panic) = contained(|| module.hear(now, event, &mut actions)) {
                error!(self.log, "panic in the decisions"; "text" => panic);
                failed.extend(lookup);
            }
        }
        self.spare.events = events;
        for action in actions.drain(..) {
            let lookup = match &action {
                Action::Send { id, .. } | Action::Nack { id, .. } | Action::Fail { id } => Some(*id),
                _ => None,
            };
            if let Err(panic) = contained(|| self.carry_out(action, now)) {
                error!(self.log, "panic at an action"; "text" => panic);
                failed.extend(lookup);
            }
        }
        self.spare.actions = actions;
        for lookup in failed {
            self.answer(lookup, (frame::FAILED, &[], &[]), now);
            self.events.push(Event::Left { id: lookup });
        }
        self.ends(now);
        over.drain(..).for_each(|lookup| self.forget(lookup));
        self.spare.over = over;
        self.hear(now);
        // Places that have come free are given on at once.
        self.turns(now);
        self.clients.flush(now, &self.poll);
    }

    fn carry_out(&mut self, action: Action, now: Micros) {
        match action {
            Action::Send { id, peer, time_out, fill } => self.send(id, peer, time_out, fill, now),
            Action::Nack { id, come_back } => self.nack(id, come_back, now),
            Action::Fail { id } => self.answer(id, (frame::FAILED, &[], &[]), now),
            Action::Cancel { id, send } => {
                let out =
                    self.lookups.get(&id).and_then(|t| t.sends.get(usize::from(send)).copied().flatten());
                if let Some((number, serial)) = out {
                    self.caches.fail(number, serial, Cause::Withdrawn, &self.poll);
                }
            }
            Action::Ring { at, token } => self.timers.push(Reverse((at, Timer::Ring(token)))),
            // The journal service tells unasked.
            Action::Subscribe => {}
            Action::Forget { peer } => {
                self.caches.forget(peer, &self.poll);
                self.addresses.remove(&peer);
                self.machines.forget(peer);
            }
            Action::Log(text) => info!(self.log, "{}", text),
        }
    }

    fn send(&mut self, id: u32, peer: PeerIx, time_out: Micros, fill: Option<Fill>, now: Micros) {
        let Some(taken) = self.lookups.get_mut(&id) else { return };
        let (number, left) = (taken.sends.len() as u8, taken.expires - now);
        self.serial += 1;
        let out = Out { lookup: id, send: number, at: now, serial: self.serial };
        let time_out = if time_out == 0 { left } else { time_out.min(left) };
        let address = self.addresses.get(&peer).filter(|_| taken.owed && time_out > 0);
        let Some((address, host)) = address else {
            taken.sends.push(None);
            let fault = Fault { reach: Reach::Unsent, cause: Cause::TimeUp };
            self.caches.refuse(out, peer, fault);
            return;
        };
        let request = &taken.request;
        let ask = http::Ask {
            host,
            verb: &request.verb,
            item: &request.item,
            slice: request.slice,
            txn: &request.txn,
            wait_ms: (time_out / 1000).max(1),
            unique: request.unique.as_deref(),
            upstream: fill.filter(|f| f.source != peer).map(|f| self.machines.name(f.source).as_str()),
            retain: fill.map_or(0, |f| f.keep),
            // Rounded down: an age limit guards against copies from before a purge. 0 would lift it.
            oldest_ms: fill.filter(|f| f.age > 0).map_or(0, |f| (f.age / 1000).max(1)),
            ride: fill.is_some_and(|f| f.join),
            have_only: fill.is_some_and(|f| f.held_only),
            update: fill.is_some_and(|f| f.renew),
            known: request.seen.as_deref(),
            body: &request.body,
        };
        self.spare.request.clear();
        ask.write(&mut self.spare.request);
        let conn = self.caches.send(peer, *address, &self.spare.request, out, &mut self.poll);
        if let Some(conn) = conn {
            self.timers.push(Reverse((now + time_out, Timer::Send(conn, self.serial))));
            if self.caches.connecting(conn, self.serial) {
                let limit = now + self.config.connect_timeout;
                self.timers.push(Reverse((limit, Timer::Connect(conn, self.serial))));
            }
        }
        taken.sends.push(conn.map(|conn| (conn, self.serial)));
    }
}
