//! `measure AREA` prints lines `name: value (goal)` and exits with code 1 when a goal is missed. It takes long, so only
//! `measure guard` is part of the tests.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "some items have no docs, and some functions are long"
)]

use clap::{Parser, Subcommand};
use meadowrill_benchmarks::figures::Figures;
use meadowrill_benchmarks::{admission, events, fleet, guard, path, replica};
use std::path::PathBuf;
use std::process::{Command, ExitCode};

#[derive(Debug, Subcommand)]
enum Area {
    /// Distribution of purges through relays to simulated subscribers: growth, fault scenarios, a full window
    Events {
        /// Run each scenario with this number of subscribers only
        #[arg(long)]
        subscribers: Option<usize>,
        /// Run this scenario only
        #[arg(long)]
        scenario: Option<String>,
    },
    /// Membership: models of up to 1,000 members in one process, and processes of the program
    Fleet {
        /// Number of processes of the program
        #[arg(long = "fronts", value_name = "FRONTS", default_value_t = 64)]
        proxies: usize,
        /// Run the processes only, not the models, which take long
        #[arg(long, conflicts_with = "models")]
        processes: bool,
        /// Run the models only
        #[arg(long)]
        models: bool,
    },
    /// The cost of a cache hit
    Path,
    /// State that proxies share: models in one process, and processes of the program
    Replica {
        /// Number of random schedules of the model
        #[arg(long, default_value_t = 1000)]
        schedules: u64,
    },
    /// Growth of each role's costs, extrapolated to the planned size (docs/CAPACITY.md)
    Scale {
        /// Options of the `scale` program
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        options: Vec<String>,
    },
    /// Fair queueing in admission control
    #[command(name = "turns")]
    Admission,
    /// Fails when a counted cost of a cache hit has risen by more than ten percent
    Guard {
        /// File with the accepted counts
        #[arg(long, default_value = "crates/benchmarks/counts.txt")]
        file: PathBuf,
        /// Rewrite the file, for an intended rise
        #[arg(long)]
        accept: bool,
    },
}

#[derive(Debug, Parser)]
#[command(name = "measure")]
struct Cli {
    #[command(subcommand)]
    area: Area,
}

/// Runs the program `scale` next to this one. It is a separate program because its counting allocator would affect the
/// figures of other areas.
fn run_scale(options: &[String]) -> ExitCode {
    let own_path = std::env::current_exe().unwrap_or_default();
    match Command::new(own_path.with_file_name("scale"))
        .args(options)
        .status()
    {
        Ok(status) if status.success() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("measure: scale: {e}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let mut figures = Figures::default();
    match Cli::parse().area {
        Area::Events {
            subscribers,
            scenario,
        } => {
            events::measure(&mut figures, subscribers, scenario.as_deref());
        }
        Area::Fleet {
            proxies,
            processes,
            models,
        } => {
            if !processes {
                fleet::model(&mut figures);
            }
            if !models {
                fleet::processes(&mut figures, proxies);
            }
        }
        Area::Replica { schedules } => replica::measure(&mut figures, schedules),
        Area::Path => path::measure(&mut figures),
        Area::Scale { options } => return run_scale(&options),
        Area::Admission => admission::measure(&mut figures),
        Area::Guard { file, accept } => match guard::check(&file, accept) {
            Ok(risen) if risen.is_empty() => return ExitCode::SUCCESS,
            Ok(risen) => {
                eprintln!(
                    "counts that have risen by more than ten percent:\n{}",
                    risen.join("\n")
                );
                eprintln!("to accept an intended rise: target/release/measure guard --accept");
                return ExitCode::FAILURE;
            }
            Err(error) => {
                eprintln!("measure: {error}");
                return ExitCode::FAILURE;
            }
        },
    }
    figures.finish()
}
