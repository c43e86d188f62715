//! Command line of the fault-injection tool: plays scripts of faults against processes of the program.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "some items have no docs, and some functions are long"
)]

use clap::{Parser, Subcommand};
use meadowrill_fault_injection::events::protocol::Sabotage;
use meadowrill_fault_injection::events::run::{play_run, Setup};
use meadowrill_fault_injection::events::scenario::{Length, Scenario, NAMES};
use meadowrill_fault_injection::events::subscribers;
use meadowrill_fault_injection::script::{draw, play, shrink, Tools};
use meadowrill_fault_injection::shared::first_violation;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Duration;

/// Starts fleets of meadowrill on loopback, injects faults, and checks how the fleets react
#[derive(Debug, Parser)]
#[command(name = "meadowrill-rig", version)]
struct Cli {
    #[command(subcommand)]
    subcommand: Subcommands,
}

#[derive(Debug, Subcommand)]
enum Subcommands {
    /// Play scripts one after the other
    Play {
        files: Vec<PathBuf>,
        /// Folder for the logs and the timeline of each failed run
        #[arg(long, default_value = "rig-failures")]
        keep: PathBuf,
        /// Mutant to activate, in builds with the feature `mutants`
        #[arg(long)]
        mutant: Option<String>,
        /// Program of an earlier version, for scripts with the line `older`
        #[arg(long)]
        older: Option<PathBuf>,
    },
    /// Play each mutant with the script that has to fail for it; needs a build with the feature `mutants`
    Mutants {
        /// File with one mutant and one script per line; the scripts lie in the same folder
        #[arg(default_value = "crates/fault-injection/scripts/mutants.list")]
        list: PathBuf,
    },
    /// Simulate the shared state in one process for each seed; fails at the first property that is violated
    Model {
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// Generate random schedules from seeds and play them; one that fails is shrunk and stored
    Draw {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 1)]
        runs: u64,
        #[arg(long, default_value_t = 8)]
        fronts: usize,
        #[arg(long, default_value = "rig-failures")]
        keep: PathBuf,
    },
    /// Distribute purges through relays to simulated subscribers under a fault scenario, and check what they recorded
    Events {
        /// Name of a scenario, such as `calm` or `region-cut`
        scenario: String,
        #[arg(long, default_value_t = 300)]
        subscribers: usize,
        /// Processes that share the subscribers; by default one per thousand
        #[arg(long)]
        processes: Option<usize>,
        #[arg(long, default_value_t = 8)]
        relays: usize,
        /// Purges per second
        #[arg(long, default_value_t = 120)]
        rate: u32,
        /// Duration of `calm` in seconds
        #[arg(long)]
        seconds: Option<u64>,
        /// Use the short durations of the tests
        #[arg(long)]
        short: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Break the subscribers on purpose in this way
        #[arg(long)]
        sabotage: Option<Sabotage>,
        /// Mutant to activate, in builds with the feature `mutants`
        #[arg(long)]
        mutant: Option<String>,
        /// Additional settings in `events { ... }` of each relay
        #[arg(long, default_value = "")]
        settings: String,
        /// Folder for the relays' logs; by default they are not stored
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Run simulated subscribers; the driver of the run controls them through standard input
    #[command(hide = true)]
    Subscribers { plan: String },
    /// Run a program that is killed when the process with this number ends
    #[command(hide = true)]
    Hold {
        parent: i32,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<String>,
    },
}

fn exec_bound_to_parent(parent: i32, command: &[String]) -> ExitCode {
    use rustix::process::{getppid, set_parent_process_death_signal, Signal};
    // The signal is set before the check, so that a parent that ends in between is noticed by one of them.
    let set = set_parent_process_death_signal(Some(Signal::KILL));
    let parent_is_alive = getppid().is_some_and(|pid| pid.as_raw_nonzero().get() == parent);
    if set.is_err() || !parent_is_alive || command.is_empty() {
        return ExitCode::FAILURE;
    }
    eprintln!("{}", Command::new(&command[0]).args(&command[1..]).exec());
    ExitCode::FAILURE
}

