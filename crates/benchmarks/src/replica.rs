//! Replicated state: models of complete fleets in one process, then processes of the program, with faults between them,
//! compared with the same build without replicated state.

use crate::figures::{Figures, Goal};
use meadowrill_fault_injection::fleet::{self, Fleet};
use meadowrill_fault_injection::script::{play, Tools};
use meadowrill_fault_injection::serving::Clients;
use meadowrill_fault_injection::shared::{run_with_random_faults, FaultScenario, ReplicaFleet};
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::settings::{LedgerSettings, ReplicationSettings, WithoutQuorum};
use meadowrill_replication::SEC;
use meadowrill_test_servers::request_frame;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// The figure of an event that did not happen.
const NOT_REACHED: f64 = f64::INFINITY;
const RECORDS: u64 = 50_000;

/// Random schedules of faults. Reports how many keyed requests ran, how many ran twice, and in how many schedules the
/// replicas still differed 5 s after the end.
fn schedules(figures: &mut Figures, runs: u64) {
    let faults = FaultScenario {
        proxies: 8,
        seconds: 20,
        keys_per_s: 30,
        kills: true,
        partitions: true,
        pauses: true,
    };
    let settings = ReplicationSettings {
        ledger: Some(LedgerSettings::default()),
        ..ReplicationSettings::default()
    };
    let next = AtomicU64::new(0);
    let [ran, ran_twice, unequal, requested, served] = [0; 5].map(AtomicU64::new);
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(2, usize::from) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= runs {
                    return;
                }
                let mut run = run_with_random_faults(faults, settings.clone(), seed);
                ran.fetch_add(run.counts.executions.len() as u64, Relaxed);
                ran_twice.fetch_add(run.counts.executed_twice() as u64, Relaxed);
                requested.fetch_add(run.counts.requests, Relaxed);
                served.fetch_add(run.counts.served, Relaxed);
                let end = run.now + 5 * SEC;
                unequal.fetch_add(
                    u64::from(run.run_until(end, ReplicaFleet::has_converged).is_none()),
                    Relaxed,
                );
            });
        }
    });
    let get = |count: &AtomicU64| count.load(Relaxed) as f64;
    figures.report(
        &format!("model, {runs} schedules: marks that ran"),
        get(&ran),
        Goal::Baseline,
    );
    figures.report(
        "model: marks that ran twice, refuse",
        get(&ran_twice),
        Goal::AtMost(0.0),
    );
    figures.report(
        "model: share of lookups served, refuse",
        get(&served) / get(&requested),
        Goal::Baseline,
    );
    figures.report(
        "model: schedules not equal 5 s after",
        get(&unequal),
        Goal::AtMost(0.0),
    );
    let without_quorum = LedgerSettings {
        without_quorum: WithoutQuorum::Send,
        ..LedgerSettings::default()
    };
    for (name, ledger) in [("serve", Some(without_quorum)), ("no ledger", None)] {
        let settings = ReplicationSettings {
            ledger,
            ..ReplicationSettings::default()
        };
        let (mut ran_twice, mut ran) = (0, 0);
        for seed in 0..40 {
            let run = run_with_random_faults(faults, settings.clone(), seed);
            (ran_twice, ran) = (
                ran_twice + run.counts.executed_twice(),
                ran + run.counts.executions.len(),
            );
        }
        let share = ran_twice as f64 / ran as f64;
        figures.report(
            &format!("model: share of marks that ran twice, {name}"),
            share,
            Goal::Baseline,
        );
    }
}

