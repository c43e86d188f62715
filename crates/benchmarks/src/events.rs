//! Distribution of purges: relays as processes of the program, hollow subscribers on real sockets. Growth in calm, every
//! scenario of faults at the largest size, and what a full window of purges takes.

use crate::figures::{Figures, Goal};
use meadowrill_fault_injection::events::costs::Costs;
use meadowrill_fault_injection::events::outcome::Outcome;
use meadowrill_fault_injection::events::run::{play_run, Setup, DONE_WITHIN};
use meadowrill_fault_injection::events::scenario::{Length, Scenario, NAMES};
use std::path::{Path, PathBuf};
use std::time::Duration;

const RELAYS: usize = 8;
const SIZES: [usize; 4] = [300, 1_000, 2_000, 5_000];
/// The size that is planned for, at which all scenarios are played, and how long calm lasts at the others.
const TARGET: usize = 5_000;
const SHORT_CALM: Duration = Duration::from_secs(30);
/// Each of so many subscribers holds the purges of 900 s at 120 a second, told in 36 s.
const WINDOW_SUBSCRIBERS: usize = 100;
const WINDOW_RATE: u32 = 3_000;
const WINDOW_SPAN: Duration = Duration::from_secs(36);
/// A front's budget for all of control.
const BYTES_MOST: f64 = 3_000.0;
const CORE_PERCENT_MOST: f64 = 4.0;
const MEGABYTES_MOST: f64 = 128.0;

/// All of it, or only one size or one scenario.
pub fn measure(figures: &mut Figures, subscribers: Option<usize>, scenario: Option<&str>) {
    if scenario.is_none_or(|name| name == "calm") {
        let sizes = subscribers.map_or(SIZES.to_vec(), |one| vec![one]);
        for size in sizes {
            calm(figures, size);
        }
    }
    for name in NAMES.iter().filter(|name| **name != "calm") {
        if scenario.is_none_or(|only| only == *name) {
            faults(figures, subscribers.unwrap_or(TARGET), name);
        }
    }
    if scenario.is_none_or(|name| name == "window") {
        window(figures);
    }
}

fn holder() -> PathBuf {
    std::env::current_exe()
        .unwrap_or_default()
        .with_file_name("meadowrill-rig")
}

fn setup(subscribers: usize, scenario: &str, holder: &Path) -> Option<Setup> {
    let scenario = Scenario::named(scenario, Length::Full, RELAYS)?;
    Some(Setup {
        relays: RELAYS,
        ..Setup::new(subscribers, scenario, holder)
    })
}

/// Plays it; what did not hold is printed, and missed.
fn play(figures: &mut Figures, what: &str, setup: Setup) -> Option<Outcome> {
    let outcome = match play_run(setup) {
        Ok(outcome) => outcome,
        Err(e) => {
            println!("{what}: could not be played: {e}");
            figures.tell(&format!("{what}: held"), 0.0, Goal::AtLeast(1.0));
            return None;
        }
    };
    let failures = outcome.failures();
    failures
        .iter()
        .for_each(|failure| println!("{what}: {failure}"));
    let held = f64::from(u8::from(failures.is_empty()));
    figures.tell(&format!("{what}: held"), held, Goal::AtLeast(1.0));
    Some(outcome)
}

fn calm(figures: &mut Figures, size: usize) {
    let Some(mut setup) = setup(size, "calm", &holder()) else {
        return;
    };
    if size != TARGET {
        setup.scenario.calm_after = SHORT_CALM;
    }
    let what = format!("calm, {size}");
    let Some(outcome) = play(figures, &what, setup) else {
        return;
    };
    let within = DONE_WITHIN as f64 / 1e6;
    for (name, value) in outcome.figures() {
        let is_tail = name.starts_with("done everywhere, 99.9th");
        let goal = if is_tail {
            Goal::AtMost(within)
        } else {
            Goal::Baseline
        };
        figures.tell(&format!("{what}: {name}"), value, goal);
    }
    costs(figures, &what, &outcome.subscriber);
}

/// One subscriber against a front's budget. Headers of IP and UDP, 28 bytes a datagram, are counted.
fn costs(figures: &mut Figures, what: &str, costs: &Costs) {
    let sent_and_received = costs.sent_with_headers() + costs.received_with_headers();
    let bytes = format!("{what}: bytes a second of a subscriber, sent and received");
    figures.tell(&bytes, sent_and_received, Goal::AtMost(BYTES_MOST));
    let processor = format!("{what}: percent of a core of a subscriber");
    figures.tell(
        &processor,
        costs.processor_share * 100.0,
        Goal::AtMost(CORE_PERCENT_MOST),
    );
    let memory = format!("{what}: MB of a subscriber");
    figures.tell(
        &memory,
        costs.resident_bytes / 1e6,
        Goal::AtMost(MEGABYTES_MOST),
    );
}

fn faults(figures: &mut Figures, size: usize, name: &str) {
    let Some(setup) = setup(size, name, &holder()) else {
        return;
    };
    let what = format!("{name}, {size}");
    let Some(outcome) = play(figures, &what, setup) else {
        return;
    };
    for (name, value) in outcome.figures() {
        figures.tell(&format!("{what}: {name}"), value, Goal::Baseline);
    }
}

fn window(figures: &mut Figures) {
    let Some(mut setup) = setup(WINDOW_SUBSCRIBERS, "calm", &holder()) else {
        return;
    };
    setup.purges_per_s = WINDOW_RATE;
    setup.scenario.calm_after = WINDOW_SPAN;
    let what = "a full window";
    let Some(outcome) = play(figures, what, setup) else {
        return;
    };
    figures.tell(
        &format!("{what}: purges"),
        outcome.purges as f64,
        Goal::AtLeast(108_000.0),
    );
    let roles = [
        ("subscriber", &outcome.subscriber),
        ("publisher", &outcome.publisher),
        ("dearest relay", &outcome.relay),
    ];
    for (role, costs) in roles {
        let name = format!("{what}: MB of a {role}");
        figures.tell(
            &name,
            costs.resident_bytes / 1e6,
            Goal::AtMost(MEGABYTES_MOST),
        );
    }
}
