//! The loop: gathers what is ready, hands it to the module in one go, and carries out what came back. It
//! decides nothing: time limits are those that the module or the settings give.

mod actions;
pub(crate) mod availability;
mod events;
mod fleet;
mod list;
mod lookups;
mod outcomes;
mod passage;
mod shared;
mod timer;

use self::availability::Availability;
use self::lookups::{Effect, Taken};
use self::timer::Timer;
use crate::clock::Clock;
use crate::config::Config;
use crate::frame;
use crate::net::clients::{ClientEvent, Clients, DRAIN_TIMEOUT};
use crate::net::discovery::{DiscoveryClient, Loss};
use crate::net::endpoints::{AttemptRef, EndedAttempt, EndpointConnections};
use crate::net::operators::Operators;
use crate::net::peers::Peers;
use crate::net::syscalls::increment;
use crate::net::{Cause, Key, Poll, ReadyEvents};
use crate::report::{self, Metrics};
use calloop::{EventLoop, Readiness, RegistrationToken};
use compact_str::CompactString;
use meadowrill_admission::config::{AdmissionConfig, ClientKey};
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::identity::IdentityResolver;
use meadowrill_admission::request::{AdmissionEvent, CapacityLimits};
use meadowrill_event_distribution::subscriber::FreshnessBound;
use meadowrill_routing::host::{catch_panic, EndpointIndices};
use meadowrill_routing::interface::*;
use meadowrill_routing::router;
use slog::{debug, error, info, warn, Logger};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

/// Housekeeping: idle and stalled connections, the journal service.
const TICK: Micros = 250_000;
/// How long after the signal to end connections and lookups may still come in (the platform says 0.6 s).
const LINGER: Micros = 700_000;
/// How long last answers are left to be read by whoever is slow, before the program ends: what drains is left its time.
const LAST: Micros = DRAIN_TIMEOUT + TICK;

#[derive(Default)]
struct Spare {
    events: Vec<Event>,
    actions: Vec<Action>,
    ended: Vec<EndedAttempt>,
    connected: Vec<AttemptRef>,
    heard: Vec<ClientEvent>,
    admission_events: Vec<AdmissionEvent>,
    over: Vec<u32>,
    request: Vec<u8>,
}

pub(crate) struct Front {
    config: Config,
    log: Logger,
    clock: Clock,
    module: router::Router,
    poll: Poll,
    listener: Option<(TcpListener, RegistrationToken)>,
    /// Connections may be waiting to be accepted.
    pending_accept: bool,
    clients: Clients,
    admission: AdmissionController,
    identities: IdentityResolver,
    metrics: Metrics,
    availability: Availability,
    operators: Option<Operators>,
    /// The others of the fleet, where the settings tell of one, and when its view wants to be asked next.
    fronts: Option<Peers>,
    fleet_at: Micros,
    /// What copies may be served, as the decisions were told; none before the first word, and without a subscription.
    copy_bound: Option<FreshnessBound>,
    /// Further counts of a bench build.
    counts: Option<fn() -> String>,
    caches: EndpointConnections,
    journal: DiscoveryClient,
    /// Since when the journal service may have kept something back, as the decisions were told.
    behind: Option<Micros>,
    machines: EndpointIndices<String>,
    /// With the text that requests carry.
    addresses: HashMap<EndpointIndex, (SocketAddr, CompactString)>,
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
    /// It was told to end.
    ending: bool,
    /// When the snapshot was written last.
    kept_at: Micros,
    /// When the last lookup was done with, once the front is ending.
    done_at: Option<Micros>,
}

