//! Summing up several fronts' observations of one subject: a weighted median, so that a front which is faulty or lies moves
//! the result no further than to the next values in order.

use crate::kind::Kind;
use crate::kinds::{self, Sight};
use crate::map::Map;
use crate::Micros;

/// The age at which an observation's weight has halved, in microseconds.
const HALF_LIFE: f64 = 30.0e6;
/// The weight of a front in another zone: it sees other links.
const OTHER_ZONE_WEIGHT: f64 = 0.3;
/// Where there are more than two fronts, none has more than this part of the weight.
const WEIGHT_SHARE_MOST: f64 = 0.4;

/// What several fronts' observations of a subject add up to.
#[derive(Clone, Debug, PartialEq)]
pub struct Opinion {
    /// The medians of what was observed, number by number.
    pub numbers: Vec<f64>,
    /// How many observations there are.
    pub writers: usize,
    /// The age of the youngest.
    pub age: Micros,
}

/// The observations of a subject by all processes but this one; those of earlier processes of its name count.
pub fn sights(map: &Map, kind: Kind, what: &[u8], (me, start): (&str, u64)) -> Vec<Sight> {
    let prefix = kinds::sight_prefix(what);
    let all = map.with_prefix(kind, &prefix);
    let sights =
        all.filter_map(|(key, entry)| Some((entry.rank.0, kinds::read_sight(key, entry)?.1)));
    sights
        .filter(|(by, sight)| sight.writer != me || *by != start)
        .map(|(_, sight)| sight)
        .collect()
}

/// Sums up observations; none where there are none, or where one has no numbers.
pub fn of(sights: &[Sight], zone: &str, now: Micros) -> Option<Opinion> {
    let weights = weights(sights, zone, now);
    let count = sights
        .iter()
        .map(|sight| sight.numbers.len())
        .min()
        .filter(|count| *count > 0)?;
    let median = |index: usize| {
        let values = sights
            .iter()
            .zip(&weights)
            .map(|(sight, weight)| (sight.numbers[index], *weight));
        weighted_median(values.collect())
    };
    Some(Opinion {
        numbers: (0..count).map(median).collect(),
        writers: sights.len(),
        age: sights
            .iter()
            .map(|sight| age(sight, now))
            .min()
            .unwrap_or(0),
    })
}

fn age(sight: &Sight, now: Micros) -> Micros {
    (now - sight.at as Micros).max(0)
}

fn weights(sights: &[Sight], zone: &str, now: Micros) -> Vec<f64> {
    let weight = |sight: &Sight| {
        let near = if sight.zone == zone {
            1.0
        } else {
            OTHER_ZONE_WEIGHT
        };
        near * 0.5f64.powf(age(sight, now) as f64 / HALF_LIFE)
    };
    let mut weights: Vec<f64> = sights.iter().map(weight).collect();
    if weights.len() > 2 {
        let all: f64 = weights.iter().sum();
        weights
            .iter_mut()
            .for_each(|weight| *weight = weight.min(all * WEIGHT_SHARE_MOST));
    }
    weights
}

/// The first of the values, in order, with which half of the weight is reached; those that are not finite don't count.
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
