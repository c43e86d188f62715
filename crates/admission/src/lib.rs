//! Admission control and fair queueing in front of the decision module: which lookup is next, which one waits, and
//! which one is rejected and until when. No I/O and no clock: the time is passed in, randomness comes from a seed.
//!
//! A host calls [`AdmissionController::admit`](controller::AdmissionController::admit) for each lookup that it reads,
//! reports its end with `complete` or `cancel`, and carries out the events that `poll` returns.

#![allow(
    clippy::missing_errors_doc,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

pub mod concurrency_limit;
pub mod config;
pub mod controller;
pub mod cost;
pub mod fair_queue;
pub mod heavy_hitters;
pub mod identity;
pub mod report;
pub mod request;
pub mod reservations;
pub mod slab;
pub mod timer_wheel;
pub mod token_buckets;
