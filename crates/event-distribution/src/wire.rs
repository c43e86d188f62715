//! Datagrams between publisher, relays and subscribers: at most [`MAX_DATAGRAM_BYTES`], `ev`, a version, a checksum and a
//! protobuf message (the envelope of `meadowrill_membership`). Older builds drop what begins with `ev`.
//!
//! Everything that [`decode`] returns is within bounds; events within a message are read by [`crate::event_codec`].

mod bounds;
mod messages;

pub use bounds::MAX_POSITION;
pub use messages::{
    Batch, Body, Busy, Heartbeat, LeaseGrant, SnapshotPart, WireCursor, WireKey, WirePosition,
};

use crate::counters::RejectReason;
use meadowrill_membership::envelope;
use messages::Packet;

/// The first bytes of a datagram.
pub const MARK: [u8; 2] = *b"ev";
/// Never written: events go in datagrams only.
const PACKED_MARK: [u8; 2] = *b"ez";
/// Of the messages.
pub const VERSION: u8 = 1;
/// Bytes of a datagram at most.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// A message as a datagram.
pub fn encode(fleet: u64, body: Body) -> Vec<u8> {
    let packet = Packet {
        fleet: fleet_number(fleet),
        body: Some(body),
    };
    let mut bytes = Vec::new();
    envelope::encode(MARK, VERSION, &packet, &mut bytes);
    bytes
}

/// The message of a datagram.
///
/// # Errors
///
/// The reason to drop it: another kind or version, garbled, of another fleet, or out of bounds.
pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Body, RejectReason> {
    let packet: Packet =
        envelope::decode(MARK, PACKED_MARK, VERSION, bytes).map_err(|_| RejectReason::Envelope)?;
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
