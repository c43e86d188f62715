//! Parser for the lines of the discovery service. The fields on the wire map to these terms:
//!
//! | wire | term |
//! | --- | --- |
//! | `tail N` | request for the events after N |
//! | `pos` | position of an event |
//! | `hosts`, `members` | endpoint list, endpoints |
//! | `flavor`, `locality`, `size`, `up_since_ms` | endpoint kind, zone, weight, start of the process |
//! | `phase`: `SERVING`, `DRAINING`, `DELETED` | status: ready, draining, removed |
//! | `expire`: `name`, `set`, `stamp` | invalidation: object, group, time of issue |

use super::error::LineError;
use meadowrill_routing::interface::{EndpointStatus, Micros};
use serde_json::Value;
use std::net::SocketAddr;

const MICROS_PER_MILLI: f64 = 1e3;
/// Times on the wire are Unix milliseconds up to the end of the year 9999, so that sums with them cannot overflow.
const MAX_TIME_MS: f64 = 253_402_300_799_999.0;

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointRecord {
    pub id: String,
    /// None if a removed endpoint is listed without an address.
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub endpoint_kind: String,
    pub cell: u16,
    pub status: EndpointStatus,
    pub weight: f64,
    pub started_at: Micros,
}

/// The content of an event.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Update {
    Endpoints {
        /// Whether this is the complete list and not only the changed endpoints.
        complete: bool,
        endpoints: Vec<EndpointRecord>,
    },
    Invalidation {
        /// None if the complete group is invalidated.
        object: Option<u64>,
        group: u32,
        issued_at: Micros,
    },
}

/// A line: the position of an event and its content. A position alone reports that there are no more events.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Line {
    pub position: Option<u64>,
    pub update: Option<Update>,
}

/// The request for all events after a position.
pub(super) fn poll_request(last_position: u64) -> String {
    format!("tail {last_position}\n")
}

pub(super) fn parse_line(text: &[u8]) -> Result<Line, LineError> {
    let value = serde_json::from_slice(text).map_err(|e| LineError::Json(e.to_string()))?;
    parse_entry(&value)
}

pub(crate) fn parse_entry(value: &Value) -> Result<Line, LineError> {
    if let Some(position) = value.as_u64() {
        return Ok(Line {
            position: Some(position),
            update: None,
        });
    }
    if !value.is_object() {
        return Err(LineError::NotAnEvent);
    }
    let update = if let Some(list) = value.get("hosts") {
        Some(parse_list(list)?)
    } else if let Some(invalidation) = value.get("expire") {
        Some(parse_invalidation(invalidation)?)
    } else {
        None
    };
    Ok(Line {
        position: value["pos"].as_u64(),
        update,
    })
}

fn parse_list(list: &Value) -> Result<Update, LineError> {
    let endpoints = list["members"]
        .as_array()
        .ok_or(LineError::ListWithoutEndpoints)?;
    Ok(Update::Endpoints {
        complete: list["complete"].as_bool().unwrap_or(false),
        endpoints: endpoints
            .iter()
            .map(parse_endpoint)
            .collect::<Result<_, _>>()?,
    })
}

fn parse_endpoint(value: &Value) -> Result<EndpointRecord, LineError> {
    let text = |name: &str| value[name].as_str().unwrap_or_default();
    let id = text("id").to_string();
    let status = match text("phase") {
        "SERVING" => EndpointStatus::Ready,
        "DRAINING" => EndpointStatus::Draining,
        "DELETED" => EndpointStatus::Removed,
        other => {
            let status = other.to_string();
            return Err(LineError::UnknownStatus { id, status });
        }
    };
    let address = text("host_port").parse().ok();
    if id.is_empty() || id.bytes().any(|b| !b.is_ascii_graphic()) {
        return Err(LineError::InvalidId(id));
    }
    if address.is_none() && status != EndpointStatus::Removed {
        let address = value["host_port"].to_string();
        return Err(LineError::InvalidAddress { id, address });
    }
    let cell = value["cell"].as_u64().and_then(|c| u16::try_from(c).ok());
    let weight = value["size"].as_f64().filter(|weight| *weight > 0.0);
    // An invalid start time does not make the list unusable: the process counts as started long ago.
    let started_at = parse_time(&value["up_since_ms"]).unwrap_or(0);
    Ok(EndpointRecord {
        id,
        address,
        zone: text("locality").to_string(),
        endpoint_kind: text("flavor").to_string(),
        cell: cell.unwrap_or(0),
        status,
        weight: weight.unwrap_or(1.0),
        started_at,
    })
}

/// Parses a time in Unix milliseconds. None if the value is not a number or is out of range.
fn parse_time(value: &Value) -> Option<Micros> {
    let milliseconds = value.as_f64()?;
    (0.0..=MAX_TIME_MS)
        .contains(&milliseconds)
        .then_some((milliseconds * MICROS_PER_MILLI) as Micros)
}

fn parse_invalidation(value: &Value) -> Result<Update, LineError> {
    let issued_at = parse_time(&value["stamp"]).ok_or(LineError::InvalidationWithoutTime)?;
    let object = match value["name"].as_str() {
        Some(name) => Some(
            u64::from_str_radix(name, 16)
                .map_err(|_| LineError::UnreadableObject(name.to_string()))?,
        ),
        None => None,
    };
    let group = value["set"].as_u64().and_then(|g| u32::try_from(g).ok());
    if object.is_none() && group.is_none() {
        return Err(LineError::InvalidationOfNothing);
    }
    Ok(Update::Invalidation {
        object,
        group: group.unwrap_or(0),
        issued_at,
    })
}
