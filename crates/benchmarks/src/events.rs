//! Distribution of purges through relays, which are processes of the program, to simulated subscribers on real sockets.
//! Measures the growth of costs without faults, every fault scenario at the target size, and the memory that a full
//! window of purges takes.

use crate::figures::{Figures, Goal};
use meadowrill_fault_injection::events::costs::Costs;
use meadowrill_fault_injection::events::outcome::Outcome;
use meadowrill_fault_injection::events::run::{play_run, Setup, DONE_WITHIN};
use meadowrill_fault_injection::events::scenario::{Length, Scenario, NAMES};
use std::path::{Path, PathBuf};
use std::time::Duration;

const RELAYS: usize = 8;
const SIZES: [usize; 4] = [300, 1_000, 2_000, 5_000];
/// The planned number of subscribers, at which all scenarios run.
const TARGET_SUBSCRIBERS: usize = 5_000;
/// How long the run without faults lasts at other sizes.
const SHORT_CALM: Duration = Duration::from_secs(30);
/// Each of these subscribers stores the purges of 900 s at 120 a second, which are published within 36 s.
const WINDOW_SUBSCRIBERS: usize = 100;
const WINDOW_RATE: u32 = 3_000;
const WINDOW_SPAN: Duration = Duration::from_secs(36);
/// Budget of a proxy for all control traffic and state.
const MAX_BYTES_PER_S: f64 = 3_000.0;
const MAX_CORE_PERCENT: f64 = 4.0;
const MAX_MEGABYTES: f64 = 128.0;

/// Runs all sizes and scenarios, or only the given number of subscribers or scenario.
pub fn measure(figures: &mut Figures, subscribers: Option<usize>, scenario: Option<&str>) {
    if scenario.is_none_or(|name| name == "calm") {
        let sizes = subscribers.map_or(SIZES.to_vec(), |size| vec![size]);
        for size in sizes {
            without_faults(figures, size);
        }
    }
    for name in NAMES.iter().filter(|name| **name != "calm") {
        if scenario.is_none_or(|only| only == *name) {
            with_faults(figures, subscribers.unwrap_or(TARGET_SUBSCRIBERS), name);
        }
    }
    if scenario.is_none_or(|name| name == "window") {
        full_window(figures);
    }
}

fn rig_binary() -> PathBuf {
    std::env::current_exe()
        .unwrap_or_default()
        .with_file_name("meadowrill-rig")
}

fn setup(subscribers: usize, scenario: &str, rig: &Path) -> Option<Setup> {
    let scenario = Scenario::named(scenario, Length::Full, RELAYS)?;
    Some(Setup {
        relays: RELAYS,
        ..Setup::new(subscribers, scenario, rig)
    })
}

/// Runs a scenario and prints each failed check. The figure `held` is missed if a check failed or the run did not
/// start.
fn run_scenario(figures: &mut Figures, label: &str, setup: Setup) -> Option<Outcome> {
    let outcome = match play_run(setup) {
        Ok(outcome) => outcome,
        Err(e) => {
            println!("{label}: could not be run: {e}");
            figures.report(&format!("{label}: held"), 0.0, Goal::AtLeast(1.0));
            return None;
        }
    };
    let failures = outcome.failures();
    failures
        .iter()
        .for_each(|failure| println!("{label}: {failure}"));
    let passed = f64::from(u8::from(failures.is_empty()));
    figures.report(&format!("{label}: held"), passed, Goal::AtLeast(1.0));
    Some(outcome)
}

fn without_faults(figures: &mut Figures, size: usize) {
    let Some(mut setup) = setup(size, "calm", &rig_binary()) else {
        return;
    };
    if size != TARGET_SUBSCRIBERS {
        setup.scenario.calm_after = SHORT_CALM;
    }
    let label = format!("calm, {size}");
    let Some(outcome) = run_scenario(figures, &label, setup) else {
        return;
    };
    let limit_s = DONE_WITHIN as f64 / 1e6;
    for (name, value) in outcome.figures() {
        let is_tail = name.starts_with("done everywhere, 99.9th");
        let goal = if is_tail {
            Goal::AtMost(limit_s)
        } else {
            Goal::Baseline
        };
        figures.report(&format!("{label}: {name}"), value, goal);
    }
    report_costs(figures, &label, &outcome.subscriber);
}

/// Compares the costs of one subscriber with the budget of a proxy. The bytes include the IP and UDP headers, 28 bytes
/// per datagram.
fn report_costs(figures: &mut Figures, label: &str, costs: &Costs) {
    let sent_and_received = costs.sent_with_headers() + costs.received_with_headers();
    let bytes = format!("{label}: bytes a second of a subscriber, sent and received");
    figures.report(&bytes, sent_and_received, Goal::AtMost(MAX_BYTES_PER_S));
    let processor = format!("{label}: percent of a core of a subscriber");
    figures.report(
        &processor,
        costs.processor_share * 100.0,
        Goal::AtMost(MAX_CORE_PERCENT),
    );
    let memory = format!("{label}: MB of a subscriber");
    figures.report(
        &memory,
        costs.resident_bytes / 1e6,
        Goal::AtMost(MAX_MEGABYTES),
    );
}

fn with_faults(figures: &mut Figures, size: usize, name: &str) {
    let Some(setup) = setup(size, name, &rig_binary()) else {
        return;
    };
    let label = format!("{name}, {size}");
    let Some(outcome) = run_scenario(figures, &label, setup) else {
        return;
    };
    for (name, value) in outcome.figures() {
        figures.report(&format!("{label}: {name}"), value, Goal::Baseline);
    }
}

fn full_window(figures: &mut Figures) {
    let Some(mut setup) = setup(WINDOW_SUBSCRIBERS, "calm", &rig_binary()) else {
        return;
    };
    setup.purges_per_s = WINDOW_RATE;
    setup.scenario.calm_after = WINDOW_SPAN;
    let label = "a full window";
    let Some(outcome) = run_scenario(figures, label, setup) else {
        return;
    };
    figures.report(
        &format!("{label}: purges"),
        outcome.purges as f64,
        Goal::AtLeast(108_000.0),
    );
    let roles = [
        ("subscriber", &outcome.subscriber),
        ("publisher", &outcome.publisher),
        ("dearest relay", &outcome.relay),
    ];
    for (role, costs) in roles {
        let name = format!("{label}: MB of a {role}");
        figures.report(
            &name,
            costs.resident_bytes / 1e6,
            Goal::AtMost(MAX_MEGABYTES),
        );
    }
}
