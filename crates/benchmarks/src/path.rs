//! Costs of a cache hit for the proxy: allocations, system calls, copies, processor time and instructions.

use crate::figures::{Figures, Goal};
use meadowrill_test_servers::load::{Counts, Load, RetryBehavior, RunningLoad};
use meadowrill_test_servers::service::{Directory, Service};
use meadowrill_test_servers::{Journal, Program};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A proxy that counts its costs, and a cache that answers without delay.
struct Testbed {
    program: Program,
    cache: Service,
    _journal: Journal,
    socket: PathBuf,
}

/// Counters of the proxy by name, or their increase per hit.
pub type Counters = BTreeMap<String, f64>;

/// `wrapper` is the command line of a tool that runs the proxy, such as valgrind.
fn start_testbed(size: usize, empty: bool, wrapper: Option<&[&str]>) -> Testbed {
    start_testbed_with_extra_endpoints(size, empty, wrapper, 0)
}

/// Lists `extra_endpoints` further endpoints in another locality; every tenth of them is a parent.
fn start_testbed_with_extra_endpoints(
    size: usize,
    empty: bool,
    wrapper: Option<&[&str]>,
    extra_endpoints: usize,
) -> Testbed {
    let directory = Directory::default();
    let cache = Service::start(64, Duration::ZERO, size, empty, &directory);
    let origin = Service::start(64, Duration::ZERO, size, false, &directory);
    if let Ok(mut addresses) = directory.lock() {
        addresses.extend([
            ("s-p".into(), origin.address),
            ("s-o".into(), origin.address),
        ]);
    }
    let journal = Journal::start();
    let caches = [("s-a", cache.address)];
    let (parent, origin) = (origin.address, origin.address);
    let site = meadowrill_test_servers::Site {
        caches: &caches,
        parent,
        origin,
        journal: journal.address,
    };
    let mut config = site.config();
    config["limits"]["sockets"] = 4096.into();
    if let Some(members) = config["known"]["entries"][0]["hosts"]["members"].as_array_mut() {
        let unused_address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let names = (0..extra_endpoints).map(|n| {
            (
                format!("s-{n:08x}"),
                if n % 10 == 0 { "parent" } else { "std" },
            )
        });
        members.extend(names.map(|(id, flavor)| {
            let mut member =
                meadowrill_test_servers::member(&id, flavor, unused_address, "SERVING");
            member["locality"] = "elsewhere".into();
            member
        }));
    }
    let socket = std::env::temp_dir().join(format!(
        "meadowrill-path-{}-{}",
        std::process::id(),
        cache.address.port()
    ));
    let settings = format!("operators {{ socket: \"{}\" }}", socket.display());
    let binary = meadowrill_test_servers::program::proxy_binary().with_file_name("counted");
    let mut command = match wrapper {
        None => Command::new(&binary),
        Some([tool, options @ ..]) => {
            let mut command = Command::new(tool);
            command.args(options).arg(&binary);
            command
        }
        Some([]) => Command::new(&binary),
    };
    let program = Program::start_command(&mut command, &config, &settings);
    Testbed {
        program,
        cache,
        _journal: journal,
        socket,
    }
}

impl Testbed {
    fn counters(&self) -> Counters {
        let mut text = String::new();
        if let Ok(mut stream) = UnixStream::connect(&self.socket) {
            let _ = stream
                .write_all(b"counts\n")
                .and_then(|()| stream.read_to_string(&mut text).map(drop));
        }
        let parse = |line: &str| {
            line.split_once(' ')
                .and_then(|(name, n)| Some((name.to_string(), n.parse().ok()?)))
        };
        let mut counters: Counters = text.lines().filter_map(parse).collect();
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.program.child.id()))
            .unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks: f64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|n| n.parse::<f64>().ok())
            .sum();
        counters.insert("cpu_us".into(), ticks * 1e4);
        counters
    }

    /// Measures for `time` while loads run. Returns the increase of each counter per hit, and the number of hits.
    fn costs_per_hit(&self, runs: &[&RunningLoad], time: Duration) -> (Counters, f64) {
        let hits = || {
            runs.iter()
                .map(|r| Counts::value(&r.counts.successful))
                .sum::<u64>() as f64
        };
        let (before, hits_before) = (self.counters(), hits());
        sleep(time);
        let (after, hits) = (self.counters(), hits() - hits_before);
        let per_hit = after.iter().map(|(name, n)| {
            (
                name.clone(),
                (n - before.get(name).copied().unwrap_or(0.0)) / hits.max(1.0),
            )
        });
        (per_hit.collect(), hits)
    }
}

