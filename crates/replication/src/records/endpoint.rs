//! Cache endpoints. The rank is the start time of the process, then its phase. So the phase of one process only
//! advances, and a later start wins over all earlier ones.

use crate::record::{Entry, Key};
use crate::record_type::RecordType;
use crate::wire_time;
use crate::Micros;
use prost::Message;

/// The phase of an endpoint's process. The numbers are part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointPhase {
    /// It serves requests.
    Ready = 0,
    /// It finishes its open requests and accepts no new ones.
    Draining = 1,
    /// The endpoint was removed.
    Removed = 2,
}

impl EndpointPhase {
    /// The phase with this number in a record's rank. Unknown numbers count as the last phase.
    pub fn from_rank(number: u64) -> EndpointPhase {
        match number {
            0 => EndpointPhase::Ready,
            1 => EndpointPhase::Draining,
            _ => EndpointPhase::Removed,
        }
    }
}

/// The properties of a cache endpoint other than its phase.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointInfo {
    /// The address on which it listens.
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

/// The record of an endpoint's phase. `started_at` is the Unix time at which its process started, as reported by the
/// discovery service.
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

/// Decodes an endpoint. Returns its id, start time, phase and other properties.
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
