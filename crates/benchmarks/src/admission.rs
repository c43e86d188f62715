//! Fair queueing, compared with first come, first served and plain token buckets on the same test servers.

use crate::figures::{Figures, Goal};
use meadowrill_admission::config::{AdmissionConfig, QueueDiscipline};
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::cost::RequestClass;
use meadowrill_admission::identity::ClientIdentity;
use meadowrill_admission::request::{
    AdmissionEvent, AdmissionRequest, CapacityLimits, Completion, Decision,
};
use meadowrill_test_servers::load::{Counts, Load, RetryBehavior, RunningLoad};
use meadowrill_test_servers::service::{Directory, Service};
use meadowrill_test_servers::{config, Journal, Program};
use std::collections::VecDeque;
use std::hint::black_box;
use std::thread::sleep;
use std::time::{Duration, Instant};

const WARM_UP: Duration = Duration::from_secs(3);
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Workers of the only cache and the time that each request takes: 400 requests a second.
const CACHE: (usize, Duration) = (8, Duration::from_millis(20));
const CACHE_REQUESTS_PER_S: f64 = 400.0;

fn tenant_settings(count: usize) -> String {
    (1..=count)
        .map(|n| {
            format!(
                "tenant {{ name: \"t{n}\" network: \"127.0.{}.0/24\" }}\n",
                n + 1
            )
        })
        .collect()
}

fn settings(discipline: &str, tenant_count: usize) -> String {
    // The bucket rate of each client is half of the cache's capacity, an even split between two clients.
    format!(
        "turns {{ order: {discipline} bucket_per_s: 200 bucket_burst: 20\n{} }}",
        tenant_settings(tenant_count)
    )
}

/// A proxy and the cache behind it.
struct Testbed {
    program: Program,
    cache: Service,
    _journal: Journal,
}

fn start_testbed(settings: &str, (workers, service_time): (usize, Duration)) -> Testbed {
    let cache = Service::start(workers, service_time, 1_000, false, &Directory::default());
    let journal = Journal::start();
    let mut config = config(&[("s-a", cache.address)], journal.address);
    config["limits"]["sockets"] = 4096.into();
    Testbed {
        program: Program::with_settings(&config, settings),
        cache,
        _journal: journal,
    }
}

/// The load of client `n` of tenant `t`; both numbers start at 1.
fn load(t: usize, n: usize, connections: usize, retry_behavior: RetryBehavior) -> Load {
    let from = format!("127.0.{}.{n}", t + 1).parse().expect("an address");
    Load {
        from,
        connections,
        retry_behavior,
        ..Load::default()
    }
}

/// The increase of each load's counts during `time`: requested, answered within the latency objective, satisfied,
/// retried at the advised time, and satisfied by such a retry.
fn counts_during(runs: &[&RunningLoad], time: Duration) -> Vec<[f64; 5]> {
    let read = |run: &&RunningLoad| {
        let counts = &run.counts;
        [
            &counts.requests,
            &counts.within_budget,
            &counts.successful,
            &counts.advised_retries,
            &counts.successful_retries,
        ]
        .map(|count| Counts::value(count) as f64)
    };
    let before: Vec<_> = runs.iter().map(read).collect();
    sleep(time);
    let after = runs.iter().map(read);
    after
        .zip(before)
        .map(|(after, before)| [0, 1, 2, 3, 4].map(|n| after[n] - before[n]))
        .collect()
}

/// Measures a client with a low request rate, alone or with a client that overloads the proxy. Returns the share of its
/// requests that were answered within the latency objective, its mean latency in ms, and the cache's utilization.
fn low_rate_client(discipline: &str, with_overload: bool) -> (f64, f64, f64) {
    let testbed = start_testbed(&settings(discipline, 2), CACHE);
    let proxy_address = testbed.program.address;
    let low_rate = Load {
        think_time: Duration::from_millis(20),
        ..load(1, 1, 1, RetryBehavior::HonorsRetryAfter)
    };
    // 32 connections, each with the most concurrent requests that are allowed.
    let overload = with_overload.then(|| {
        Load {
            pipelined: 32,
            ..load(2, 1, 32, RetryBehavior::RetriesImmediately)
        }
        .start(proxy_address)
    });
    sleep(WARM_UP);
    let low_rate = low_rate.start(proxy_address);
    sleep(Duration::from_millis(500));
    let served_before = testbed.cache.responses();
    let counts = counts_during(&[&low_rate], MEASURE_TIME);
    let served = (testbed.cache.responses() - served_before) as f64 / MEASURE_TIME.as_secs_f64();
    let (_, times) = low_rate.finish();
    overload.map(RunningLoad::finish);
    (
        counts[0][1] / counts[0][0].max(1.0),
        times.mean() / 1e3,
        served / CACHE_REQUESTS_PER_S,
    )
}