fn model(figures: &mut Figures) {
    let mut bytes = Vec::new();
    for proxies in [8, 64, 256] {
        let mut shared = ReplicaFleet::new(proxies, ReplicationSettings::default(), 3);
        shared.start_all();
        shared.run(10 * SEC);
        // Each proxy publishes 20 observations a second, and the first one publishes 2 purges a second.
        let before = shared.sent_bytes();
        for round in 0..20u64 {
            for n in 0..proxies {
                for observation in 0..10 {
                    let subject = (n as u64 * 1000 + round * 10 + observation).to_be_bytes();
                    shared.update_replica(n, |replica, now| {
                        replica.publish_observation(
                            now,
                            RecordType::Observation,
                            &subject,
                            vec![1.0],
                        )
                    });
                }
            }
            shared.update_replica(0, |replica, now| {
                replica.publish_purge(now, Some(round), 0, now)
            });
            shared.run(SEC / 2);
        }
        let bytes_per_s = (shared.sent_bytes() - before) as f64 / 10.0 / proxies as f64;
        figures.report(
            &format!("model, {proxies}: bytes a second a front, 20 new records a second each"),
            bytes_per_s,
            Goal::AtMost(20_000.0 * 1.2),
        );
        bytes.push(bytes_per_s);
        shared.run(5 * SEC);
        let before = shared.sent_bytes();
        shared.run(10 * SEC);
        let calm_bytes_per_s = (shared.sent_bytes() - before) as f64 / 10.0 / proxies as f64;
        figures.report(
            &format!("model, {proxies}: bytes a second a front in calm"),
            calm_bytes_per_s,
            Goal::Baseline,
        );
    }
    figures.report(
        "model: bytes a front, 256 against 8",
        bytes[2] / bytes[0],
        Goal::Baseline,
    );
    let mut shared = ReplicaFleet::new(
        6,
        ReplicationSettings {
            max_entries: 60_000,
            ..ReplicationSettings::default()
        },
        9,
    );
    shared.start_all();
    shared.run(2 * SEC);
    for n in 0..RECORDS {
        shared.update_replica(0, |replica, now| {
            replica.publish_purge(now, Some(n), 0, now)
        });
    }
    let caught_up = |shared: &ReplicaFleet| shared.maps().all(|map| map.len() as u64 >= RECORDS);
    (1..6).for_each(|n| {
        shared.kill(n);
        shared.start(n);
    });
    shared.run_until(shared.now + 60 * SEC, caught_up);
    shared.run(2 * SEC);
    shared.kill(5);
    shared.run(2 * SEC);
    shared.start(5);
    let begin = shared.now;
    shared.run(SEC / 5);
    let records_before_kill = shared.replica(5).map_or(0, |replica| replica.map().len());
    // Kills the first donor, which is the nearest replica of the same zone.
    shared.kill(1);
    let at = shared.run_until(begin + 60 * SEC, |shared| {
        shared
            .replica(5)
            .is_some_and(|replica| replica.map().len() as u64 >= RECORDS)
    });
    figures.report(
        "model: records there when the donor was killed",
        records_before_kill as f64,
        Goal::Baseline,
    );
    let caught_up_s = at.map_or(NOT_REACHED, |at| (at - begin) as f64 / 1e6);
    figures.report(
        "model: 50,000 records caught up, donor killed midway, s",
        caught_up_s,
        Goal::AtMost(5.0),
    );
    let mut shared = ReplicaFleet::new(3, ReplicationSettings::default(), 4);
    shared.start_all();
    for n in 0..100_000u64 {
        shared.update_replica(0, |replica, now| {
            replica.publish_purge(now, Some(n), 0, now - n as i64)
        });
    }
    shared.run(20 * SEC);
    let max_bytes = shared
        .maps()
        .map(|map| map.sizes().values().map(|size| size.bytes).sum::<usize>())
        .max()
        .unwrap_or(0);
    let bound = ReplicationSettings::default().max_bytes as f64;
    figures.report(
        "model: bytes held of 100,000 names",
        max_bytes as f64,
        Goal::AtMost(bound),
    );
}

/// A longer script with the same kinds of faults as `effects.txt`.
fn fault_script(shared: &str) -> String {
    let mut text = format!(
        "fronts 8\n{shared}+0 start all\nexpect settled within 10\n+2 links all loss=0.05\n+0 effects 2500 over 40\n"
    );
    for round in 0..3 {
        let (a, b, c) = (round * 2 % 8, (round * 3 + 1) % 8, (round + 5) % 8);
        text += &format!(
            "+2 kill {a}\n+1 start {a}\n+2 stop {b}\n+1.5 cont {b}\n+1 split 0-3|4-7\n+2 heal\n\
             +0 links all loss=0.05\n+1 kill {c}\n+2 start {c}\n"
        );
    }
    text + "expect once 100000\nexpect running\n"
}

