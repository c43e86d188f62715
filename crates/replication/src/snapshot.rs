//! Snapshots: all records as one file, which the host writes aside and moves into place, and which is read whole or not at
//! all. It is a sequence of parts, each packed by itself behind its length.

use crate::map::{Map, MergeOutcome};
use crate::record::{to_wire, Entry, Key};
use crate::record_type::RecordType;
use crate::wire::Record;
use crate::wire_time;
use crate::Micros;
use meadowrill_membership::envelope::{self, DropReason};
use prost::Message;
use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// Marks a part.
const MARK: [u8; 2] = *b"ms";
/// The version of the format.
const VERSION: u8 = 1;
/// A snapshot from further in the future is rejected: a clock was wrong, and so are all times inside.
const MAX_CLOCK_SKEW: Micros = 5_000_000;
/// Records in one part.
const PART_RECORDS: usize = 1000;
/// Bytes of the length in front of a part.
const LENGTH_BYTES: usize = 4;

#[derive(Clone, PartialEq, Message)]
struct Part {
    #[prost(fixed64, tag = "1")]
    fleet_id: u64,
    /// Unix time in microseconds.
    #[prost(uint64, tag = "2")]
    written_at: u64,
    /// Counted from 0.
    #[prost(uint32, tag = "3")]
    number: u32,
    /// How many parts there are in all.
    #[prost(uint32, tag = "4")]
    parts: u32,
    #[prost(message, repeated, tag = "5")]
    records: Vec<Record>,
}

/// Why a snapshot was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Parts are missing or cut off.
    Truncated,
    /// A part can't be decoded.
    Corrupt(DropReason),
    /// It was written by a proxy of another fleet.
    OtherFleet,
    /// It was written in the future.
    FromFuture,
    /// It is too old to be of use.
    TooOld,
}

impl SnapshotError {
    /// The reason for the log.
    pub fn reason(self) -> &'static str {
        match self {
            SnapshotError::Truncated => "torn",
            SnapshotError::Corrupt(DropReason::UnknownVersion) => "another version",
            SnapshotError::Corrupt(_) => "damaged",
            SnapshotError::OtherFleet => "of another fleet",
            SnapshotError::FromFuture => "from the future",
            SnapshotError::TooOld => "too old",
        }
    }
}

impl Display for SnapshotError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl Error for SnapshotError {}

/// What a snapshot brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restored {
    /// Records that were merged.
    pub records: usize,
    /// Time since the snapshot was written.
    pub age: Micros,
}

/// Writes a snapshot of all records, open claims among them: what may have run must not be forgotten.
pub fn write(map: &Map, fleet_id: u64, now: Micros) -> Vec<u8> {
    let records: Vec<Record> = map.iter().map(|(key, entry)| to_wire(key, entry)).collect();
    let chunks: Vec<&[Record]> = if records.is_empty() {
        vec![&[]]
    } else {
        records.chunks(PART_RECORDS).collect()
    };
    let (mut snapshot, mut bytes) = (Vec::new(), Vec::new());
    for (number, chunk) in (0..).zip(&chunks) {
        let part = Part {
            fleet_id,
            written_at: now as u64,
            number,
            parts: chunks.len() as u32,
            records: chunk.to_vec(),
        };
        envelope::encode_compressed(MARK, VERSION, envelope::COMPACT_LEVEL, &part, &mut bytes);
        snapshot.extend((bytes.len() as u32).to_le_bytes());
        snapshot.extend(&bytes);
    }
    snapshot
}

/// Reads a snapshot into an empty map.
///
/// # Errors
///
/// The snapshot is damaged, of another fleet, or not written within `max_age` before `now`; nothing was merged then.
pub fn read(
    bytes: &[u8],
    map: &mut Map,
    fleet_id: u64,
    max_age: Micros,
    now: Micros,
) -> Result<Restored, SnapshotError> {
    let parts = decode_parts(bytes)?;
    let written_at = check_parts(&parts, fleet_id)?;
    if written_at > now + MAX_CLOCK_SKEW {
        return Err(SnapshotError::FromFuture);
    }
    if now - written_at > max_age {
        return Err(SnapshotError::TooOld);
    }
    let mut merged = 0;
    let records = parts.into_iter().flat_map(|part| part.records);
    for record in records.filter(outlives_restart) {
        let outcome = map.merge(Key::from_wire(&record), Entry::from_wire(&record), now);
        merged += usize::from(matches!(outcome, MergeOutcome::Merged { .. }));
    }
    Ok(Restored {
        records: merged,
        age: now - written_at,
    })
}

fn decode_parts(bytes: &[u8]) -> Result<Vec<Part>, SnapshotError> {
    let (mut rest, mut parts): (&[u8], Vec<Part>) = (bytes, Vec::new());
    while !rest.is_empty() {
        let (length, after) = rest
            .split_first_chunk::<LENGTH_BYTES>()
            .ok_or(SnapshotError::Truncated)?;
        let length = u32::from_le_bytes(*length) as usize;
        let (part, after) = after
            .split_at_checked(length)
            .ok_or(SnapshotError::Truncated)?;
        parts.push(envelope::decode(MARK, MARK, VERSION, part).map_err(SnapshotError::Corrupt)?);
        rest = after;
    }
    Ok(parts)
}

/// Whether the parts are all parts of one snapshot of this fleet; when it was written.
fn check_parts(parts: &[Part], fleet_id: u64) -> Result<Micros, SnapshotError> {
    let first = parts.first().ok_or(SnapshotError::Truncated)?;
    if first.parts as usize != parts.len() {
        return Err(SnapshotError::Truncated);
    }
    if parts.iter().any(|part| part.fleet_id != fleet_id) {
        return Err(SnapshotError::OtherFleet);
    }
    let follows = |(number, part): (u32, &Part)| {
        part.number == number && part.parts == first.parts && part.written_at == first.written_at
    };
    if !(0..).zip(parts).all(follows) {
        return Err(SnapshotError::Truncated);
    }
    Ok(wire_time::from_wire(first.written_at))
}

/// Observations of before a restart say little of now; all else holds until it expires.
fn outlives_restart(record: &Record) -> bool {
    let record_type = RecordType::from_wire(record.record_type);
    !matches!(
        record_type,
        Some(RecordType::Observation | RecordType::Usage)
    )
}
