//! The decisions of the meadowrill router, as a state machine without I/O: events in, actions out.
//!
//! [`router`] says in which order the rules are asked, [`interface`] what goes in and out, [`host`] helps hosts. Each
//! rule stands in a module of its own:
//!
//! | module | rule |
//! | --- | --- |
//! | `placement` | the order of caches for a part of an object: rendezvous hashing |
//! | `source_selection` | which parent a cache fills from |
//! | `tail_retention` | which parts are cached |
//! | `concurrency_limit` | how much may be in flight |
//! | `slow_start` | what an endpoint gets that came up a short while ago |
//! | `fault_attribution` | who is to blame for an outcome |
//! | `outlier_detection` | who is ejected, when a probe request goes out |
//! | `fill_policy` | how far an attempt may go |
//! | `retry` | whether another attempt may go out, and who pays for it |
//! | `deadline` | latency objectives, slack, timeouts |
//! | `freshness` | the oldest copy that will do |
//! | `size_fairness` | the floor of the largest requests |
//! | `response` | final answers |
//! | `endpoint` | tiers, drains and removals as discovery lists them |
//! | `request_class` | what work a request is expected to bring |
//! | `planning`, `dispatch`, `outcome` | the phases of an attempt; `ended_attempt` says what an outcome means |

mod concurrency_limit;
mod deadline;
mod dispatch;
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
