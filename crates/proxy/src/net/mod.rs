//! Connections by peer, and what they share.
//!
//! | module | job |
//! | --- | --- |
//! | `clients` | client connections: requests in, one response each |
//! | `endpoints` | connections to caches, parents and the origin: the pool, and attempts in flight |
//! | `discovery` | the discovery service: endpoint list and invalidations |
//! | `peers`, `datagrams`, `streams`, `subscription` | other members of the fleet, and relays |
//! | `operators` | the operators' local socket |
//! | `poll` | what is ready, and new connections |
//! | `buffered_stream` | a non-blocking stream with a bounded buffer in each direction |
//! | `attempt_error` | how far a failed attempt came, and what that proves |
//! | `syscalls` | counters of system calls and copied bytes |

pub(crate) mod attempt_error;
pub(crate) mod buffered_stream;
pub(crate) mod clients;
pub(crate) mod datagrams;
pub(crate) mod discovery;
pub(crate) mod endpoints;
pub(crate) mod operators;
pub(crate) mod peers;
pub(crate) mod poll;
pub(crate) mod streams;
pub(crate) mod subscription;
pub(crate) mod syscalls;

pub(crate) use self::attempt_error::{AttemptError, Cause, Progress};
pub(crate) use self::buffered_stream::BufferedStream;
pub(crate) use self::poll::{Key, Poll, ReadyEvents};

#[cfg(test)]
mod recorded;
