//! Snapshots of all purges in force, for a subscriber that is behind the window of its relay.
//!
//! Invariants: a fetch is of one epoch, and never of one before the epoch of the log; the position moves only when all
//! parts have arrived, to the minimum position of the members that wrote them, and never back.

use super::Subscriber;
use crate::counters::RejectReason;
use crate::event::{Event, LogPosition};
use crate::event_codec::decode_events;
use crate::output::{Notice, Output};
use crate::snapshot_fetch::{FetchProgress, PartEnd, SnapshotFetch};
use crate::time::Micros;
use crate::wire::{SnapshotPart, WireCursor};

impl Subscriber {
    pub(super) fn receive_part(
        &mut self,
        now: Micros,
        part: SnapshotPart,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let writer = part
            .position
            .map(LogPosition::from)
            .ok_or(RejectReason::OutOfBounds)?;
        self.check_epoch(writer, part.request)?;
        let events = decode_events(&part.events)?;
        let is_answer = self.heartbeats.record_answer(part.request).is_ok();
        if !is_answer && self.fetch.is_none() {
            return Err(RejectReason::Unexpected);
        }
        let end = PartEnd {
            next: part.next.and_then(WireCursor::to_cursor),
            is_paused: part.is_paused,
        };
        let after = part.after.and_then(WireCursor::to_cursor);
        let fetch = self.fetch_for(now, writer, out);
        let progress = fetch.add_part(after, end);
        if progress == FetchProgress::Unusable {
            return Err(RejectReason::Unexpected);
        }
        fetch.record_applied(writer, events.len() as u64);
        self.apply_part(events, part.purge_floor, out);
        self.continue_fetch(now, progress, out);
        self.relays.record_progress(now);
        Ok(())
    }

    /// Completes the snapshot, or schedules the request for its next parts.
    fn continue_fetch(&mut self, now: Micros, progress: FetchProgress, out: &mut Vec<Output>) {
        match progress {
            FetchProgress::Complete => self.finish_fetch(now, out),
            FetchProgress::Paused => self.heartbeats.schedule_at(now),
            FetchProgress::MoreInFlight => {
                let at = now + self.settings.retry_interval;
                self.heartbeats.schedule_at(at);
            }
            FetchProgress::Ahead | FetchProgress::Unusable => {}
        }
    }

    /// Rejects parts of an epoch before the own one, and late parts of a former relay. If the current relay is in an
    /// older epoch than the snapshot that is being fetched, the fetch restarts, and none of its parts count as
    /// applied.
    fn check_epoch(&self, writer: LogPosition, request: u32) -> Result<(), RejectReason> {
        let is_before_log = self
            .log
            .position()
            .is_some_and(|own| writer.epoch < own.epoch);
        let is_before_fetch = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| writer.epoch < fetch.min_writer_position.epoch);
        let is_late = !self.heartbeats.is_last_request(request);
        if is_before_log || (is_late && is_before_fetch) {
            return Err(RejectReason::OldEpoch);
        }
        Ok(())
    }

    /// The current fetch if it is in the writer's epoch, otherwise a new one.
    fn fetch_for(
        &mut self,
        now: Micros,
        writer: LogPosition,
        out: &mut Vec<Output>,
    ) -> &mut SnapshotFetch {
        let former = self.fetch.take();
        let started_at = former.as_ref().map_or(now, |fetch| fetch.started_at);
        let current = former.filter(|fetch| fetch.min_writer_position.epoch == writer.epoch);
        if current.is_none() {
            self.counters.snapshots += 1;
            let relay = self.relays.current_name();
            out.push(Output::Notice(Notice::SnapshotStarted { relay }));
        }
        let fetch = current.unwrap_or_else(|| SnapshotFetch::new(started_at, writer));
        self.fetch.insert(fetch)
    }

    fn apply_part(&mut self, events: Vec<Event>, floor: Option<Micros>, out: &mut Vec<Output>) {
        if let Some(floor) = floor {
            self.log.purges.raise_floor(floor);
        }
        for Event::Purge(purge) in events {
            if self.log.purges.insert(purge) {
                out.push(Output::Apply(Event::Purge(purge)));
            }
        }
    }

    /// Completes the fetch: the log continues from the minimum position of the members that wrote the parts.
    fn finish_fetch(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(fetch) = self.fetch.take() else {
            return;
        };
        // A relay that is behind this subscriber may have written a part. Events that were applied before still count.
        let position = self
            .log
            .position()
            .map_or(fetch.min_writer_position, |own| {
                own.max(fetch.min_writer_position)
            });
        self.log.reset(position);
        self.snapshot_max_position = Some(fetch.max_writer_position);
        self.reorder_buffer.clear();
        // Parts that are still in flight start no new fetch.
        self.heartbeats.forget_outstanding();
        self.heartbeats.schedule_at(now);
        out.push(Output::Notice(Notice::SnapshotCompleted {
            purges: fetch.purges,
            took: now - fetch.started_at,
            position,
        }));
    }
}
