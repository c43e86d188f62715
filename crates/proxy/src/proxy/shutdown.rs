//! Graceful shutdown, as a state machine:
//!
//! 1. *Serving*, until a signal.
//! 2. *Lingering*: not ready, and the fleet is told that this proxy leaves; connections and requests are still taken.
//! 3. *Closed*, after [`LINGER`]: no connection and nothing new on one is taken.
//! 4. *Drained*: the last request is done. Clients have [`LAST_RESPONSES`] to read what was written to them; then, or
//!    once none is left, the process ends.

use super::timers::Timer;
use super::{Proxy, HOUSEKEEPING_INTERVAL};
use crate::net::clients::DRAIN_TIMEOUT;
use meadowrill_routing::interface::Micros;
use slog::info;

/// How long after the signal connections and requests may still come in (the platform says 0.6 s).
const LINGER: Micros = 700_000;
/// How long last responses are left to be read by slow clients: connections that drain are left their time.
const LAST_RESPONSES: Micros = DRAIN_TIMEOUT + HOUSEKEEPING_INTERVAL;

/// How far the shutdown has come.
#[derive(Default)]
pub(super) struct Shutdown {
    /// A signal asked for it.
    pub(super) begun: bool,
    /// When the last request was done with, once nothing new is taken.
    drained_at: Option<Micros>,
}

impl Proxy {
    /// A signal asks the process to end. Further signals change nothing.
    ///
    /// The fleet is told at once, while this proxy still serves: others probe it no more, and may take over a claim that
    /// it has open at the ledger where a client sends the request again. Endpoints drop repeats of a key within its window.
    pub(super) fn begin_shutdown(&mut self, now: Micros) {
        if self.shutdown.begun {
            return;
        }
        info!(self.log, "shutting down"; "open_requests" => self.requests.len());
        self.shutdown.begun = true;
        self.downstream.clients.ready = false;
        self.with_fleet(now, |peers, poll| peers.leave(now, poll));
        self.timers.set(now + LINGER, Timer::Shutdown);
    }

    /// Takes nothing new from here on. Clients that got as far as the kernel were accepted by it: they are taken in first.
    pub(super) fn stop_accepting(&mut self, now: Micros) {
        self.accept_clients(now);
        if let Some((_, token)) = self.downstream.listener.take() {
            self.poll.unwatch(token);
            self.downstream.clients.shut_down(now, &mut self.poll);
        }
    }

    /// Whether the process may end.
    pub(super) fn is_finished(&mut self) -> bool {
        let now = self.clock.now();
        if self.downstream.listener.is_some() || !self.requests.is_empty() {
            self.shutdown.drained_at = None;
            return false;
        }
        if !self.fleet.has_left() {
            return false;
        }
        let drained_at = *self.shutdown.drained_at.get_or_insert_with(|| {
            self.timers.set(now + LAST_RESPONSES, Timer::Shutdown);
            now
        });
        self.downstream.clients.is_empty() || now >= drained_at + LAST_RESPONSES
    }
}