fn load(connections: usize, pipelined: u32) -> Load {
    let retry_behavior = if pipelined > 1 {
        RetryBehavior::RetriesImmediately
    } else {
        RetryBehavior::HonorsRetryAfter
    };
    Load {
        connections,
        pipelined,
        retry_behavior,
        object_count: 64,
        ..Load::default()
    }
}

/// System calls per hit, of all kinds.
fn system_calls(counters: &Counters) -> f64 {
    ["waits", "controls", "reads", "writes", "connections"]
        .iter()
        .filter_map(|name| counters.get(*name))
        .sum()
}

/// A load and the size of the objects that it requests, in bytes.
pub struct Scenario {
    name: &'static str,
    size: usize,
    load: Load,
}

fn scenarios() -> Vec<Scenario> {
    vec![
        Scenario {
            name: "alone, small",
            size: 2_000,
            load: load(1, 1),
        },
        Scenario {
            name: "32 in flight, small",
            size: 2_000,
            load: load(1, 32),
        },
        Scenario {
            name: "64 connections, small",
            size: 2_000,
            load: load(64, 1),
        },
        Scenario {
            name: "alone, large",
            size: 240_000,
            load: load(1, 1),
        },
    ]
}

/// Finds a scenario by its name.
pub fn find_scenario(name: &str) -> Option<Scenario> {
    scenarios().into_iter().find(|s| s.name == name)
}

/// Runs a scenario for `time`. Returns the costs per hit, the hits per second, and the 50th, 99th and 99.9th
/// percentiles of the latency in microseconds.
pub fn run_scenario(scenario: &Scenario, time: Duration) -> (Counters, f64, [f64; 3]) {
    let testbed = start_testbed(scenario.size, false, None);
    let run = scenario.load.start(testbed.program.address);
    sleep(Duration::from_millis(700));
    let (per_hit, hits) = testbed.costs_per_hit(&[&run], time);
    let (_, times) = run.finish();
    let quantiles = [0.5, 0.99, 0.999].map(|q| times.value_at_quantile(q) as f64);
    (per_hit, hits / time.as_secs_f64(), quantiles)
}

/// Instructions per hit under valgrind: the difference between a run with few hits and a run with many, divided by the
/// difference of their hits. None if valgrind or a run failed.
pub fn instructions_per_hit(scenario: &Scenario, hits: [u64; 2]) -> Option<f64> {
    let runs = hits.map(|hits| {
        let out = std::env::temp_dir().join(format!(
            "meadowrill-callgrind-{}-{hits}",
            std::process::id()
        ));
        let file = format!("--callgrind-out-file={}", out.display());
        let mut testbed = start_testbed(
            scenario.size,
            false,
            Some(&["valgrind", "--tool=callgrind", "-q", &file]),
        );
        let run = Load {
            max_requests: hits,
            ..scenario.load.clone()
        }
        .start(testbed.program.address);
        let start = Instant::now();
        while Counts::value(&run.counts.successful) < hits
            && start.elapsed() < Duration::from_secs(60)
        {
            sleep(Duration::from_millis(20));
        }
        let done = Counts::value(&run.counts.successful);
        run.finish();
        testbed.program.terminate();
        let _ = testbed.program.child.wait();
        let text = std::fs::read_to_string(&out).unwrap_or_default();
        let _ = std::fs::remove_file(&out);
        let total = text
            .lines()
            .find_map(|l| l.strip_prefix("summary: ").or(l.strip_prefix("totals: ")))?;
        Some((total.trim().parse::<f64>().ok()?, done as f64))
    });
    let [Some((instructions_few, hits_few)), Some((instructions_many, hits_many))] = runs else {
        return None;
    };
    (hits_many > hits_few).then(|| (instructions_many - instructions_few) / (hits_many - hits_few))
}

