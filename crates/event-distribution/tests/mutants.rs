//! Broken builds, each of which the drawn schedules and the model have to find. With the feature `mutants` only.
#![cfg(feature = "mutants")]

mod exploration;
mod simulation;

use exploration::{explore, Rules};
use simulation::schedule::schedule;
use std::process::Command;

/// Set in the processes that run with one fault.
const IS_BROKEN: &str = "MEADOWRILL_MUTANT";
const SEEDS: u64 = 30;
const MAX_SUBSCRIBERS: u64 = 24;
/// Kinds of faults on one way, and how far it is explored.
const DEPTHS: [(usize, usize); 2] = [(1, 13), (2, 10)];
const THREADS: usize = 4;
const MUTANTS: [&str; 5] = [
    "done-without-acknowledgement",
    "lease-from-arrival",
    "resume-off-by-one",
    "old-epoch",
    "silent-drop",
];

/// By seeds, until the first one that does not hold.
#[test]
fn schedules_hold() {
    for seed in 0..SEEDS {
        schedule(seed, MAX_SUBSCRIBERS).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    }
}

#[test]
fn model_holds() {
    for (max_faults, depth) in DEPTHS {
        let (_, violation) = explore(Rules { max_faults }, depth, THREADS);
        if let Some(violation) = violation {
            panic!("model: {violation}");
        }
    }
}

/// This program once more, with one fault, for one of its tests: the line that it fails with.
fn found_by(test: &str, mutant: &str) -> Option<String> {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    let output = command
        .args(["--exact", test, "--nocapture"])
        .env(IS_BROKEN, mutant);
    let output = output.output().expect("this program starts");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    let found = stderr
        .lines()
        .find(|line| line.starts_with("seed ") || line.starts_with("model: "))
        .map(Into::into);
    assert_eq!(
        found.is_some(),
        !output.status.success(),
        "{mutant}: {stderr}"
    );
    found
}

fn each_is_found_by(test: &str) {
    let found = MUTANTS.map(|mutant| (mutant, found_by(test, mutant)));
    for (mutant, why) in &found {
        println!("{mutant}: {}", why.as_deref().unwrap_or("NOT found"));
    }
    assert!(found.iter().all(|(_, why)| why.is_some()));
}

#[test]
fn each_is_found_by_the_schedules() {
    each_is_found_by("schedules_hold");
}

#[test]
fn each_is_found_by_the_model() {
    each_is_found_by("model_holds");
}
