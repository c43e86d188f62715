//! Snapshots for subscribers that are behind the window: a few parts per request, limited by a byte rate.

use super::Distributor;
use crate::event::{Event, PurgeCursor};
use crate::event_codec::EventEncoder;
use crate::event_log::EventLog;
use crate::output::Output;
use crate::time::Micros;
use crate::wire::{Body, Heartbeat, SnapshotPart, WireCursor};
use std::net::SocketAddr;

/// Maximum number of parts that are sent per request.
const MAX_PARTS_AT_ONCE: usize = 16;

impl Distributor {
    /// Sends the next parts of the purges in force, from the position that the subscriber has reached.
    pub(super) fn send_snapshot(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        to: SocketAddr,
        log: &EventLog,
        out: &mut Vec<Output>,
    ) {
        let mut cursor = heartbeat
            .snapshot_cursor
            .filter(|_| heartbeat.fetching_snapshot)
            .and_then(WireCursor::to_cursor);
        for number in 1..=MAX_PARTS_AT_ONCE {
            let is_last_for_now = number == MAX_PARTS_AT_ONCE;
            let part = snapshot_part(log, cursor, heartbeat.request, is_last_for_now);
            if !self.snapshot_bytes.try_take(now, part.events.len() as u64) {
                return self.send_busy(heartbeat, to, false, out);
            }
            cursor = part.next.and_then(WireCursor::to_cursor);
            let is_complete = part.next.is_none();
            self.counters.snapshots += u64::from(is_complete);
            self.send(to, Body::SnapshotPart(part), out);
            if is_complete {
                break;
            }
        }
        if let Some(subscription) = self.subscriptions.get_mut(&heartbeat.name) {
            // The parts are the answer to the heartbeat.
            let _ = subscription.mark_answered();
        }
    }
}

/// Builds the part that follows a position.
fn snapshot_part(
    log: &EventLog,
    after: Option<PurgeCursor>,
    request: u32,
    is_last_for_now: bool,
) -> SnapshotPart {
    let mut encoder = EventEncoder::default();
    let mut last = after;
    let mut has_more = false;
    for purge in log.purges.after(after) {
        if !encoder.push(&Event::Purge(purge)) {
            has_more = true;
            break;
        }
        last = Some(purge.cursor());
    }
    SnapshotPart {
        position: log.position().map(Into::into),
        after: after.map(Into::into),
        next: last.filter(|_| has_more).map(Into::into),
        events: encoder.finish(),
        purge_floor: log.purges.floor(),
        is_paused: is_last_for_now && has_more,
        request,
    }
}
