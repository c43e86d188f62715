//! Source selection: which parent a cache fills from.
//!
//! Of the first two parents by the object's hash that are not ejected, the one with the lower smoothed time to first
//! byte; without one the origin; without that the first parent whatever its state.

use crate::endpoint::{Endpoint, EndpointTable, Tier};
use crate::estimate::{SmoothedValue, DECAY_TIME};
use crate::interface::{EndpointIndex, Micros};
use crate::pending_request::PendingRequest;
use crate::placement::{Candidates, ANY_PART};

/// Parents that are compared.
const CHOICES: usize = 2;
/// Weight of a new sample in the figures that choose between parents: no single fill turns the choice.
pub(crate) const SOURCE_SAMPLE_WEIGHT: f64 = 0.05;

impl EndpointTable {
    /// The source for a request's next fill.
    pub(crate) fn select_source(
        &self,
        pending: &PendingRequest,
        origin: Option<EndpointIndex>,
        now: Micros,
    ) -> Option<EndpointIndex> {
        let parents = self.candidates(pending, Tier::Parent, ANY_PART);
        let sound = parents
            .iter()
            .copied()
            .filter(|parent| !self.is_ejected(*parent, now));
        let choices: Candidates = sound.take(CHOICES).collect();
        let figure = self.comparable_figure(&choices);
        let average = self.average(Tier::Parent, |endpoint| figure(endpoint).value());
        let average = average.unwrap_or(0.0);
        let time =
            |parent: &EndpointIndex| figure(&self[*parent]).decayed(now, average, DECAY_TIME);
        let fastest = choices
            .iter()
            .copied()
            .min_by(|a, b| time(a).total_cmp(&time(b)));
        fastest.or(origin).or(parents.first().copied())
    }

    /// Times to first byte, where all that are compared have one; else whole times.
    fn comparable_figure(&self, choices: &Candidates) -> fn(&Endpoint) -> SmoothedValue {
        if choices
            .iter()
            .all(|parent| self[*parent].first_byte.value().is_some())
        {
            |endpoint| endpoint.first_byte
        } else {
            |endpoint| endpoint.latency
        }
    }
}
