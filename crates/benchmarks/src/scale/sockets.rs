//! A proxy process with many caches and clients: descriptors, the cost of a hit, metrics, and reloads.

use super::fit::Point;
use super::process::{list_members, ProxyProcess, ProxySetup};
use super::results::{Budget, Method, Role, Slope};
use super::target;
use meadowrill_test_servers::load::{Load, RetryBehavior};
use serde_json::Value;
use std::fs;
use std::thread::sleep;
use std::time::Duration;

const CACHES: [usize; 6] = [3, 40, 160, 330, 660, 900];
const CLIENTS: [usize; 5] = [10, 50, 200, 500, 1_000];
/// Bytes of a body; the last is the largest part on the platform.
const BODY_SIZES: [usize; 5] = [2_000, 30_000, 60_000, 120_000, 240_000];
const OBJECTS: u32 = 20_000;
const PIPELINED: u32 = 32;
const WARM_UP: Duration = Duration::from_secs(2);
const MEASURE_TIME: Duration = Duration::from_secs(3);
/// Descriptors of a proxy whose configuration does not set their number (`config.rs`).
const DEFAULT_DESCRIPTORS: usize = 1_024;
const MANY_DESCRIPTORS: usize = 8_192;
const SCRAPES: u32 = 400;
const RELOADS: u32 = 20;
const RELOAD_INTERVAL: Duration = Duration::from_millis(50);
/// Scrapes a second of one proxy by operators: one every 15 s.
const SCRAPE_RATE_PER_S: f64 = 1.0 / 15.0;

/// Measurements of a proxy with a number of caches.
struct Measurements {
    descriptors: f64,
    cpu_us: f64,
    connection_calls: f64,
    metrics_bytes: f64,
    metrics_s: f64,
    resident_bytes: f64,
}

fn with_caches(caches: usize, sockets: usize) -> Measurements {
    let proxy = ProxyProcess::start(ProxySetup {
        caches,
        sockets,
        ..ProxySetup::default()
    });
    let load = Load {
        connections: 2,
        pipelined: PIPELINED,
        retry_behavior: RetryBehavior::RetriesImmediately,
        object_count: OBJECTS,
        ..Load::default()
    };
    let run = load.start(proxy.program.address);
    sleep(WARM_UP);
    let hits = proxy.measure_hits(&run, MEASURE_TIME);
    let (descriptors, resident_bytes) = (
        proxy.program.open_descriptors() as f64,
        proxy.resident_bytes(),
    );
    run.finish();
    let before = proxy.cpu_us_when_idle();
    let bytes = (0..SCRAPES)
        .map(|_| proxy.operator_command("metrics").len())
        .max()
        .unwrap_or(0);
    let cpu_us = proxy.cpu_us() - before;
    let rate = hits.per_second;
    println!("{caches} caches, {sockets} descriptors: {rate:.0} hits/s, {descriptors} open");
    Measurements {
        descriptors,
        cpu_us: hits.cpu_us,
        connection_calls: hits.connection_calls,
        metrics_bytes: bytes as f64,
        metrics_s: cpu_us / 1e6 / f64::from(SCRAPES),
        resident_bytes,
    }
}

fn with_clients(connections: usize) -> f64 {
    let proxy = ProxyProcess::start(ProxySetup {
        sockets: MANY_DESCRIPTORS,
        ..ProxySetup::default()
    });
    // The total rate of requests is about the same for many clients as for few.
    let think_time = Duration::from_micros(connections as u64 * 100);
    let load = Load {
        connections,
        think_time,
        object_count: 100,
        ..Load::default()
    };
    let run = load.start(proxy.program.address);
    sleep(WARM_UP);
    let hits = proxy.measure_hits(&run, MEASURE_TIME);
    run.finish();
    println!(
        "{connections} clients: {hits:?}, {:.0} hits/s",
        hits.per_second
    );
    hits.cpu_us
}

/// Processor microseconds of a hit whose body has `body_bytes` bytes.
fn with_body(body_bytes: usize) -> f64 {
    let proxy = ProxyProcess::start(ProxySetup {
        body_bytes,
        ..ProxySetup::default()
    });
    let load = Load {
        connections: 4,
        object_count: 100,
        ..Load::default()
    };
    let run = load.start(proxy.program.address);
    sleep(WARM_UP);
    let hits = proxy.measure_hits(&run, MEASURE_TIME);
    run.finish();
    println!(
        "bodies of {body_bytes} bytes: {:.0} hits/s, {:.1} us",
        hits.per_second, hits.cpu_us
    );
    hits.cpu_us
}

