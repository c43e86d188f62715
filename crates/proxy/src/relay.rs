//! `meadowrill relay`: a process that forwards numbered events, or publishes the events of the discovery service, over
//! one datagram socket. It serves no clients.
//!
//! The protocol logic is in `meadowrill_event_distribution`. This module passes datagrams, the time and updates of the
//! discovery service to it, and executes its outputs.

mod feed;
mod progress;
mod settings;

use self::feed::Feed;
use self::progress::Progress;
use self::settings::RelaySettings;
use crate::clock::Clock;
use crate::config::LogLevel;
use crate::error::Error;
use crate::logging::Log;
use crate::net::datagrams::Datagrams;
use crate::net::discovery::{log_event, DiscoveryClient, Notice, Update};
use crate::net::operators::Operators;
use crate::net::{Key, Poll, ReadyEvents};
use crate::report::{self, distribution::RelayReport};
use calloop::EventLoop;
use meadowrill_event_distribution::event::{Event, Purge, PurgeKey};
use meadowrill_event_distribution::output::Output;
use meadowrill_routing::interface::Micros;
use prometheus_client::registry::Registry;
use slog::{crit, error, info, o, warn, Logger};
use std::io;
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;

/// Interval at which the discovery client is maintained and the progress of `done` is updated.
const TICK_INTERVAL: Micros = 250_000;
/// Requested size of the kernel's socket buffer in each direction, in bytes. The kernel grants what the host allows.
const SOCKET_BUFFER: usize = 4 << 20;