/// Measures and reports the figures of all scenarios.
pub fn measure(figures: &mut Figures) {
    for scenario in scenarios() {
        let (per_hit, rate, [p50, p99, p999]) = run_scenario(&scenario, Duration::from_secs(4));
        let name = scenario.name;
        let get = |counter: &str| per_hit.get(counter).copied().unwrap_or(f64::NAN);
        let (syscalls, goal) = match name {
            "alone, small" => (system_calls(&per_hit), Goal::AtMost(7.05)),
            "32 in flight, small" => (system_calls(&per_hit), Goal::AtMost(3.0)),
            _ => (system_calls(&per_hit), Goal::Baseline),
        };
        figures.report(&format!("{name}: system calls a hit"), syscalls, goal);
        for kind in ["waits", "controls", "reads", "writes", "connections"] {
            figures.report(&format!("{name}: {kind} a hit"), get(kind), Goal::Baseline);
        }
        figures.report(
            &format!("{name}: allocations a hit"),
            get("allocations"),
            Goal::AtMost(1.05),
        );
        figures.report(
            &format!("{name}: bytes allocated a hit"),
            get("allocated_bytes"),
            Goal::Baseline,
        );
        let copies = get("copied_bytes") / scenario.size as f64;
        figures.report(
            &format!("{name}: body bytes copied for each sent"),
            copies,
            Goal::AtMost(1.005),
        );
        figures.report(
            &format!("{name}: processor us a hit"),
            get("cpu_us"),
            Goal::Baseline,
        );
        figures.report(&format!("{name}: hits a second"), rate, Goal::Baseline);
        for (percentile, value) in [("p50", p50), ("p99", p99), ("p999", p999)] {
            figures.report(&format!("{name}: {percentile} us"), value, Goal::Baseline);
        }
    }
    for (name, hits) in [("alone, small", [300, 1_300]), ("alone, large", [50, 250])] {
        let instructions = find_scenario(name)
            .and_then(|scenario| instructions_per_hit(&scenario, hits))
            .unwrap_or(f64::NAN);
        figures.report(
            &format!("{name}: instructions a hit"),
            instructions,
            Goal::Baseline,
        );
    }
    burst(figures);
    growth(figures);
}

/// Compares the processor time of a hit with many connections, objects and endpoints to that with few. The figure is
/// the median ratio of three pairs of runs.
fn growth(figures: &mut Figures) {
    let cpu_us_per_hit = |connections: usize, object_count: u32, endpoints: usize| {
        let testbed = start_testbed_with_extra_endpoints(2_000, false, None, endpoints);
        let run = Load {
            object_count,
            think_time: Duration::from_millis(connections as u64 / 10),
            ..load(connections, 1)
        };
        let run = run.start(testbed.program.address);
        sleep(Duration::from_secs(2));
        let (per_hit, _) = testbed.costs_per_hit(&[&run], Duration::from_secs(4));
        run.finish();
        per_hit.get("cpu_us").copied().unwrap_or(f64::NAN)
    };
    let mut ratios: Vec<f64> = (0..3)
        .map(|_| cpu_us_per_hit(1_000, 100_000, 197) / cpu_us_per_hit(10, 100, 0))
        .collect();
    ratios.sort_by(f64::total_cmp);
    let name = "processor time of a hit at 1,000 connections, 100,000 objects, 200 machines over 10, 100, 3";
    figures.report(name, ratios[1], Goal::AtMost(1.2));
}

/// Compares the p99 of steady hits during a burst of requests for objects that are requested once with the p99 during a
/// load of other hits. The figure is the median ratio of three pairs of runs.
fn burst(figures: &mut Figures) {
    let p99 = |object_count: u32| {
        let testbed = start_testbed(2_000, true, None);
        let steady = load(4, 1);
        let warm_up = steady.start(testbed.program.address);
        sleep(Duration::from_secs(1));
        warm_up.finish();
        let background = Load {
            object_count,
            think_time: Duration::from_millis(2),
            ..load(8, 1)
        }
        .start(testbed.program.address);
        sleep(Duration::from_millis(500));
        let run = Load {
            think_time: Duration::from_micros(500),
            ..steady
        }
        .start(testbed.program.address);
        sleep(Duration::from_secs(4));
        let (_, times) = run.finish();
        background.finish();
        let fills = testbed.cache.fills() as f64;
        (times.value_at_quantile(0.99) as f64, fills)
    };
    let mut ratios: Vec<f64> = (0..3)
        .map(|_| {
            let ((p99_with_hits, _), (p99_with_burst, fills)) = (p99(64), p99(u32::MAX));
            if fills < 500.0 {
                return f64::NAN;
            }
            p99_with_burst / p99_with_hits
        })
        .collect();
    ratios.sort_by(f64::total_cmp);
    figures.report(
        "p99 of hits beside a burst of one-time lookups, over beside hits",
        ratios[1],
        Goal::AtMost(1.1),
    );
}
