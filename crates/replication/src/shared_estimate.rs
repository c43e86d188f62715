//! Combines several proxies' observations of one subject into an estimate. It is a weighted median, so that a faulty or
//! malicious proxy moves the result at most to the neighboring values.

use crate::map::Map;
use crate::record_type::RecordType;
use crate::records::{self, Observation};
use crate::wire_time;
use crate::Micros;

/// Age at which the weight of an observation has halved.
const HALF_LIFE_MICROS: f64 = 30.0e6;
/// Relative weight of a proxy in another zone, which observes other links.
const OTHER_ZONE_WEIGHT: f64 = 0.3;
/// Maximum fraction of the total weight that one of more than two observations has.
const MAX_WEIGHT_FRACTION: f64 = 0.4;

/// The estimate that several proxies' observations of a subject result in.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedEstimate {
    /// The weighted median of each observed value.
    pub values: Vec<f64>,
    /// Number of observations, one per writer.
    pub writers: usize,
    /// Age of the latest observation.
    pub age: Micros,
}

/// The observations of a subject by all processes other than the one with this name and incarnation. Observations by
/// earlier incarnations of the same name are included.
pub fn observations_by_others(
    map: &Map,
    record_type: RecordType,
    subject: &[u8],
    (own_name, own_incarnation): (&str, u64),
) -> Vec<Observation> {
    let prefix = records::observation_prefix(subject);
    let mut observations = Vec::new();
    for (key, entry) in map.with_prefix(record_type, &prefix) {
        let Some((_, observation)) = records::decode_observation(key, entry) else {
            continue;
        };
        let incarnation = entry.rank.0;
        if observation.writer != own_name || incarnation != own_incarnation {
            observations.push(observation);
        }
    }
    observations
}

/// Combines observations. Returns none if there are no observations, or if one of them has no values.
pub fn combine(observations: &[Observation], zone: &str, now: Micros) -> Option<SharedEstimate> {
    let weights = weights(observations, zone, now);
    let lengths = observations.iter().map(|each| each.values.len());
    let count = lengths.min().filter(|count| *count > 0)?;
    let median = |index: usize| {
        let values = observations.iter().map(|each| each.values[index]);
        weighted_median(values.zip(weights.iter().copied()).collect())
    };
    let ages = observations.iter().map(|each| age(each, now));
    Some(SharedEstimate {
        values: (0..count).map(median).collect(),
        writers: observations.len(),
        age: ages.min().unwrap_or(0),
    })
}

fn age(observation: &Observation, now: Micros) -> Micros {
    (now - wire_time::from_wire(observation.observed_at)).max(0)
}

fn weights(observations: &[Observation], zone: &str, now: Micros) -> Vec<f64> {
    let weight = |observation: &Observation| {
        let zone_weight = if observation.zone == zone {
            1.0
        } else {
            OTHER_ZONE_WEIGHT
        };
        zone_weight * 0.5f64.powf(age(observation, now) as f64 / HALF_LIFE_MICROS)
    };
    let mut weights: Vec<f64> = observations.iter().map(weight).collect();
    if weights.len() > 2 {
        let max_weight = weights.iter().sum::<f64>() * MAX_WEIGHT_FRACTION;
        for weight in &mut weights {
            *weight = weight.min(max_weight);
        }
    }
    weights
}

/// The smallest value at which the cumulative weight reaches half of the total. Values that are not finite are ignored.
fn weighted_median(mut values: Vec<(f64, f64)>) -> f64 {
    values.retain(|(value, _)| value.is_finite());
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    let median = values.iter().find(|(_, weight)| {
        sum += weight;
        sum >= half
    });
    median.map_or(0.0, |(value, _)| *value)
}
