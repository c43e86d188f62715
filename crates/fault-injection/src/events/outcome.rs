//! The results of a run.

use super::check::Findings;
use super::costs::Costs;
use super::protocol::{GroupReport, LeaseRecovery};
use meadowrill_event_distribution::settings::SECOND;
use meadowrill_event_distribution::Micros;

/// Statistics of the time from the issue of a purge until the publisher reported it as in force everywhere.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DoneTimes {
    /// The median.
    pub p50: Micros,
    /// The 99th percentile.
    pub p99: Micros,
    /// The 99.9th percentile.
    pub p999: Micros,
    /// The maximum.
    pub max: Micros,
    /// Purges that were done later than [`super::run::DONE_WITHIN`] after their issue, or after the return of the
    /// publisher.
    pub late: u64,
    /// Purges that were never reported as done.
    pub never: u64,
    /// When the first late purge was issued, counted from the first purge of the run.
    pub late_from: Micros,
    /// When the last late purge was issued, counted from the first purge of the run.
    pub late_until: Micros,
}

/// The result of one step of the scenario.
#[derive(Clone, Debug)]
pub struct StepOutcome {
    /// A description of its action.
    pub action: String,
    /// How subscribers recovered their leases after it.
    pub recovery: LeaseRecovery,
}

/// The checks and measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of purges issued.
    pub purges: usize,
    /// Violations in the records of all subscribers.
    pub findings: Findings,
    /// How long purges took to be in force everywhere.
    pub done: DoneTimes,
    /// Time from the start of the subscribers until all held a lease.
    pub joined_after: Micros,
    /// The results of all steps, in their order.
    pub steps: Vec<StepOutcome>,
    /// Subscribers that still had no lease, or lacked a purge, at the end of the final wait of half a minute.
    pub not_recovered: usize,
    /// Numbers of the relays that ended without being killed.
    pub crashed: Vec<usize>,
    /// Average costs of a subscriber.
    pub subscriber: Costs,
    /// Costs of the publisher.
    pub publisher: Costs,
    /// The maximum of each cost over the other relays.
    pub relay: Costs,
    /// Final counters of all subscribers.
    pub report: GroupReport,
}

impl Outcome {
    /// A description of each kind of violation; empty if all checks passed.
    pub fn failures(&self) -> Vec<String> {
        let findings = &self.findings;
        let counts = [
            ("purges lost", findings.lost),
            ("purges overdue while a lease was held", findings.overdue),
            (
                "purges reported done, but not in force while a lease was held",
                findings.done_not_in_force,
            ),
            (
                "purges reported done before older copies expired",
                findings.done_too_soon,
            ),
            ("unknown purges", findings.unknown),
            (
                "times without a lease and without a bound on the age of copies",
                findings.unbounded,
            ),
            ("purges done late", self.done.late),
            ("purges never done", self.done.never),
            (
                "subscribers without a lease or without all purges at the end",
                self.not_recovered as u64,
            ),
            ("relays that ended unexpectedly", self.crashed.len() as u64),
        ];
        let violations = counts.iter().filter(|(_, count)| *count > 0);
        let mut all: Vec<String> = violations
            .map(|(description, count)| format!("{count} {description}"))
            .collect();
        if self.done.late > 0 {
            let [from, until] =
                [self.done.late_from, self.done.late_until].map(|at| at as f64 / SECOND as f64);
            all.push(format!(
                "the late purges were issued {from:.1} to {until:.1} s after the first purge"
            ));
        }
        all.extend(findings.first.clone());
        all
    }
}

impl Outcome {
    /// Names and values of all measurements.
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
            ("done everywhere, slowest, s".into(), seconds(self.done.max)),
            ("applied, 50th percentile, s".into(), lag(0.5)),
            ("applied, 99.9th percentile, s".into(), lag(0.999)),
        ];
        for (number, step) in self.steps.iter().enumerate() {
            let name = format!("step {number}, {}", step.action);
            let recovery = &step.recovery;
            all.push((
                format!("{name}: subscribers without a lease"),
                recovery.without_lease as f64,
            ));
            all.push((
                format!("{name}: all have a lease after, s"),
                seconds(recovery.leased_after),
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
        let counters = [
            ("gaps", report.gaps),
            ("snapshots", report.snapshots),
            ("lapses", report.expired_leases),
            ("switches", report.relay_changes),
            ("datagrams rejected", report.rejected),
            ("datagrams not taken by the kernel", report.unsent),
        ];
        all.extend(counters.map(|(name, count)| (format!("subscribers, {name}"), count as f64)));
        all
    }
}
