//! Availability as this proxy observes it. During an outage requests arrive and no endpoint accepts any of them. An
//! outage is reported by the readiness answer, by a log line at its start and its end, and by a metric. No decision
//! depends on it.
//!
//! Invariants: refusals are counted from the last request that an endpoint accepted, and the count restarts after a
//! pause; an outage begins once, and ends with the first request that an endpoint accepts.

use super::Proxy;
use meadowrill_routing::interface::Micros;
use slog::{info, warn};

/// Minimum duration of refusals without any accepted request before they count as an outage. It is longer than a
/// restart of endpoints, a network partition or the loss of a zone.
const OUTAGE_AFTER: Micros = 10_000_000;
/// Minimum number of refused requests in an outage: the few requests of a proxy with little traffic prove nothing.
const MIN_REFUSALS: u32 = 20;
/// Pause between requests after which the count of refusals restarts. During an outage the proxy reports that it is
/// ready after this pause, because only further requests can show whether the outage is over.
const QUIET_PERIOD: Micros = 5_000_000;

/// Requests that were refused since an endpoint last accepted a request.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    since: Micros,
    last: Micros,
    count: u32,
}

/// An outage that has begun: the time of the first refused request, and the number of refused requests.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Outage {
    since: Micros,
    refused: u32,
}

/// Tracks refused requests, and the current outage if there is one.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    refusals: Option<Refusals>,
    outage_since: Option<Micros>,
}

impl Availability {
    /// Records that a request was rejected or failed.
    fn record_refusal(&mut self, now: Micros) {
        let in_outage = self.outage_since.is_some();
        let continued = self
            .refusals
            .filter(|refusals| in_outage || now < refusals.last + QUIET_PERIOD);
        let refusals = continued.unwrap_or(Refusals {
            since: now,
            last: now,
            count: 0,
        });
        self.refusals = Some(Refusals {
            last: now,
            count: refusals.count.saturating_add(1),
            ..refusals
        });
    }

    /// Records that an endpoint accepted a request, or that a request was served without an endpoint. Returns the start
    /// of the outage that this ends, if there was one.
    fn record_service(&mut self) -> Option<Micros> {
        self.refusals = None;
        self.outage_since.take()
    }

    /// Returns the outage that begins now, if one does. `has_pending` returns whether an endpoint has accepted a
    /// request since the given time and has not answered it yet.
    fn begin_outage(
        &mut self,
        now: Micros,
        has_pending: impl FnOnce(Micros) -> bool,
    ) -> Option<Outage> {
        let Refusals { since, last, count } = self.refusals?;
        let is_sustained =
            now >= since + OUTAGE_AFTER && now < last + QUIET_PERIOD && count >= MIN_REFUSALS;
        if self.outage_since.is_some() || !is_sustained || has_pending(since) {
            return None;
        }
        self.outage_since = Some(since);
        Some(Outage {
            since,
            refused: count,
        })
    }

    /// Whether the proxy reports that it is ready: always, except during an outage while requests still arrive.
    fn is_ready(&self, now: Micros) -> bool {
        let requests_arrive = self
            .refusals
            .is_some_and(|refusals| now < refusals.last + QUIET_PERIOD);
        self.outage_since.is_none() || !requests_arrive
    }

    /// Start of the current outage, if there is one.
    pub(crate) fn outage_since(&self) -> Option<Micros> {
        self.outage_since
    }
}

impl Proxy {
    /// Records that a valid request was rejected or failed.
    pub(super) fn record_refusal(&mut self, now: Micros) {
        self.availability.record_refusal(now);
        self.downstream.clients.available = self.availability.is_ready(now);
    }

    /// Records that an endpoint accepted a request, or that a request was served without an endpoint.
    pub(super) fn record_service(&mut self, now: Micros) {
        if let Some(since) = self.availability.record_service() {
            self.downstream.clients.available = true;
            info!(self.log, "endpoints accept requests again; reporting ready"; "outage_us" => now - since);
        }
    }

    /// Checks whether an outage begins; part of housekeeping.
    pub(super) fn check_availability(&mut self, now: Micros) {
        let connections = &self.upstream.connections;
        let outage = self
            .availability
            .begin_outage(now, |since| connections.any_accepted_since(since));
        if let Some(outage) = outage {
            warn!(self.log, "no endpoint has accepted a request; reporting not ready";
                "refused_for_us" => now - outage.since, "refused" => outage.refused);
        }
        self.downstream.clients.available = self.availability.is_ready(now);
    }
}

#[cfg(test)]
mod tests;
