//! Stand-ins for all that the program talks to, written from the pages of its protocol: scripted clients, caches,
//! parent and origin, the journal service, and the program itself as a child. Loopback only; each ends with the
//! process that began it. What goes wrong in a stand-in is a panic: it is a fault of the test.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
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

pub use cache::{header, ok, says, Cache, Does, Seen};
pub use client::{ask, fields, frame, Client, Frame};
pub use journal::{hosts, Journal};
pub use observed::Observed;
pub use peer::{Peer, Talk};
pub use program::{config, member, Program, Site};

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Turns a hang into a failure; whatever arrives ends the wait before.
pub const HANG: Duration = Duration::from_secs(20);
/// The object that is asked for where nothing else is told.
pub const OBJECT: &str = "7f3a9c21e0b4d655";

/// How often a condition is looked at that is waited for.
const LOOK: Duration = Duration::from_millis(2);

/// Waits until a condition holds; one that does not hold within `most` is a fault of what is tested.
#[track_caller]
pub fn until(most: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + most;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        thread::sleep(LOOK);
    }
}

pub fn now_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}