fn low_rate_with_overload(figures: &mut Figures) {
    let (alone, alone_ms, _) = low_rate_client("FIRST_COME", false);
    figures.report("quiet alone, share within budget", alone, Goal::Baseline);
    figures.report("quiet alone, mean ms", alone_ms, Goal::Baseline);
    for (discipline, name) in [("FIRST_COME", "first come"), ("BUCKETS", "buckets")] {
        let (share, ms, used) = low_rate_client(discipline, true);
        figures.report(
            &format!("quiet beside loud, {name}, of alone"),
            share / alone,
            Goal::Baseline,
        );
        figures.report(
            &format!("quiet beside loud, {name}, mean ms"),
            ms,
            Goal::Baseline,
        );
        figures.report(&format!("cache used, {name}"), used, Goal::Baseline);
    }
    let (share, ms, used) = low_rate_client("FAIR", true);
    figures.report(
        "quiet beside loud, turns, of alone",
        share / alone,
        Goal::AtLeast(0.95),
    );
    figures.report("quiet beside loud, turns, mean ms", ms, Goal::Baseline);
    figures.report("cache used, turns", used, Goal::AtLeast(0.97));
}

fn equal_tenants(figures: &mut Figures) {
    for (discipline, goal) in [
        ("FIRST_COME", Goal::Baseline),
        ("FAIR", Goal::AtLeast(0.98)),
    ] {
        let testbed = start_testbed(&settings(discipline, 8), CACHE);
        let runs: Vec<_> = (1..=8)
            .map(|t| {
                load(t, 1, 20 * t, RetryBehavior::HonorsRetryAfter).start(testbed.program.address)
            })
            .collect();
        sleep(WARM_UP);
        let counts = counts_during(&runs.iter().collect::<Vec<_>>(), MEASURE_TIME);
        runs.into_iter().for_each(|run| drop(run.finish()));
        let satisfied: Vec<f64> = counts.iter().map(|load| load[2]).collect();
        let jain = satisfied.iter().sum::<f64>().powi(2)
            / (satisfied.len() as f64 * satisfied.iter().map(|count| count * count).sum::<f64>());
        figures.report(
            &format!("Jain's index of 8 tenants with 20 to 160 connections, {discipline}"),
            jain,
            goal,
        );
    }
}

fn immediate_retries(figures: &mut Figures) {
    let testbed = start_testbed(&settings("FAIR", 2), CACHE);
    let compliant = load(1, 1, 300, RetryBehavior::HonorsRetryAfter).start(testbed.program.address);
    let immediate = Load {
        pipelined: 10,
        ..load(2, 1, 30, RetryBehavior::RetriesImmediately)
    }
    .start(testbed.program.address);
    sleep(WARM_UP);
    let counts = counts_during(&[&compliant, &immediate], MEASURE_TIME);
    let capped_share = Counts::value(&compliant.counts.capped_retry_after) as f64
        / Counts::value(&compliant.counts.rejected) as f64;
    compliant.finish();
    immediate.finish();
    figures.report(
        "returned when told and got in",
        counts[0][4] / counts[0][3].max(1.0),
        Goal::AtLeast(0.9),
    );
    figures.report(
        "returns at a booked turn a second",
        counts[0][3] / MEASURE_TIME.as_secs_f64(),
        Goal::AtLeast(10.0),
    );
    figures.report(
        "turned away with the longest time, no turn",
        capped_share,
        Goal::Baseline,
    );
    figures.report(
        "hammering over obedient",
        counts[1][2] / counts[0][2],
        Goal::AtMost(1.05),
    );
}

fn resident_kb(program: &Program) -> f64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap_or_default();
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    rss.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(f64::NAN)
}

/// Resident memory of a proxy in kB after 20 s of a fixed load, and the number of requests. `names` is the template of
/// the client names.
fn memory(names: &str) -> (f64, f64) {
    let settings = "turns { order: FAIR client_by: FIELD client_field: \"desk\" }";
    let testbed = start_testbed(settings, (64, Duration::from_millis(20)));
    let extra_fields = vec![("desk".to_string(), names.to_string())];
    let runs: Vec<_> = (1..=4)
        .map(|t| {
            Load {
                extra_fields: extra_fields.clone(),
                ..load(t, 1, 16, RetryBehavior::HonorsRetryAfter)
            }
            .start(testbed.program.address)
        })
        .collect();
    sleep(Duration::from_secs(20));
    let requested: u64 = runs
        .iter()
        .map(|run| Counts::value(&run.counts.requests))
        .sum();
    let kb = resident_kb(&testbed.program);
    runs.into_iter().for_each(|run| drop(run.finish()));
    (kb, requested as f64)
}

