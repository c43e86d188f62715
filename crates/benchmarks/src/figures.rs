//! Benchmark figures, checked against their goals.

use std::fmt;
use std::process::ExitCode;

/// The bound that a figure is checked against.
#[derive(Clone, Copy, Debug)]
pub enum Goal {
    AtLeast(f64),
    AtMost(f64),
    /// No bound: the figure is printed for comparison.
    Baseline,
}

impl Goal {
    fn met(self, value: f64) -> bool {
        // NaN meets neither bound.
        match self {
            Goal::AtLeast(bound) => value >= bound,
            Goal::AtMost(bound) => value <= bound,
            Goal::Baseline => true,
        }
    }
}

impl fmt::Display for Goal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Goal::AtLeast(bound) => write!(f, "at least {bound}"),
            Goal::AtMost(bound) => write!(f, "at most {bound}"),
            Goal::Baseline => write!(f, "beside it"),
        }
    }
}

/// Prints figures and collects the names of those that miss their goals.
#[derive(Debug, Default)]
pub struct Figures {
    missed: Vec<String>,
}

impl Figures {
    /// Prints a figure with its goal; a figure that does not meet its goal is recorded as missed.
    pub fn report(&mut self, name: &str, value: f64, goal: Goal) {
        let missed = !goal.met(value);
        println!(
            "{name}: {value:.4} ({goal}){}",
            if missed { " MISSED" } else { "" }
        );
        if missed {
            self.missed.push(name.to_string());
        }
    }

    /// Prints the names of the missed figures; the exit code is a failure if there are any.
    pub fn finish(self) -> ExitCode {
        if self.missed.is_empty() {
            return ExitCode::SUCCESS;
        }
        eprintln!("missed: {}", self.missed.join(", "));
        ExitCode::FAILURE
    }
}
