//! Cache endpoints. Rank: the start of the process, then its phase, so that within one start the phase only advances and
//! a later start wins over all earlier ones.

use crate::record::{Entry, Key};
use crate::record_type::RecordType;
use crate::wire_time;
use crate::Micros;
use prost::Message;

/// The phase of an endpoint's process. The numbers are those of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointPhase {
    /// It serves.
    Ready = 0,
    /// It finishes what it has and takes nothing new.
    Draining = 1,
    /// It was removed.
    Removed = 2,
}

impl EndpointPhase {
    /// The phase in a record's rank; numbers that this build does not know count as the last phase.
    pub fn from_rank(number: u64) -> EndpointPhase {
        match number {
            0 => EndpointPhase::Ready,
            1 => EndpointPhase::Draining,
            _ => EndpointPhase::Removed,
        }
    }
}

/// What is known of a cache endpoint beside its phase.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointInfo {
    /// Where it listens.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its locality.
    #[prost(string, tag = "2")]
    pub locality: String,
    /// Its flavor.
    #[prost(string, tag = "3")]
    pub flavor: String,
    /// Its cell.
    #[prost(uint32, tag = "4")]
    pub cell: u32,
    /// Its size.
    #[prost(double, tag = "5")]
    pub size: f64,
}

/// The record of an endpoint's phase. `started_at` is when its process started, in Unix time, as the discovery service
/// reports it.
pub fn endpoint_record(
    id: &str,
    started_at: Micros,
    phase: EndpointPhase,
    endpoint: &EndpointInfo,
    expires_at: Micros,
) -> (Key, Entry) {
    let entry = Entry {
        rank: (started_at.max(0) as u64, phase as u64),
        value: endpoint.encode_to_vec(),
        expires_at,
    };
    (Key::new(RecordType::Endpoint, id), entry)
}

/// Decodes an endpoint: its id, start, phase and what else is known of it.
pub fn decode_endpoint(
    key: &Key,
    entry: &Entry,
) -> Option<(String, Micros, EndpointPhase, EndpointInfo)> {
    let id = String::from_utf8(key.name.clone()).ok()?;
    let endpoint = EndpointInfo::decode(entry.value.as_slice()).ok()?;
    let started_at = wire_time::from_wire(entry.rank.0);
    let phase = EndpointPhase::from_rank(entry.rank.1);
    Some((id, started_at, phase, endpoint))
}
