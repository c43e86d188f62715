//! Checks that the random schedules and the model checker detect each mutant, a deliberately broken build. Requires the
//! feature `mutants`.
#![cfg(feature = "mutants")]

mod exploration;
mod simulation;

use exploration::{explore, DistributionModel};
use simulation::schedule::run_schedule;
use std::process::Command;

/// Environment variable with the name of the mutant that a process runs.
const MUTANT_VARIABLE: &str = "MEADOWRILL_MUTANT";
const SEEDS: u64 = 30;
const MAX_SUBSCRIBERS: u64 = 24;
/// Maximum number of kinds of faults on one path, and the depth up to which the model is explored.
const DEPTHS: [(usize, usize); 2] = [(1, 13), (2, 10)];
const THREADS: usize = 4;
const MUTANTS: [&str; 5] = [
    "done-without-acknowledgement",
    "lease-from-arrival",
    "resume-off-by-one",
    "old-epoch",
    "silent-drop",
];

/// Runs the schedules of all seeds, up to the first one that fails.
#[test]
fn schedules_hold() {
    for seed in 0..SEEDS {
        run_schedule(seed, MAX_SUBSCRIBERS).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    }
}

#[test]
fn model_holds() {
    for (max_faults, depth) in DEPTHS {
        let (_, violation) = explore(DistributionModel { max_faults }, depth, THREADS);
        if let Some(violation) = violation {
            panic!("model: {violation}");
        }
    }
}

/// Runs one test of this program with a mutant, in another process. Returns the failure message of the test, if any.
fn failure_of(test: &str, mutant: &str) -> Option<String> {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    let output = command
        .args(["--exact", test, "--nocapture"])
        .env(MUTANT_VARIABLE, mutant);
    let output = output.output().expect("this program starts");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    let failure = stderr
        .lines()
        .find(|line| line.starts_with("seed ") || line.starts_with("model: "))
        .map(Into::into);
    assert_eq!(
        failure.is_some(),
        !output.status.success(),
        "{mutant}: {stderr}"
    );
    failure
}

fn assert_each_detected_by(test: &str) {
    let failures = MUTANTS.map(|mutant| (mutant, failure_of(test, mutant)));
    for (mutant, why) in &failures {
        println!("{mutant}: {}", why.as_deref().unwrap_or("NOT detected"));
    }
    assert!(failures.iter().all(|(_, why)| why.is_some()));
}

#[test]
fn each_mutant_is_detected_by_the_schedules() {
    assert_each_detected_by("schedules_hold");
}

#[test]
fn each_mutant_is_detected_by_the_model() {
    assert_each_detected_by("model_holds");
}
