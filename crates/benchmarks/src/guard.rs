//! Compares the counted costs of a cache hit with the accepted counts in a committed file. Times are not compared. The
//! check fails when a count has risen by more than ten percent. `measure guard --accept` rewrites the file, for an
//! intended rise.

use crate::path::{find_scenario, instructions_per_hit, run_scenario, Counters};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// A count may rise by this factor, ten percent, and by `RISE_ALLOWANCE` in addition.
const RISE_FACTOR: f64 = 1.10;
/// Ten percent of zero is zero, so an absolute rise is allowed too. A costlier hit adds one at least to a count;
/// periodic work adds a few hundredths per hit where a busy machine serves fewer hits.
const RISE_ALLOWANCE: f64 = 0.4;
const MEASURE_TIME: Duration = Duration::from_secs(2);

/// The counts of each scenario that are the same in every run. The system calls for large parts, and the calls and
/// allocations for many concurrent requests, depend on how bytes arrive, so they are measured but not guarded.
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
/// Numbers of hits of two runs under valgrind. The difference of their instructions gives the instructions per hit.
const INSTRUCTION_HITS: [(&str, [u64; 2]); 2] =
    [("alone, small", [300, 1_300]), ("alone, large", [100, 600])];

fn measure_counts() -> Result<BTreeMap<String, f64>, String> {
    let mut counts = BTreeMap::new();
    for (name, guarded) in GUARDED {
        let scenario = find_scenario(name).ok_or(format!("{name}: no such scenario"))?;
        let (per_hit, hits, _): (Counters, f64, _) = run_scenario(&scenario, MEASURE_TIME);
        if hits == 0.0 {
            return Err(format!("{name}: no hit was served"));
        }
        for counter in guarded {
            let value = per_hit
                .get(*counter)
                .copied()
                .ok_or(format!("{name}: {counter} was not counted"))?;
            counts.insert(format!("{name}: {counter}"), value);
        }
    }
    for (name, hits) in INSTRUCTION_HITS {
        let scenario = find_scenario(name).ok_or(format!("{name}: no such scenario"))?;
        let value = instructions_per_hit(&scenario, hits)
            .ok_or("no instruction count: is valgrind installed?")?;
        counts.insert(format!("{name}: instructions"), value);
    }
    Ok(counts)
}

/// Returns one line for each count that has risen. With `accept`, rewrites the file instead and returns no lines.
pub fn check(file: &Path, accept: bool) -> Result<Vec<String>, String> {
    let measured = measure_counts()?;
    let with_path = |e: std::io::Error| format!("{}: {e}", file.display());
    if accept {
        let mut text = String::from(
            "# What a hit costs; see docs/request-cost.md. Written by `measure guard --accept`.\n",
        );
        for (name, value) in &measured {
            writeln!(text, "{name}: {value:.3}").map_err(|e| e.to_string())?;
        }
        std::fs::write(file, text).map_err(with_path)?;
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(file).map_err(with_path)?;
    let parse = |line: &str| {
        let (name, value) = line.rsplit_once(": ")?;
        Some((name.to_string(), value.parse::<f64>().ok()?))
    };
    let accepted: BTreeMap<String, f64> = text.lines().filter_map(parse).collect();
    let mut risen = Vec::new();
    for (name, value) in &measured {
        let Some(accepted_value) = accepted.get(name) else {
            risen.push(format!("{name}: {value:.3}, not in {}", file.display()));
            continue;
        };
        println!("{name}: {value:.3} ({accepted_value:.3} accepted)");
        // NaN means that the value was not counted.
        if value.is_nan() || *value > accepted_value * RISE_FACTOR + RISE_ALLOWANCE {
            risen.push(format!("{name}: {value:.3}, {accepted_value:.3} accepted"));
        }
    }
    Ok(risen)
}
