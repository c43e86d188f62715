//! Measures how costs grow: each cost is measured at several sizes, fitted, and extrapolated to the planned size.
//!
//! Each module that measures returns its slopes, which are printed, written to a Parquet file and plotted.

mod decisions;
pub mod fit;
mod journal;
pub mod meter;
mod module;
pub mod plot;
mod process;
pub mod results;
mod scenario;
mod shared;
mod sockets;
mod target;
mod view;

use clap::{Parser, ValueEnum};
use meter::AllocatedBytes;
use results::Slope;
use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::time::Instant;

/// A part of the measurements that can be run alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Membership
    View,
    /// Replicated state, and purges distributed as rumors
    Shared,
    /// Endpoint lists and purges from the journal service
    Journal,
    /// Load of all proxies on a cold cache
    Cold,
    /// Probe requests of all proxies to a dead cache
    Trials,
    /// Connections, the cost of a hit, and metrics
    Hits,
    /// Memory of the router
    Module,
    /// Reloads of a changed configuration
    Configuration,
}

impl Part {
    fn measure(self, allocated_bytes: AllocatedBytes) -> Vec<Slope> {
        match self {
            Part::View => view::measure(allocated_bytes),
            Part::Shared => shared::measure(allocated_bytes),
            Part::Journal => journal::measure(),
            Part::Cold => decisions::cold(),
            Part::Trials => decisions::dead(),
            Part::Hits => sockets::hits(),
            Part::Module => module::measure(allocated_bytes),
            Part::Configuration => sockets::reloads(),
        }
    }
}

#[derive(Debug, Parser)]
#[command(name = "scale")]
pub struct Options {
    /// Folder for the Parquet file and the plots
    #[arg(long, default_value = "target/scale")]
    out: PathBuf,
    /// Run these parts only
    #[arg(long, value_enum, value_delimiter = ',')]
    only: Vec<Part>,
}

/// Measures, prints, and writes `slopes.parquet` and a plot for each slope.
pub fn run(options: &Options, allocated_bytes: AllocatedBytes) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(&options.out)?;
    let selected = |part: &&Part| options.only.is_empty() || options.only.contains(part);
    let mut slopes = Vec::new();
    for part in Part::value_variants().iter().filter(selected) {
        let started_at = Instant::now();
        let measured = part.measure(allocated_bytes);
        measured.iter().for_each(|slope| println!("{slope}"));
        println!(
            "{part:?} took {:.0} s of wall clock",
            started_at.elapsed().as_secs_f64()
        );
        slopes.extend(measured);
    }
    results::write_parquet(&options.out.join("slopes.parquet"), &slopes)?;
    for slope in &slopes {
        plot::draw(&options.out, slope)?;
    }
    Ok(())
}
