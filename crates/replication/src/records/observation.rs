//! Observations, and usage by tenant in the same encoding. Each record has one writer. The rank is the writer's
//! incarnation, then the time of the observation, so that the later incarnation and its later observation win.

use super::bounded_name::bounded;
use super::MAX_PLAIN_KEY_BYTES;
use crate::record::{Entry, Key};
use crate::record_type::RecordType;
use crate::Micros;
use prost::Message;

/// Maximum length of the subject in a record's name.
const MAX_SUBJECT_BYTES: usize = MAX_PLAIN_KEY_BYTES;
/// Maximum length of the writer in a record's name.
const MAX_WRITER_BYTES: usize = 40;

/// One proxy's observation of a subject. The meaning of the values depends on the type of subject.
#[derive(Clone, PartialEq, Message)]
pub struct Observation {
    /// The name of the proxy that made the observation.
    #[prost(string, tag = "1")]
    pub writer: String,
    /// The zone of that proxy.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The observed values.
    #[prost(double, repeated, tag = "3")]
    pub values: Vec<f64>,
    /// The time of the observation, in Unix time in microseconds.
    #[prost(uint64, tag = "4")]
    pub observed_at: u64,
}

/// The record of an observation that `observation.writer` made in its incarnation `incarnation`.
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

/// The prefix of the names of all observations of one subject, which are adjacent in the map.
pub fn observation_prefix(subject: &[u8]) -> Vec<u8> {
    let subject = bounded(subject, MAX_SUBJECT_BYTES);
    [&[subject.len() as u8][..], &subject].concat()
}

/// Decodes an observation. Returns its subject, shortened if it is too long for a name, and the observation itself.
pub fn decode_observation(key: &Key, entry: &Entry) -> Option<(Vec<u8>, Observation)> {
    let (length, name) = key.name.split_first()?;
    let subject = name.get(..usize::from(*length))?.to_vec();
    let observation = Observation::decode(entry.value.as_slice()).ok()?;
    Some((subject, observation))
}
