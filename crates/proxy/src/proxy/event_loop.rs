//! The event loop. One round:
//!
//! 1. Wait until a socket is ready or a timer is due.
//! 2. Read what is ready, in the order of [`Key`]. Invalidations and the endpoint list are first, so that no request
//!    that is read after them is served by outdated state. Responses of endpoints are next, so that no timeout
//!    overtakes a response that has arrived. Clients follow.
//! 3. Fire the timers that are due, and accept connections.
//! 4. Pass the events of the round to the router, and carry out its actions (`routing`).
//!
//! A panic ends only the connection or request that was being handled; the loop continues.

use super::timers::Timer;
use super::{Proxy, HOUSEKEEPING_INTERVAL};
use crate::net::discovery::Loss;
use crate::net::peers::Peers;
use crate::net::syscalls::increment;
use crate::net::{Key, ReadyEvents};
use crate::report;
use calloop::{EventLoop, Readiness};
use meadowrill_routing::host::catch_panic;
use meadowrill_routing::interface::{Event, Micros};
use slog::{error, info};
use std::io;
use std::time::Duration;

/// System calls of calloop's poller in one dispatch: set its timer, re-arm the timer, wait, read its notifier, re-arm
/// the notifier.
const CALLOOP_DISPATCH_SYSCALLS: u64 = 5;

impl Proxy {
    /// Runs until a shutdown is complete.
    ///
    /// # Errors
    ///
    /// Returns the error of a wait that cannot be retried.
    pub(crate) fn run(&mut self, events: &mut EventLoop<'static, ReadyEvents>) -> io::Result<()> {
        let mut ready = Vec::new();
        while !self.is_finished() {
            self.wait(events, &mut ready)?;
            let now = self.clock.now();
            self.handle_ready(&mut ready, now);
            self.dispatch_events(now);
        }
        if let Some(writer) = self.write_snapshot(self.clock.now()) {
            // A panic of the writer thread was logged by the panic hook.
            let _ = writer.join();
        }
        info!(self.log, "proxy stopped");
        Ok(())
    }

