//! What has to hold of every purge at every subscriber, judged from what was recorded, never from how it came about.

use super::record::{Life, Span};
use meadowrill_event_distribution::Micros;
use serde::{Deserialize, Serialize};

/// Buckets of one millisecond; the last one takes all that is later.
const LAG_BUCKETS: usize = 4_000;
const MICROS_PER_MILLI: Micros = 1_000;

/// When one purge was told to the journal service's followers, and when the publisher first said that it is done. A
/// purge's stamp is when it was told.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PurgeTimes {
    pub told: Micros,
    pub done: Option<Micros>,
}

/// The driver's side of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Timeline {
    /// By the purge's number.
    pub purges: Vec<PurgeTimes>,
    /// A purge has to be in force so long after it was told.
    pub done_within: Micros,
    /// The age of copies that is allowed without a lease.
    pub copy_age: Micros,
    /// When recording ended.
    pub end: Micros,
}

/// How late purges were applied by those that held a lease, in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Lags {
    counts: Vec<u64>,
}

impl Lags {
    fn add(&mut self, lag: Micros) {
        let bucket = usize::try_from(lag / MICROS_PER_MILLI)
            .unwrap_or(0)
            .min(LAG_BUCKETS - 1);
        if bucket >= self.counts.len() {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] += 1;
    }

    pub fn merge(&mut self, other: &Lags) {
        if other.counts.len() > self.counts.len() {
            self.counts.resize(other.counts.len(), 0);
        }
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count += more;
        }
    }

    /// In milliseconds, rounded up; none of nothing.
    pub fn quantile(&self, share: f64) -> Option<u64> {
        let all: u64 = self.counts.iter().sum();
        let rank = ((all as f64 * share).ceil() as u64).max(1);
        let mut seen = 0;
        self.counts.iter().zip(1..).find_map(|(count, upper)| {
            seen += count;
            (all > 0 && seen >= rank).then_some(upper)
        })
    }
}

/// What did not hold, counted by purge and life.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Findings {
    /// A lease is held at the end, and the purge was not applied.
    pub lost: u64,
    /// A lease was held later than `done_within` after the purge was told, and it was not in force.
    pub unheard: u64,
    /// A lease was held after the publisher had said that the purge is done, and it was not in force.
    pub done_untrue: u64,
    /// The publisher said that it is done while one without a lease lacked it whose copies may have been from before.
    pub done_too_soon: u64,
    /// Purges that nobody told; moments without a lease and without a bound on the age of copies.
    pub unknown: u64,
    pub unbounded: u64,
    /// The first of them, in words.
    pub first: Option<String>,
    pub lags: Lags,
}

impl Findings {
    pub fn wrong(&self) -> u64 {
        self.lost
            + self.unheard
            + self.done_untrue
            + self.done_too_soon
            + self.unknown
            + self.unbounded
    }

    pub fn merge(&mut self, other: &Findings) {
        self.lost += other.lost;
        self.unheard += other.unheard;
        self.done_untrue += other.done_untrue;
        self.done_too_soon += other.done_too_soon;
        self.unknown += other.unknown;
        self.unbounded += other.unbounded;
        self.first = self.first.take().or_else(|| other.first.clone());
        self.lags.merge(&other.lags);
    }

    fn note(&mut self, what: impl FnOnce() -> String) {
        if self.first.is_none() {
            self.first = Some(what());
        }
    }
}

/// Judges one life of the subscriber of that name.
pub fn check_life(name: &str, life: &Life, timeline: &Timeline, findings: &mut Findings) {
    findings.unknown += life.unknown;
    findings.unbounded += life.unbounded;
    if life.unknown + life.unbounded > 0 {
        findings.note(|| {
            format!(
                "{name}: {} unknown purges, {} times unbounded",
                life.unknown, life.unbounded
            )
        });
    }
    for (number, purge) in timeline.purges.iter().enumerate() {
        check_purge(name, life, number, purge, timeline, findings);
    }
}

fn check_purge(
    name: &str,
    life: &Life,
    number: usize,
    purge: &PurgeTimes,
    timeline: &Timeline,
    findings: &mut Findings,
) {
    let end = life.ended.unwrap_or(timeline.end);
    if purge.told >= end {
        return;
    }
    let in_force = life.in_force(number, purge.told);
    if let Some(at) = life.applied(number).filter(|_| life.leased_at(purge.told)) {
        findings.lags.add(at - purge.told);
    }
    if in_force.is_none() && life.ended.is_none() && life.leased_at(timeline.end) {
        findings.lost += 1;
        findings.note(|| format!("{name}: purge {number} lost, with a lease at the end"));
    }
    // What is recorded of a lease may be of after the end.
    let until = in_force.unwrap_or(end).min(end);
    let lacks_with_lease = |from: Micros| {
        let lacking = Span { from, until };
        from < until && life.leases().iter().any(|lease| lease.overlaps(lacking))
    };
    if lacks_with_lease(purge.told + timeline.done_within) {
        findings.unheard += 1;
        findings
            .note(|| format!("{name}: purge {number} un-heard, in force {in_force:?}, {purge:?}"));
    }
    let Some(done) = purge.done else { return };
    if lacks_with_lease(done) {
        findings.done_untrue += 1;
        findings.note(|| {
            format!("{name}: purge {number} was not done, in force {in_force:?}, {purge:?}")
        });
    }
    let there = life.begun <= done && done < end;
    let lacks = in_force.is_none_or(|at| at > done);
    if there && lacks && !life.leased_at(done) && done - purge.told < timeline.copy_age {
        findings.done_too_soon += 1;
        findings
            .note(|| format!("{name}: purge {number} done before copies were too old, {purge:?}"));
    }
}
