//! Snapshots: all records as one file, which the host writes aside and moves into place, and which is read whole or not at
//! all. It is a sequence of parts, each packed by itself behind its length.

use crate::kind::Kind;
use crate::map::{Map, Took};
use crate::record::{entry, record, Key};
use crate::wire::Record;
use crate::Micros;
use meadowrill_membership::envelope::{self, DropReason};
use prost::Message;

const MARK: [u8; 2] = *b"ms";
const VERSION: u8 = 1;
/// A snapshot from further in the future is refused: a clock was wrong, and so are all times inside.
const AHEAD_MOST: Micros = 5_000_000;
/// Records in one part.
const PART_RECORDS: usize = 1000;
/// Bytes of the length in front of a part.
const LENGTH_BYTES: usize = 4;

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

/// Why a snapshot was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Parts are missing or cut off.
    Torn,
    /// A part can't be read.
    Damaged(DropReason),
    /// It was written by a front of another fleet.
    Fleet,
    /// It was written in the future.
    Future,
    /// What it holds is too old.
    Old,
}

impl Refused {
    /// The reason for the log.
    pub fn name(self) -> &'static str {
        match self {
            Refused::Torn => "torn",
            Refused::Damaged(DropReason::UnknownVersion) => "another version",
            Refused::Damaged(_) => "damaged",
            Refused::Fleet => "of another fleet",
            Refused::Future => "from the future",
            Refused::Old => "too old",
        }
    }
}

/// Writes a snapshot of all records, open claims among them: what may have run must not be forgotten.
pub fn write(map: &Map, fleet: u64, now: Micros) -> Vec<u8> {
    let records: Vec<Record> = map.iter().map(|(key, entry)| record(key, entry)).collect();
    let chunks: Vec<&[Record]> = if records.is_empty() {
        vec![&[]]
    } else {
        records.chunks(PART_RECORDS).collect()
    };
    let (mut snapshot, mut bytes) = (Vec::new(), Vec::new());
    for (number, records) in (0..).zip(&chunks) {
        let (at, of, records) = (now as u64, chunks.len() as u32, records.to_vec());
        let part = Part {
            fleet,
            at,
            number,
            of,
            records,
        };
        envelope::encode_compressed(MARK, VERSION, envelope::COMPACT_LEVEL, &part, &mut bytes);
        snapshot.extend((bytes.len() as u32).to_le_bytes());
        snapshot.extend(&bytes);
    }
    snapshot
}

/// Reads a snapshot into an empty map; how many records it brought, and how old it is.
pub fn read(
    bytes: &[u8],
    map: &mut Map,
    fleet: u64,
    oldest: Micros,
    now: Micros,
) -> Result<(usize, Micros), Refused> {
    let parts = read_parts(bytes)?;
    let written_at = check_parts(&parts, fleet)?;
    if written_at > now + AHEAD_MOST {
        return Err(Refused::Future);
    }
    if now - written_at > oldest {
        return Err(Refused::Old);
    }
    let mut count = 0;
    for record in parts
        .into_iter()
        .flat_map(|part| part.records)
        .filter(outlives_restart)
    {
        let merged = map.merge(Key::of(&record), entry(&record), now);
        count += usize::from(matches!(merged, Took::New(_)));
    }
    Ok((count, now - written_at))
}

fn read_parts(bytes: &[u8]) -> Result<Vec<Part>, Refused> {
    let (mut rest, mut parts): (&[u8], Vec<Part>) = (bytes, Vec::new());
    while !rest.is_empty() {
        let (length, after) = rest
            .split_first_chunk::<LENGTH_BYTES>()
            .ok_or(Refused::Torn)?;
        let length = u32::from_le_bytes(*length) as usize;
        let (part, after) = after.split_at_checked(length).ok_or(Refused::Torn)?;
        parts.push(envelope::decode(MARK, MARK, VERSION, part).map_err(Refused::Damaged)?);
        rest = after;
    }
    Ok(parts)
}

/// Whether the parts are all parts of one snapshot of this fleet; when it was written.
fn check_parts(parts: &[Part], fleet: u64) -> Result<Micros, Refused> {
    let first = parts.first().ok_or(Refused::Torn)?;
    if first.of as usize != parts.len() {
        return Err(Refused::Torn);
    }
    if parts.iter().any(|part| part.fleet != fleet) {
        return Err(Refused::Fleet);
    }
    let fits = |(number, part): (u32, &Part)| {
        part.number == number && part.of == first.of && part.at == first.at
    };
    if !(0..).zip(parts).all(fits) {
        return Err(Refused::Torn);
    }
    Ok(first.at as Micros)
}

/// Observations of before a restart say little of now; all else holds until it expires.
fn outlives_restart(record: &Record) -> bool {
    !matches!(Kind::of(record.kind), Some(Kind::Learned | Kind::Usage))
}
