//! Fair queueing, beside first come, first served and plain token buckets on the same stand-ins.

use crate::figures::{Figures, Goal};
use meadowrill_admission::config::{AdmissionConfig, QueueDiscipline};
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::cost::RequestClass;
use meadowrill_admission::identity::ClientIdentity;
use meadowrill_admission::request::{
    AdmissionEvent, AdmissionRequest, CapacityLimits, Completion, Decision,
};
use meadowrill_test_servers::load::{Counts, Load, Manners, Running};
use meadowrill_test_servers::service::{Directory, Service};
use meadowrill_test_servers::{config, Journal, Program};
use std::collections::VecDeque;
use std::hint::black_box;
use std::thread::sleep;
use std::time::{Duration, Instant};

const SETTLE: Duration = Duration::from_secs(3);
const RUN: Duration = Duration::from_secs(8);
/// The one cache: 400 lookups a second.
const CACHE: (usize, Duration) = (8, Duration::from_millis(20));
const CAPACITY: f64 = 400.0;

fn tenants(count: usize) -> String {
    (1..=count)
        .map(|n| {
            format!(
                "tenant {{ name: \"t{n}\" network: \"127.0.{}.0/24\" }}\n",
                n + 1
            )
        })
        .collect()
}

fn settings(order: &str, count: usize) -> String {
    // The buckets give each client what an even split of the cache among two would.
    format!(
        "turns {{ order: {order} bucket_per_s: 200 bucket_burst: 20\n{} }}",
        tenants(count)
    )
}

struct Site {
    program: Program,
    cache: Service,
    _journal: Journal,
}

fn site(settings: &str, (workers, each): (usize, Duration)) -> Site {
    let cache = Service::start(workers, each, 1_000, false, &Directory::default());
    let journal = Journal::start();
    let mut config = config(&[("s-a", cache.address)], journal.address);
    config["limits"]["sockets"] = 4096.into();
    Site {
        program: Program::with_settings(&config, settings),
        cache,
        _journal: journal,
    }
}

/// Client `n` of tenant `t`, both from 1.
fn load(t: usize, n: usize, connections: usize, manners: Manners) -> Load {
    let from = format!("127.0.{}.{n}", t + 1).parse().expect("an address");
    Load {
        from,
        connections,
        manners,
        ..Load::default()
    }
}

/// What was counted in a while, of asked, in budget, satisfied, returned, got in.
fn during(runs: &[&Running], time: Duration) -> Vec<[f64; 5]> {
    let read = |run: &&Running| {
        let c = &run.counts;
        [&c.asked, &c.in_budget, &c.satisfied, &c.returned, &c.got_in].map(|n| Counts::of(n) as f64)
    };
    let before: Vec<_> = runs.iter().map(read).collect();
    sleep(time);
    let after = runs.iter().map(read);
    after
        .zip(before)
        .map(|(a, b)| [0, 1, 2, 3, 4].map(|n| a[n] - b[n]))
        .collect()
}

/// Share of a quiet client's lookups within budget, alone and beside a loud one, and what the cache did meanwhile.
fn quiet(order: &str, loud: bool) -> (f64, f64, f64) {
    let site = site(&settings(order, 2), CACHE);
    let to = site.program.address;
    let quiet = Load {
        think: Duration::from_millis(20),
        ..load(1, 1, 1, Manners::Returns)
    };
    // 32 connections, each with as many lookups open as it may have.
    let loud = loud.then(|| {
        Load {
            pipelined: 32,
            ..load(2, 1, 32, Manners::Hammers)
        }
        .start(to)
    });
    sleep(SETTLE);
    let quiet = quiet.start(to);
    sleep(Duration::from_millis(500));
    let served = site.cache.answered();
    let got = during(&[&quiet], RUN);
    let served = (site.cache.answered() - served) as f64 / RUN.as_secs_f64();
    let (_, times) = quiet.end();
    loud.map(Running::end);
    (
        got[0][1] / got[0][0].max(1.0),
        times.mean() / 1e3,
        served / CAPACITY,
    )
}

fn quiet_beside_loud(figures: &mut Figures) {
    let (alone, alone_ms, _) = quiet("FIRST_COME", false);
    figures.tell("quiet alone, share within budget", alone, Goal::Baseline);
    figures.tell("quiet alone, mean ms", alone_ms, Goal::Baseline);
    for (order, name) in [("FIRST_COME", "first come"), ("BUCKETS", "buckets")] {
        let (share, ms, used) = quiet(order, true);
        figures.tell(
            &format!("quiet beside loud, {name}, of alone"),
            share / alone,
            Goal::Baseline,
        );
        figures.tell(
            &format!("quiet beside loud, {name}, mean ms"),
            ms,
            Goal::Baseline,
        );
        figures.tell(&format!("cache used, {name}"), used, Goal::Baseline);
    }
    let (share, ms, used) = quiet("FAIR", true);
    figures.tell(
        "quiet beside loud, turns, of alone",
        share / alone,
        Goal::AtLeast(0.95),
    );
    figures.tell("quiet beside loud, turns, mean ms", ms, Goal::Baseline);
    figures.tell("cache used, turns", used, Goal::AtLeast(0.97));
}