fn figure(figures: &[(String, f64)], name: &str) -> f64 {
    figures
        .iter()
        .find(|(figure, _)| figure == name)
        .map_or(NOT_REACHED, |(_, value)| *value)
}

fn requests_that_ran_twice(figures: &mut Figures, tools: &Tools) {
    let configurations = [
        (
            "refuse",
            "shared replica { period_ms: 200 ledger { } }\n",
            Goal::AtMost(0.0),
        ),
        (
            "serve",
            "shared replica { period_ms: 200 ledger { unwritten: SERVE } }\n",
            Goal::Baseline,
        ),
        ("nothing shared", "", Goal::Baseline),
    ];
    for (name, shared, goal) in configurations {
        match play(&fault_script(shared), tools) {
            Ok(script_figures) => {
                let report = |what: &str, goal: Goal, figures: &mut Figures| {
                    figures.report(
                        &format!("processes, 8, {name}: {what}"),
                        figure(&script_figures, what),
                        goal,
                    );
                };
                report("keyed lookups asked", Goal::AtLeast(9000.0), figures);
                report("marks that ran", Goal::Baseline, figures);
                report("marks that ran twice", goal, figures);
                report("share served", Goal::Baseline, figures);
            }
            Err(failed) => {
                println!(
                    "{name}: line {}: {}: {}",
                    failed.line, failed.step, failed.reason
                );
                figures.report(
                    &format!("processes, 8, {name}: held"),
                    0.0,
                    Goal::AtLeast(1.0),
                );
            }
        }
    }
}

/// The number of requests that one proxy answers successfully during `span`, to four clients.
fn satisfied_requests(address: SocketAddr, span: Duration) -> f64 {
    let mut clients = Clients::start(4, vec![address], Duration::from_millis(20));
    std::thread::sleep(span);
    clients.stop();
    clients.counts.satisfied.load(Relaxed) as f64
}

/// The 99th percentile of the latency of hits at one proxy, in microseconds, with sequential requests during `span`.
fn hit_p99_us(address: SocketAddr, span: Duration) -> f64 {
    let end = Instant::now() + span;
    let mut latencies_us = Vec::new();
    let Ok(mut stream) = TcpStream::connect(address) else {
        return NOT_REACHED;
    };
    let _ = stream.set_nodelay(true);
    for number in 1.. {
        if Instant::now() >= end {
            break;
        }
        let txn = format!("{number:016x}");
        let fields = [
            ("txn", txn.as_str()),
            ("item", "00000000000000aa"),
            ("slice", "0"),
        ];
        let started_at = Instant::now();
        let result = stream
            .write_all(&request_frame(number, "map", &fields, b""))
            .and_then(|()| meadowrill_fault_injection::serving::read_frame(&mut stream));
        if result.is_err() {
            return NOT_REACHED;
        }
        latencies_us.push(started_at.elapsed().as_micros() as f64);
        std::thread::sleep(Duration::from_millis(1));
    }
    latencies_us.sort_by(f64::total_cmp);
    latencies_us
        .get(latencies_us.len() * 99 / 100)
        .copied()
        .unwrap_or(NOT_REACHED)
}

fn start_fleet(shared: &str, tools: &Tools) -> Option<Fleet> {
    let settings = fleet::FleetOptions {
        proxies: 4,
        fleet_settings: shared.into(),
        ..fleet::FleetOptions::default()
    };
    let mut fleet = Fleet::new(settings, &tools.program, &tools.rig_program).ok()?;
    (0..4).try_for_each(|n| fleet.start(n)).ok()?;
    std::thread::sleep(Duration::from_secs(3));
    Some(fleet)
}

