//! Purges through relays, as processes of the program, to simulated subscribers: small fleets and short faults of every
//! kind. The program has to be built first; a test run of the whole workspace builds it.

use meadowrill_fault_injection::events::outcome::Outcome;
use meadowrill_fault_injection::events::protocol::Sabotage;
use meadowrill_fault_injection::events::run::{play_run, Setup};
use meadowrill_fault_injection::events::scenario::{Length, Scenario};
use std::path::Path;

const SUBSCRIBERS: usize = 60;
const RELAYS: usize = 4;

fn setup(scenario: &str) -> Setup {
    let tool = Path::new(env!("CARGO_BIN_EXE_meadowrill-rig"));
    let scenario = Scenario::named(scenario, Length::Short, RELAYS).expect("a scenario");
    Setup {
        relays: RELAYS,
        ..Setup::new(SUBSCRIBERS, scenario, tool)
    }
}

fn play(setup: Setup) -> Outcome {
    play_run(setup).expect("a run")
}

fn assert_no_violations(scenario: &str) {
    let outcome = play(setup(scenario));
    assert!(outcome.purges > 300, "{} purges", outcome.purges);
    let failures = outcome.failures();
    assert!(
        failures.is_empty(),
        "{failures:?}\n{:#?}",
        outcome.figures()
    );
}

macro_rules! scenarios {
    ($($test:ident $scenario:literal)*) => { $(#[test] fn $test() { assert_no_violations($scenario); })* };
}

scenarios! {
    calm "calm"
    two_relays_are_killed_and_return "two-relays-restart"
    all_relays_are_killed_and_return "all-relays-restart"
    the_publisher_is_killed_and_returns "publisher-restart"
    subscribers_restart_one_after_the_other "rolling-restart"
    a_region_is_cut "region-cut"
    datagrams_are_lost "loss"
    subscribers_are_stopped "stopped"
    one_subscriber_reads_nothing "not-reading"
}

#[test]
fn forgotten_purges_are_detected() {
    let outcome = play(Setup {
        sabotage: Some(Sabotage::ForgetsPurges),
        ..setup("calm")
    });
    assert!(
        outcome.findings.lost > 0 && outcome.findings.overdue > 0,
        "{:?}",
        outcome.findings.first
    );
    assert!(
        outcome.findings.done_not_in_force > 0,
        "{:?}",
        outcome.findings.first
    );
}

#[test]
fn late_purges_are_detected() {
    let outcome = play(Setup {
        sabotage: Some(Sabotage::AppliesLate),
        ..setup("calm")
    });
    assert!(
        outcome.findings.overdue > 0 && outcome.findings.done_not_in_force > 0,
        "{:?}",
        outcome.findings.first
    );
}

#[test]
fn a_lease_that_never_expires_is_detected() {
    let outcome = play(Setup {
        sabotage: Some(Sabotage::LeaseNeverEnds),
        ..setup("region-cut")
    });
    assert!(
        outcome.findings.done_not_in_force > 0,
        "{:?}",
        outcome.findings.first
    );
}

#[test]
fn unbounded_copies_are_detected() {
    let outcome = play(Setup {
        sabotage: Some(Sabotage::CopiesUnbounded),
        ..setup("calm")
    });
    assert!(outcome.findings.unbounded > 0);
}

/// With leases of five seconds, one subscriber that reads nothing delays `done` beyond its bound.
#[test]
fn late_done_is_detected() {
    let outcome = play(Setup {
        relay_settings: "lease_ms: 5000".into(),
        ..setup("not-reading")
    });
    assert!(outcome.done.late > 0, "slowest {} us", outcome.done.max);
}

/// Relays that assume copies to be expired after a tenth of a second report purges as done too soon.
#[test]
fn done_before_old_copies_expire_is_detected() {
    let outcome = play(Setup {
        relay_settings: "copy_age_ms: 100".into(),
        ..setup("region-cut")
    });
    assert!(
        outcome.findings.done_too_soon > 0,
        "{:?}",
        outcome.findings.first
    );
}
