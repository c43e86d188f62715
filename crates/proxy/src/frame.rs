//! Frames between clients and the front: bytes to frames and back, no I/O.

use compact_str::CompactString;
use smallvec::SmallVec;
use std::fmt;

/// What comes before a payload.
pub(crate) const HEAD: usize = 9;
/// The longest frame with its length field.
pub(crate) const LONGEST: usize = 262_148;
/// The longest that a client can ask with: the largest body, and fields. What says that it is longer is not
/// waited for, or half frames of many would fill the memory.
pub(crate) const ASKED: usize = 65_536;
/// What the length field of a client may say.
const LENGTH: std::ops::RangeInclusive<usize> = 5..=ASKED - 4;
/// The largest body that a client may bring.
const BODY: usize = 48_000;

/// The last group, and a part that no object comes near.
const SETS: u32 = 255;
const PARTS: u32 = 1 << 20;

pub(crate) const ASK: u8 = 65;
pub(crate) const ANSWER: u8 = 66;
pub(crate) const LEAVE: u8 = 67;
pub(crate) const READY: u8 = 80;
pub(crate) const IS_READY: u8 = 81;
pub(crate) const NO_MORE: u8 = 90;

pub(crate) const SATISFIED: u8 = 0;
pub(crate) const NACKED: u8 = 11;
pub(crate) const FAILED: u8 = 5;

#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No frame can be found any more behind this one.
    Framing(usize),
    /// This frame alone is bad.
    Truncated,
    Missing(&'static str),
    Unreadable(&'static str),
    /// What was begun was not ended in time.
    Unfinished,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Framing(length) => write!(f, "length {length} out of bounds"),
            Fault::Truncated => write!(f, "truncated fields"),
            Fault::Missing(name) => write!(f, "field {name} is missing"),
            Fault::Unreadable(name) => write!(f, "field {name} is unreadable"),
            Fault::Unfinished => write!(f, "no whole frame in time"),
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub kind: u8,
    pub stream: u32,
    pub payload: &'a [u8],
}

/// The first frame, once it is there as a whole.
pub(crate) fn next(bytes: &[u8]) -> Result<Option<Frame<'_>>, Fault> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if !LENGTH.contains(&length) {
        return Err(Fault::Framing(length));
    }
    let Some(frame) = rest.get(..length) else {
        return Ok(None);
    };
    let stream = u32::from_le_bytes([frame[1], frame[2], frame[3], frame[4]]);
    Ok(Some(Frame {
        kind: frame[0],
        stream,
        payload: &frame[5..],
    }))
}

type Fields<'a> = SmallVec<[(&'a str, &'a str); 12]>;

/// Fields and what follows them.
pub(crate) fn fields(payload: &[u8]) -> Result<(Fields<'_>, &[u8]), Fault> {
    fn text<'a>(rest: &mut &'a [u8], size: usize) -> Result<&'a str, Fault> {
        let (text, after) = rest.split_at_checked(size).ok_or(Fault::Truncated)?;
        *rest = after;
        std::str::from_utf8(text).map_err(|_| Fault::Truncated)
    }
    let (count, mut rest) = payload.split_first().ok_or(Fault::Truncated)?;
    let mut fields = Fields::new();
    for _ in 0..*count {
        let (size, after) = rest.split_first().ok_or(Fault::Truncated)?;
        rest = after;
        let name = text(&mut rest, usize::from(*size))?;
        let (size, after) = rest.split_first_chunk::<2>().ok_or(Fault::Truncated)?;
        rest = after;
        fields.push((
            name,
            text(&mut rest, usize::from(u16::from_le_bytes(*size)))?,
        ));
    }
    Ok((fields, rest))
}

