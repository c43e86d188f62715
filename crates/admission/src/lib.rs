//! Admission control and weighted fair queueing in front of the routing crate. This crate decides which request is
//! admitted next, which requests wait, and which are rejected and when their clients may retry
//! (docs/admission-control.md). It does no I/O and reads no clock: the current time is passed in, and randomness is
//! derived from a seed.
//!
//! A host calls [`AdmissionController::admit`](controller::AdmissionController::admit) for each request that it reads,
//! reports the end of the request with `complete` or `cancel`, and carries out the events that `poll` returns.
//!
//! - [`controller`]: applies the rules of admission to each request;
//! - [`identity`], [`cost`], [`token_buckets`]: the tenant and client of a request, the cost of a request, and a plain
//!   rate limit that serves as a baseline for comparison;
//! - [`fair_queue`], [`heavy_hitters`]: the order of waiting requests, and the clients that get a flow of their own;
//! - [`concurrency_limit`]: the number of requests that may be in flight;
//! - [`reservations`]: when a rejected client may return;
//! - [`slab`], [`timer_wheel`]: containers that the other modules are built on;
//! - [`config`], [`request`], [`report`]: the inputs and outputs of the crate.

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
