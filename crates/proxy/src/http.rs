//! The HTTP/1.1 spoken with caches, parents and the origin: requests to bytes and bytes to responses, no I/O.
//!
//! The wire's names of headers and modes stand in `request` and `response` and nowhere past them.

mod request;
mod response;

pub(crate) use self::request::Request;
pub(crate) use self::response::{parse_response, Response, ResponseError};

/// The longest head of a response, in bytes.
pub(crate) const MAX_HEAD: usize = 16_384;
/// The longest body of a response, in bytes.
pub(crate) const MAX_BODY: usize = 240_000;
/// Interim responses that may come before the one that counts.
pub(crate) const MAX_INTERIM: u32 = 8;

#[cfg(test)]
mod tests;
