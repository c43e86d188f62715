//! What is held as one file: written aside and moved into place by the host, and taken in whole or not at all.

use crate::kind::Kind;
use crate::map::{Map, Took};
use crate::record::{entry, record, Key};
use crate::wire::Record;
use crate::Micros;
use meadowrill_members::envelope::{self, Dropped};
use prost::Message;

const MARK: [u8; 2] = *b"ms";
const VERSION: u8 = 1;
/// From the future by so much: a clock is wrong, and with it all times inside.
const AHEAD: Micros = 5_000_000;
/// Records of one part: a part is packed by itself.
const PART: usize = 1000;
const LENGTH: usize = 4;

#[derive(Clone, PartialEq, Message)]
struct Part {
    #[prost(fixed64, tag = "1")]
    fleet: u64,
    /// When it was written, Unix time in microseconds.
    #[prost(uint64, tag = "2")]
    at: u64,
    #[prost(uint32, tag = "3")]
    number: u32,
    /// How many parts there are in all.
    #[prost(uint32, tag = "4")]
    of: u32,
    #[prost(message, repeated, tag = "5")]
    records: Vec<Record>,
}

/// Why a snapshot was refused, whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Torn,
    Damaged(Dropped),
    Fleet,
    Future,
    Old,
}

impl Refused {
    pub fn name(self) -> &'static str {
        match self {
            Refused::Torn => "torn",
            Refused::Damaged(Dropped::Version) => "another version",
            Refused::Damaged(_) => "damaged",
            Refused::Fleet => "of another fleet",
            Refused::Future => "from the future",
            Refused::Old => "too old",
        }
    }
}

/// Claims that are open are left out by none: what may have run must not be forgotten.
pub fn write(map: &Map, fleet: u64, now: Micros) -> Vec<u8> {
    let records: Vec<Record> = map.iter().map(|(key, entry)| record(key, entry)).collect();
    let parts: Vec<&[Record]> = if records.is_empty() { vec![&[]] } else { records.chunks(PART).collect() };
    let (mut whole, mut bytes) = (Vec::new(), Vec::new());
    for (number, records) in (0..).zip(&parts) {
        let (at, of) = (now as u64, parts.len() as u32);
        envelope::write_packed(
            MARK,
            VERSION,
            envelope::SMALL,
            &Part { fleet, at, number, of, records: records.to_vec() },
            &mut bytes,
        );
        whole.extend((bytes.len() as u32).to_le_bytes());
        whole.extend(&bytes);
    }
    whole
}

/// Takes it into an empty map; how many records, and how old it is.
pub fn read(
    bytes: &[u8],
    map: &mut Map,
    fleet: u64,
    oldest: Micros,
    now: Micros,
) -> Result<(usize, Micros), Refused> {
    let (mut rest, mut parts): (&[u8], Vec<Part>) = (bytes, Vec::new());
    while !rest.is_empty() {
        let (length, after) = rest.split_first_chunk::<LENGTH>().ok_or(Refused::Torn)?;
        let (part, after) =
            after.split_at_checked(u32::from_le_bytes(*length) as usize).ok_or(Refused::Torn)?;
        parts.push(envelope::read(MARK, MARK, VERSION, part).map_err(Refused::Damaged)?);
        rest = after;
    }
    let first = parts.first().ok_or(Refused::Torn)?;
    let (of, at) = (first.of, first.at as Micros);
    if of as usize != parts.len() {
        return Err(Refused::Torn);
    }
    if parts.iter().any(|p| p.fleet != fleet) {
        return Err(Refused::Fleet);
    }
    if (0..).zip(&parts).any(|(n, p)| p.number != n || p.of != of || p.at as Micros != at) {
        return Err(Refused::Torn);
    }
    if at > now + AHEAD {
        return Err(Refused::Future);
    }
    if now - at > oldest {
        return Err(Refused::Old);
    }
    let mut many = 0;
    for record in parts.into_iter().flat_map(|p| p.records) {
        // Sights of before a restart say little of now; all else holds till it is over.
        let learned = [Kind::Learned, Kind::Usage].into_iter().any(|kind| kind as u32 == record.kind);
        let key = Key::of(&record);
        if !learned {
            many += usize::from(matches!(map.merge(key, entry(&record), now), Took::New(_)));
        }
    }
    Ok((many, now - at))
}