/// Runs a relay or publisher until a signal stops it.
pub(crate) fn start(path: &Path) -> Result<(), Error> {
    let settings = RelaySettings::load(path)?;
    let mut events = crate::event_loop()?;
    let level = LogLevel::new(slog::Level::Info);
    let logging = Log::start(
        settings.file.log_format,
        level,
        o!("relay" => settings.name().to_string()),
    );
    let log = logging.logger.clone();
    crate::log_panics(&log);
    let ended =
        Relay::new(settings, &events, log.clone()).and_then(|mut relay| relay.run(&mut events));
    let ended = ended.map_err(|e| {
        crit!(log, "relay failed"; "error" => %e);
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
    /// Set for a publisher: the source of its events.
    discovery: Option<DiscoveryClient>,
    operators: Option<Operators>,
    tick_at: Micros,
    report_at: Option<Micros>,
    progress: Progress,
    shutting_down: bool,
}

impl Relay {
    fn new(
        settings: RelaySettings,
        events: &EventLoop<'static, ReadyEvents>,
        log: Logger,
    ) -> io::Result<Relay> {
        let poll = Poll::new(events)?;
        let clock = Clock::start();
        let now = clock.now();
        let socket = UdpSocket::bind(settings.fleet.listen)?;
        enlarge_buffers(&socket);
        let datagrams = Datagrams::new(socket, &poll)?;
        let operators = settings
            .file
            .operator_socket
            .as_ref()
            .map(|path| Operators::listen(Path::new(path), &poll));
        let publish = settings.relay.publish.as_ref();
        let discovery = publish
            .map(|publish| DiscoveryClient::new_lagging(publish.journal, publish.after, now));
        let mut feed = Feed::new(&settings, now);
        feed.set_lag(discovery.as_ref().and_then(DiscoveryClient::lag_since));
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
            discovery,
            operators: operators.transpose()?,
            tick_at: now,
            report_at: settings.report_every().map(|every| now + every),
            progress: Progress::new(now),
            shutting_down: false,
            settings,
        })
    }

    fn run(&mut self, events: &mut EventLoop<'static, ReadyEvents>) -> io::Result<()> {
        let mut ready_events = ReadyEvents::new();
        while !self.shutting_down {
            if self.poll.wait(self.poll_timeout(), &mut ready_events)? {
                events
                    .dispatch(Some(Duration::ZERO), &mut ready_events)
                    .map_err(io::Error::other)?;
            }
            let now = self.clock.now();
            if self.datagrams.has_unread() {
                ready_events.push((Key::Datagrams, calloop::Readiness::EMPTY));
            }
            for (key, ready) in ready_events.drain(..) {
                self.handle_ready(key, ready, now);
            }
            self.tick(now);
            self.process_outputs();
        }
        info!(self.log, "ended");
        Ok(())
    }

    fn poll_timeout(&self) -> Duration {
        if self.datagrams.has_unread() {
            return Duration::ZERO;
        }
        let next_wake = self
            .report_at
            .iter()
            .fold(self.feed.next_wake().min(self.tick_at), |next, at| {
                next.min(*at)
            });
        let remaining = next_wake - self.clock.now();
        Duration::from_micros(remaining.max(0) as u64)
    }

    fn handle_ready(&mut self, key: Key, ready: calloop::Readiness, now: Micros) {
        match key {
            Key::Datagrams => {
                let (feed, outputs) = (&mut self.feed, &mut self.outputs);
                self.datagrams
                    .receive(|bytes| feed.receive(now, bytes, outputs));
            }
            Key::Discovery(_) => self.with_discovery(now, |discovery, poll, notices| {
                discovery.handle_ready(key, ready, now, poll, notices)
            }),
            Key::Operators => self
                .operators
                .iter_mut()
                .for_each(|o| o.accept(&mut self.poll)),
            Key::Operator(number) => self.answer_operator(number, now),
            Key::Reload => self.reload(),
            Key::Report => self.report(now).log(&self.log),
            Key::Signal => {
                info!(self.log, "shutting down");
                self.shutting_down = true;
            }
            // A relay registers no sources with these keys.
            Key::Endpoint(_)
            | Key::Client(_)
            | Key::Listener
            | Key::StreamListener
            | Key::Stream(_) => {}
        }
    }

    fn tick(&mut self, now: Micros) {
        if now >= self.tick_at {
            self.tick_at = now + TICK_INTERVAL;
            self.with_discovery(now, |discovery, poll, notices| {
                discovery.maintain(now, poll, notices)
            });
            let status = self.feed.status(now);
            self.progress
                .update(now, status.in_force, self.feed.published());
        }
        if self.report_at.is_some_and(|at| now >= at) {
            self.report(now).log(&self.log);
            self.report_at = self.settings.report_every().map(|every| now + every);
        }
        if now >= self.feed.next_wake() {
            self.feed.tick(now, &mut self.outputs);
        }
    }

    /// Runs one step of the discovery client, and processes the notices that it returns.
    fn with_discovery(
        &mut self,
        now: Micros,
        step: impl FnOnce(&mut DiscoveryClient, &mut Poll, &mut Vec<Notice>),
    ) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        let mut notices = Vec::new();
        step(discovery, &mut self.poll, &mut notices);
        let lag_since = discovery.lag_since();
        for notice in notices {
            match notice {
                Notice::Update(Update::Invalidation {
                    object,
                    group,
                    issued_at,
                }) => {
                    // If the invalidation has both an object and a group, it applies to the object.
                    let key = object.map_or(PurgeKey::Group(group), PurgeKey::Object);
                    let purge = Purge {
                        key,
                        timestamp: issued_at,
                    };
                    self.feed.publish(now, Event::Purge(purge));
                }
                // Proxies receive the endpoint list from the discovery service directly.
                Notice::Update(Update::Endpoints { .. }) => {}
                Notice::Event(event) => log_event(&self.log, &event),
                Notice::Missed(missed) => {
                    warn!(self.log, "events of the discovery service were missed; older copies are not served";
                        "reason" => %missed);
                    self.feed.bound_missed(now, &mut self.outputs);
                }
            }
        }
        self.feed.set_lag(lag_since);
    }

    fn process_outputs(&mut self) {
        for output in self.outputs.drain(..) {
            match output {
                Output::Send { to, bytes } => self.datagrams.send(to, &bytes),
                Output::Notice(notice) => report::distribution::log_notice(&self.log, &notice),
                Output::InForce { took, .. } => self.progress.record_in_force(took),
                // A relay holds no copies.
                Output::Apply(_) => {}
            }
        }
    }

    fn report(&self, now: Micros) -> RelayReport {
        let status = self.feed.status(now);
        let done_age = self
            .progress
            .stalled_for(now, status.in_force, self.feed.published());
        RelayReport {
            name: self.settings.name().to_string(),
            upstream: self.feed.upstream(now),
            done_age,
            lag: self
                .discovery
                .as_ref()
                .and_then(DiscoveryClient::lag_since)
                .map(|since| now - since),
            in_force: self.progress.in_force(),
            unsent: self.datagrams.unsent,
            status,
        }
    }

    fn metrics(&self, now: Micros) -> String {
        let report = self.report(now);
        let mut registry = Registry::with_prefix(report::distribution::METRIC_PREFIX);
        if report.status.in_force.is_some() {
            let help = "Time from when an event was told until it was in force everywhere";
            registry.register("in_force_seconds", help, self.progress.durations());
        }
        registry.register_collector(Box::new(report.metrics()));
        report::encode_registries(&[registry])
    }

    fn answer_operator(&mut self, number: u64, now: Micros) {
        let Some(mut operators) = self.operators.take() else {
            return;
        };
        let run = |command: &str| match command {
            "fleet events" => self.report(now).table(now),
            "fleet events json" => self.report(now).json(now),
            "metrics" => self.metrics(now),
            _ => "fleet events or metrics: this is a relay\n".to_string(),
        };
        operators.handle_ready(number, &self.poll, run);
        self.operators = Some(operators);
    }

    /// Reads and validates the settings file again. Changes take effect only at the next start.
    fn reload(&mut self) {
        match self.settings.reload() {
            Err(error) => {
                error!(self.log, "new settings rejected, keeping the current ones"; "key" => &error.key,
                "reason" => &error.problem)
            }
            Ok(new_settings) => {
                info!(self.log, "settings reloaded");
                for key in self.settings.changed_keys(&new_settings) {
                    warn!(self.log, "takes effect at the next start only"; "key" => key);
                }
            }
        }
    }
}

/// Requests larger socket buffers. A host that allows less is not an error.
fn enlarge_buffers(socket: &UdpSocket) {
    let _ = rustix::net::sockopt::set_socket_recv_buffer_size(socket, SOCKET_BUFFER);
    let _ = rustix::net::sockopt::set_socket_send_buffer_size(socket, SOCKET_BUFFER);
}
