//! Faults that were found by reading or by drawn schedules, each in as few datagrams as show it.

mod fixtures;
#[path = "../simulation/mod.rs"]
mod simulation;

mod batches;
mod leases;
mod publisher;
mod purges;
mod relay_selection;
mod snapshots;
