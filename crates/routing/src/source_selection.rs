//! Source selection: which parent a cache fills from.
//!
//! Among the first two parents by the object's hash that are not ejected, chooses the one with the lower smoothed
//! time to first byte. If all parents are ejected, the origin is the source. If there is no origin, it is the first
//! parent, whatever its state.

use crate::endpoint::{Endpoint, EndpointTable, Tier};
use crate::estimate::{SmoothedValue, DECAY_TIME};
use crate::interface::{EndpointIndex, Micros};
use crate::pending_request::PendingRequest;
use crate::placement::{Candidates, ANY_PART};

/// Number of parents that are compared.
const COMPARED_PARENTS: usize = 2;
/// Weight of a new sample in the latencies that are compared. It is low enough that no single fill changes the
/// choice.
pub(crate) const SOURCE_SAMPLE_WEIGHT: f64 = 0.05;

impl EndpointTable {
    /// Selects the source for the next fill of a request.
    pub(crate) fn select_source(
        &self,
        pending: &PendingRequest,
        origin: Option<EndpointIndex>,
        now: Micros,
    ) -> Option<EndpointIndex> {
        let parents = self.candidates(pending, Tier::Parent, ANY_PART);
        let not_ejected = parents
            .iter()
            .copied()
            .filter(|parent| !self.is_ejected(*parent, now));
        let choices: Candidates = not_ejected.take(COMPARED_PARENTS).collect();
        let latency = self.comparable_latency(&choices);
        let average = self.average(Tier::Parent, |endpoint| latency(endpoint).value());
        let average = average.unwrap_or(0.0);
        let time =
            |parent: &EndpointIndex| latency(&self[*parent]).decayed(now, average, DECAY_TIME);
        let fastest = choices
            .iter()
            .copied()
            .min_by(|a, b| time(a).total_cmp(&time(b)));
        fastest.or(origin).or(parents.first().copied())
    }

    /// Selects the latency to compare: time to first byte if it is known for all choices, otherwise total time.
    fn comparable_latency(&self, choices: &Candidates) -> fn(&Endpoint) -> SmoothedValue {
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
