//! Availability of the proxy, as far as it sees: an outage is when requests come and no endpoint accepts any of them. It
//! is reported, by the readiness answer, a log line at each end and a metric; nothing is decided by it.
//!
//! Invariants: refusals are counted from the last request that an endpoint accepted, and anew after a pause; an outage
//! begins once, and ends with the first request that an endpoint accepts.

use super::Proxy;
use meadowrill_routing::interface::Micros;
use slog::{info, warn};

/// Requests are refused for so long with none accepted by any endpoint, before that is an outage: longer than a restart
/// of endpoints, a network partition or a lost zone lasts.
const OUTAGE_AFTER: Micros = 10_000_000;
/// And so many requests: the few of a proxy with little traffic prove nothing.
const MIN_REFUSALS: u32 = 20;
/// A pause between requests after which their refusals are counted anew; in an outage, after which the proxy answers
/// that it is ready, as only further requests can show whether it is over.
const QUIET_PERIOD: Micros = 5_000_000;

/// Requests that were refused since an endpoint last accepted one.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    since: Micros,
    last: Micros,
    count: u32,
}

/// An outage that has begun: since when requests have been refused, and how many were.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Outage {
    since: Micros,
    refused: u32,
}

/// What the proxy has seen of its own service.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    refusals: Option<Refusals>,
    outage_since: Option<Micros>,
}

impl Availability {
    /// A request was refused or failed.
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

    /// An endpoint accepted a request, or one was served without any. Returns since when there was an outage that ends by
    /// it.
    fn record_service(&mut self) -> Option<Micros> {
        self.refusals = None;
        self.outage_since.take()
    }

    /// Whether an outage begins now. `has_pending` tells whether an endpoint has accepted a request since then that it
    /// has not answered yet.
    fn begin_outage(
        &mut self,
        now: Micros,
        has_pending: impl FnOnce(Micros) -> bool,
    ) -> Option<Outage> {
        let Refusals { since, last, count } = self.refusals?;
        let lasting =
            now >= since + OUTAGE_AFTER && now < last + QUIET_PERIOD && count >= MIN_REFUSALS;
        if self.outage_since.is_some() || !lasting || has_pending(since) {
            return None;
        }
        self.outage_since = Some(since);
        Some(Outage {
            since,
            refused: count,
        })
    }

    /// Whether the proxy answers that it is ready: always but in an outage while requests still come.
    fn is_ready(&self, now: Micros) -> bool {
        let requests_come = self
            .refusals
            .is_some_and(|refusals| now < refusals.last + QUIET_PERIOD);
        self.outage_since.is_none() || !requests_come
    }

    /// Since when there has been an outage, if there is one.
    pub(crate) fn outage_since(&self) -> Option<Micros> {
        self.outage_since
    }
}

impl Proxy {
    /// A valid request was rejected or has failed.
    pub(super) fn record_refusal(&mut self, now: Micros) {
        self.availability.record_refusal(now);
        self.downstream.clients.available = self.availability.is_ready(now);
    }

    /// An endpoint accepted a request, or one was served without any.
    pub(super) fn record_service(&mut self, now: Micros) {
        if let Some(since) = self.availability.record_service() {
            self.downstream.clients.available = true;
            info!(self.log, "endpoints accept requests again; reporting ready"; "outage_us" => now - since);
        }
    }

    /// Looks for the begin of an outage; part of housekeeping.
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
