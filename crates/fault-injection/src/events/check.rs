//! Checks of every purge at every subscriber. They use the records only, never the internal state of relays and
//! subscribers.

use super::record::{IncarnationRecord, Span};
use meadowrill_event_distribution::Micros;
use serde::{Deserialize, Serialize};

/// Buckets of one millisecond; the last one also counts everything later.
const LAG_BUCKETS: usize = 4_000;
const MICROS_PER_MILLI: Micros = 1_000;

/// When the journal service issued a purge, and when the publisher first reported it as done. The issue time is also
/// the purge's stamp.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PurgeTimes {
    /// When the purge was issued.
    #[serde(rename = "told")]
    pub issued_at: Micros,
    /// When the publisher first reported the purge as done, if it did.
    #[serde(rename = "done")]
    pub done_at: Option<Micros>,
}

/// The driver's data of a run, which the records of subscribers are checked against.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Timeline {
    /// All purges, by their numbers.
    pub purges: Vec<PurgeTimes>,
    /// Longest time from the issue of a purge until it has to be in force.
    pub done_within: Micros,
    /// Oldest copies that may be served without a lease.
    #[serde(rename = "copy_age")]
    pub max_copy_age: Micros,
    /// The end of the run; a lease that is held then requires every purge.
    pub end: Micros,
}

/// Histogram of the times, in milliseconds, from the issue of a purge until a subscriber applied it. Only
/// subscribers that held a lease when the purge was issued are counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Lags {
    counts: Vec<u64>,
}

impl Lags {
    fn record_lag(&mut self, lag: Micros) {
        let bucket = usize::try_from(lag / MICROS_PER_MILLI)
            .unwrap_or(0)
            .min(LAG_BUCKETS - 1);
        if bucket >= self.counts.len() {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] += 1;
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Lags) {
        if other.counts.len() > self.counts.len() {
            self.counts.resize(other.counts.len(), 0);
        }
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count += more;
        }
    }

    /// The lag in milliseconds, rounded up, at this share of all entries; `None` of an empty histogram.
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

/// Violations, counted for each purge and incarnation of a subscriber.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Findings {
    /// A lease was held at the end of the run, and the purge was not in force.
    pub lost: u64,
    /// A lease was held later than `done_within` after the issue of the purge, and the purge was not in force.
    #[serde(rename = "unheard")]
    pub overdue: u64,
    /// A lease was held after the publisher had reported the purge as done, and the purge was not in force.
    #[serde(rename = "done_untrue")]
    pub done_not_in_force: u64,
    /// The publisher reported the purge as done while a subscriber without a lease lacked it and could still serve
    /// copies from before the purge.
    pub done_too_soon: u64,
    /// Purges received that cannot be of the run: purges of a group, or of an object id that encodes no valid number.
    pub unknown: u64,
    /// Observations without a lease and without a bound on the age of copies.
    pub unbounded: u64,
    /// A description of the first violation.
    pub first: Option<String>,
    /// How long subscribers took to apply purges.
    pub lags: Lags,
}

impl Findings {
    /// The number of all violations.
    pub fn violations(&self) -> u64 {
        self.lost
            + self.overdue
            + self.done_not_in_force
            + self.done_too_soon
            + self.unknown
            + self.unbounded
    }

    /// Adds the findings of another group of subscribers.
    pub fn merge(&mut self, other: &Findings) {
        self.lost += other.lost;
        self.overdue += other.overdue;
        self.done_not_in_force += other.done_not_in_force;
        self.done_too_soon += other.done_too_soon;
        self.unknown += other.unknown;
        self.unbounded += other.unbounded;
        self.first = self.first.take().or_else(|| other.first.clone());
        self.lags.merge(&other.lags);
    }

    fn describe_first(&mut self, description: impl FnOnce() -> String) {
        if self.first.is_none() {
            self.first = Some(description());
        }
    }
}

/// Checks one incarnation of the subscriber with this name.
pub fn check_incarnation(
    name: &str,
    record: &IncarnationRecord,
    timeline: &Timeline,
    findings: &mut Findings,
) {
    findings.unknown += record.unknown_purges;
    findings.unbounded += record.unbounded_observations;
    if record.unknown_purges + record.unbounded_observations > 0 {
        findings.describe_first(|| {
            format!(
                "{name}: {} unknown purges, {} times without a lease and an age bound",
                record.unknown_purges, record.unbounded_observations
            )
        });
    }
    for (number, purge) in timeline.purges.iter().enumerate() {
        check_purge(name, record, number, purge, timeline, findings);
    }
}

fn check_purge(
    name: &str,
    record: &IncarnationRecord,
    number: usize,
    purge: &PurgeTimes,
    timeline: &Timeline,
    findings: &mut Findings,
) {
    let end = record.ended_at.unwrap_or(timeline.end);
    if purge.issued_at >= end {
        return;
    }
    let in_force = record.in_force_since(number, purge.issued_at);
    if let Some(at) = record
        .applied_at(number)
        .filter(|_| record.leased_at(purge.issued_at))
    {
        findings.lags.record_lag(at - purge.issued_at);
    }
    if in_force.is_none() && record.ended_at.is_none() && record.leased_at(timeline.end) {
        findings.lost += 1;
        findings
            .describe_first(|| format!("{name}: purge {number} lost: a lease was held at the end"));
    }
    // A recorded lease may extend beyond the end.
    let until = in_force.unwrap_or(end).min(end);
    let leased_but_not_in_force = |from: Micros| {
        let not_in_force = Span { from, until };
        from < until
            && record
                .leases()
                .iter()
                .any(|lease| lease.overlaps(not_in_force))
    };
    if leased_but_not_in_force(purge.issued_at + timeline.done_within) {
        findings.overdue += 1;
        findings.describe_first(|| {
            format!("{name}: purge {number} overdue, in force {in_force:?}, {purge:?}")
        });
    }
    let Some(done_at) = purge.done_at else { return };
    if leased_but_not_in_force(done_at) {
        findings.done_not_in_force += 1;
        findings.describe_first(|| {
            format!(
                "{name}: purge {number} done but not in force, in force {in_force:?}, {purge:?}"
            )
        });
    }
    let running = record.started_at <= done_at && done_at < end;
    let lacks = in_force.is_none_or(|at| at > done_at);
    if running
        && lacks
        && !record.leased_at(done_at)
        && done_at - purge.issued_at < timeline.max_copy_age
    {
        findings.done_too_soon += 1;
        findings.describe_first(|| {
            format!("{name}: purge {number} done before older copies expired, {purge:?}")
        });
    }
}
