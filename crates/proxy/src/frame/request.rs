//! The payload of a client's request. This module maps the fields of the wire format to these terms:
//!
//! | wire | term |
//! | --- | --- |
//! | `verb` | class: name of the request class in the settings |
//! | `txn` | request id |
//! | `limit` | timeout, in milliseconds |
//! | `unique` | idempotency key |
//! | `item`, `slice`, `set` | object, part, group |
//! | `seen` | known version: tag of the client's copy |
//! | `ram` | size of the part, in the settings' kilobytes |

use super::{parse_fields, Fields, FrameError};
use compact_str::CompactString;
use std::str::FromStr;

/// The largest body of a request, in bytes.
const MAX_BODY: usize = 48_000;
/// The largest group number.
const MAX_GROUP: u32 = 255;
/// The largest accepted part index, far above that of any real object.
const MAX_PART: u32 = 1 << 20;
/// Digits of a 64-bit hexadecimal number.
const HEX_DIGITS: usize = 16;
/// Timeouts of at least this length are rejected as unreadable, in milliseconds.
const TIMEOUT_BOUND_MS: f64 = 1e9;

/// A client's request. Texts are forwarded as they were received.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Request {
    /// Name of the request class.
    pub class: CompactString,
    pub request_id: CompactString,
    /// `request_id` as a number.
    pub id: u64,
    pub timeout_ms: f64,
    pub idempotency_key: Option<CompactString>,
    pub object_id: CompactString,
    /// `object_id` as a number.
    pub object: u64,
    pub part: u32,
    pub group: u32,
    /// Tag of the client's copy.
    pub known_version: Option<CompactString>,
    /// 0 if the client does not send it.
    pub size_kb: f64,
    pub body: Vec<u8>,
    /// The value of the tenant field named by the settings.
    pub tenant: Option<CompactString>,
    /// The value of the client field named by the settings.
    pub client_id: Option<CompactString>,
}

/// Names of the fields that identify tenant and client, if the settings specify them.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdentityFields {
    pub tenant: Option<String>,
    pub client: Option<String>,
}

/// Parses the payload of a request.
pub(crate) fn parse_request(
    payload: &[u8],
    identity: &IdentityFields,
) -> Result<Request, FrameError> {
    let (fields, body) = parse_fields(payload)?;
    let class = required(&fields, "verb")?;
    let timeout_ms = timeout(&fields)?;
    let (object_id, object) = hex(&fields, "item")?;
    let (request_id, id) = hex(&fields, "txn")?;
    if body.len() > MAX_BODY {
        return Err(FrameError::UnreadableField("body"));
    }
    Ok(Request {
        class: Some(class)
            .filter(|v| is_graphic(v))
            .map(CompactString::new)
            .ok_or(FrameError::UnreadableField("verb"))?,
        request_id,
        id,
        timeout_ms,
        idempotency_key: optional(&fields, "unique")?,
        object_id,
        object,
        part: bounded(&fields, "slice", MAX_PART)?,
        group: bounded(&fields, "set", MAX_GROUP)?,
        known_version: optional(&fields, "seen")?,
        size_kb: size(&fields)?,
        body: body.to_vec(),
        tenant: identity_value(&fields, &identity.tenant),
        client_id: identity_value(&fields, &identity.client),
    })
}

fn find<'a>(fields: &Fields<'a>, name: &str) -> Option<&'a str> {
    fields.iter().find(|f| f.0 == name).map(|f| f.1)
}

fn required<'a>(fields: &Fields<'a>, name: &'static str) -> Result<&'a str, FrameError> {
    find(fields, name).ok_or(FrameError::MissingField(name))
}

fn parse<T: FromStr>(name: &'static str, text: &str) -> Result<T, FrameError> {
    text.parse().map_err(|_| FrameError::UnreadableField(name))
}

/// Whether a text can be used in a header or a path without escaping.
fn is_graphic(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic())
}

fn timeout(fields: &Fields<'_>) -> Result<f64, FrameError> {
    let text = required(fields, "limit")?;
    // The timeout is nearly always a whole number, and parsing an integer is faster.
    let timeout_ms = text
        .parse::<u32>()
        .map(f64::from)
        .or_else(|_| parse("limit", text))?;
    if !(timeout_ms > 0.0 && timeout_ms < TIMEOUT_BOUND_MS) {
        return Err(FrameError::UnreadableField("limit"));
    }
    Ok(timeout_ms)
}

/// A 64-bit number of 16 hexadecimal digits, as text and as number.
fn hex(fields: &Fields<'_>, name: &'static str) -> Result<(CompactString, u64), FrameError> {
    let text = required(fields, name)?;
    let digit = |b: u8| char::from(b).to_digit(16);
    let number = text
        .bytes()
        .try_fold(0u64, |n, b| Some(n << 4 | u64::from(digit(b)?)));
    number
        .filter(|_| text.len() == HEX_DIGITS)
        .map(|n| (CompactString::new(text), n))
        .ok_or(FrameError::UnreadableField(name))
}

fn optional(fields: &Fields<'_>, name: &'static str) -> Result<Option<CompactString>, FrameError> {
    match find(fields, name) {
        Some(text) if !is_graphic(text) => Err(FrameError::UnreadableField(name)),
        other => Ok(other.map(CompactString::new)),
    }
}

/// An index of at most `max`, or 0 if the field is missing.
fn bounded(fields: &Fields<'_>, name: &'static str, max: u32) -> Result<u32, FrameError> {
    let number: u32 = parse(name, find(fields, name).unwrap_or("0"))?;
    Some(number)
        .filter(|n| *n <= max)
        .ok_or(FrameError::UnreadableField(name))
}

/// A size that is negative or not finite counts as 0.
fn size(fields: &Fields<'_>) -> Result<f64, FrameError> {
    let kb: f64 = parse("ram", find(fields, "ram").unwrap_or("0"))?;
    Ok(if kb.is_finite() { kb.max(0.0) } else { 0.0 })
}

/// Returns `None` for a value that could not be used in a header.
fn identity_value(fields: &Fields<'_>, name: &Option<String>) -> Option<CompactString> {
    name.as_deref()
        .and_then(|name| find(fields, name))
        .filter(|v| is_graphic(v))
        .map(CompactString::new)
}
