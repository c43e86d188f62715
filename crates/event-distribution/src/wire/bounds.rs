//! Bounds of messages that are received.

use super::messages::{Batch, Body, Heartbeat, SnapshotPart, WireCursor, WirePosition};
use crate::event::{Epoch, LogPosition, Position};
use crate::settings::MAX_TEXT_BYTES;
use crate::timestamp;

/// Maximum position.
pub const MAX_POSITION: Position = 1 << 56;

impl Body {
    pub(super) fn is_within_bounds(&self) -> bool {
        match self {
            Body::Heartbeat(heartbeat) => heartbeat.is_within_bounds(),
            Body::Batch(batch) => batch.is_within_bounds(),
            Body::SnapshotPart(part) => part.is_within_bounds(),
            Body::Busy(_) => true,
        }
    }
}

impl WirePosition {
    fn is_within_bounds(&self) -> bool {
        self.epoch <= Epoch::MAX.0 && self.position <= MAX_POSITION
    }
}

impl Heartbeat {
    fn is_within_bounds(&self) -> bool {
        let has_valid_texts = !self.name.is_empty()
            && self.name.len() <= MAX_TEXT_BYTES
            && self.address.len() <= MAX_TEXT_BYTES;
        // No subscriber of a relay is ahead of the relay.
        let is_acknowledged_reached =
            self.acknowledged.map(LogPosition::from) <= self.position.map(LogPosition::from);
        has_valid_texts
            && is_acknowledged_reached
            && self
                .snapshot_cursor
                .is_none_or(|cursor| cursor.to_cursor().is_some())
            && self.newer_epoch <= Epoch::MAX.0
            && self
                .position
                .is_none_or(|position| position.is_within_bounds())
    }
}

impl Batch {
    fn is_within_bounds(&self) -> bool {
        let first = WirePosition {
            epoch: self.epoch,
            position: self.first,
        };
        let head = WirePosition {
            position: self.head,
            ..first
        };
        [Some(first), Some(head), self.continues_from]
            .into_iter()
            .flatten()
            .all(|position| position.is_within_bounds())
    }
}

impl SnapshotPart {
    fn is_within_bounds(&self) -> bool {
        let after = self.after.map(WireCursor::to_cursor);
        let next = self.next.map(WireCursor::to_cursor);
        let are_cursors_complete = after != Some(None) && next != Some(None);
        let is_advancing = next.is_none() || next > after;
        are_cursors_complete
            && is_advancing
            && self
                .purge_floor
                .is_none_or(|floor| timestamp::is_valid(timestamp::to_milliseconds(floor)))
            && self
                .position
                .is_none_or(|position| position.is_within_bounds())
    }
}
