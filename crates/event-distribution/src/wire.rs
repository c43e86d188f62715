//! Datagrams between publisher, relays and subscribers. A datagram has at most [`MAX_DATAGRAM_BYTES`] and consists of
//! `ev`, a version, a checksum and a protobuf message (the envelope of `meadowrill_membership`). Older builds drop
//! datagrams that begin with `ev`.
//!
//! Everything that [`decode`] returns is within bounds. The events within a message are decoded by
//! [`crate::event_codec`].

mod bounds;
mod messages;

pub use bounds::MAX_POSITION;
pub use messages::{
    Batch, Body, Busy, Heartbeat, LeaseGrant, SnapshotPart, WireCursor, WireKey, WirePosition,
};

use crate::counters::RejectReason;
use meadowrill_membership::envelope;
use messages::Packet;

/// Magic bytes at the start of a datagram.
pub const MAGIC: [u8; 2] = *b"ev";
/// Magic bytes of compressed messages, which this crate never writes: events are sent in datagrams only.
const COMPRESSED_MAGIC: [u8; 2] = *b"ez";
/// Version of the messages.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Encodes a message as a datagram.
pub fn encode(fleet: u64, body: Body) -> Vec<u8> {
    let packet = Packet {
        fleet: fleet_number(fleet),
        body: Some(body),
    };
    let mut bytes = Vec::new();
    envelope::encode(MAGIC, VERSION, &packet, &mut bytes);
    bytes
}

/// Decodes the message of a datagram.
///
/// # Errors
///
/// Returns the reason to drop the datagram: it is of another kind or version, corrupt, of another fleet, or out of
/// bounds.
pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Body, RejectReason> {
    let packet: Packet = envelope::decode(MAGIC, COMPRESSED_MAGIC, VERSION, bytes)
        .map_err(|_| RejectReason::Envelope)?;
    if packet.fleet != fleet_number(fleet) {
        return Err(RejectReason::OtherFleet);
    }
    packet
        .body
        .filter(Body::is_within_bounds)
        .ok_or(RejectReason::OutOfBounds)
}

/// The lower half of the hash of the fleet's name.
fn fleet_number(fleet: u64) -> u32 {
    fleet as u32
}
