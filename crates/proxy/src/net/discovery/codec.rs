//! The lines of the discovery service. Each field of the wire is mapped to its term here:
//!
//! | wire | term |
//! | --- | --- |
//! | `tail N` | poll for the events behind N |
//! | `pos` | position of an event |
//! | `hosts`, `members` | endpoint list, endpoints |
//! | `flavor`, `locality`, `size`, `up_since_ms` | machine kind, zone, weight, start of the process |
//! | `phase`: `SERVING`, `DRAINING`, `DELETED` | status: ready, draining, removed |
//! | `expire`: `name`, `set`, `stamp` | invalidation: object, group, when it was issued |

use super::error::LineError;
use meadowrill_routing::interface::{EndpointStatus, Micros};
use serde_json::Value;
use std::net::SocketAddr;

const MICROS_PER_MILLI: f64 = 1e3;
/// Times on the wire are Unix milliseconds up to the end of the year 9999: sums with them cannot overflow.
const MAX_TIME_MS: f64 = 253_402_300_799_999.0;

/// An endpoint as it is listed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointRecord {
    pub id: String,
    /// None where a removed one is only named.
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub machine_kind: String,
    pub cell: u16,
    pub status: EndpointStatus,
    pub weight: f64,
    pub started_at: Micros,
}

/// What an event brings.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Update {
    Endpoints {
        /// The complete list, not only what has changed.
        complete: bool,
        endpoints: Vec<EndpointRecord>,
    },
    Invalidation {
        /// None for the whole group.
        object: Option<u64>,
        group: u32,
        issued_at: Micros,
    },
}

/// A line: the position of an event, and what it brings. A position alone says that there is nothing more.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Line {
    pub position: Option<u64>,
    pub update: Option<Update>,
}

/// The request for all events behind a position.
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
    // One that cannot be is no reason to lose the whole list: it counts as long ago.
    let started_at = parse_time(&value["up_since_ms"]).unwrap_or(0);
    Ok(EndpointRecord {
        id,
        address,
        zone: text("locality").to_string(),
        machine_kind: text("flavor").to_string(),
        cell: cell.unwrap_or(0),
        status,
        weight: weight.unwrap_or(1.0),
        started_at,
    })
}

/// A time in Unix milliseconds; none where it is no number or out of range.
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