/// Processor seconds of a reload, by SIGHUP, of a configuration that lists `caches` caches.
fn reload(caches: usize) -> f64 {
    let proxy = ProxyProcess::start(ProxySetup {
        caches: 3,
        ..ProxySetup::default()
    });
    let text = fs::read_to_string(&proxy.program.config).unwrap_or_default();
    let mut config: Value = serde_json::from_str(&text).unwrap_or_default();
    config["known"]["entries"][0]["hosts"]["members"] = list_members(caches).into();
    let text = config.to_string();
    let before = proxy.cpu_us_when_idle();
    for _ in 0..RELOADS {
        proxy.program.reload(&text);
        sleep(RELOAD_INTERVAL);
    }
    (proxy.cpu_us_when_idle() - before) / 1e6 / f64::from(RELOADS)
}

fn slope(name: &'static str, cost: &'static str, unit: &'static str, points: Vec<Point>) -> Slope {
    Slope {
        name,
        role: Role::Proxy,
        cost,
        unit,
        driver: "caches",
        method: Method::Processes,
        points,
        target: target::CACHES,
        budget: Budget::None,
    }
}

/// The slopes of descriptors, connections, the cost of a hit, and metrics.
pub(super) fn hits() -> Vec<Slope> {
    let few_descriptors =
        CACHES.map(|caches| (caches as f64, with_caches(caches, DEFAULT_DESCRIPTORS)));
    let many_descriptors =
        CACHES.map(|caches| (caches as f64, with_caches(caches, MANY_DESCRIPTORS)));
    let points = |measured: &[(f64, Measurements)], cost: fn(&Measurements) -> f64| {
        measured
            .iter()
            .map(|(x, values)| Point {
                x: *x,
                y: cost(values),
            })
            .collect::<Vec<_>>()
    };
    let bodies = BODY_SIZES
        .map(|bytes| Point {
            x: bytes as f64,
            y: with_body(bytes),
        })
        .to_vec();
    let clients = CLIENTS
        .map(|count| Point {
            x: count as f64,
            y: with_clients(count),
        })
        .to_vec();
    let descriptors = slope(
        "descriptors",
        "descriptors open, 8,192 allowed",
        "descriptors",
        points(&many_descriptors, |s| s.descriptors),
    );
    vec![
        Slope {
            budget: Budget::AtMost(DEFAULT_DESCRIPTORS as f64),
            ..descriptors
        },
        slope(
            "reconnects",
            "calls for connections a hit, 1,024 allowed",
            "calls",
            points(&few_descriptors, |s| s.connection_calls),
        ),
        slope(
            "reconnects-roomy",
            "calls for connections a hit, 8,192 allowed",
            "calls",
            points(&many_descriptors, |s| s.connection_calls),
        ),
        slope(
            "hit-core",
            "processor time of a hit, 8,192 allowed",
            "us",
            points(&many_descriptors, |s| s.cpu_us),
        ),
        slope(
            "hit-core-tight",
            "processor time of a hit, 1,024 allowed",
            "us",
            points(&few_descriptors, |s| s.cpu_us),
        ),
        slope(
            "hit-memory",
            "resident memory before caches",
            "bytes",
            points(&many_descriptors, |s| s.resident_bytes),
        ),
        Slope {
            driver: "bytes of a body",
            target: 240_000.0,
            ..slope(
                "hit-core-body",
                "processor time of a hit before 3 caches",
                "us",
                bodies,
            )
        },
        Slope {
            driver: "client connections",
            target: 2_000.0,
            ..slope("hit-core-clients", "processor time of a hit", "us", clients)
        },
        slope(
            "metrics-bytes",
            "metrics of a front, one scrape",
            "bytes",
            points(&many_descriptors, |s| s.metrics_bytes),
        ),
        slope(
            "metrics-core",
            "metrics of a front, processor for a scrape",
            "s",
            points(&many_descriptors, |s| s.metrics_s),
        ),
        Slope {
            role: Role::Operators,
            ..slope(
                "metrics-all",
                "metrics of 5,000 fronts, scraped every 15 s",
                "bytes/s",
                points(&many_descriptors, |s| {
                    s.metrics_bytes * target::PROXIES * SCRAPE_RATE_PER_S
                }),
            )
        },
    ]
}

/// The slope of the cost of configuration changes, each of which is a signal and a reload of the file.
pub(super) fn reloads() -> Vec<Slope> {
    let changes_per_s = target::CONFIGURATION_CHANGES_PER_DAY / target::DAY_S;
    let points = CACHES
        .map(|caches| Point {
            x: caches as f64,
            y: reload(caches) * changes_per_s,
        })
        .to_vec();
    let cost = "9,800 reloads a day, processor";
    let slope = slope("reload-core", cost, "cores", points);
    vec![Slope {
        driver: "caches in the file",
        budget: Budget::AtMost(target::CORE_SHARE),
        ..slope
    }]
}