fn equal_tenants(figures: &mut Figures) {
    for (order, goal) in [
        ("FIRST_COME", Goal::Baseline),
        ("FAIR", Goal::AtLeast(0.98)),
    ] {
        let site = site(&settings(order, 8), CACHE);
        let runs: Vec<_> = (1..=8)
            .map(|t| load(t, 1, 20 * t, Manners::Returns).start(site.program.address))
            .collect();
        sleep(SETTLE);
        let got = during(&runs.iter().collect::<Vec<_>>(), RUN);
        runs.into_iter().for_each(|run| drop(run.end()));
        let got: Vec<f64> = got.iter().map(|g| g[2]).collect();
        let jain = got.iter().sum::<f64>().powi(2)
            / (got.len() as f64 * got.iter().map(|g| g * g).sum::<f64>());
        figures.tell(
            &format!("Jain's index of 8 tenants with 20 to 160 connections, {order}"),
            jain,
            goal,
        );
    }
}

fn hammering(figures: &mut Figures) {
    let site = site(&settings("FAIR", 2), CACHE);
    let obedient = load(1, 1, 300, Manners::Returns).start(site.program.address);
    let hammers = Load {
        pipelined: 10,
        ..load(2, 1, 30, Manners::Hammers)
    }
    .start(site.program.address);
    sleep(SETTLE);
    let got = during(&[&obedient, &hammers], RUN);
    let capped =
        Counts::of(&obedient.counts.told_cap) as f64 / Counts::of(&obedient.counts.nacked) as f64;
    obedient.end();
    hammers.end();
    figures.tell(
        "returned when told and got in",
        got[0][4] / got[0][3].max(1.0),
        Goal::AtLeast(0.9),
    );
    figures.tell(
        "returns at a booked turn a second",
        got[0][3] / RUN.as_secs_f64(),
        Goal::AtLeast(10.0),
    );
    figures.tell(
        "turned away with the longest time, no turn",
        capped,
        Goal::Baseline,
    );
    figures.tell(
        "hammering over obedient",
        got[1][2] / got[0][2],
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

/// Memory of a front after 20 s of the same load, with as many names as told.
fn memory(names: &str) -> (f64, f64) {
    let settings = "turns { order: FAIR client_by: FIELD client_field: \"desk\" }";
    let site = site(settings, (64, Duration::from_millis(20)));
    let more = vec![("desk".to_string(), names.to_string())];
    let runs: Vec<_> = (1..=4)
        .map(|t| {
            Load {
                more: more.clone(),
                ..load(t, 1, 16, Manners::Returns)
            }
            .start(site.program.address)
        })
        .collect();
    sleep(Duration::from_secs(20));
    let asked: u64 = runs.iter().map(|run| Counts::of(&run.counts.asked)).sum();
    let kb = resident_kb(&site.program);
    runs.into_iter().for_each(|run| drop(run.end()));
    (kb, asked as f64)
}

fn names(figures: &mut Figures) {
    // One name for each connection, then another name with each lookup.
    let ((few, _), (many, asked)) = (memory("one"), memory("{n}"));
    figures.tell("names in 20 s", asked, Goal::AtLeast(10_000.0));
    figures.tell(
        "memory of a front with them over one name, MB",
        (many - few) / 1e3,
        Goal::AtMost(1.0),
    );
}

/// A controller with 400 lookups a second behind it and 1,200 offered; time of a lookup, and bytes held.
fn offered(names: u64, lookups: u64) -> (f64, usize) {
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
    let (mut turns, mut inside) = (Vec::new(), VecDeque::new());
    let mut places = std::collections::HashMap::new();
    let address = "127.0.0.1".parse().expect("an address");
    let start = Instant::now();
    for n in 0..lookups {
        let now = n as i64 * 833;
        // Names in no order that a table could like.
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
            Decision::Admitted(place) => inside.push_back(place),
            Decision::Queued(place) => drop(places.insert(n as u32, place)),
            Decision::Rejected(away) => drop(black_box(away)),
        }
        if n % 3 == 0 {
            if let Some(place) = inside.pop_front() {
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
        turns.clear();
        controller.poll(now, &mut turns);
        for turn in &turns {
            match turn {
                AdmissionEvent::Admitted { id, .. } => inside.extend(places.remove(id)),
                AdmissionEvent::Rejected { id, .. } => drop(places.remove(id)),
            }
        }
    }
    (
        start.elapsed().as_secs_f64() * 1e9 / lookups as f64,
        controller.memory_bytes(),
    )
}

fn cost(figures: &mut Figures) {
    let lookups = 2_000_000;
    let mut grown = Vec::new();
    for _ in 0..5 {
        let ((few, _), (many, _)) = (offered(10, lookups), offered(1_000_000, lookups));
        grown.push((many / few, few, many));
    }
    grown.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (ratio, few, many) = grown[grown.len() / 2];
    figures.tell(
        "a lookup through the door, 10 names, ns",
        few,
        Goal::Baseline,
    );
    figures.tell(
        "a lookup through the door, 1,000,000 names, ns",
        many,
        Goal::Baseline,
    );
    figures.tell(
        "its growth from 10 to 1,000,000 names",
        ratio,
        Goal::AtMost(1.5),
    );
    let bytes = [10_000, 1_000_000].map(|names| offered(names, 1_000_000).1 as f64);
    figures.tell(
        "bytes held at 1,000,000 names over 10,000",
        bytes[1] / bytes[0],
        Goal::AtMost(1.0),
    );
    figures.tell("bytes held", bytes[1], Goal::Baseline);
}

/// Throughput with nobody loud, of caches that answer at once: the front itself is what is slowest.
fn throughput(figures: &mut Figures) {
    let one = |order: &str| {
        let site = site(&settings(order, 2), (64, Duration::ZERO));
        let runs: Vec<_> = [1, 2]
            .map(|t| load(t, 1, 12, Manners::Returns).start(site.program.address))
            .into();
        sleep(Duration::from_secs(1));
        let got = during(&runs.iter().collect::<Vec<_>>(), Duration::from_secs(3));
        runs.into_iter().for_each(|run| drop(run.end()));
        got.iter().map(|g| g[2]).sum::<f64>() / 3.0
    };
    let mut ratios: Vec<(f64, f64)> = (0..7)
        .map(|n| {
            // In turn, so that a machine that drifts hurts both alike.
            let (plain, fair) = if n % 2 == 0 {
                let plain = one("FIRST_COME");
                (plain, one("FAIR"))
            } else {
                let fair = one("FAIR");
                (one("FIRST_COME"), fair)
            };
            (fair / plain, plain)
        })
        .collect();
    ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (ratio, plain) = ratios[ratios.len() / 2];
    figures.tell(
        "lookups a second, nobody loud, first come",
        plain,
        Goal::Baseline,
    );
    figures.tell(
        "throughput with turns, nobody loud",
        ratio,
        Goal::AtLeast(0.98),
    );
}

/// The origin's fills and the caches' queue at a time: the module's gates act on the first, the door on the second.
fn both_act(figures: &mut Figures) {
    let directory = Directory::default();
    let machine = |workers, ms, empty| {
        Service::start(workers, Duration::from_millis(ms), 1_000, empty, &directory)
    };
    let (cache, parent, origin) = (
        machine(8, 20, true),
        machine(4, 1, true),
        machine(1, 400, false),
    );
    if let Ok(mut known) = directory.lock() {
        known.extend([
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
    let folder = std::env::temp_dir().join(format!("meadowrill-measure-{}", std::process::id()));
    let settings = format!(
        "operators {{ socket: \"{}\" }} {}",
        folder.display(),
        settings("FAIR", 2)
    );
    let program = Program::with_settings(&site.config(), &settings);
    // One asks for few objects, which are soon held; the other for what is never held.
    let known = Load {
        objects: 8,
        ..load(1, 1, 200, Manners::Returns)
    }
    .start(program.address);
    sleep(Duration::from_secs(6));
    let unknown = Load {
        objects: 1_000_000,
        ..load(2, 1, 60, Manners::Returns)
    }
    .start(program.address);
    sleep(SETTLE);
    let got = during(&[&known, &unknown], RUN);
    let told = std::process::Command::new(meadowrill_test_servers::program::binary())
        .arg("metrics")
        .arg(&folder)
        .output();
    let text = told
        .map(|o| String::from_utf8_lossy(&o.stdout).into_owned())
        .unwrap_or_default();
    let sum = |name: &str, tenant: &str| -> f64 {
        let of = format!("tenant=\"{tenant}\"");
        let lines = text
            .lines()
            .filter(|l| l.starts_with(name) && l.contains(&of));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    };
    // What was let in and neither satisfied nor still inside was given up by the module.
    let module =
        sum("meadowrill_door_let_in_total", "t2") - sum("meadowrill_door_satisfied_total", "t2");
    let door = sum("meadowrill_door_turned_away_total", "t1");
    known.end();
    unknown.end();
    figures.tell(
        "slow origin: turned away at the door, known objects",
        door,
        Goal::AtLeast(1.0),
    );
    figures.tell(
        "slow origin: given up by the module, unknown objects",
        module,
        Goal::AtLeast(1.0),
    );
    figures.tell(
        "slow origin: known objects a second",
        got[0][1] / RUN.as_secs_f64(),
        Goal::AtLeast(150.0),
    );
}

pub fn measure(figures: &mut Figures) {
    quiet_beside_loud(figures);
    equal_tenants(figures);
    hammering(figures);
    names(figures);
    cost(figures);
    throughput(figures);
    both_act(figures);
}
