//! Test servers for every peer of the proxy, written from the protocol documentation: scripted clients, caches, parent
//! and origin, the journal service, and the proxy itself as a child process. They use loopback addresses only and end
//! with the process that started them. An unexpected condition in a test server is a panic, because it is an error of
//! the test.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::too_many_lines,
    reason = "documentation, error sections and function lengths are incomplete in this crate"
)]

pub mod cache;
pub mod client;
pub mod demo;
pub mod journal;
pub mod load;
pub mod observed;
pub mod peer;
pub mod program;
pub mod service;

pub use cache::{header, http_response, ok, Cache, CacheBehavior, CacheEvent};
pub use client::{fields, frame, request_frame, Client, Frame};
pub use journal::{hosts_event, Journal};
pub use observed::ObservedProxy;
pub use peer::{PeerConnection, ScriptedPeer};
pub use program::{config, member, Program, Site};

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Limit of every wait for an expected input: a hang becomes a test failure.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);
/// The object of requests that name no other.
pub const OBJECT: &str = "7f3a9c21e0b4d655";

/// Interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until a condition holds; panics if it does not hold within `timeout`.
#[track_caller]
pub fn wait_until(timeout: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + timeout;
    while !holds() {
        assert!(
            Instant::now() < end,
            "condition did not hold within {timeout:?}: {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}
