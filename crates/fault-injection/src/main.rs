//! Plays scripts of faults against processes of the program.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

use clap::{Parser, Subcommand};
use meadowrill_fault_injection::events::protocol::Sabotage;
use meadowrill_fault_injection::events::run::{play_run, Setup};
use meadowrill_fault_injection::events::scenario::{Length, Scenario, NAMES};
use meadowrill_fault_injection::events::subscribers::hold_subscribers;
use meadowrill_fault_injection::script::{draw, play, shrink, Tools};
use meadowrill_fault_injection::shared::first_wrong;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Duration;

/// Starts fleets of meadowrill on loopback, breaks things between them, and checks what they make of it
#[derive(Debug, Parser)]
#[command(name = "meadowrill-rig", version)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// Play scripts, one after the other
    Play {
        files: Vec<PathBuf>,
        /// Where what a failed run leaves behind is put
        #[arg(long, default_value = "rig-failures")]
        keep: PathBuf,
        /// For builds with the feature `mutants`: the fault to play with
        #[arg(long)]
        mutant: Option<String>,
        /// A program built from an earlier version, for scripts that say `older`
        #[arg(long)]
        older: Option<PathBuf>,
    },
    /// Play broken builds, each with the script that has to fail with it; needs a build with the feature `mutants`
    Mutants {
        /// Lines of a fault and a script beside the list
        #[arg(default_value = "crates/fault-injection/scripts/mutants.list")]
        list: PathBuf,
    },
    /// Run the shared state in one process, by seeds: fails with the first thing that does not hold
    Model {
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// Draw schedules by seeds and play them; one that fails is shrunk and kept
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
    /// Distribute purges through relays to hollow subscribers under a scenario of faults, and check what they recorded
    Events {
        /// One of those that the library names, such as `calm` or `region-cut`
        scenario: String,
        #[arg(long, default_value_t = 300)]
        subscribers: usize,
        /// Processes among which they are shared; one for each thousand if not told
        #[arg(long)]
        processes: Option<usize>,
        #[arg(long, default_value_t = 8)]
        relays: usize,
        /// Purges a second
        #[arg(long, default_value_t = 120)]
        rate: u32,
        /// Seconds of `calm`
        #[arg(long)]
        seconds: Option<u64>,
        /// Short spans, as in tests
        #[arg(long)]
        short: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Subscribers that are broken on purpose
        #[arg(long)]
        sabotage: Option<Sabotage>,
        /// For builds with the feature `mutants`: the fault to play with
        #[arg(long)]
        mutant: Option<String>,
        /// Stands in `events { ... }` of each relay
        #[arg(long, default_value = "")]
        settings: String,
        /// Where the relays' logs are put; nowhere if not told
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Hold hollow subscribers, as the driver of a run says by its standard input
    #[command(hide = true)]
    Subscribers { plan: String },
    /// Run a program that ends when the process of that number does
    #[command(hide = true)]
    Hold {
        parent: i32,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<String>,
    },
}

fn hold(parent: i32, command: &[String]) -> ExitCode {
    use rustix::process::{getppid, set_parent_process_death_signal, Signal};
    // Set before the look: a parent that ended in between is noticed by one or the other.
    let set = set_parent_process_death_signal(Some(Signal::KILL));
    let there = getppid().is_some_and(|pid| pid.as_raw_nonzero().get() == parent);
    if set.is_err() || !there || command.is_empty() {
        return ExitCode::FAILURE;
    }
    eprintln!("{}", Command::new(&command[0]).args(&command[1..]).exec());
    ExitCode::FAILURE
}

fn subscribers(plan: &str) -> ExitCode {
    let held = serde_json::from_str(plan)
        .map_err(std::io::Error::other)
        .and_then(hold_subscribers);
    match held {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("subscribers: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Plays one run; what it found goes to standard output.
fn events(setup: Setup) -> ExitCode {
    let what = format!(
        "{}, {} subscribers, seed {}",
        setup.scenario.name, setup.subscribers, setup.seed
    );
    match play_run(setup) {
        Ok(outcome) => {
            let failures = outcome.failures();
            println!(
                "{what}: {}",
                if failures.is_empty() {
                    "held"
                } else {
                    "did NOT hold"
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
            println!("{what}: could not be played: {e}");
            ExitCode::FAILURE
        }
    }
}

/// How many broken builds were not found.
fn mutants(list: &Path, here: &Path) -> std::io::Result<u32> {
    let mut missed = 0;
    for line in std::fs::read_to_string(list)?
        .lines()
        .filter(|line| !line.starts_with('#'))
    {
        let (mutant, script) = line.split_once(' ').unwrap_or((line, ""));
        if script == "model" {
            let told = Command::new(here)
                .arg("model")
                .env("MEADOWRILL_MUTANT", mutant)
                .output()?;
            let said = String::from_utf8_lossy(&told.stdout).trim().to_string();
            missed += u32::from(told.status.success());
            let found = if told.status.success() {
                "NOT found"
            } else {
                "found"
            };
            println!("{mutant}: {found} by {script}: {said}");
            continue;
        }
        let text = std::fs::read_to_string(list.with_file_name(format!("{script}.txt")))?;
        let tools = Tools {
            mutant: Some(mutant.into()),
            ..Tools::beside(here)
        };
        match play(&text, &tools) {
            Err(failed) if !failed.text.starts_with('+') => {
                println!(
                    "{mutant}: found by {script}, line {}: {}: {}",
                    failed.line, failed.text, failed.why
                );
            }
            Err(failed) => {
                missed += 1;
                println!(
                    "{mutant}: {script} could not be played: {}: {}",
                    failed.text, failed.why
                );
            }
            Ok(_) => {
                missed += 1;
                println!("{mutant}: NOT found by {script}");
            }
        }
    }
    Ok(missed)
}

fn main() -> ExitCode {
    let here = std::env::current_exe().unwrap_or_default();
    let mut bad = 0;
    match Cli::parse().what {
        What::Hold { parent, command } => return hold(parent, &command),
        What::Subscribers { plan } => return subscribers(&plan),
        What::Events {
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
            let mut setup = Setup::new(subscribers, scenario, &here);
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
                keep,
                ..setup
            };
            return events(setup);
        }
        What::Play {
            files,
            keep,
            mutant,
            older,
        } => {
            for file in files {
                let stem = file.file_stem().unwrap_or_default().to_os_string();
                let (keep, mutant, older) = (Some(keep.join(stem)), mutant.clone(), older.clone());
                let tools = Tools {
                    keep,
                    mutant,
                    older,
                    ..Tools::beside(&here)
                };
                let played = std::fs::read_to_string(&file).map(|text| play(&text, &tools));
                match played {
                    Ok(Ok(figures)) => {
                        println!("{}: held", file.display());
                        figures
                            .iter()
                            .for_each(|(what, figure)| println!("  {what}: {figure:.3}"));
                    }
                    Ok(Err(failed)) => {
                        bad += 1;
                        println!(
                            "{}, line {}: {}: {}",
                            file.display(),
                            failed.line,
                            failed.text,
                            failed.why
                        );
                    }
                    Err(e) => {
                        bad += 1;
                        println!("{}: {e}", file.display());
                    }
                }
            }
        }
        What::Mutants { list } => match mutants(&list, &here) {
            Ok(missed) => bad += missed,
            Err(e) => {
                bad += 1;
                println!("{}: {e}", list.display());
            }
        },
        What::Model { seeds } => {
            if let Some(wrong) = first_wrong(seeds) {
                bad += 1;
                println!("{wrong}");
            }
        }
        What::Draw {
            seed,
            runs,
            fronts,
            keep,
        } => {
            for seed in seed..seed + runs {
                let text = draw(seed, fronts);
                let tools = Tools {
                    keep: Some(keep.join(seed.to_string())),
                    ..Tools::beside(&here)
                };
                let Err(failed) = play(&text, &tools) else {
                    println!("seed {seed}: held");
                    continue;
                };
                bad += 1;
                println!(
                    "seed {seed}, line {}: {}: {}",
                    failed.line, failed.text, failed.why
                );
                let quiet = Tools::beside(&here);
                let short = shrink(&text, |text| play(text, &quiet).is_err());
                let at = keep.join(format!("{seed}.txt"));
                match std::fs::write(&at, &short) {
                    Ok(()) => println!("shrunk, in {}:\n{short}", at.display()),
                    Err(e) => println!("{}: {e}\n{short}", at.display()),
                }
            }
        }
    }
    if bad == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
