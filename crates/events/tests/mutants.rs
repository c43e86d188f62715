//! Broken builds, each of which the drawn schedules and the model have to find. With the feature `mutants` only.
#![cfg(feature = "mutants")]

mod simulation;

use simulation::schedule::schedule;
use std::process::Command;

/// Set in the processes that run with one fault.
const IS_BROKEN: &str = "MEADOWRILL_MUTANT";
const SEEDS: u64 = 30;
const SUBSCRIBERS_MOST: u64 = 24;

/// By seeds, until the first one that does not hold.
#[test]
fn schedules_hold() {
    for seed in 0..SEEDS {
        schedule(seed, SUBSCRIBERS_MOST).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    }
}

/// This program once more, with one fault: the first line that it fails with.
fn found_by_schedules(mutant: &str) -> Option<String> {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    let told = command.args(["--exact", "schedules_hold", "--nocapture"]).env(IS_BROKEN, mutant);
    let told = told.output().expect("this program starts");
    let said = String::from_utf8_lossy(&told.stderr).into_owned();
    let found = said.lines().find(|line| line.starts_with("seed ")).map(Into::into);
    assert_eq!(found.is_some(), !told.status.success(), "{mutant}: {said}");
    found
}

#[test]
fn each_is_found_by_the_schedules() {
    let mutants = [
        "done-without-acknowledgement",
        "lease-from-arrival",
        "resume-off-by-one",
        "old-epoch",
        "silent-drop",
    ];
    let found = mutants.map(|mutant| (mutant, found_by_schedules(mutant)));
    for (mutant, why) in &found {
        println!("{mutant}: {}", why.as_deref().unwrap_or("NOT found"));
    }
    assert!(found.iter().all(|(_, why)| why.is_some()));
}
