//! Network connections, grouped by the kind of peer, and the code that they share.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `clients` | client connections: receives requests and sends one response to each |
//! | `endpoints` | connections to caches, parents and the origin: the connection pool and the attempts in flight |
//! | `discovery` | the connection to the discovery service: endpoint list and invalidations |
//! | `peers`, `datagrams`, `streams`, `subscription` | traffic with other members of the fleet and with relays |
//! | `operators` | the local socket for operator commands |
//! | `poll` | readiness notification and registration of connections |
//! | `buffered_stream` | a non-blocking stream with a bounded buffer in each direction |
//! | `attempt_error` | how far a failed attempt progressed, and whether it may have run |
//! | `syscalls` | counters of system calls and of copied bytes |

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