fn client_names(figures: &mut Figures) {
    // One name for all requests, then a new name with each request.
    let ((few, _), (many, requested)) = (memory("one"), memory("{n}"));
    figures.report("names in 20 s", requested, Goal::AtLeast(10_000.0));
    figures.report(
        "memory of a front with them over one name, MB",
        (many - few) / 1e3,
        Goal::AtMost(1.0),
    );
}

/// Offers 1,200 requests a second to an admission controller whose capacity is 400 a second. Returns the time per
/// request in nanoseconds and the memory of the controller in bytes.
fn overloaded_controller(names: u64, requests: u64) -> (f64, usize) {
    let config = AdmissionConfig {
        discipline: QueueDiscipline::Fair,
        max_waiting: 256,
        max_concurrency: 64,
        ..AdmissionConfig::default()
    };
    let limits = CapacityLimits {
        open_requests: 20_000,
        bytes: 1 << 30,
        max_retry_after: 1_000_000,
    };
    let class = RequestClass {
        priority_weight: 1.0,
        latency_budget: 500_000,
        budget_stretch: 0.0,
    };
    let mut controller = AdmissionController::new(config, &[class], limits, 1, 0);
    let (mut events, mut admitted) = (Vec::new(), VecDeque::new());
    let mut queued = std::collections::HashMap::new();
    let address = "127.0.0.1".parse().expect("an address");
    let start = Instant::now();
    for n in 0..requests {
        let now = n as i64 * 833;
        // Scattered names, so that their order does not favor a hash table.
        let client = (n % names).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let identity = ClientIdentity {
            tenant: 0,
            client,
            connection: n,
            address,
        };
        let request = AdmissionRequest {
            id: n as u32,
            identity,
            class: 0,
            size_kb: 0.0,
            bytes: 0,
            expires: now + 3_000_000,
        };
        match controller.admit(now, request, 0) {
            Decision::Admitted(place) => admitted.push_back(place),
            Decision::Queued(place) => drop(queued.insert(n as u32, place)),
            Decision::Rejected(rejection) => drop(black_box(rejection)),
        }
        if n % 3 == 0 {
            if let Some(place) = admitted.pop_front() {
                controller.complete(
                    now,
                    place,
                    Completion {
                        succeeded: true,
                        cache_hit: true,
                        size_kb: 4.0,
                        abandoned: false,
                    },
                );
            }
        }
        events.clear();
        controller.poll(now, &mut events);
        for event in &events {
            match event {
                AdmissionEvent::Admitted { id, .. } => admitted.extend(queued.remove(id)),
                AdmissionEvent::Rejected { id, .. } => drop(queued.remove(id)),
            }
        }
    }
    (
        start.elapsed().as_secs_f64() * 1e9 / requests as f64,
        controller.memory_bytes(),
    )
}

fn cost_per_request(figures: &mut Figures) {
    let requests = 2_000_000;
    let mut ratios = Vec::new();
    for _ in 0..5 {
        let ((few, _), (many, _)) = (
            overloaded_controller(10, requests),
            overloaded_controller(1_000_000, requests),
        );
        ratios.push((many / few, few, many));
    }
    ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (ratio, few, many) = ratios[ratios.len() / 2];
    figures.report(
        "a lookup through the door, 10 names, ns",
        few,
        Goal::Baseline,
    );
    figures.report(
        "a lookup through the door, 1,000,000 names, ns",
        many,
        Goal::Baseline,
    );
    figures.report(
        "its growth from 10 to 1,000,000 names",
        ratio,
        Goal::AtMost(1.5),
    );
    let bytes = [10_000, 1_000_000].map(|names| overloaded_controller(names, 1_000_000).1 as f64);
    figures.report(
        "bytes held at 1,000,000 names over 10,000",
        bytes[1] / bytes[0],
        Goal::AtMost(1.0),
    );
    figures.report("bytes held", bytes[1], Goal::Baseline);
}

