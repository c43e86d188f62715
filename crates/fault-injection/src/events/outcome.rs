//! What came of a run.

use super::check::Findings;
use super::costs::Costs;
use super::protocol::{GroupReport, Return};
use meadowrill_event_distribution::settings::SECOND;
use meadowrill_event_distribution::Micros;

/// From when a purge was told until the publisher said that it is in force everywhere.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DoneTimes {
    pub p50: Micros,
    pub p99: Micros,
    pub p999: Micros,
    pub most: Micros,
    /// Later than [`super::run::DONE_WITHIN`] after it was told, or after the publisher was back; and never.
    pub late: u64,
    pub never: u64,
    /// When the first and the last late one were told, since the first of all.
    pub late_from: Micros,
    pub late_until: Micros,
}

#[derive(Clone, Debug)]
pub struct StepOutcome {
    pub what: String,
    pub returned: Return,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub purges: usize,
    pub findings: Findings,
    pub done: DoneTimes,
    /// From the start of the subscribers until all held a lease.
    pub joined_after: Micros,
    pub steps: Vec<StepOutcome>,
    /// Subscribers that had no lease, or lacked a purge, half a minute after the last one.
    pub not_back: usize,
    pub crashed: Vec<usize>,
    pub subscriber: Costs,
    /// The publisher, and the dearest of the others by each cost.
    pub publisher: Costs,
    pub relay: Costs,
    pub report: GroupReport,
}

impl Outcome {
    /// What did not hold.
    pub fn failures(&self) -> Vec<String> {
        let findings = &self.findings;
        let counts = [
            ("purges lost", findings.lost),
            ("purges un-heard with a lease", findings.unheard),
            (
                "said to be done, and not in force with a lease",
                findings.done_untrue,
            ),
            (
                "said to be done before copies were too old",
                findings.done_too_soon,
            ),
            ("unknown purges", findings.unknown),
            (
                "times without a lease and without a bound",
                findings.unbounded,
            ),
            ("purges done late", self.done.late),
            ("purges never done", self.done.never),
            ("subscribers not back at the end", self.not_back as u64),
            ("relays that ended by themselves", self.crashed.len() as u64),
        ];
        let wrong = counts.iter().filter(|(_, count)| *count > 0);
        let mut all: Vec<String> = wrong
            .map(|(what, count)| format!("{count} {what}"))
            .collect();
        if self.done.late > 0 {
            let [from, until] =
                [self.done.late_from, self.done.late_until].map(|at| at as f64 / SECOND as f64);
            all.push(format!(
                "the late ones were told {from:.1} to {until:.1} s after the first"
            ));
        }
        all.extend(findings.first.clone());
        all
    }
}

impl Outcome {
    /// Names and values of what was measured.
    pub fn figures(&self) -> Vec<(String, f64)> {
        let seconds = |span: Micros| span as f64 / SECOND as f64;
        let lag = |share: f64| {
            self.findings
                .lags
                .quantile(share)
                .map_or(f64::NAN, |ms| ms as f64 / 1e3)
        };
        let mut all: Vec<(String, f64)> = vec![
            ("purges".into(), self.purges as f64),
            ("all joined after, s".into(), seconds(self.joined_after)),
            (
                "done everywhere, 50th percentile, s".into(),
                seconds(self.done.p50),
            ),
            (
                "done everywhere, 99th percentile, s".into(),
                seconds(self.done.p99),
            ),
            (
                "done everywhere, 99.9th percentile, s".into(),
                seconds(self.done.p999),
            ),
            (
                "done everywhere, slowest, s".into(),
                seconds(self.done.most),
            ),
            ("applied, 50th percentile, s".into(), lag(0.5)),
            ("applied, 99.9th percentile, s".into(), lag(0.999)),
        ];
        for (number, step) in self.steps.iter().enumerate() {
            let name = format!("step {number}, {}", step.what);
            let returned = &step.returned;
            all.push((
                format!("{name}: subscribers without a lease"),
                returned.without_lease as f64,
            ));
            all.push((
                format!("{name}: all have a lease after, s"),
                seconds(returned.leased_after),
            ));
        }
        let roles = [
            ("subscriber", &self.subscriber),
            ("publisher", &self.publisher),
            ("relay", &self.relay),
        ];
        all.extend(
            roles
                .into_iter()
                .flat_map(|(role, costs)| costs.figures(role)),
        );
        let report = &self.report;
        let counted = [
            ("gaps", report.gaps),
            ("snapshots", report.snapshots),
            ("lapses", report.lapses),
            ("switches", report.switches),
            ("datagrams rejected", report.rejected),
            ("datagrams not taken by the kernel", report.unsent),
        ];
        all.extend(counted.map(|(name, count)| (format!("subscribers, {name}"), count as f64)));
        all
    }
}
