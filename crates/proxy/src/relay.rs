//! `meadowrill relay`: a process that hands on numbered events, or publishes them, over one socket for datagrams. It has
//! no clients and no lookups. What it does is decided in `meadowrill_event_distribution`; here datagrams, time and the journal
//! service's words are only carried.

mod feed;
mod settings;

use self::feed::Feed;
use self::settings::RelaySettings;
use crate::clock::Clock;
use crate::config::LogLevel;
use crate::error::Error;
use crate::logging::Log;
use crate::net::datagrams::Datagrams;
use crate::net::journal::{Change, Journal, News};
use crate::net::operators::Operators;
use crate::net::{Gathered, Key, Poll};
use crate::report::{self, events::FeedReport};
use calloop::EventLoop;
use meadowrill_event_distribution::event::{Event, LogPosition, Purge, PurgeKey};
use meadowrill_event_distribution::output::Output;
use meadowrill_routing::interface::Micros;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use slog::{crit, error, info, o, warn, Logger};
use std::io;
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;

/// Housekeeping: the journal service, how far `done` has come.
const TICK: Micros = 250_000;
/// What the kernel is asked to hold of datagrams in each direction; it gives what the machine allows.
const SOCKET_BUFFER: usize = 4 << 20;

/// Runs a relay until it is told to end.
pub(crate) fn start(path: &Path) -> Result<(), Error> {
    let settings = RelaySettings::load(path)?;
    let mut events = crate::event_loop()?;
    let level = LogLevel::new(slog::Level::Info);
    let logging = Log::start(
        settings.own.log,
        level,
        o!("relay" => settings.name().to_string()),
    );
    let log = logging.logger.clone();
    crate::log_panics(&log);
    let ended =
        Relay::new(settings, &events, log.clone()).and_then(|mut relay| relay.run(&mut events));
    let ended = ended.map_err(|e| {
        crit!(log, "ended"; "error" => %e);
        Error::Io(e)
    });
    logging.end();
    ended
}

struct Relay {
    settings: RelaySettings,
    log: Logger,
    clock: Clock,
    poll: Poll,
    datagrams: Datagrams,
    feed: Feed,
    outputs: Vec<Output>,
    /// Of a publisher: where its events come from.
    journal: Option<Journal>,
    operators: Option<Operators>,
    tick_at: Micros,
    report_at: Option<Micros>,
    progress: Progress,
    ending: bool,
}

/// How `done` gets on.
struct Progress {
    done: Option<LogPosition>,
    /// When it last got on, or had all that was published.
    at: Micros,
    /// Events that were put in force everywhere, and how long that took.
    in_force: u64,
    took: Histogram,
}

impl Relay {
    fn new(
        settings: RelaySettings,
        events: &EventLoop<'static, Gathered>,
        log: Logger,
    ) -> io::Result<Relay> {
        let poll = Poll::new(events)?;
        let clock = Clock::start();
        let now = clock.now();
        let socket = UdpSocket::bind(settings.fleet.listen)?;
        enlarge(&socket);
        let datagrams = Datagrams::new(socket, &poll)?;
        let operators = settings
            .own
            .socket
            .as_ref()
            .map(|path| Operators::listen(Path::new(path), &poll));
        let publish = settings.relay.publish.as_ref();
        let journal = publish.map(|publish| Journal::unheard(publish.journal, publish.after, now));
        let mut feed = Feed::new(&settings, now);
        feed.behind(journal.as_ref().and_then(Journal::behind));
        let role = if publish.is_some() {
            "publisher"
        } else {
            "relay"
        };
        info!(log, "listening"; "at" => %datagrams.address()?, "role" => role,
            "relays" => settings.events.relays.len());
        Ok(Relay {
            feed,
            log,
            clock,
            poll,
            datagrams,
            outputs: Vec::new(),
            journal,
            operators: operators.transpose()?,
            tick_at: now,
            report_at: settings.report_every().map(|every| now + every),
            progress: Progress::new(now),
            ending: false,
            settings,
        })
    }

    fn run(&mut self, events: &mut EventLoop<'static, Gathered>) -> io::Result<()> {
        let mut gathered = Gathered::new();
        while !self.ending {
            if self.poll.wait(self.pause(), &mut gathered)? {
                events
                    .dispatch(Some(Duration::ZERO), &mut gathered)
                    .map_err(io::Error::other)?;
            }
            let now = self.clock.now();
            if self.datagrams.waits() {
                gathered.push((Key::Datagrams, calloop::Readiness::EMPTY));
            }
            for (key, ready) in gathered.drain(..) {
                self.ready(key, ready, now);
            }
            self.tick(now);
            self.carry_out();
        }
        info!(self.log, "ended");
        Ok(())
    }

    fn pause(&self) -> Duration {
        if self.datagrams.waits() {
            return Duration::ZERO;
        }
        let next = self
            .report_at
            .iter()
            .fold(self.feed.next_wake().min(self.tick_at), |next, at| {
                next.min(*at)
            });
        let pause = next - self.clock.now();
        Duration::from_micros(pause.max(0) as u64)
    }

    fn ready(&mut self, key: Key, ready: calloop::Readiness, now: Micros) {
        match key {
            Key::Datagrams => {
                let (feed, outputs) = (&mut self.feed, &mut self.outputs);
                self.datagrams
                    .read(|bytes| feed.receive(now, bytes, outputs));
            }
            Key::Journal(_) => {
                self.follow(now, |journal, poll, news| {
                    journal.handle(key, ready, now, poll, news)
                });
            }
            Key::Operators => self
                .operators
                .iter_mut()
                .for_each(|o| o.accept(&mut self.poll)),
            Key::Operator(number) => self.answer_operator(number, now),
            Key::Reload => self.reload(),
            Key::Report => self.report(now).log(&self.log),
            Key::Signal => {
                info!(self.log, "ending");
                self.ending = true;
            }
            // There are none of these here.
            Key::Cache(_) | Key::Client(_) | Key::Door | Key::Chunks | Key::Stream(_) => {}
        }
    }