/// Kills and restarts one proxy while the others serve. Compares the requests that it answers successfully in the first
/// 10 s with those of another proxy.
fn restart(figures: &mut Figures, name: &str, shared: &str, goal: Goal, tools: &Tools) {
    let Some(mut fleet) = start_fleet(shared, tools) else {
        return;
    };
    let addresses: Vec<SocketAddr> = (0..4).map(|n| fleet.client_address(n)).collect();
    let _background_load = Clients::start(8, addresses.clone(), Duration::from_millis(20));
    std::thread::sleep(Duration::from_secs(4));
    fleet.kill(2);
    std::thread::sleep(Duration::from_millis(500));
    let restarted = fleet.start(2).is_ok();
    let span = Duration::from_secs(10);
    let (own, other) = std::thread::scope(|scope| {
        let own = scope.spawn(|| satisfied_requests(addresses[2], span));
        let other = scope.spawn(|| satisfied_requests(addresses[3], span));
        (
            own.join().unwrap_or(0.0),
            other.join().unwrap_or(NOT_REACHED),
        )
    });
    let share = if restarted { own / other.max(1.0) } else { 0.0 };
    figures.report(
        &format!("processes, 4, {name}: served in the first 10 s, against a neighbour"),
        share,
        goal,
    );
}

/// Compares the latency of hits at a donor before and while another proxy catches up, and measures the time that
/// catching up takes.
fn donor(figures: &mut Figures, tools: &Tools) {
    let shared = "replica { period_ms: 200 entries_most: 60000 catch_up_bytes_per_s: 2000000 }";
    let Some(mut fleet) = start_fleet(shared, tools) else {
        return;
    };
    let now = meadowrill_test_servers::now_ms() as u64;
    for n in 0..RECORDS {
        fleet.publish_event(
            &serde_json::json!({"expire": {"name": format!("{:016x}", n + 1000), "stamp": now}}),
            true,
        );
    }
    std::thread::sleep(Duration::from_secs(6));
    let calm_p99_us = hit_p99_us(fleet.client_address(1), Duration::from_secs(8));
    let mut donor_p99_us = Vec::new();
    let address = fleet.client_address(1);
    let handle = std::thread::spawn(move || hit_p99_us(address, Duration::from_secs(8)));
    for _ in 0..3 {
        fleet.kill(3);
        if fleet.start(3).is_err() {
            return;
        }
        std::thread::sleep(Duration::from_millis(2600));
    }
    donor_p99_us.push(handle.join().unwrap_or(NOT_REACHED));
    figures.report(
        "processes, 4: p99 of a hit in calm, us",
        calm_p99_us,
        Goal::Baseline,
    );
    figures.report(
        "processes, 4: the same at a donor, against calm",
        donor_p99_us[0] / calm_p99_us,
        Goal::AtMost(1.1),
    );
    let log = std::fs::read_to_string(fleet.log_path(3)).unwrap_or_default();
    let caught_up_s = log
        .lines()
        .filter(|line| line.contains("\"caught up\""))
        .filter_map(|line| {
            let entry: serde_json::Value = serde_json::from_str(line).ok()?;
            (entry["records"].as_u64()? >= RECORDS / 2)
                .then(|| entry["took_us"].as_f64().map(|us| us / 1e6))?
        });
    let caught_up_s: Vec<f64> = caught_up_s.collect();
    let slowest = if caught_up_s.is_empty() {
        NOT_REACHED
    } else {
        caught_up_s.iter().copied().fold(0.0, f64::max)
    };
    figures.report(
        "processes, 4: 50,000 records caught up, slowest of 3, s",
        slowest,
        Goal::AtMost(5.0),
    );
}

/// Measures and reports the figures of the models and of the processes. `schedules_run` is the number of random
/// schedules.
pub fn measure(figures: &mut Figures, schedules_run: u64) {
    let own_path = std::env::current_exe().unwrap_or_default();
    let tools = Tools::beside(&own_path.with_file_name("meadowrill-rig"));
    model(figures);
    schedules(figures, schedules_run);
    restart(
        figures,
        "shared",
        "replica { period_ms: 200 ledger { } }",
        Goal::AtLeast(0.9),
        &tools,
    );
    restart(figures, "nothing shared", "", Goal::Baseline, &tools);
    donor(figures, &tools);
    requests_that_ran_twice(figures, &tools);
}
