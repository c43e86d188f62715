//! The meadowrill router, as a state machine without I/O: it takes events and returns actions.
//!
//! [`router`] applies the rules in order, [`interface`] defines events and actions, and [`host`] has helpers for hosts.
//! Each rule has a module of its own:
//!
//! | module | rule |
//! | --- | --- |
//! | `placement` | the order in which caches are preferred for a part of an object: rendezvous hashing |
//! | `source_selection` | which parent a cache fills from |
//! | `tail_retention` | which parts are cached |
//! | `concurrency_limit` | how many attempts and fills may be in flight |
//! | `slow_start` | the load that a recently started endpoint gets |
//! | `fault_attribution` | which endpoint a failure is attributed to |
//! | `outlier_detection` | which endpoints are ejected, and when they get probe requests |
//! | `fill_policy` | how far an attempt may go: to the cache, its parent or the origin |
//! | `retry` | whether another attempt may start, and the retry budget |
//! | `effect_history` | which effects earlier requests may have had |
//! | `deadline` | latency objectives, slack, timeouts |
//! | `freshness` | the oldest copy that may be served |
//! | `size_fairness` | the minimum answered share of the largest requests |
//! | `response` | final answers |
//! | `endpoint` | tiers, draining and removal of endpoints as listed by discovery |
//! | `request_class` | the expected work of a request |
//! | `planning`, `dispatch`, `outcome` | the phases of an attempt; `ended_attempt` classifies its outcome |

mod concurrency_limit;
mod deadline;
mod dispatch;
mod effect_history;
mod ended_attempt;
mod endpoint;
mod estimate;
mod expiring_map;
mod fault_attribution;
mod fill_policy;
mod freshness;
pub mod host;
pub mod interface;
mod outcome;
mod outlier_detection;
mod pending_request;
mod placement;
mod planning;
mod random;
mod request_class;
mod response;
mod retry;
pub mod router;
mod settings;
mod size_fairness;
mod slow_start;
mod source_selection;
mod tail_retention;
mod time;
