//! The codec of the binary frames between clients and this proxy. It does no I/O.
//!
//! A frame consists of the length of the rest (`u32`), its type (`u8`), its stream (`u32`) and a payload. Numbers are
//! little-endian. A payload consists of an optional code (`u8`), an optional list of fields (a count, then names and
//! values, each prefixed with its length), and a body up to the end of the frame. Only this module and `request` use
//! the field names of the wire format.

mod request;

pub(crate) use self::request::{parse_request, IdentityFields, Request};

use smallvec::SmallVec;
use std::fmt;

/// Length of a frame's length, type and stream before the payload, in bytes.
pub(crate) const HEAD_LENGTH: usize = 9;
/// The longest frame, including its length field, in bytes.
pub(crate) const MAX_FRAME: usize = 262_148;
/// The longest frame that a client may send, in bytes: the largest body, and fields. A frame that announces a greater
/// length is rejected at once. Otherwise unfinished frames of many clients would fill the memory.
pub(crate) const MAX_CLIENT_FRAME: usize = 65_536;
/// Valid values of the length field in a client's frame.
const CLIENT_LENGTH: std::ops::RangeInclusive<usize> = 5..=MAX_CLIENT_FRAME - 4;

/// Frame type: a request from a client.
pub(crate) const REQUEST: u8 = 65;
/// Frame type: the response to a request, or on stream 0 an error of the connection.
pub(crate) const RESPONSE: u8 = 66;
/// Frame type: a client no longer waits for a response.
pub(crate) const CANCEL: u8 = 67;
/// Frame type: a client asks whether this proxy is ready.
pub(crate) const READINESS_QUERY: u8 = 80;
/// Frame type: whether this proxy is ready.
pub(crate) const READINESS: u8 = 81;
/// Frame type: this proxy accepts no new requests on the connection.
pub(crate) const GOING_AWAY: u8 = 90;

/// Response code: the request succeeded.
pub(crate) const SUCCESS: u8 = 0;
/// Response code: the request was rejected. It never ran, so a retry is safe.
pub(crate) const REJECTED: u8 = 11;
/// Response code: the request failed. It may have run.
pub(crate) const FAILED: u8 = 5;
/// Readiness code: ready.
pub(crate) const READY: u8 = 0;
/// Readiness code: not ready.
pub(crate) const NOT_READY: u8 = 1;

/// The name and the value of a field.
pub(crate) type Field<'a> = (&'a str, &'a str);
/// Response field: the client's copy is still current, and no body follows.
pub(crate) const NOT_MODIFIED: Field<'static> = ("current", "1");
/// Response field: how long the client should wait before a retry, in milliseconds (Retry-After).
pub(crate) const RETRY_AFTER_MS: &str = "later";
/// Readiness field: this proxy had received the replicated state when it became ready.
pub(crate) const CAUGHT_UP: Field<'static> = ("caught_up", "1");
/// Readiness field: this proxy had not received the replicated state when it became ready.
pub(crate) const NOT_CAUGHT_UP: Field<'static> = ("caught_up", "0");

/// Why bytes from a client are not a valid frame, or a frame is not a valid request. The client is at fault, and a
/// retry of the same bytes would also fail.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FrameError {
    /// The length field is out of bounds, so the next frame on the connection cannot be located.
    LengthOutOfBounds(usize),
    /// The payload ends within its fields, or the text of a field is not UTF-8.
    Truncated,
    /// A required field is missing.
    MissingField(&'static str),
    /// A field, the head or the body has an invalid value.
    UnreadableField(&'static str),
    /// The client did not complete a frame in time.
    Incomplete,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::LengthOutOfBounds(length) => write!(f, "length {length} out of bounds"),
            FrameError::Truncated => write!(f, "truncated fields"),
            FrameError::MissingField(name) => write!(f, "field {name} is missing"),
            FrameError::UnreadableField(name) => write!(f, "field {name} is unreadable"),
            FrameError::Incomplete => write!(f, "frame not completed in time"),
        }
    }
}

impl std::error::Error for FrameError {}

/// A complete frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub frame_type: u8,
    pub stream: u32,
    pub payload: &'a [u8],
}

/// Parses the frame at the start of a client's bytes. Returns `None` until the frame is complete.
pub(crate) fn parse_frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if !CLIENT_LENGTH.contains(&length) {
        return Err(FrameError::LengthOutOfBounds(length));
    }
    let Some(frame) = rest.get(..length) else {
        return Ok(None);
    };
    let stream = u32::from_le_bytes([frame[1], frame[2], frame[3], frame[4]]);
    Ok(Some(Frame {
        frame_type: frame[0],
        stream,
        payload: &frame[5..],
    }))
}

/// Fields in wire order. Few frames have more fields than the inline capacity.
pub(crate) type Fields<'a> = SmallVec<[Field<'a>; 12]>;

/// Parses the fields of a payload. Returns the fields and the body after them.
pub(crate) fn parse_fields(payload: &[u8]) -> Result<(Fields<'_>, &[u8]), FrameError> {
    let (count, mut rest) = payload.split_first().ok_or(FrameError::Truncated)?;
    let mut fields = Fields::new();
    for _ in 0..*count {
        let (length, after) = rest.split_first().ok_or(FrameError::Truncated)?;
        rest = after;
        let name = split_text(&mut rest, usize::from(*length))?;
        let (length, after) = rest.split_first_chunk::<2>().ok_or(FrameError::Truncated)?;
        rest = after;
        let value = split_text(&mut rest, usize::from(u16::from_le_bytes(*length)))?;
        fields.push((name, value));
    }
    Ok((fields, rest))
}

fn split_text<'a>(rest: &mut &'a [u8], length: usize) -> Result<&'a str, FrameError> {
    let (text, after) = rest.split_at_checked(length).ok_or(FrameError::Truncated)?;
    *rest = after;
    std::str::from_utf8(text).map_err(|_| FrameError::Truncated)
}

/// The part of a frame before the body. It is short, so it usually needs no allocation.
pub(crate) type Head = SmallVec<[u8; 64]>;

/// Encodes the part of a frame before a body of `body_length` bytes.
pub(crate) fn encode_head(
    frame_type: u8,
    stream: u32,
    code: Option<u8>,
    fields: Option<&[Field<'_>]>,
    body_length: usize,
) -> Head {
    let mut frame = Head::from_slice(&[0; 4]);
    frame.push(frame_type);
    frame.extend_from_slice(&stream.to_le_bytes());
    frame.extend(code);
    if let Some(fields) = fields {
        frame.push(fields.len() as u8);
        for (name, value) in fields {
            frame.push(name.len() as u8);
            frame.extend_from_slice(name.as_bytes());
            frame.extend_from_slice(&(value.len() as u16).to_le_bytes());
            frame.extend_from_slice(value.as_bytes());
        }
    }
    let length = (frame.len() - 4 + body_length) as u32;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame
}

#[cfg(test)]
mod tests;
