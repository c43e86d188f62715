//! Whether the front serves anybody, as far as it sees: lookups come, and no machine takes a request of any of them. This
//! is reported, by the readiness that it answers, a log line at each end and a metric; nothing is decided by it.

use super::Front;
use meadowrill_routing::interface::Micros;
use slog::{info, warn};

/// Lookups are refused for so long with no request taken by any machine, before that is an outage: longer than a
/// restart of machines, a cut network or a lost zone lasts.
const OUTAGE: Micros = 10_000_000;
/// And so many lookups: the few of a front with little traffic prove nothing.
const LEAST: u32 = 20;
/// A pause between lookups after which their refusals are counted anew; in an outage, after which the front answers
/// that it is ready, as only further lookups can show whether it is over.
const PAUSE: Micros = 5_000_000;

/// Lookups that were refused since a machine last took a request.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    since: Micros,
    last: Micros,
    count: u32,
}

/// An outage that has begun: since when lookups have been refused, and how many were.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Outage {
    since: Micros,
    refused: u32,
}

/// What the front has seen of its own service.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    refusals: Option<Refusals>,
    outage_since: Option<Micros>,
}

impl Availability {
    /// A lookup was refused or failed.
    fn refused(&mut self, now: Micros) {
        let in_outage = self.outage_since.is_some();
        let counted = self
            .refusals
            .filter(|refusals| in_outage || now < refusals.last + PAUSE);
        let refusals = counted.unwrap_or(Refusals {
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

    /// A machine took a request, or a lookup was served without one; since when there was an outage that ends by it.
    fn served(&mut self) -> Option<Micros> {
        self.refusals = None;
        self.outage_since.take()
    }

    /// Whether an outage begins now. `pending` tells whether a machine has taken a request since then that it has not
    /// answered yet.
    fn begins(&mut self, now: Micros, pending: impl FnOnce(Micros) -> bool) -> Option<Outage> {
        let Refusals { since, last, count } = self.refusals?;
        let lasting = now >= since + OUTAGE && now < last + PAUSE && count >= LEAST;
        if self.outage_since.is_some() || !lasting || pending(since) {
            return None;
        }
        self.outage_since = Some(since);
        Some(Outage {
            since,
            refused: count,
        })
    }

    /// Whether lookups are to be brought: always but in an outage while they still come.
    fn ready(&self, now: Micros) -> bool {
        let come = self
            .refusals
            .is_some_and(|refusals| now < refusals.last + PAUSE);
        self.outage_since.is_none() || !come
    }

    /// Since when there has been an outage, if there is one.
    pub(crate) fn outage_since(&self) -> Option<Micros> {
        self.outage_since
    }
}

impl Front {
    /// A lookup that the settings allow was answered, other than as served.
    pub(super) fn saw_refusal(&mut self, now: Micros) {
        self.availability.refused(now);
        self.clients.available = self.availability.ready(now);
    }

    /// A machine took a request, or a lookup was served without one.
    pub(super) fn saw_service(&mut self, now: Micros) {
        if let Some(since) = self.availability.served() {
            self.clients.available = true;
            info!(self.log, "serves again"; "after_us" => now - since);
        }
    }

    /// To be called now and then.
    pub(super) fn check_availability(&mut self, now: Micros) {
        let caches = &self.caches;
        if let Some(outage) = self
            .availability
            .begins(now, |since| caches.any_accepted_since(since))
        {
            warn!(self.log, "serves nobody: no machine takes a request"; "refused_for_us" => now - outage.since,
                "refused" => outage.refused);
        }
        self.clients.available = self.availability.ready(now);
    }
}

#[cfg(test)]
mod tests;
