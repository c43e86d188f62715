//! A front with three stand-in boxes, a parent and an origin, a loud and a quiet hospital: what each gets with plain
//! first come, first served, and with turns. Needs nothing else and ends by itself.

use crate::load::{Counts, Load, Manners};
use crate::program::Site;
use crate::service::{Directory, Service};
use crate::{Journal, Program};
use std::time::{Duration, Instant};

/// Boxes: workers each, and how long a lookup keeps one. Together they serve 600 a second.
const BOXES: (usize, Duration) = (4, Duration::from_millis(20));
const SOURCES: (usize, Duration) = (16, Duration::from_millis(5));
const SIZE: usize = 4_000;

const QUIET: &str = "127.0.2.1";
const LOUD: &str = "127.0.3.1";
const LOUD_CONNECTIONS: usize = 400;

const TURNS: &str = r#"
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
    quiet_ms: f64,
}

fn counts(counts: &Counts) -> [u64; 3] {
    [&counts.asked, &counts.in_budget, &counts.nacked].map(Counts::of)
}

fn play(name: &'static str, settings: &str, seconds: u64) -> Row {
    let directory = Directory::default();
    let machine = |(workers, each): (usize, Duration), empty| {
        Service::start(workers, each, SIZE, empty, &directory)
    };
    let boxes = [(); 3].map(|()| machine(BOXES, true));
    let (parent, origin) = (machine(SOURCES, true), machine(SOURCES, false));
    directory.lock().unwrap().extend([
        ("s-p".into(), parent.address),
        ("s-o".into(), origin.address),
    ]);
    let journal = Journal::start();
    let named: Vec<_> = ["s-a", "s-b", "s-c"]
        .into_iter()
        .zip(boxes.iter().map(|b| b.address))
        .collect();
    let site = Site {
        caches: &named,
        parent: parent.address,
        origin: origin.address,
        journal: journal.address,
    };
    let mut config = site.config();
    config["limits"]["sockets"] = 4096.into();
    let program = Program::with_settings(&config, settings);
    let load = |from: &str, connections, manners, think| Load {
        from: from.parse().unwrap(),
        connections,
        manners,
        think,
        ..Load::default()
    };
    let quiet = load(QUIET, 1, Manners::Returns, Duration::from_millis(10)).start(program.address);
    // The boxes fill what they lack before it gets loud.
    std::thread::sleep(Duration::from_secs(1));
    let loud =
        load(LOUD, LOUD_CONNECTIONS, Manners::Hammers, Duration::ZERO).start(program.address);
    let before = counts(&quiet.counts);
    let (mut last, start) = ([before, [0; 3]], Instant::now());
    println!("\n{name}");
    println!(
        "{:>4}  {:>34}  {:>34}",
        "s", "quiet: asked, in budget, refused", "loud: asked, in budget, refused"
    );
    for second in 1..=seconds {
        std::thread::sleep(
            (start + Duration::from_secs(second)).saturating_duration_since(Instant::now()),
        );
        let now = [counts(&quiet.counts), counts(&loud.counts)];
        let row = [0, 1].map(|at| [0, 1, 2].map(|n| now[at][n] - last[at][n]));
        let [q, l] = row.map(|[asked, good, away]| format!("{asked:>10} {good:>11} {away:>11}"));
        println!("{second:>4}  {q:>34}  {l:>34}");
        last = now;
    }
    let (_, times) = quiet.end();
    loud.end();
    let quiet = [0, 1, 2].map(|n| last[0][n] - before[n]);
    Row {
        name,
        quiet,
        loud: last[1],
        quiet_ms: times.mean() / 1e3,
    }
}

/// Both halves, then the table. Needs the program beside the one that runs.
pub fn run(seconds: u64) -> Result<(), String> {
    println!(
        "Three boxes that serve 600 lookups a second, a parent and an origin, all on loopback."
    );
    println!("The quiet hospital has one terminal. The loud one hammers on {LOUD_CONNECTIONS} connections.");
    let rows = [
        play("First come, first served", "", seconds),
        play("With turns", TURNS, seconds),
    ];
    println!(
        "\n{:<26}{:>22}{:>16}{:>22}",
        "", "quiet in budget", "quiet mean ms", "loud in budget a s"
    );
    for row in &rows {
        let [asked, good, _] = row.quiet;
        let share = good as f64 / (asked.max(1)) as f64;
        let loud = row.loud[1] as f64 / seconds as f64;
        let quiet = format!("{good} of {asked} ({:.0}%)", 100.0 * share);
        println!(
            "{:<26}{quiet:>22}{:>16.1}{loud:>22.0}",
            row.name, row.quiet_ms
        );
    }
    if rows[1].quiet[1] == 0 {
        return Err("demo: the quiet hospital was not served".into());
    }
    Ok(())
}
