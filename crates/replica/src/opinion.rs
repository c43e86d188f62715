//! What to make of what several fronts say of one thing: a median by weight, so that a front which lies or is sick moves it
//! no further than to what its neighbours in the order say.

use crate::kind::Kind;
use crate::kinds::{self, Sight};
use crate::map::Map;
use crate::Micros;

/// Weight halves with this age; a front elsewhere sees other links and counts less.
const HALF: f64 = 30.0e6;
const ELSEWHERE: f64 = 0.3;
/// No single front has more than this part of the weight, where there are several.
const MOST: f64 = 0.4;

/// What is thought of a thing, and by how many.
#[derive(Clone, Debug, PartialEq)]
pub struct Opinion {
    pub numbers: Vec<f64>,
    pub writers: usize,
    /// How long ago the youngest of it was seen.
    pub age: Micros,
}

/// Sights of one thing by all writers but this one; what its former life saw is as good as another's.
pub fn sights(map: &Map, kind: Kind, what: &[u8], (me, start): (&str, u64)) -> Vec<Sight> {
    let prefix = kinds::sight_prefix(what);
    let all = map.with_prefix(kind, &prefix);
    let sights = all.filter_map(|(key, entry)| Some((entry.rank.0, kinds::read_sight(key, entry)?.1)));
    sights.filter(|(by, sight)| sight.writer != me || *by != start).map(|(_, sight)| sight).collect()
}

pub fn of(sights: &[Sight], zone: &str, now: Micros) -> Option<Opinion> {
    let age = |sight: &Sight| (now - sight.at as Micros).max(0);
    let weight = |sight: &Sight| {
        let near = if sight.zone == zone { 1.0 } else { ELSEWHERE };
        near * 0.5f64.powf(age(sight) as f64 / HALF)
    };
    let mut weights: Vec<f64> = sights.iter().map(weight).collect();
    if weights.len() > 2 {
        let all: f64 = weights.iter().sum();
        weights.iter_mut().for_each(|w| *w = w.min(all * MOST));
    }
    let many = sights.iter().map(|s| s.numbers.len()).min().filter(|many| *many > 0)?;
    let numbers = (0..many).map(|at| {
        let mut drawn: Vec<(f64, f64)> =
            sights.iter().zip(&weights).map(|(s, w)| (s.numbers[at], *w)).collect();
        drawn.retain(|(number, _)| number.is_finite());
        drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
        let half = drawn.iter().map(|(_, w)| w).sum::<f64>() / 2.0;
        let mut sum = 0.0;
        let middle = drawn.iter().find(|(_, w)| {
            sum += w;
            sum >= half
        });
        middle.map_or(0.0, |(number, _)| *number)
    });
    Some(Opinion {
        numbers: numbers.collect(),
        writers: sights.len(),
        age: sights.iter().map(age).min().unwrap_or(0),
    })
}
