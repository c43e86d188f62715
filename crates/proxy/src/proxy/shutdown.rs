//! Graceful shutdown, as a state machine:
//!
//! 1. *Serving*, until a signal.
//! 2. *Lingering*: the proxy reports that it is not ready and announces to the fleet that it is leaving. It still
//!    accepts connections and requests.
//! 3. *Closed*, after [`LINGER_PERIOD`]: new connections and requests are not accepted.
//! 4. *Drained*: the last request has finished. Clients have [`FINAL_RESPONSE_TIMEOUT`] to read their responses. The
//!    process ends after that time, or when the last client connection is closed.

use super::timers::Timer;
use super::{Proxy, HOUSEKEEPING_INTERVAL};
use crate::net::clients::DRAIN_TIMEOUT;
use meadowrill_routing::interface::Micros;
use slog::info;

/// How long after the signal connections and requests are still accepted. The platform specifies 0.6 s.
const LINGER_PERIOD: Micros = 700_000;
/// How long slow clients may take to read their last responses: draining connections get their full time.
const FINAL_RESPONSE_TIMEOUT: Micros = DRAIN_TIMEOUT + HOUSEKEEPING_INTERVAL;

/// State of the shutdown.
#[derive(Default)]
pub(super) struct Shutdown {
    /// Whether a signal has requested the shutdown.
    pub(super) begun: bool,
    /// When the last request finished, once no new requests are accepted.
    drained_at: Option<Micros>,
}

impl Proxy {
    /// Begins the shutdown on a signal. Further signals have no effect.
    ///
    /// The fleet is notified immediately, while this proxy still serves. Other proxies stop probing it, and may take
    /// over a claim that it still holds at the ledger if a client resends the request. Endpoints drop repeats of an
    /// idempotency key within its deduplication window.
    pub(super) fn begin_shutdown(&mut self, now: Micros) {
        if self.shutdown.begun {
            return;
        }
        info!(self.log, "shutting down"; "open_requests" => self.requests.len());
        self.shutdown.begun = true;
        self.downstream.clients.ready = false;
        self.with_fleet(now, |peers, poll| peers.leave(now, poll));
        self.timers.set(now + LINGER_PERIOD, Timer::Shutdown);
    }

    /// Stops accepting connections and requests. Connections that the kernel has already accepted are accepted first.
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
            self.timers
                .set(now + FINAL_RESPONSE_TIMEOUT, Timer::Shutdown);
            now
        });
        self.downstream.clients.is_empty() || now >= drained_at + FINAL_RESPONSE_TIMEOUT
    }
}
