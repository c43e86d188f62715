//! Distribution of numbered events from one publisher through relays to all subscribers. The publisher reports when an
//! event is in force everywhere: from then on, no subscriber serves a copy that the event invalidates. The modules take
//! datagrams and the time as input, return datagrams and other outputs, and use neither I/O nor a clock
//! (docs/event-distribution.md).
//!
//! - [`publisher::Publisher`] numbers events and determines up to which position they are in force everywhere.
//! - [`relay::Relay`] follows the publisher or another relay, and serves subscribers.
//! - [`subscriber::Subscriber`] follows one relay, applies events and knows whether it holds a lease.
//!
//! They are built from these modules:
//!
//! | module | purpose |
//! | --- | --- |
//! | `distributor` | the serving side of publisher and relay: subscriptions, admission, batches, snapshots, leases |
//! | `lease_table` | granted leases, and the minimum position that their holders have applied |
//! | `event_log` | the window of batches, and the purges in force |
//! | `purge_set` | the purges in force, merged by key and bounded |
//! | `reorder_buffer`, `snapshot_fetch` | batches and snapshot parts that arrive out of order |
//! | `wire`, `event_codec`, `timestamp` | datagrams, encoded events, rounding of timestamps |
//! | `token_bucket`, `jitter` | rate limits and seeded random delays |
//! | `settings` | settings of an installation and their bounds |
//! | `output`, `status`, `counters` | actions for the host, state for operators, counters |

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
