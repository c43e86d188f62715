//! The checks of the records of simulated subscribers, and the helpers that runs use.

use meadowrill_event_distribution::Micros;
use meadowrill_fault_injection::events::check::{
    check_incarnation, Findings, PurgeTimes, Timeline,
};
use meadowrill_fault_injection::events::faults::{DatagramFaults, RelaySet};
use meadowrill_fault_injection::events::numbering::{number_of, object_of};
use meadowrill_fault_injection::events::record::IncarnationRecord;

const SECOND: Micros = 1_000_000;
const ISSUED_AT: Micros = 100 * SECOND;

/// One purge, which is done two seconds after its issue, and a recording that ends long after.
fn timeline() -> Timeline {
    Timeline {
        purges: vec![PurgeTimes {
            issued_at: ISSUED_AT,
            done_at: Some(ISSUED_AT + 2 * SECOND),
        }],
        done_within: 2_900_000,
        max_copy_age: 2 * SECOND,
        end: ISSUED_AT + 100 * SECOND,
    }
}

/// A subscriber that has held a lease since long before the purge.
fn record_leased_until(until: Micros) -> IncarnationRecord {
    let mut record = IncarnationRecord::start(ISSUED_AT - 50 * SECOND);
    record.record_lease(ISSUED_AT - 50 * SECOND, until);
    record
}

fn check(record: &IncarnationRecord, timeline: &Timeline) -> Findings {
    let mut findings = Findings::default();
    check_incarnation("one", record, timeline, &mut findings);
    findings
}

#[test]
fn a_purge_applied_in_time_is_no_violation() {
    let mut record = record_leased_until(Micros::MAX);
    record.record_applied(0, ISSUED_AT + SECOND / 10);
    let findings = check(&record, &timeline());
    assert_eq!(findings.violations(), 0, "{findings:?}");
    assert_eq!(findings.lags.quantile(0.5), Some(101));
}

#[test]
fn a_purge_never_applied_under_a_lease_is_lost() {
    let findings = check(&record_leased_until(Micros::MAX), &timeline());
    assert_eq!(
        (findings.lost, findings.overdue, findings.done_not_in_force),
        (1, 1, 1)
    );
}

#[test]
fn a_subscriber_without_a_lease_may_lack_a_purge() {
    let findings = check(&record_leased_until(ISSUED_AT + SECOND), &timeline());
    assert_eq!(findings.violations(), 0, "{findings:?}");
}

#[test]
fn a_lease_regained_before_the_purge_is_applied_is_detected() {
    let mut record = record_leased_until(ISSUED_AT + SECOND);
    record.record_lease(ISSUED_AT + 10 * SECOND, ISSUED_AT + 12 * SECOND);
    record.record_applied(0, ISSUED_AT + 11 * SECOND);
    let findings = check(&record, &timeline());
    assert_eq!(
        (findings.lost, findings.overdue, findings.done_not_in_force),
        (0, 1, 1)
    );
}

#[test]
fn done_before_the_purge_is_applied_is_detected() {
    let mut record = record_leased_until(Micros::MAX);
    record.record_applied(0, ISSUED_AT + 2 * SECOND + 1);
    let findings = check(&record, &timeline());
    assert_eq!((findings.overdue, findings.done_not_in_force), (0, 1));
}

#[test]
fn done_before_copies_expire_is_detected() {
    let mut timeline = timeline();
    timeline.purges[0].done_at = Some(ISSUED_AT + SECOND);
    let findings = check(&record_leased_until(ISSUED_AT), &timeline);
    assert_eq!(findings.done_too_soon, 1);
    assert_eq!(
        check(&record_leased_until(ISSUED_AT), &self::timeline()).done_too_soon,
        0
    );
}

#[test]
fn a_purge_floor_covers_earlier_purges() {
    let mut record = record_leased_until(Micros::MAX);
    record.raise_floor(ISSUED_AT + SECOND, ISSUED_AT);
    assert_eq!(check(&record, &timeline()).violations(), 0);
}

#[test]
fn an_incarnation_that_ended_earlier_is_not_checked() {
    let mut record = record_leased_until(Micros::MAX);
    record.end_lease(ISSUED_AT - SECOND);
    record.ended_at = Some(ISSUED_AT - SECOND);
    assert_eq!(check(&record, &timeline()).violations(), 0);
}

#[test]
fn object_ids_map_back_to_purge_numbers() {
    for number in (0..1_000_000).step_by(997).chain([u64::MAX, u64::MAX / 2]) {
        assert_eq!(number_of(object_of(number)), number);
    }
}

#[test]
fn one_seed_gives_the_same_faults() {
    let pattern = |seed: u64| {
        let mut faults = DatagramFaults::new(seed);
        faults.loss = 0.3;
        (0..64)
            .map(|_| faults.passes(Some(1)))
            .collect::<Vec<bool>>()
    };
    assert_eq!(pattern(5), pattern(5));
    assert_ne!(pattern(5), pattern(6));
    let mut faults = DatagramFaults::new(1);
    faults.cut_off = RelaySet::of([3]);
    assert!(!faults.passes(Some(3)) && faults.passes(Some(2)) && faults.passes(None));
    faults.heal();
    assert!(faults.passes(Some(3)));
}
