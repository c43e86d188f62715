//! Guards what a hit costs: counts, never times, against a committed file. Fails when one has risen by more than ten
//! percent. `measure guard --accept` writes the file anew, for a figure that is meant.

use crate::path::{instructions, play, scenario, Counted};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// How far a count may rise, and by how much in any case: of none, ten percent are none. What a hit costs more is one at
/// least; housekeeping by time weighs a few hundredths more where a busy machine serves fewer hits.
const RISE: f64 = 1.10;
const LEAST: f64 = 0.4;
const TIME: Duration = Duration::from_secs(2);

/// Which counts of which scenario are the same in every run. System calls of large parts, and calls and allocations of
/// many at once, follow how bytes happen to arrive, so they are measured but not guarded.
const GUARDED: [(&str, &[&str]); 3] = [
    (
        "alone, small",
        &[
            "waits",
            "controls",
            "reads",
            "writes",
            "allocations",
            "copied_bytes",
        ],
    ),
    ("32 in flight, small", &["copied_bytes"]),
    ("alone, large", &["allocations", "copied_bytes"]),
];
/// Instructions of hits, under valgrind: of so many less those of so few.
const INSTRUCTIONS: [(&str, [u64; 2]); 2] =
    [("alone, small", [300, 1_300]), ("alone, large", [100, 600])];

fn counts() -> Result<BTreeMap<String, f64>, String> {
    let mut all = BTreeMap::new();
    for (name, guarded) in GUARDED {
        let scenario = scenario(name).ok_or(format!("{name}: no such scenario"))?;
        let (each, hits, _): (Counted, f64, _) = play(&scenario, TIME);
        if hits == 0.0 {
            return Err(format!("{name}: no hit was served"));
        }
        for count in guarded {
            let value = each
                .get(*count)
                .copied()
                .ok_or(format!("{name}: {count} was not counted"))?;
            all.insert(format!("{name}: {count}"), value);
        }
    }
    for (name, hits) in INSTRUCTIONS {
        let scenario = scenario(name).ok_or(format!("{name}: no such scenario"))?;
        let value =
            instructions(&scenario, hits).ok_or("no count of instructions: is valgrind there?")?;
        all.insert(format!("{name}: instructions"), value);
    }
    Ok(all)
}

/// What has risen, one line each; the file is written anew where that is wanted.
pub fn guard(file: &Path, accept: bool) -> Result<Vec<String>, String> {
    let now = counts()?;
    let told = |e: std::io::Error| format!("{}: {e}", file.display());
    if accept {
        let mut text = String::from(
            "# What a hit costs; see docs/request-cost.md. Written by `measure guard --accept`.\n",
        );
        for (name, value) in &now {
            writeln!(text, "{name}: {value:.3}").map_err(|e| e.to_string())?;
        }
        std::fs::write(file, text).map_err(told)?;
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(file).map_err(told)?;
    let line = |l: &str| {
        let (name, value) = l.rsplit_once(": ")?;
        Some((name.to_string(), value.parse::<f64>().ok()?))
    };
    let accepted: BTreeMap<String, f64> = text.lines().filter_map(line).collect();
    let mut risen = Vec::new();
    for (name, value) in &now {
        let Some(before) = accepted.get(name) else {
            risen.push(format!("{name}: {value:.3}, not in {}", file.display()));
            continue;
        };
        println!("{name}: {value:.3} ({before:.3} accepted)");
        // What is no number was not counted.
        if value.is_nan() || *value > before * RISE + LEAST {
            risen.push(format!("{name}: {value:.3}, {before:.3} accepted"));
        }
    }
    Ok(risen)
}