fn run_subscribers(plan: &str) -> ExitCode {
    let result = serde_json::from_str(plan)
        .map_err(std::io::Error::other)
        .and_then(subscribers::run_subscribers);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("subscribers: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Plays one run and prints its failures and figures.
fn run_events(setup: Setup) -> ExitCode {
    let description = format!(
        "{}, {} subscribers, seed {}",
        setup.scenario.name, setup.subscribers, setup.seed
    );
    match play_run(setup) {
        Ok(outcome) => {
            let failures = outcome.failures();
            println!(
                "{description}: {}",
                if failures.is_empty() {
                    "passed"
                } else {
                    "FAILED"
                }
            );
            failures.iter().for_each(|failure| println!("  {failure}"));
            outcome
                .figures()
                .iter()
                .for_each(|(name, value)| println!("  {name}: {value:.3}"));
            ExitCode::from(u8::from(!failures.is_empty()))
        }
        Err(e) => {
            println!("{description}: could not be played: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Plays all mutants of the list and returns how many were not detected.
fn run_mutants(list: &Path, rig_program: &Path) -> std::io::Result<u32> {
    let mut undetected = 0;
    for line in std::fs::read_to_string(list)?
        .lines()
        .filter(|line| !line.starts_with('#'))
    {
        let (mutant, script) = line.split_once(' ').unwrap_or((line, ""));
        if script == "model" {
            let output = Command::new(rig_program)
                .arg("model")
                .env("MEADOWRILL_MUTANT", mutant)
                .output()?;
            let report = String::from_utf8_lossy(&output.stdout).trim().to_string();
            undetected += u32::from(output.status.success());
            let verdict = if output.status.success() {
                "NOT detected"
            } else {
                "detected"
            };
            println!("{mutant}: {verdict} by {script}: {report}");
            continue;
        }
        let text = std::fs::read_to_string(list.with_file_name(format!("{script}.txt")))?;
        let tools = Tools {
            mutant: Some(mutant.into()),
            ..Tools::beside(rig_program)
        };
        match play(&text, &tools) {
            Err(failure) if !failure.step.starts_with('+') => {
                println!(
                    "{mutant}: detected by {script}, line {}: {}: {}",
                    failure.line, failure.step, failure.reason
                );
            }
            Err(failure) => {
                undetected += 1;
                println!(
                    "{mutant}: {script} could not be played: {}: {}",
                    failure.step, failure.reason
                );
            }
            Ok(_) => {
                undetected += 1;
                println!("{mutant}: NOT detected by {script}");
            }
        }
    }
    Ok(undetected)
}

fn main() -> ExitCode {
    let rig_program = std::env::current_exe().unwrap_or_default();
    let mut failure_count = 0;
    match Cli::parse().subcommand {
        Subcommands::Hold { parent, command } => return exec_bound_to_parent(parent, &command),
        Subcommands::Subscribers { plan } => return run_subscribers(&plan),
        Subcommands::Events {
            scenario,
            subscribers,
            processes,
            relays,
            rate,
            seconds,
            short,
            seed,
            sabotage,
            mutant,
            settings,
            keep,
        } => {
            let length = if short { Length::Short } else { Length::Full };
            let Some(mut scenario) = Scenario::named(&scenario, length, relays) else {
                eprintln!("{scenario}: one of {}", NAMES.join(", "));
                return ExitCode::FAILURE;
            };
            if let Some(seconds) = seconds {
                scenario.calm_after = Duration::from_secs(seconds);
            }
            let mut setup = Setup::new(subscribers, scenario, &rig_program);
            setup.processes = processes.unwrap_or(setup.processes);
            setup = Setup {
                relays,
                purges_per_s: rate,
                seed,
                sabotage,
                mutant,
                ..setup
            };
            setup = Setup {
                relay_settings: settings,
                log_directory: keep,
                ..setup
            };
            return run_events(setup);
        }
        Subcommands::Play {
            files,
            keep,
            mutant,
            older,
        } => {
            for file in files {
                let stem = file.file_stem().unwrap_or_default().to_os_string();
                let (artifact_dir, mutant, older) =
                    (Some(keep.join(stem)), mutant.clone(), older.clone());
                let tools = Tools {
                    artifact_dir,
                    mutant,
                    older,
                    ..Tools::beside(&rig_program)
                };
                let result = std::fs::read_to_string(&file).map(|text| play(&text, &tools));
                match result {
                    Ok(Ok(figures)) => {
                        println!("{}: passed", file.display());
                        figures.iter().for_each(|(description, figure)| {
                            println!("  {description}: {figure:.3}")
                        });
                    }
                    Ok(Err(failure)) => {
                        failure_count += 1;
                        println!(
                            "{}, line {}: {}: {}",
                            file.display(),
                            failure.line,
                            failure.step,
                            failure.reason
                        );
                    }
                    Err(e) => {
                        failure_count += 1;
                        println!("{}: {e}", file.display());
                    }
                }
            }
        }
        Subcommands::Mutants { list } => match run_mutants(&list, &rig_program) {
            Ok(undetected) => failure_count += undetected,
            Err(e) => {
                failure_count += 1;
                println!("{}: {e}", list.display());
            }
        },
        Subcommands::Model { seeds } => {
            if let Some(violation) = first_violation(seeds) {
                failure_count += 1;
                println!("{violation}");
            }
        }
        Subcommands::Draw {
            seed,
            runs,
            fronts,
            keep,
        } => {
            for seed in seed..seed + runs {
                let text = draw(seed, fronts);
                let tools = Tools {
                    artifact_dir: Some(keep.join(seed.to_string())),
                    ..Tools::beside(&rig_program)
                };
                let Err(failure) = play(&text, &tools) else {
                    println!("seed {seed}: passed");
                    continue;
                };
                failure_count += 1;
                println!(
                    "seed {seed}, line {}: {}: {}",
                    failure.line, failure.step, failure.reason
                );
                let tools_without_artifacts = Tools::beside(&rig_program);
                let short = shrink(&text, |text| play(text, &tools_without_artifacts).is_err());
                let path = keep.join(format!("{seed}.txt"));
                match std::fs::write(&path, &short) {
                    Ok(()) => println!("shrunk to {}:\n{short}", path.display()),
                    Err(e) => println!("{}: {e}\n{short}", path.display()),
                }
            }
        }
    }
    if failure_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
