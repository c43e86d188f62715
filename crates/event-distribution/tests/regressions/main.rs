//! Regression tests for faults that were found by code review or by random schedules. Each test reproduces its fault
//! with as few datagrams as possible.

mod fixtures;
#[path = "../simulation/mod.rs"]
mod simulation;

mod batches;
mod leases;
mod publisher;
mod purges;
mod relay_selection;
mod snapshots;
