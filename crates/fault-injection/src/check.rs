//! Checkers. They look at what the fronts say and log, never at how they came to it.

use crate::fleet::Fleet;
use crate::name;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Which fronts reach each other: by group, for those that run.
pub type Groups = Vec<Vec<usize>>;

/// Why this is not settled; none if it is: within each group all hold the same view, and that is the group.
pub fn unsettled(fleet: &Fleet, groups: &Groups) -> Option<String> {
    for group in groups {
        let mut digests = BTreeSet::new();
        let running: Vec<usize> = group.iter().copied().filter(|n| fleet.runs(*n)).collect();
        for front in &running {
            let Some(sight) = fleet.sight(*front) else {
                return Some(format!("front {front} does not tell"));
            };
            if sight.state != "alive" {
                return Some(format!("front {front} is {}", sight.state));
            }
            let here: BTreeSet<String> = sight.here.iter().cloned().collect();
            let want: BTreeSet<String> = running
                .iter()
                .filter(|n| *n != front)
                .map(|n| name(*n))
                .collect();
            if here != want {
                let more: Vec<_> = here.difference(&want).collect();
                let less: Vec<_> = want.difference(&here).collect();
                return Some(format!(
                    "front {front} sees {more:?} too many, {less:?} too few"
                ));
            }
            if sight
                .states
                .values()
                .any(|s| s == "suspected" || s == "joining")
            {
                return Some(format!("front {front} is in doubt of some"));
            }
            digests.insert(sight.digest);
        }
        if digests.len() > 1 {
            return Some(format!(
                "{} digests among {} fronts",
                digests.len(),
                running.len()
            ));
        }
    }
    None
}

/// One line that a front logged of another, and when, by the clock of this machine.
#[derive(Clone, Debug)]
pub struct Belief {
    pub at: Duration,
    pub by: usize,
    pub of: String,
    pub from: String,
    pub to: String,
    pub text: String,
}

/// Since the Unix epoch, out of a log's time.
fn time(text: &str) -> Option<Duration> {
    let at = humantime::parse_rfc3339_weak(text).ok()?;
    at.duration_since(std::time::UNIX_EPOCH).ok()
}

/// What all fronts said of others, by time.
pub fn beliefs(fleet: &Fleet) -> Vec<Belief> {
    let mut all = Vec::new();
    for by in 0..fleet.plan.fronts {
        let text = std::fs::read_to_string(fleet.log(by)).unwrap_or_default();
        for line in text.lines() {
            let Ok(line) = serde_json::from_str::<Value>(line) else {
                continue;
            };
            let word = |key: &str| line[key].as_str().unwrap_or_default().to_string();
            let Some(at) = time(&word("ts")) else {
                continue;
            };
            let msg = word("msg");
            let (of, from, to) = (word("who"), word("from"), word("to"));
            let by_whom = word("by");
            let text = if msg == "member" {
                format!(
                    "holds {of} {to}, was {from} ({}, by {by_whom:?})",
                    word("why")
                )
            } else {
                line.to_string()
            };
            let to = if msg == "member" { to } else { msg };
            all.push(Belief {
                at,
                by,
                of,
                from,
                to,
                text,
            });
        }
    }
    all.sort_by_key(|b| b.at);
    all
}

/// Fronts that were called dead though nothing was done to them, since then.
pub fn false_deaths(beliefs: &[Belief], since: Duration, but: &BTreeSet<usize>) -> Vec<Belief> {
    let but: BTreeSet<String> = but.iter().map(|n| name(*n)).collect();
    let wrong = |b: &&Belief| b.at >= since && b.to == "dead" && !but.contains(&b.of);
    beliefs.iter().filter(wrong).cloned().collect()
}

/// How long after that each front held that one dead; those that never did are missing.
pub fn deaths(beliefs: &[Belief], of: usize, since: Duration) -> BTreeMap<usize, Duration> {
    let of = name(of);
    let mut first = BTreeMap::new();
    for b in beliefs
        .iter()
        .filter(|b| b.at >= since && b.to == "dead" && b.of == of)
    {
        first.entry(b.by).or_insert(b.at - since);
    }
    first
}

/// How often any front changed its mind about any other, since then.
pub fn swings(beliefs: &[Belief], since: Duration) -> usize {
    beliefs
        .iter()
        .filter(|b| b.at >= since && !b.of.is_empty() && !b.from.is_empty())
        .count()
}

/// What a front says of the shared state.
fn shared(fleet: &Fleet, front: usize) -> Option<Value> {
    serde_json::from_str(&fleet.word(front, "fleet state json")?).ok()
}

/// Why those that run do not hold the same shared state: all of it, or what does not change with each lookup.
pub fn unequal(fleet: &Fleet, urgent: bool) -> Option<String> {
    let mut digests = BTreeMap::new();
    for front in (0..fleet.plan.fronts).filter(|n| fleet.runs(*n) && !fleet.is_older(*n)) {
        let Some(told) = shared(fleet, front) else {
            return Some(format!("front {front} does not tell"));
        };
        let digest = if urgent {
            format!("{} {}", told["roots"][0], told["roots"][1])
        } else {
            told["digest"].to_string()
        };
        digests.insert(digest, front);
    }
    (digests.len() != 1).then(|| format!("{} digests: {digests:?}", digests.len()))
}

pub fn not_vouching(fleet: &Fleet) -> Option<String> {
    for front in (0..fleet.plan.fronts).filter(|n| fleet.runs(*n) && !fleet.is_older(*n)) {
        if shared(fleet, front).is_none_or(|told| told["vouches"] != true) {
            return Some(format!("front {front} does not vouch"));
        }
    }
    None
}