    fn tick(&mut self, now: Micros) {
        if now >= self.tick_at {
            self.tick_at = now + TICK;
            self.follow(now, |journal, poll, news| journal.keep_up(now, poll, news));
            let status = self.feed.status(now);
            self.progress
                .note(now, status.in_force, self.feed.published());
        }
        if self.report_at.is_some_and(|at| now >= at) {
            self.report(now).log(&self.log);
            self.report_at = self.settings.report_every().map(|every| now + every);
        }
        if now >= self.feed.next_wake() {
            self.feed.tick(now, &mut self.outputs);
        }
    }

    /// One step with the journal service, and what it told.
    fn follow(&mut self, now: Micros, step: impl FnOnce(&mut Journal, &mut Poll, &mut Vec<News>)) {
        let Some(journal) = &mut self.journal else {
            return;
        };
        let mut news = Vec::new();
        step(journal, &mut self.poll, &mut news);
        let behind = journal.behind();
        for news in news {
            match news {
                Ok(Change::Purge {
                    object,
                    group,
                    stamp,
                }) => {
                    // Of both, the object is meant.
                    let key = object.map_or(PurgeKey::Group(group), PurgeKey::Object);
                    self.feed.publish(
                        now,
                        Event::Purge(Purge {
                            key,
                            timestamp: stamp,
                        }),
                    );
                }
                // The list of caches goes to fronts by the journal service.
                Ok(Change::Hosts { .. }) => {}
                Err(what) => warn!(self.log, "journal"; "what" => what),
            }
        }
        self.feed.behind(behind);
    }

    fn carry_out(&mut self) {
        for output in self.outputs.drain(..) {
            match output {
                Output::Send { to, bytes } => self.datagrams.send(to, &bytes),
                Output::Notice(notice) => report::events::log_notice(&self.log, &notice),
                Output::InForce { took, .. } => self.progress.in_force(took),
                // A relay holds no copies.
                Output::Apply(_) => {}
            }
        }
    }

    fn report(&self, now: Micros) -> FeedReport {
        let status = self.feed.status(now);
        let done_age = self
            .progress
            .age(now, status.in_force, self.feed.published());
        FeedReport {
            name: self.settings.name().to_string(),
            upstream: self.feed.upstream(now),
            done_age,
            behind: self
                .journal
                .as_ref()
                .and_then(Journal::behind)
                .map(|since| now - since),
            in_force: self.progress.in_force,
            unsent: self.datagrams.unsent,
            status,
        }
    }

    fn metrics(&self, now: Micros) -> String {
        let report = self.report(now);
        let mut registry = Registry::with_prefix(report::events::PREFIX);
        if report.status.in_force.is_some() {
            let help = "Time from when an event was told until it was in force everywhere";
            registry.register("in_force_seconds", help, self.progress.took.clone());
        }
        registry.register_collector(Box::new(report.metrics()));
        report::encoded(&[registry])
    }

    fn answer_operator(&mut self, number: u64, now: Micros) {
        let Some(mut operators) = self.operators.take() else {
            return;
        };
        let tell = |word: &str| match word {
            "fleet events" => self.report(now).table(now),
            "fleet events json" => self.report(now).json(now),
            "metrics" => self.metrics(now),
            _ => "fleet events or metrics: this is a relay\n".to_string(),
        };
        operators.handle(number, &self.poll, tell);
        self.operators = Some(operators);
    }

    /// Checks the file as it stands now; all of it waits for the next start.
    fn reload(&mut self) {
        match self.settings.again() {
            Err(faulty) => {
                error!(self.log, "settings refused, the former go on"; "key" => &faulty.key,
                "what" => &faulty.problem)
            }
            Ok(fresh) => {
                info!(self.log, "settings read again");
                for key in self.settings.differs(&fresh) {
                    warn!(self.log, "takes effect at the next start only"; "key" => key);
                }
            }
        }
    }
}

/// A machine that allows less is no reason to end.
fn enlarge(socket: &UdpSocket) {
    let _ = rustix::net::sockopt::set_socket_recv_buffer_size(socket, SOCKET_BUFFER);
    let _ = rustix::net::sockopt::set_socket_send_buffer_size(socket, SOCKET_BUFFER);
}

impl Progress {
    fn new(now: Micros) -> Progress {
        // From five milliseconds to some minutes.
        let took = Histogram::new(exponential_buckets(0.005, 2.0, 17));
        Progress {
            done: None,
            at: now,
            in_force: 0,
            took,
        }
    }

    fn in_force(&mut self, took: Micros) {
        self.in_force += 1;
        self.took.observe(took as f64 / 1e6);
    }

    fn note(&mut self, now: Micros, done: Option<LogPosition>, published: Option<LogPosition>) {
        if done != self.done || done == published {
            (self.done, self.at) = (done, now);
        }
    }

    /// For how long `done` has not got on, while something published is not in force everywhere; none where nothing is
    /// published here.
    fn age(
        &self,
        now: Micros,
        done: Option<LogPosition>,
        published: Option<LogPosition>,
    ) -> Option<Micros> {
        let done = done?;
        let all = Some(done) == published;
        Some(if all || Some(done) != self.done {
            0
        } else {
            now - self.at
        })
    }
}
