//! Random schedules of faults, run against a publisher, relays and subscribers in one process. `MEADOWRILL_SEEDS` sets
//! the number of seeds, `MEADOWRILL_SEED` the first one, `MEADOWRILL_FLEET` the number of subscribers of the large
//! fleet, `MEADOWRILL_SUBSCRIBERS` the maximum number of subscribers of a schedule, and `MEADOWRILL_THREADS` the number
//! of threads.

mod simulation;

use meadowrill_event_distribution::settings::SECOND;
use meadowrill_event_distribution::Micros;
use simulation::schedule::{publish, run_schedule, Measured};
use simulation::Network;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const SEEDS: u64 = 40;
/// Default number of subscribers of the large fleet.
const LARGE_FLEET_SUBSCRIBERS: u64 = 300;
const THREADS: usize = 2;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// The value that this many thousandths of the values do not exceed.
fn quantile(sorted: &[Micros], per_mille: usize) -> Micros {
    sorted
        .get((sorted.len() * per_mille / 1000).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}

fn describe(label: &str, mut spans: Vec<Micros>) -> String {
    spans.sort_unstable();
    let [median, percentile_99, longest] =
        [500, 990, 1000].map(|per_mille| quantile(&spans, per_mille) / 1000);
    format!(
        "{label}: {} times, median {median} ms, 99 % {percentile_99} ms, longest {longest} ms",
        spans.len()
    )
}

#[test]
fn without_faults_all_receive_all_and_purges_are_in_force_within_their_bound() {
    let mut network = Network::new(3, 12, 1);
    network.run(3 * SECOND).unwrap();
    publish(&mut network, 100, 5 * SECOND).unwrap();
    network.run(3 * SECOND).unwrap();
    network.check_settled().unwrap();
    let latest = network.history.times_to_in_force().max().unwrap();
    assert!(
        latest <= network.settings.in_force_within(),
        "in force after {latest} us"
    );
    assert!(
        latest >= network.settings.max_copy_age,
        "in force after {latest} us"
    );
}

/// A fleet with the number of subscribers that `MEADOWRILL_FLEET` sets. Two of the eight relays are killed and
/// restarted.
#[test]
fn a_large_fleet_loses_nothing_while_two_relays_restart() {
    let fleet = setting("MEADOWRILL_FLEET", LARGE_FLEET_SUBSCRIBERS) as usize;
    let mut network = Network::new(8, fleet, 1);
    network.loss_per_mille = 10;
    network.run(8 * SECOND).unwrap();
    assert_eq!(network.first_lagging(0), None);
    publish(&mut network, 60, 3 * SECOND).unwrap();
    [2, 3].into_iter().for_each(|relay| network.kill(relay));
    publish(&mut network, 60, 4 * SECOND).unwrap();
    [2, 3].into_iter().for_each(|relay| network.start(relay));
    publish(&mut network, 60, 3 * SECOND).unwrap();
    network.run(5 * SECOND).unwrap();
    network.check_settled().unwrap();
    println!(
        "{fleet} subscribers: {}",
        describe("in force", network.history.times_to_in_force().collect())
    );
}

#[test]
fn random_schedules_hold() {
    let (first, seeds) = (
        setting("MEADOWRILL_SEED", 0),
        setting("MEADOWRILL_SEEDS", SEEDS),
    );
    let max_subscribers = setting("MEADOWRILL_SUBSCRIBERS", 64);
    let threads = setting("MEADOWRILL_THREADS", THREADS as u64);
    let next = AtomicU64::new(first);
    let (all, failed) = (Mutex::new(Measured::default()), Mutex::new(Vec::new()));
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= first + seeds {
            return;
        }
        match run_schedule(seed, max_subscribers) {
            Ok(measured) => {
                let mut all = all.lock().unwrap();
                if let Some(slow) = measured
                    .catch_up_times
                    .iter()
                    .find(|span| **span > 6 * SECOND)
                {
                    println!("seed {seed}: caught up after {} ms", slow / 1000);
                }
                all.times_to_in_force.extend(measured.times_to_in_force);
                all.catch_up_times.extend(measured.catch_up_times);
            }
            Err(why) => failed.lock().unwrap().push(format!("seed {seed}: {why}")),
        }
    };
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    let Measured {
        times_to_in_force,
        catch_up_times,
    } = all.into_inner().unwrap();
    println!(
        "{}\n{}",
        describe("in force", times_to_in_force),
        describe("caught up", catch_up_times)
    );
    let failed = failed.into_inner().unwrap();
    assert!(
        failed.is_empty(),
        "{} of {seeds} failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
}
