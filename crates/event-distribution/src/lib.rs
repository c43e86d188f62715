//! Distribution of numbered events from one publisher through relays to every subscriber, with proof that they are in
//! force everywhere. Datagrams and time in, datagrams and outputs out; no I/O and no clock (docs/event-distribution.md).
//!
//! - [`publisher::Publisher`] numbers events and knows up to which one they are in force everywhere.
//! - [`relay::Relay`] follows the publisher, or another relay, and feeds subscribers.
//! - [`subscriber::Subscriber`] follows one relay, applies events and knows whether it holds a lease.
//!
//! Below them:
//!
//! | module | job |
//! | --- | --- |
//! | `distributor` | the feeding side of publisher and relay: subscriptions, admission, batches, snapshots, leases |
//! | `lease_table` | leases granted, and the least position that their holders have applied |
//! | `event_log` | the window of batches, and the purges in force behind it |
//! | `purge_set` | the purges in force, merged by key and bounded |
//! | `reorder_buffer`, `snapshot_fetch` | what arrives out of order |
//! | `wire`, `event_codec`, `timestamp` | datagrams, packed events, rounding of timestamps |
//! | `token_bucket`, `jitter` | rates, and pauses drawn by a seed |
//! | `settings` | what an installation sets, with bounds |
//! | `output`, `status`, `counters` | what a host carries out, shows and counts |

pub mod counters;
mod distributor;
pub mod event;
pub mod event_codec;
pub mod event_log;
mod jitter;
mod lease_table;
pub mod output;
pub mod publisher;
pub mod purge_set;
pub mod relay;
mod reorder_buffer;
pub mod settings;
mod snapshot_fetch;
pub mod status;
pub mod subscriber;
pub mod time;
mod timestamp;
mod token_bucket;
pub mod wire;

pub use meadowrill_membership::mutant;
pub use time::Micros;