impl Front {
    pub(crate) fn new(
        config: Config,
        listener: TcpListener,
        events: &EventLoop<'static, ReadyEvents>,
        log: Logger,
        counts: Option<fn() -> String>,
    ) -> io::Result<Front> {
        let poll = Poll::new(events)?;
        listener.set_nonblocking(true)?;
        let token = poll.watch(listener.try_clone()?, Key::Listener)?;
        let clock = Clock::start();
        let now = clock.now();
        let mut actions = Vec::new();
        let module = router::Router::new(config.seed, &config.settings, &mut actions);
        let last = config.known["pos"].as_u64().unwrap_or(0);
        let kinds: Vec<_> = config.classes.iter().map(|class| class.admission).collect();
        let bounds = CapacityLimits {
            lookups: config.lookups,
            bytes: config.buffers,
            max_retry_after: config.longest_away,
        };
        let operators = config
            .own
            .socket
            .as_ref()
            .map(|path| Operators::listen(Path::new(path), &poll));
        let fleet = config.own.fleet.as_ref();
        let shared = config.own.replica.as_ref();
        let fronts =
            fleet.map(|plan| Peers::listen(plan, shared, &config.name, now, config.seed, &poll));
        let mut front = Front {
            module,
            poll,
            listener: Some((listener, token)),
            pending_accept: true,
            clients: Clients::new(config.clients, config.draining, config.longest),
            admission: AdmissionController::new(
                config.own.turns.clone(),
                &kinds,
                bounds,
                config.seed,
                now,
            ),
            identities: IdentityResolver::new(&config.own.turns, config.seed),
            metrics: Metrics::default(),
            availability: Availability::default(),
            operators: operators.transpose()?,
            fronts: fronts.transpose()?,
            fleet_at: 0,
            copy_bound: None,
            counts,
            caches: EndpointConnections::new(config.caches, config.conn_idle),
            journal: DiscoveryClient::new(config.journal, last),
            behind: None,
            machines: EndpointIndices::default(),
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
            ending: false,
            kept_at: now,
            done_at: None,
            clock,
            log,
            config,
        };
        front.subscribe(now);
        // Where state is shared, other fronts are asked for it first.
        front.clients.ready = !front.shares();
        front.know(now);
        front.restore(now);
        front.hand_over(now, actions);
        front.timers.push(Reverse((now, Timer::Tick)));
        front.follow_plan(now);
        front.with_fronts(now, |_, _| {});
        Ok(front)
    }

    pub(crate) fn run(&mut self, events: &mut EventLoop<'static, ReadyEvents>) -> io::Result<()> {
        let mut gathered = Vec::new();
        while !self.ended() {
            self.wait(events, &mut gathered)?;
            let now = self.clock.now();
            self.gather(&mut gathered, now);
            let actions = std::mem::take(&mut self.spare.actions);
            self.hand_over(now, actions);
        }
        if let Some(kept) = self.keep(self.clock.now()) {
            // A panic there was told by its hook.
            let _ = kept.join();
        }
        info!(self.log, "ended");
        Ok(())
    }

