//! Snapshots: all records in one file. The host writes it to a temporary file and then renames that. A snapshot is
//! either read completely or rejected. It is a sequence of parts, each compressed separately and prefixed with its
//! length.

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

/// Magic bytes of a part.
const MARK: [u8; 2] = *b"ms";
/// Version of the format.
const VERSION: u8 = 1;
/// A snapshot that was written further in the future than this is rejected: a clock was wrong, and so are all times
/// in it.
const MAX_CLOCK_SKEW: Micros = 5_000_000;
/// Maximum number of records in one part.
const RECORDS_PER_PART: usize = 1000;
/// Bytes of the length prefix of a part.
const LENGTH_PREFIX_BYTES: usize = 4;

#[derive(Clone, PartialEq, Message)]
struct Part {
    #[prost(fixed64, tag = "1")]
    fleet_id: u64,
    /// Unix time in microseconds.
    #[prost(uint64, tag = "2")]
    written_at: u64,
    /// The index of the part, from 0.
    #[prost(uint32, tag = "3")]
    number: u32,
    /// The number of parts in the snapshot.
    #[prost(uint32, tag = "4")]
    parts: u32,
    #[prost(message, repeated, tag = "5")]
    records: Vec<Record>,
}

/// The reason for which a snapshot was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Parts are missing, truncated or out of order.
    Truncated,
    /// A part cannot be decoded.
    Corrupt(DropReason),
    /// It was written by a proxy of another fleet.
    OtherFleet,
    /// It was written in the future.
    FromFuture,
    /// It is older than the maximum age.
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

/// The result of reading a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restored {
    /// Number of records that were merged.
    pub records: usize,
    /// Time since the snapshot was written.
    pub age: Micros,
}

/// Encodes a snapshot of all records. Open claims are included, as a request that may have run must not be forgotten.
pub fn write(map: &Map, fleet_id: u64, now: Micros) -> Vec<u8> {
    let records: Vec<Record> = map.iter().map(|(key, entry)| to_wire(key, entry)).collect();
    let chunks: Vec<&[Record]> = if records.is_empty() {
        vec![&[]]
    } else {
        records.chunks(RECORDS_PER_PART).collect()
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
/// The snapshot is damaged, of another fleet, or not written within `max_age` before `now`. No record is merged then.
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
    for record in records.filter(survives_restart) {
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
            .split_first_chunk::<LENGTH_PREFIX_BYTES>()
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

/// Checks that the parts form one complete snapshot of this fleet. Returns the time at which it was written.
fn check_parts(parts: &[Part], fleet_id: u64) -> Result<Micros, SnapshotError> {
    let first = parts.first().ok_or(SnapshotError::Truncated)?;
    if first.parts as usize != parts.len() {
        return Err(SnapshotError::Truncated);
    }
    if parts.iter().any(|part| part.fleet_id != fleet_id) {
        return Err(SnapshotError::OtherFleet);
    }
    let is_next_part = |(number, part): (u32, &Part)| {
        part.number == number && part.parts == first.parts && part.written_at == first.written_at
    };
    if !(0..).zip(parts).all(is_next_part) {
        return Err(SnapshotError::Truncated);
    }
    Ok(wire_time::from_wire(first.written_at))
}

/// Whether a record is restored. Observations and usage from before a restart say little about the present; all other
/// records are valid until they expire.
fn survives_restart(record: &Record) -> bool {
    let record_type = RecordType::from_wire(record.record_type);
    !matches!(
        record_type,
        Some(RecordType::Observation | RecordType::Usage)
    )
}