/// What a client asks for; texts go on as they came.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Request {
    pub verb: CompactString,
    pub txn: CompactString,
    /// `txn` as a number.
    pub id: u64,
    pub limit_ms: f64,
    pub unique: Option<CompactString>,
    pub item: CompactString,
    pub object: u64,
    pub slice: u32,
    pub set: u32,
    pub seen: Option<CompactString>,
    /// 0 where clients do not tell it.
    pub size_kb: f64,
    pub body: Vec<u8>,
    /// Who asks, by the fields that the settings name for it.
    pub tenant: Option<CompactString>,
    pub desk: Option<CompactString>,
}

/// Fields that tell who asks, where the settings name any.
#[derive(Clone, Debug, Default)]
pub(crate) struct Who {
    pub tenant: Option<String>,
    pub desk: Option<String>,
}

/// A text that may stand in a header or a path as it is.
fn plain(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic())
}

pub(crate) fn request(payload: &[u8], who: &Who) -> Result<Request, Fault> {
    let (fields, body) = fields(payload)?;
    let get = |name: &str| fields.iter().find(|f| f.0 == name).map(|f| f.1);
    let need = |name: &'static str| get(name).ok_or(Fault::Missing(name));
    fn read<T: std::str::FromStr>(name: &'static str, text: &str) -> Result<T, Fault> {
        text.parse().map_err(|_| Fault::Unreadable(name))
    }
    let hex = |name: &'static str| -> Result<(CompactString, u64), Fault> {
        let text = need(name)?;
        let digit = |b: u8| char::from(b).to_digit(16);
        let number = text
            .bytes()
            .try_fold(0u64, |n, b| Some(n << 4 | u64::from(digit(b)?)));
        let number = number.filter(|_| text.len() == 16);
        number
            .map(|n| (CompactString::new(text), n))
            .ok_or(Fault::Unreadable(name))
    };
    let optional = |name: &'static str| match get(name) {
        Some(text) if !plain(text) => Err(Fault::Unreadable(name)),
        other => Ok(other.map(CompactString::new)),
    };
    let verb = need("verb")?;
    let limit = need("limit")?;
    // Nearly always a whole number, which is read quicker.
    let limit_ms = limit
        .parse::<u32>()
        .map(f64::from)
        .or_else(|_| read("limit", limit))?;
    if !(limit_ms > 0.0 && limit_ms < 1e9) {
        return Err(Fault::Unreadable("limit"));
    }
    let ((item, object), (txn, id)) = (hex("item")?, hex("txn")?);
    let upto = |name: &'static str, most: u32| {
        let number: u32 = read(name, get(name).unwrap_or("0"))?;
        Some(number)
            .filter(|n| *n <= most)
            .ok_or(Fault::Unreadable(name))
    };
    // What is no plain text names nobody.
    let told = |name: &Option<String>| {
        name.as_deref()
            .and_then(get)
            .filter(|v| plain(v))
            .map(CompactString::new)
    };
    if body.len() > BODY {
        return Err(Fault::Unreadable("body"));
    }
    Ok(Request {
        verb: Some(verb)
            .filter(|v| plain(v))
            .map(CompactString::new)
            .ok_or(Fault::Unreadable("verb"))?,
        txn,
        id,
        limit_ms,
        unique: optional("unique")?,
        item,
        object,
        slice: upto("slice", PARTS)?,
        set: upto("set", SETS)?,
        seen: optional("seen")?,
        size_kb: read("ram", get("ram").unwrap_or("0")).map(|kb: f64| {
            if kb.is_finite() {
                kb.max(0.0)
            } else {
                0.0
            }
        })?,
        body: body.to_vec(),
        tenant: told(&who.tenant),
        desk: told(&who.desk),
    })
}

/// What comes before a body: short, so it needs no memory of its own.
pub(crate) type Head = SmallVec<[u8; 64]>;

/// The frame up to where a body of `body` bytes follows.
pub(crate) fn head(
    kind: u8,
    stream: u32,
    code: Option<u8>,
    fields: Option<&[(&str, &str)]>,
    body: usize,
) -> Head {
    let mut frame = Head::from_slice(&[0; 4]);
    frame.push(kind);
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
    let length = (frame.len() - 4 + body) as u32;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame
}

#[cfg(test)]
mod tests;
