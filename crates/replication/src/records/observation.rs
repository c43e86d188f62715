//! Observations, and usage by tenant in the same form. Each record has one writer. Rank: the writer's incarnation, then
//! the time of the observation, so that the later incarnation and its later observation win.

use super::bounded_name::bounded;
use super::MAX_PLAIN_KEY_BYTES;
use crate::record::{Entry, Key};
use crate::record_type::RecordType;
use crate::Micros;
use prost::Message;

/// Longest part of a name that stands for a subject.
const MAX_SUBJECT_BYTES: usize = MAX_PLAIN_KEY_BYTES;
/// Longest part of a name that stands for the writer.
const MAX_WRITER_BYTES: usize = 40;

/// What one proxy observed of a subject. What the values mean depends on the type of subject.
#[derive(Clone, PartialEq, Message)]
pub struct Observation {
    /// The name of the proxy.
    #[prost(string, tag = "1")]
    pub writer: String,
    /// The zone of the proxy.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// What was observed.
    #[prost(double, repeated, tag = "3")]
    pub values: Vec<f64>,
    /// When it was observed.
    #[prost(uint64, tag = "4")]
    pub observed_at: u64,
}

/// The record of an observation by `observation.writer` in its incarnation `incarnation`.
pub fn observation_record(
    record_type: RecordType,
    subject: &[u8],
    incarnation: u64,
    observation: &Observation,
    expires_at: Micros,
) -> (Key, Entry) {
    let mut name = observation_prefix(subject);
    name.extend(bounded(observation.writer.as_bytes(), MAX_WRITER_BYTES));
    let entry = Entry {
        rank: (incarnation, observation.observed_at),
        value: observation.encode_to_vec(),
        expires_at,
    };
    (Key::new(record_type, name), entry)
}

/// The beginning of the names of all observations of one subject: they are adjacent in the map.
pub fn observation_prefix(subject: &[u8]) -> Vec<u8> {
    let subject = bounded(subject, MAX_SUBJECT_BYTES);
    [&[subject.len() as u8][..], &subject].concat()
}

/// Decodes an observation: its subject, of one too long for a name the part that stands for it, and what was observed.
pub fn decode_observation(key: &Key, entry: &Entry) -> Option<(Vec<u8>, Observation)> {
    let (length, name) = key.name.split_first()?;
    let subject = name.get(..usize::from(*length))?.to_vec();
    let observation = Observation::decode(entry.value.as_slice()).ok()?;
    Some((subject, observation))
}