    /// Waits until something is ready or a timer is due.
    pub(super) fn wait(
        &mut self,
        events: &mut EventLoop<'static, ReadyEvents>,
        ready: &mut ReadyEvents,
    ) -> io::Result<()> {
        let timer = self.timers.next_due(&self.upstream.connections);
        let admission = self.admission.controller.next_deadline();
        let next = [timer, admission].into_iter().flatten().min();
        let next = next.map_or(HOUSEKEEPING_INTERVAL, |at| at - self.clock.now());
        let pause = if self.has_pending_work() {
            0
        } else {
            next.max(0) as u64
        };
        if self.poll.wait(Duration::from_micros(pause), ready)? {
            increment(&self.poll.syscalls.waits, CALLOOP_DISPATCH_SYSCALLS);
            events
                .dispatch(Some(Duration::ZERO), ready)
                .map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// Whether work from the last round is pending.
    fn has_pending_work(&self) -> bool {
        self.routing.has_events()
            || self.requests.any_maybe_finished()
            || self.downstream.clients.has_unread()
            || self.fleet.has_input()
    }

    /// Handles all ready event sources and all due timers.
    pub(super) fn handle_ready(&mut self, ready: &mut ReadyEvents, now: Micros) {
        self.add_deferred_reads(ready);
        ready.sort_unstable_by_key(|(key, _)| *key);
        for (key, readiness) in ready.drain(..) {
            if let Err(panic) = catch_panic(|| self.handle_source(key, readiness, now)) {
                error!(self.log, "panic while handling an event source"; "key" => ?key, "text" => %panic);
                self.disconnect_source(key, now);
            }
        }
        let rest = catch_panic(|| {
            self.collect_attempt_events(now);
            self.fire_timers(now);
            self.accept_clients(now);
            self.handle_client_events(now);
            self.poll_admission(now);
        });
        if let Err(panic) = rest {
            error!(self.log, "panic in an event loop round"; "text" => %panic);
        }
    }

    /// Adds the connections that were not fully read in the last round.
    fn add_deferred_reads(&mut self, ready: &mut ReadyEvents) {
        if self.has_buffer_room() {
            let resumed = std::mem::take(&mut self.upstream.paused_reads);
            ready.extend(resumed.into_iter().map(|key| (key, Readiness::EMPTY)));
        }
        if self.fleet.has_input() {
            ready.push((Key::Datagrams, Readiness::EMPTY));
        }
        let unread = self.downstream.clients.take_unread();
        let unread = unread.into_iter().map(Key::Client);
        ready.extend(unread.map(|key| (key, Readiness::EMPTY)));
    }

    fn has_buffer_room(&self) -> bool {
        self.poll.buffer_memory.bytes() < self.config.max_buffer_bytes
    }

    fn handle_source(&mut self, key: Key, ready: Readiness, now: Micros) {
        match key {
            Key::Listener => self.downstream.accept_pending = true,
            Key::Signal => self.begin_shutdown(now),
            Key::Reload => self.reload(now),
            Key::Datagrams => {
                self.with_fleet(now, |peers, poll| peers.receive_datagrams(now, poll))
            }
            Key::StreamListener => {
                self.with_fleet(now, |peers, poll| peers.streams.accept(now, poll))
            }
            Key::Stream(number) => {
                self.with_fleet(now, |peers, poll| {
                    peers.handle_stream(number, ready, now, poll)
                });
            }
            Key::Report => report::admission::log(&self.log, &self.admission.controller.report()),
            Key::Operators => {
                if let Some(operators) = &mut self.operators.operators {
                    operators.accept(&mut self.poll);
                }
            }
            Key::Operator(number) => self.handle_operator(number, now),
            Key::Discovery(_) => self.with_discovery(now, |client, poll, notices| {
                client.handle_ready(key, ready, now, poll, notices);
            }),
            Key::Endpoint(number) => self.read_endpoint(number, ready, now),
            // The requests of each client are handled before the next client is read: unhandled requests of all clients
            // together could exceed the buffer limit.
            Key::Client(number) => {
                let clients = &mut self.downstream.clients;
                clients.handle_ready(number, ready, now, &mut self.poll);
                self.handle_client_events(now);
            }
        }
    }

    /// Handles an endpoint connection that is ready. Without buffer room its response stays in the kernel until other
    /// responses have been sent. This bounds memory, while requests are still written and timeouts still fire.
    fn read_endpoint(&mut self, number: u64, ready: Readiness, now: Micros) {
        let room = self.has_buffer_room();
        if !room {
            self.upstream.paused_reads.insert(Key::Endpoint(number));
        }
        let connections = &mut self.upstream.connections;
        connections.handle_ready(number, ready, room, &mut self.poll);
        self.collect_attempt_events(now);
    }

    /// Closes a connection whose handling panicked.
    fn disconnect_source(&mut self, key: Key, now: Micros) {
        match key {
            Key::Client(number) => self.downstream.clients.disconnect(number, &self.poll),
            Key::Endpoint(number) => self.upstream.connections.fail_panicked(number, &self.poll),
            Key::Discovery(_) => {
                let client = &mut self.discovery.client;
                client.disconnect(Loss::Panicked, &self.poll, &mut Vec::new());
            }
            Key::Operator(number) => {
                if let Some(operators) = &mut self.operators.operators {
                    operators.disconnect(number, &self.poll);
                }
            }
            Key::Stream(number) => self.with_fleet(now, |peers: &mut Peers, poll| {
                // The next comparison with the peer recovers unsent messages.
                peers.streams.close(number, poll);
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

    fn fire_timers(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Router(timer) => self.routing.queue(Event::TimerFired { timer }),
                Timer::AttemptTimeout(attempt) => self.handle_attempt_timeout(attempt),
                Timer::ConnectTimeout(attempt) => self.handle_connect_timeout(attempt),
                Timer::Housekeeping => self.housekeeping(now),
                Timer::AdmissionReport => {
                    report::admission::log(&self.log, &self.admission.controller.report());
                    self.apply_operator_settings(now);
                }
                Timer::Shutdown => self.stop_accepting(now),
                Timer::Fleet(at) => self.fleet_timer_fired(at, now),
            }
        }
        self.collect_attempt_events(now);
    }

    /// Runs the periodic tasks.
    fn housekeeping(&mut self, now: Micros) {
        self.downstream.accept_pending = true;
        self.upstream.connections.close_expired(now, &self.poll);
        self.downstream.clients.close_stale(now, &mut self.poll);
        self.with_discovery(now, |client, poll, notices| {
            client.maintain(now, poll, notices);
        });
        if !self.shutdown.begun {
            self.check_availability(now);
            self.write_snapshot(now);
        }
        let next = now + HOUSEKEEPING_INTERVAL;
        self.timers.set(next, Timer::Housekeeping);
    }
}
