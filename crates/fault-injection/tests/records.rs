//! Checks of the records of simulated subscribers, and the helpers that these checks use.

use meadowrill_event_distribution::Micros;
use meadowrill_fault_injection::events::check::{check_life, Findings, PurgeTimes, Timeline};
use meadowrill_fault_injection::events::faults::{DatagramFaults, RelaySet};
use meadowrill_fault_injection::events::numbering::{number_of, object_of};
use meadowrill_fault_injection::events::record::Life;

const SECOND: Micros = 1_000_000;
const PUBLISHED_AT: Micros = 100 * SECOND;

/// One purge, reported done two seconds after it was published, in a run that ends long after that.
fn timeline() -> Timeline {
    Timeline {
        purges: vec![PurgeTimes {
            told: PUBLISHED_AT,
            done: Some(PUBLISHED_AT + 2 * SECOND),
        }],
        done_within: 2_900_000,
        copy_age: 2 * SECOND,
        end: PUBLISHED_AT + 100 * SECOND,
    }
}

/// Record of a subscriber that has held a lease since long before the purge.
fn leased_until(until: Micros) -> Life {
    let mut life = Life::begin(PUBLISHED_AT - 50 * SECOND);
    life.hold_lease(PUBLISHED_AT - 50 * SECOND, until);
    life
}

fn check(life: &Life, timeline: &Timeline) -> Findings {
    let mut findings = Findings::default();
    check_life("subscriber", life, timeline, &mut findings);
    findings
}

#[test]
fn a_purge_that_is_applied_in_time_passes() {
    let mut life = leased_until(Micros::MAX);
    life.apply(0, PUBLISHED_AT + SECOND / 10);
    let findings = check(&life, &timeline());
    assert_eq!(findings.wrong(), 0, "{findings:?}");
    assert_eq!(findings.lags.quantile(0.5), Some(101));
}

#[test]
fn a_purge_that_is_never_applied_with_a_lease_is_lost() {
    let findings = check(&leased_until(Micros::MAX), &timeline());
    assert_eq!(
        (findings.lost, findings.unheard, findings.done_untrue),
        (1, 1, 1)
    );
}

#[test]
fn a_subscriber_without_a_lease_may_lack_a_purge() {
    let findings = check(&leased_until(PUBLISHED_AT + SECOND), &timeline());
    assert_eq!(findings.wrong(), 0, "{findings:?}");
}

#[test]
fn a_lease_that_is_renewed_before_the_purge_is_applied_is_detected() {
    let mut life = leased_until(PUBLISHED_AT + SECOND);
    life.hold_lease(PUBLISHED_AT + 10 * SECOND, PUBLISHED_AT + 12 * SECOND);
    life.apply(0, PUBLISHED_AT + 11 * SECOND);
    let findings = check(&life, &timeline());
    assert_eq!(
        (findings.lost, findings.unheard, findings.done_untrue),
        (0, 1, 1)
    );
}

#[test]
fn done_before_the_purge_is_applied_is_detected() {
    let mut life = leased_until(Micros::MAX);
    life.apply(0, PUBLISHED_AT + 2 * SECOND + 1);
    let findings = check(&life, &timeline());
    assert_eq!((findings.unheard, findings.done_untrue), (0, 1));
}

#[test]
fn done_before_copies_exceed_their_age_limit_is_detected() {
    let mut timeline = timeline();
    timeline.purges[0].done = Some(PUBLISHED_AT + SECOND);
    let findings = check(&leased_until(PUBLISHED_AT), &timeline);
    assert_eq!(findings.done_too_soon, 1);
    assert_eq!(
        check(&leased_until(PUBLISHED_AT), &self::timeline()).done_too_soon,
        0
    );
}

#[test]
fn a_purge_floor_covers_earlier_purges() {
    let mut life = leased_until(Micros::MAX);
    life.raise_floor(PUBLISHED_AT + SECOND, PUBLISHED_AT);
    assert_eq!(check(&life, &timeline()).wrong(), 0);
}

#[test]
fn a_subscriber_that_ended_before_the_purge_lacks_nothing() {
    let mut life = leased_until(Micros::MAX);
    life.lose_lease(PUBLISHED_AT - SECOND);
    life.ended = Some(PUBLISHED_AT - SECOND);
    assert_eq!(check(&life, &timeline()).wrong(), 0);
}

#[test]
fn objects_map_back_to_their_numbers() {
    for number in (0..1_000_000).step_by(997).chain([u64::MAX, u64::MAX / 2]) {
        assert_eq!(number_of(object_of(number)), number);
    }
}

#[test]
fn faults_are_reproducible_from_their_seed() {
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
