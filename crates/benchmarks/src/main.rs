//! `measure AREA`: lines `name: value (goal)`; exit code 1 when a goal is missed. Long, so not part of the tests, but for
//! `measure guard`.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

use clap::{Parser, Subcommand};
use meadowrill_benchmarks::figures::Figures;
use meadowrill_benchmarks::{events, fleet, guard, path, replica, turns};
use std::path::PathBuf;
use std::process::{Command, ExitCode};

#[derive(Debug, Subcommand)]
enum Area {
    /// Distribution of purges through relays to hollow subscribers: growth, scenarios of faults, a full window
    Events {
        /// Only this many subscribers, at each scenario
        #[arg(long)]
        subscribers: Option<usize>,
        /// Only this scenario
        #[arg(long)]
        scenario: Option<String>,
    },
    /// The view of the fleet: in one process up to 1,000 members, and with processes of the program
    Fleet {
        /// Processes of the program
        #[arg(long, default_value_t = 64)]
        fronts: usize,
        /// Only with processes, not the long models
        #[arg(long, conflicts_with = "models")]
        processes: bool,
        /// Only the long models
        #[arg(long)]
        models: bool,
    },
    /// What a hit costs
    Path,
    /// What the fronts share: in one process and with processes of the program
    Replica {
        /// Random schedules in one process
        #[arg(long, default_value_t = 1000)]
        schedules: u64,
    },
    /// What each role's costs grow to at the size that is planned for (docs/CAPACITY.md)
    Scale {
        /// Options of the `scale` program
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        options: Vec<String>,
    },
    /// Fair turns at the door
    Turns,
    /// Fails when a count of the ordinary path has risen by more than ten percent
    Guard {
        /// Accepted counts
        #[arg(long, default_value = "crates/benchmarks/counts.txt")]
        file: PathBuf,
        /// Writes the file anew: for a rise that is meant
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

/// The program beside this one whose allocator counts: that would weigh on the figures of other areas.
fn scale(options: &[String]) -> ExitCode {
    let here = std::env::current_exe().unwrap_or_default();
    match Command::new(here.with_file_name("scale"))
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
            fronts,
            processes,
            models,
        } => {
            if !processes {
                fleet::model(&mut figures);
            }
            if !models {
                fleet::processes(&mut figures, fronts);
            }
        }
        Area::Replica { schedules } => replica::measure(&mut figures, schedules),
        Area::Path => path::measure(&mut figures),
        Area::Scale { options } => return scale(&options),
        Area::Turns => turns::measure(&mut figures),
        Area::Guard { file, accept } => match guard::guard(&file, accept) {
            Ok(risen) if risen.is_empty() => return ExitCode::SUCCESS,
            Ok(risen) => {
                eprintln!("risen by more than ten percent:\n{}", risen.join("\n"));
                eprintln!("where that is meant: target/release/measure guard --accept");
                return ExitCode::FAILURE;
            }
            Err(what) => {
                eprintln!("measure: {what}");
                return ExitCode::FAILURE;
            }
        },
    }
    figures.end()
}
