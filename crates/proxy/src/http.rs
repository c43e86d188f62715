//! The HTTP/1.1 codec for caches, parents and the origin: it encodes requests and parses responses. It does no I/O.
//!
//! Only `request` and `response` use the header and mode names of the wire format.

mod request;
mod response;

pub(crate) use self::request::Request;
pub(crate) use self::response::{parse_response, Response, ResponseError};

/// The longest head of a response, in bytes.
pub(crate) const MAX_HEAD: usize = 16_384;
/// The longest body of a response, in bytes.
pub(crate) const MAX_BODY: usize = 240_000;
/// Maximum number of interim responses before the final one.
pub(crate) const MAX_INTERIM: u32 = 8;

#[cfg(test)]
mod tests;