    /// Waits until something is ready or a timer rings.
    fn wait(
        &mut self,
        events: &mut EventLoop<'static, ReadyEvents>,
        gathered: &mut ReadyEvents,
    ) -> io::Result<()> {
        let timer = self.due();
        let next = [timer, self.admission.next_deadline()]
            .into_iter()
            .flatten()
            .min();
        let next = next.map_or(TICK, |at| at - self.clock.now());
        let more = self
            .fronts
            .as_ref()
            .is_some_and(Peers::has_unread_datagrams);
        let at_once =
            !self.events.is_empty() || !self.over.is_empty() || self.clients.has_unread() || more;
        let pause = if at_once { 0 } else { next.max(0) as u64 };
        if self.poll.wait(Duration::from_micros(pause), gathered)? {
            // The library's poller: time, its re-arming, the wait, its note and that re-armed.
            increment(&self.poll.syscalls.waits, 5);
            events
                .dispatch(Some(Duration::ZERO), gathered)
                .map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// When the next timer rings. Those of sends that have ended are passed over: each would wake the loop for nothing.
    fn due(&mut self) -> Option<Micros> {
        loop {
            let Reverse((at, timer)) = *self.timers.peek()?;
            match timer {
                Timer::Send(conn, serial) | Timer::Connect(conn, serial)
                    if !self.caches.is_in_flight(conn, serial) =>
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
        if self
            .fronts
            .as_ref()
            .is_some_and(|fronts| !fronts.has_left())
        {
            return false;
        }
        let done_at = *self.done_at.get_or_insert_with(|| {
            self.timers.push(Reverse((now + LAST, Timer::Close)));
            now
        });
        self.clients.is_empty() || now >= done_at + LAST
    }

    /// Purges first, so that no lookup read after one is answered by what stood before; then what caches
    /// answered, so that no time limit overtakes an answer that is there; then what clients say.
    fn gather(&mut self, gathered: &mut ReadyEvents, now: Micros) {
        if self.poll.buffer_memory.bytes() < self.config.buffers {
            gathered.extend(
                std::mem::take(&mut self.held_back)
                    .into_iter()
                    .map(|key| (key, Readiness::EMPTY)),
            );
        }
        if self
            .fronts
            .as_ref()
            .is_some_and(Peers::has_unread_datagrams)
        {
            gathered.push((Key::Datagrams, Readiness::EMPTY));
        }
        gathered.extend(
            self.clients
                .take_unread()
                .into_iter()
                .map(|n| (Key::Client(n), Readiness::EMPTY)),
        );
        gathered.sort_unstable_by_key(|(key, _)| *key);
        for (key, ready) in gathered.drain(..) {
            if let Err(panic) = catch_panic(|| self.ready(key, ready, now)) {
                error!(self.log, "panic at a connection"; "key" => ?key, "text" => %panic);
                match key {
                    Key::Client(number) => self.clients.disconnect(number, &self.poll),
                    Key::Endpoint(number) => self.caches.fail_panicked(number, &self.poll),
                    Key::Discovery(_) => {
                        self.journal
                            .disconnect(Loss::Panicked, &self.poll, &mut Vec::new())
                    }
                    Key::Operator(number) => self
                        .operators
                        .iter_mut()
                        .for_each(|o| o.disconnect(number, &self.poll)),
                    Key::Stream(number) => self.with_fronts(now, |fronts, poll| {
                        // What was left for it is found by the next comparison.
                        fronts.streams.close(number, poll);
                    }),
                    Key::Listener
                    | Key::Datagrams
                    | Key::StreamListener
                    | Key::Operators
                    | Key::Reload
                    | Key::Report
                    | Key::Signal => {}
                }
            }
        }
        let rest = catch_panic(|| {
            self.ends(now);
            self.ring(now);
            self.admit(now);
            self.hear(now);
            self.poll_admission(now);
        });
        if let Err(panic) = rest {
            error!(self.log, "panic in a round"; "text" => %panic);
        }
    }

    fn ready(&mut self, key: Key, ready: Readiness, now: Micros) {
        match key {
            Key::Listener => self.pending_accept = true,
            Key::Signal if !self.ending => {
                info!(self.log, "ending"; "open" => self.lookups.len());
                (self.ending, self.clients.ready) = (true, false);
                self.with_fronts(now, |fronts, poll| fronts.leave(now, poll));
                self.timers.push(Reverse((now + LINGER, Timer::Close)));
            }
            Key::Signal => {}
            Key::Reload => self.reload(now),
            Key::Datagrams => {
                self.with_fronts(now, |fronts, poll| fronts.receive_datagrams(now, poll))
            }
            Key::StreamListener => {
                self.with_fronts(now, |fronts, poll| fronts.streams.accept(now, poll))
            }
            Key::Stream(number) => {
                self.with_fronts(now, |fronts, poll| {
                    fronts.handle_stream(number, ready, now, poll)
                });
            }
            Key::Report => report::admission::log(&self.log, &self.admission.report()),
            Key::Operators => self
                .operators
                .iter_mut()
                .for_each(|o| o.accept(&mut self.poll)),
            Key::Operator(number) => {
                let (door, metrics, availability) =
                    (&self.admission, &self.metrics, &self.availability);
                let (calls, counts, fronts) = (&self.poll.syscalls, self.counts, &self.fronts);
                let tell = |word: &str| match word {
                    "turns" => report::admission::table(&door.report()),
                    "metrics" => metrics.encode(door, availability, fronts.as_ref(), now),
                    "fleet events" | "fleet events json" => {
                        match fronts
                            .as_ref()
                            .and_then(report::distribution::SubscriptionReport::new)
                        {
                            None => "no fleet { events { } } in the settings\n".to_string(),
                            Some(events) if word == "fleet events" => events.table(now),
                            Some(events) => events.json(now),
                        }
                    }
                    "fleet" | "fleet json" => match (fronts, word) {
                        (None, _) => "no fleet in the settings\n".to_string(),
                        (Some(fronts), "fleet") => report::fleet::table(fronts.view(), now),
                        (Some(fronts), _) => report::fleet::json(fronts.view(), now),
                    },
                    word if word.starts_with("fleet ") => {
                        match fronts.as_ref().and_then(|fronts| fronts.replica.as_ref()) {
                            None => "no fleet { replica { } } in the settings\n".to_string(),
                            Some(replica) => match &word["fleet ".len()..] {
                                "state" => report::replication::summary(replica, now),
                                "state json" => report::replication::summary_json(replica),
                                "entries" => report::replication::entries(replica),
                                word => match word.strip_prefix("ledger ") {
                                    Some(key) => {
                                        report::replication::key_history(replica, key, now)
                                    }
                                    None => "state, entries or ledger KEY\n".to_string(),
                                },
                            },
                        }
                    }
                    "counts" => format!(
                        "{}{}",
                        calls.report(),
                        counts.map_or(String::new(), |more| more())
                    ),
                    _ => "turns, metrics, fleet or counts\n".to_string(),
                };
                self.operators
                    .iter_mut()
                    .for_each(|o| o.handle_ready(number, &self.poll, tell));
            }
            Key::Discovery(_) => {
                self.follow(now, |journal, poll, news| {
                    journal.handle_ready(key, ready, now, poll, news)
                });
            }
            // Each is dealt with before the next is read: together they could hold more than there is.
            Key::Endpoint(number) => {
                // Answers stay with the kernel until those before them have left: memory is bounded, while
                // requests go on being written and time limits go on.
                let room = self.poll.buffer_memory.bytes() < self.config.buffers;
                if !room {
                    self.held_back.insert(key);
                }
                self.caches
                    .handle_ready(number, ready, room, &mut self.poll);
                self.ends(now);
            }
            Key::Client(number) => {
                self.clients
                    .handle_ready(number, ready, now, &mut self.poll);
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
            info!(self.log, "door renewed"; "waiting" => self.admission.waiting(), "open" => self.admission.open());
            self.admission
                .reconfigure(now, self.config.own.turns.clone());
            self.identities = IdentityResolver::new(&self.config.own.turns, self.config.seed);
        }
        self.follow_plan(now);
        let address = self.config.journal;
        self.follow(now, |journal, poll, news| {
            journal.change_address(address, now, poll, news)
        });
    }

    /// What else the settings of the door and of operators ask for.
    fn follow_plan(&mut self, now: Micros) {
        let AdmissionConfig {
            tenant_field,
            client_key,
            ..
        } = &self.config.own.turns;
        let desk = match client_key {
            ClientKey::Field(name) => Some(name.clone()),
            ClientKey::Address | ClientKey::Connection => None,
        };
        self.clients.identity_fields = frame::IdentityFields {
            tenant: tenant_field.clone(),
            client: desk,
        };
        let again = self
            .config
            .own
            .report_every
            .map(|every| now + (every * 1e6) as Micros);
        self.timers
            .retain(|Reverse((_, timer))| *timer != Timer::Report);
        self.timers
            .extend(again.map(|at| Reverse((at, Timer::Report))));
    }

    fn ring(&mut self, now: Micros) {
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= now)
        {
            let Some(Reverse((_, timer))) = self.timers.pop() else {
                return;
            };
            match timer {
                Timer::Ring(token) => self.events.push(Event::TimerFired { timer: token }),
                Timer::Send(number, serial) => {
                    self.caches
                        .fail_attempt(number, serial, Cause::TimedOut, &self.poll)
                }
                Timer::Connect(number, serial) => {
                    if self.caches.is_connecting(number, serial) {
                        self.caches
                            .fail_attempt(number, serial, Cause::TimedOut, &self.poll);
                    }
                }
                Timer::Tick => self.tick(now),
                Timer::Report => {
                    report::admission::log(&self.log, &self.admission.report());
                    self.follow_plan(now);
                }
                Timer::Close => self.close(now),
                Timer::Fleet(at) => self.fleet_rang(at, now),
            }
        }
        self.ends(now);
    }

    fn tick(&mut self, now: Micros) {
        self.pending_accept = true;
        self.caches.close_expired(now, &self.poll);
        self.clients.close_stale(now, &mut self.poll);
        self.follow(now, |journal, poll, news| journal.maintain(now, poll, news));
        if !self.ending {
            self.check_availability(now);
            self.keep(now);
        }
        self.timers.push(Reverse((now + TICK, Timer::Tick)));
    }

    fn close(&mut self, now: Micros) {
        // Whoever got as far as the kernel has been accepted by it; take them in before the door closes.
        self.admit(now);
        if let Some((_, token)) = self.listener.take() {
            self.poll.unwatch(token);
            self.clients.shut_down(now, &mut self.poll);
        }
    }

    fn admit(&mut self, now: Micros) {
        while self.pending_accept && self.clients.make_room(now, &mut self.poll) {
            let Some((listener, _)) = &self.listener else {
                return;
            };
            increment(&self.poll.syscalls.connections, 1);
            match listener.accept() {
                Ok((stream, from)) => {
                    if let Err(e) = self.clients.accept(stream, from.ip(), now, &mut self.poll) {
                        warn!(self.log, "client not taken in"; "error" => %e);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.pending_accept = false;
                    if e.kind() != io::ErrorKind::WouldBlock {
                        warn!(self.log, "accept"; "error" => %e);
                    }
                }
            }
        }
    }

    fn hear(&mut self, now: Micros) {
        let mut all = std::mem::take(&mut self.spare.heard);
        self.clients.take_events(&mut all);
        for heard in all.drain(..) {
            match heard {
                ClientEvent::BadFrame {
                    client,
                    error: fault,
                } => {
                    debug!(self.log, "bad frame"; "client" => client, "why" => %fault)
                }
                ClientEvent::Cancelled { id: lookup } => {
                    if let Some(taken) = self.lookups.get_mut(&lookup) {
                        taken.owed = false;
                        let waited = taken
                            .place
                            .take()
                            .is_some_and(|place| self.admission.cancel(now, place));
                        let asking = taken.effect == Effect::Asking;
                        if !waited && !asking {
                            self.events.push(Event::ClientLeft { id: lookup });
                        }
                        self.effect_over(lookup, None, now);
                        self.withdraw_unwritten(lookup);
                        self.settle(lookup);
                    }
                }
                ClientEvent::HalfClosed { id: lookup } => self.half_closed(lookup, now),
                ClientEvent::RequestReceived {
                    id: lookup,
                    client,
                    address: from,
                    stream,
                    request,
                } => {
                    self.take(lookup, (client, from), stream, request, now);
                }
            }
        }
        self.spare.heard = all;
    }
}

#[cfg(test)]
mod tests;