/// Throughput without overload, with caches that answer without delay, so that the proxy itself is the bottleneck.
fn throughput(figures: &mut Figures) {
    let requests_per_s = |discipline: &str| {
        let testbed = start_testbed(&settings(discipline, 2), (64, Duration::ZERO));
        let runs: Vec<_> = [1, 2]
            .map(|t| load(t, 1, 12, RetryBehavior::HonorsRetryAfter).start(testbed.program.address))
            .into();
        sleep(Duration::from_secs(1));
        let counts = counts_during(&runs.iter().collect::<Vec<_>>(), Duration::from_secs(3));
        runs.into_iter().for_each(|run| drop(run.finish()));
        counts.iter().map(|load| load[2]).sum::<f64>() / 3.0
    };
    let mut ratios: Vec<(f64, f64)> = (0..7)
        .map(|n| {
            // The order alternates, so that a drift in the machine's speed affects both alike.
            let (first_come, fair) = if n % 2 == 0 {
                let first_come = requests_per_s("FIRST_COME");
                (first_come, requests_per_s("FAIR"))
            } else {
                let fair = requests_per_s("FAIR");
                (requests_per_s("FIRST_COME"), fair)
            };
            (fair / first_come, first_come)
        })
        .collect();
    ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (ratio, first_come) = ratios[ratios.len() / 2];
    figures.report(
        "lookups a second, nobody loud, first come",
        first_come,
        Goal::Baseline,
    );
    figures.report(
        "throughput with turns, nobody loud",
        ratio,
        Goal::AtLeast(0.98),
    );
}

/// Overloads the origin with fills and the cache with requests at the same time. The router limits the fills, and
/// admission control limits the requests.
fn router_and_admission_limits(figures: &mut Figures) {
    let directory = Directory::default();
    let start_service = |workers, ms, empty| {
        Service::start(workers, Duration::from_millis(ms), 1_000, empty, &directory)
    };
    let (cache, parent, origin) = (
        start_service(8, 20, true),
        start_service(4, 1, true),
        start_service(1, 400, false),
    );
    if let Ok(mut addresses) = directory.lock() {
        addresses.extend([
            ("s-p".into(), parent.address),
            ("s-o".into(), origin.address),
        ]);
    }
    let journal = Journal::start();
    let caches = [("s-a", cache.address)];
    let (parent, origin, journal) = (parent.address, origin.address, journal.address);
    let site = meadowrill_test_servers::Site {
        caches: &caches,
        parent,
        origin,
        journal,
    };
    let socket = std::env::temp_dir().join(format!("meadowrill-measure-{}", std::process::id()));
    let settings = format!(
        "operators {{ socket: \"{}\" }} {}",
        socket.display(),
        settings("FAIR", 2)
    );
    let program = Program::with_settings(&site.config(), &settings);
    // One load requests few objects, which are soon cached; the other requests objects that are not cached.
    let cached_objects = Load {
        object_count: 8,
        ..load(1, 1, 200, RetryBehavior::HonorsRetryAfter)
    }
    .start(program.address);
    sleep(Duration::from_secs(6));
    let uncached_objects = Load {
        object_count: 1_000_000,
        ..load(2, 1, 60, RetryBehavior::HonorsRetryAfter)
    }
    .start(program.address);
    sleep(WARM_UP);
    let counts = counts_during(&[&cached_objects, &uncached_objects], MEASURE_TIME);
    let metrics = std::process::Command::new(meadowrill_test_servers::program::proxy_binary())
        .arg("metrics")
        .arg(&socket)
        .output();
    let text = metrics
        .map(|output| String::from_utf8_lossy(&output.stdout).into_owned())
        .unwrap_or_default();
    let sum = |name: &str, tenant: &str| -> f64 {
        let label = format!("tenant=\"{tenant}\"");
        let lines = text
            .lines()
            .filter(|line| line.starts_with(name) && line.contains(&label));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    };
    // Requests that were admitted and neither satisfied nor still in progress were given up by the router.
    let given_up_by_router =
        sum("meadowrill_door_let_in_total", "t2") - sum("meadowrill_door_satisfied_total", "t2");
    let admission_rejections = sum("meadowrill_door_turned_away_total", "t1");
    cached_objects.finish();
    uncached_objects.finish();
    figures.report(
        "slow origin: turned away at the door, known objects",
        admission_rejections,
        Goal::AtLeast(1.0),
    );
    figures.report(
        "slow origin: given up by the module, unknown objects",
        given_up_by_router,
        Goal::AtLeast(1.0),
    );
    figures.report(
        "slow origin: known objects a second",
        counts[0][1] / MEASURE_TIME.as_secs_f64(),
        Goal::AtLeast(150.0),
    );
}

/// Measures and reports the figures of admission control.
pub fn measure(figures: &mut Figures) {
    low_rate_with_overload(figures);
    equal_tenants(figures);
    immediate_retries(figures);
    client_names(figures);
    cost_per_request(figures);
    throughput(figures);
    router_and_admission_limits(figures);
}
