//! Admission control and fair queueing in front of the routing crate: which request is next, which one waits, and which
//! one is rejected and until when (docs/admission-control.md). No I/O and no clock: the time is passed in, randomness comes from a seed.
//!
//! A host calls [`AdmissionController::admit`](controller::AdmissionController::admit) for each request that it reads,
//! reports its end with `complete` or `cancel`, and carries out the events that `poll` returns.
//!
//! - [`controller`]: the order in which the rules are applied to a request;
//! - [`identity`], [`cost`], [`token_buckets`]: whose it is, what it costs, and a plain rate limit to compare with;
//! - [`fair_queue`], [`heavy_hitters`]: which request is next, and which clients get queues of their own;
//! - [`concurrency_limit`]: how many requests may be in flight;
//! - [`reservations`]: when a rejected client may return;
//! - [`slab`], [`timer_wheel`]: the containers that they are made of;
//! - [`config`], [`request`], [`report`]: what goes in and comes out.

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
