//! A front as a process before many caches and clients: descriptors, what a hit costs, metrics, and a reload.

use super::fit::Point;
use super::process::{listed, Front, Setup};
use super::results::{Budget, Method, Role, Slope};
use super::target;
use meadowrill_test_servers::load::{Load, Manners};
use serde_json::Value;
use std::fs;
use std::thread::sleep;
use std::time::Duration;

const CACHES: [usize; 6] = [3, 40, 160, 330, 660, 900];
const CLIENTS: [usize; 5] = [10, 50, 200, 500, 1_000];
/// Bytes of a body; the platform's parts end at the last.
const BODIES: [usize; 5] = [2_000, 30_000, 60_000, 120_000, 240_000];
const OBJECTS: u32 = 20_000;
const PIPELINED: u32 = 32;
const WARM: Duration = Duration::from_secs(2);
const SPAN: Duration = Duration::from_secs(3);
/// Descriptors that a front has where nothing is told (`config.rs`).
const SOCKETS: usize = 1_024;
const ROOMY: usize = 8_192;
const ASKED: u32 = 400;
const RELOADS: u32 = 20;
const BETWEEN_RELOADS: Duration = Duration::from_millis(50);
/// Scrapes a second at the operators' side: each front every 15 s.
const SCRAPES_PER_S: f64 = 1.0 / 15.0;

/// What a front shows before so many caches.
struct Seen {
    descriptors: f64,
    cpu_us: f64,
    connection_calls: f64,
    metrics_bytes: f64,
    metrics_s: f64,
    resident: f64,
}

fn before_caches(caches: usize, sockets: usize) -> Seen {
    let front = Front::start(Setup {
        caches,
        sockets,
        ..Setup::default()
    });
    let load = Load {
        connections: 2,
        pipelined: PIPELINED,
        manners: Manners::Hammers,
        objects: OBJECTS,
        ..Load::default()
    };
    let run = load.start(front.program.address);
    sleep(WARM);
    let hits = front.hits(&run, SPAN);
    let (descriptors, resident) = (front.program.descriptors() as f64, front.resident());
    run.end();
    let before = front.cpu_when_idle();
    let bytes = (0..ASKED)
        .map(|_| front.word("metrics").len())
        .max()
        .unwrap_or(0);
    let spent = front.cpu_us() - before;
    let rate = hits.per_second;
    println!("{caches} caches, {sockets} descriptors: {rate:.0} hits/s, {descriptors} open");
    Seen {
        descriptors,
        cpu_us: hits.cpu_us,
        connection_calls: hits.connection_calls,
        metrics_bytes: bytes as f64,
        metrics_s: spent / 1e6 / f64::from(ASKED),
        resident,
    }
}

fn with_clients(connections: usize) -> f64 {
    let front = Front::start(Setup {
        sockets: ROOMY,
        ..Setup::default()
    });
    // About as many lookups a second from many clients as from few.
    let think = Duration::from_micros(connections as u64 * 100);
    let load = Load {
        connections,
        think,
        objects: 100,
        ..Load::default()
    };
    let run = load.start(front.program.address);
    sleep(WARM);
    let hits = front.hits(&run, SPAN);
    run.end();
    println!(
        "{connections} clients: {hits:?}, {:.0} hits/s",
        hits.per_second
    );
    hits.cpu_us
}

/// Processor microseconds of a hit with such a body.
fn with_body(body_bytes: usize) -> f64 {
    let front = Front::start(Setup {
        body_bytes,
        ..Setup::default()
    });
    let load = Load {
        connections: 4,
        objects: 100,
        ..Load::default()
    };
    let run = load.start(front.program.address);
    sleep(WARM);
    let hits = front.hits(&run, SPAN);
    run.end();
    println!(
        "bodies of {body_bytes} bytes: {:.0} hits/s, {:.1} us",
        hits.per_second, hits.cpu_us
    );
    hits.cpu_us
}

/// Processor seconds of a SIGHUP with a configuration that lists so many caches.
fn reload(caches: usize) -> f64 {
    let front = Front::start(Setup {
        caches: 3,
        ..Setup::default()
    });
    let text = fs::read_to_string(&front.program.config).unwrap_or_default();
    let mut config: Value = serde_json::from_str(&text).unwrap_or_default();
    config["known"]["entries"][0]["hosts"]["members"] = listed(caches).into();
    let text = config.to_string();
    let before = front.cpu_when_idle();
    for _ in 0..RELOADS {
        front.program.reload(&text);
        sleep(BETWEEN_RELOADS);
    }
    (front.cpu_when_idle() - before) / 1e6 / f64::from(RELOADS)
}

fn slope(name: &'static str, cost: &'static str, unit: &'static str, points: Vec<Point>) -> Slope {
    Slope {
        name,
        role: Role::Front,
        cost,
        unit,
        driver: "caches",
        method: Method::Processes,
        points,
        target: target::CACHES,
        budget: Budget::None,
    }
}

/// Connections and the cost of a hit.
pub(super) fn hits() -> Vec<Slope> {
    let tight = CACHES.map(|caches| (caches as f64, before_caches(caches, SOCKETS)));
    let roomy = CACHES.map(|caches| (caches as f64, before_caches(caches, ROOMY)));
    let points = |seen: &[(f64, Seen)], of: fn(&Seen) -> f64| {
        seen.iter()
            .map(|(x, seen)| Point { x: *x, y: of(seen) })
            .collect::<Vec<_>>()
    };
    let bodies = BODIES
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
        points(&roomy, |s| s.descriptors),
    );
    vec![
        Slope {
            budget: Budget::AtMost(SOCKETS as f64),
            ..descriptors
        },
        slope(
            "reconnects",
            "calls for connections a hit, 1,024 allowed",
            "calls",
            points(&tight, |s| s.connection_calls),
        ),
        slope(
            "reconnects-roomy",
            "calls for connections a hit, 8,192 allowed",
            "calls",
            points(&roomy, |s| s.connection_calls),
        ),
        slope(
            "hit-core",
            "processor time of a hit, 8,192 allowed",
            "us",
            points(&roomy, |s| s.cpu_us),
        ),
        slope(
            "hit-core-tight",
            "processor time of a hit, 1,024 allowed",
            "us",
            points(&tight, |s| s.cpu_us),
        ),
        slope(
            "hit-memory",
            "resident memory before caches",
            "bytes",
            points(&roomy, |s| s.resident),
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
            points(&roomy, |s| s.metrics_bytes),
        ),
        slope(
            "metrics-core",
            "metrics of a front, processor for a scrape",
            "s",
            points(&roomy, |s| s.metrics_s),
        ),
        Slope {
            role: Role::Operators,
            ..slope(
                "metrics-all",
                "metrics of 5,000 fronts, scraped every 15 s",
                "bytes/s",
                points(&roomy, |s| s.metrics_bytes * target::FRONTS * SCRAPES_PER_S),
            )
        },
    ]
}

/// What a changed configuration costs a front: a signal, and the file read anew.
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
