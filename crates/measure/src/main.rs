//! `measure AREA`: lines `name: value (goal)`; exit code 1 when a goal is missed. Long, so not part of the tests.

mod figures;
mod path;
mod turns;

use clap::{Parser, ValueEnum};
use figures::Figures;
use std::process::ExitCode;

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Area {
    Path,
    Turns,
}

#[derive(Debug, Parser)]
#[command(name = "measure")]
struct Cli {
    area: Area,
}

fn main() -> ExitCode {
    let mut figures = Figures::default();
    match Cli::parse().area {
        Area::Path => path::measure(&mut figures),
        Area::Turns => turns::measure(&mut figures),
    }
    figures.end()
}
