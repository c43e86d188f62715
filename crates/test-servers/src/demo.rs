//! The demo: a proxy with three simulated caches, a parent and an origin, and two tenants, a loud and a quiet hospital.
//! It shows the service that each tenant gets, once with first come, first served and once with fair queueing. It needs
//! no other process and ends by itself.

use crate::load::{Counts, Load, RetryBehavior};
use crate::program::Site;
use crate::service::{Directory, Service};
use crate::{Journal, Program};
use std::time::{Duration, Instant};

/// Workers per cache and service time of a request. Three caches together serve 600 requests per second.
const CACHES: (usize, Duration) = (4, Duration::from_millis(20));
const PARENT_AND_ORIGIN: (usize, Duration) = (16, Duration::from_millis(5));
const OBJECT_BYTES: usize = 4_000;

const QUIET: &str = "127.0.2.1";
const LOUD: &str = "127.0.3.1";
const LOUD_CONNECTIONS: usize = 400;

const FAIR_QUEUEING_SETTINGS: &str = r#"
turns {
  order: FAIR
  tenant { name: "quiet-hospital" network: "127.0.2.0/24" }
  tenant { name: "loud-hospital" network: "127.0.3.0/24" }
}
"#;

struct Row {
    name: &'static str,
    quiet: [u64; 3],
    loud: [u64; 3],
    quiet_mean_ms: f64,
}

fn counts(counts: &Counts) -> [u64; 3] {
    [&counts.requests, &counts.within_budget, &counts.rejected].map(Counts::value)
}

fn run_load(name: &'static str, settings: &str, seconds: u64) -> Row {
    let directory = Directory::default();
    let start_service = |(workers, service_time): (usize, Duration), empty| {
        Service::start(workers, service_time, OBJECT_BYTES, empty, &directory)
    };
    let caches = [(); 3].map(|()| start_service(CACHES, true));
    let (parent, origin) = (
        start_service(PARENT_AND_ORIGIN, true),
        start_service(PARENT_AND_ORIGIN, false),
    );
    directory.lock().unwrap().extend([
        ("s-p".into(), parent.address),
        ("s-o".into(), origin.address),
    ]);
    let journal = Journal::start();
    let named_caches: Vec<_> = ["s-a", "s-b", "s-c"]
        .into_iter()
        .zip(caches.iter().map(|b| b.address))
        .collect();
    let site = Site {
        caches: &named_caches,
        parent: parent.address,
        origin: origin.address,
        journal: journal.address,
    };
    let mut config = site.config();
    config["limits"]["sockets"] = 4096.into();
    let program = Program::with_settings(&config, settings);
    let load = |from: &str, connections, retry_behavior, think_time| Load {
        from: from.parse().unwrap(),
        connections,
        retry_behavior,
        think_time,
        ..Load::default()
    };
    let quiet = load(
        QUIET,
        1,
        RetryBehavior::HonorsRetryAfter,
        Duration::from_millis(10),
    )
    .start(program.address);
    // The caches are filled before the loud load starts.
    std::thread::sleep(Duration::from_secs(1));
    let loud = load(
        LOUD,
        LOUD_CONNECTIONS,
        RetryBehavior::RetriesImmediately,
        Duration::ZERO,
    )
    .start(program.address);
    let before = counts(&quiet.counts);
    let (mut last, start) = ([before, [0; 3]], Instant::now());
    println!("\n{name}");
    println!(
        "{:>4}  {:>34}  {:>34}",
        "s", "quiet: sent, in budget, rejected", "loud: sent, in budget, rejected"
    );
    for second in 1..=seconds {
        std::thread::sleep(
            (start + Duration::from_secs(second)).saturating_duration_since(Instant::now()),
        );
        let now = [counts(&quiet.counts), counts(&loud.counts)];
        let row = [0, 1].map(|at| [0, 1, 2].map(|n| now[at][n] - last[at][n]));
        let [q, l] = row.map(|[requests, within_budget, rejected]| {
            format!("{requests:>10} {within_budget:>11} {rejected:>11}")
        });
        println!("{second:>4}  {q:>34}  {l:>34}");
        last = now;
    }
    let (_, times) = quiet.finish();
    loud.finish();
    let quiet = [0, 1, 2].map(|n| last[0][n] - before[n]);
    Row {
        name,
        quiet,
        loud: last[1],
        quiet_mean_ms: times.mean() / 1e3,
    }
}

/// Runs both loads, then prints the table. The proxy executable must be in the folder of the current executable.
pub fn run(seconds: u64) -> Result<(), String> {
    println!(
        "Three caches that serve 600 requests per second, a parent and an origin, all on loopback."
    );
    println!("The quiet hospital has one terminal. The loud one sends without pause on {LOUD_CONNECTIONS} connections.");
    let rows = [
        run_load("First come, first served", "", seconds),
        run_load("With fair queueing", FAIR_QUEUEING_SETTINGS, seconds),
    ];
    println!(
        "\n{:<26}{:>22}{:>16}{:>22}",
        "", "quiet in budget", "quiet mean ms", "loud in budget per s"
    );
    for row in &rows {
        let [requests, within_budget, _] = row.quiet;
        let share = within_budget as f64 / (requests.max(1)) as f64;
        let loud = row.loud[1] as f64 / seconds as f64;
        let quiet = format!("{within_budget} of {requests} ({:.0}%)", 100.0 * share);
        println!(
            "{:<26}{quiet:>22}{:>16.1}{loud:>22.0}",
            row.name, row.quiet_mean_ms
        );
    }
    if rows[1].quiet[1] == 0 {
        return Err("demo: the quiet hospital was not served".into());
    }
    Ok(())
}
