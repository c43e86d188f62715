//! Figures with their goals.

use std::fmt;
use std::process::ExitCode;

#[derive(Clone, Copy, Debug)]
pub enum Goal {
    AtLeast(f64),
    AtMost(f64),
    /// Told beside the others, to compare with.
    Baseline,
}

impl Goal {
    fn met(self, value: f64) -> bool {
        // What is not a number meets no goal.
        match self {
            Goal::AtLeast(least) => value >= least,
            Goal::AtMost(most) => value <= most,
            Goal::Baseline => true,
        }
    }
}

impl fmt::Display for Goal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Goal::AtLeast(least) => write!(f, "at least {least}"),
            Goal::AtMost(most) => write!(f, "at most {most}"),
            Goal::Baseline => write!(f, "beside it"),
        }
    }
}

#[derive(Debug, Default)]
pub struct Figures {
    missed: Vec<String>,
}

impl Figures {
    pub fn tell(&mut self, name: &str, value: f64, goal: Goal) {
        let missed = !goal.met(value);
        println!(
            "{name}: {value:.4} ({goal}){}",
            if missed { " MISSED" } else { "" }
        );
        if missed {
            self.missed.push(name.to_string());
        }
    }

    pub fn end(self) -> ExitCode {
        if self.missed.is_empty() {
            return ExitCode::SUCCESS;
        }
        eprintln!("missed: {}", self.missed.join(", "));
        ExitCode::FAILURE
    }
}
