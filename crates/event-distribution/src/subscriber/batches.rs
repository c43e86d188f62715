//! Batches of events, and the leases that are granted with them.
//!
//! Invariants: events are applied in order and exactly once; an epoch is entered only at its start, and only after
//! everything that it continues from has been applied.

use super::{Role, Subscriber};
use crate::counters::RejectReason;
use crate::event::{Epoch, LogPosition};
use crate::event_codec::decode_events;
use crate::mutant;
use crate::output::{Notice, Output};
use crate::reorder_buffer::ReceivedBatch;
use crate::settings::MAX_RELAY_HOPS;
use crate::time::{Micros, MILLISECOND};
use crate::wire::{Batch, LeaseGrant};

impl Subscriber {
    pub(super) fn receive_batch(
        &mut self,
        now: Micros,
        batch: Batch,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let events = decode_events(&batch.events)?;
        let end = batch.first.checked_add(events.len() as u64);
        if end.is_none_or(|end| batch.head < end) {
            return Err(RejectReason::OutOfBounds);
        }
        let start = LogPosition {
            epoch: Epoch(batch.epoch),
            position: batch.first,
        };
        let continues_from = batch.continues_from.map(LogPosition::from);
        let followed = self.follow_epoch(now, start, continues_from, out);
        if followed.is_ok() {
            let received = ReceivedBatch {
                first: batch.first,
                events,
                encoded: batch.events,
                published_at: now - Micros::from(batch.age_ms) * MILLISECOND,
            };
            self.process_batch(now, start.epoch, received, out);
        }
        self.relay_head = self.relay_head.max(Some(LogPosition {
            position: batch.head,
            ..start
        }));
        if let Some(grant) = batch.grant {
            self.process_grant(now, grant, out)?;
        }
        followed
    }

    /// Enters a new epoch of the publisher if everything that it continues from has been applied.
    fn follow_epoch(
        &mut self,
        now: Micros,
        start: LogPosition,
        continues_from: Option<LogPosition>,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let Some(own) = self.log.position() else {
            return Ok(());
        };
        if start.epoch == own.epoch {
            return Ok(());
        }
        if start.epoch < own.epoch && !mutant("old-epoch") {
            return Err(RejectReason::OldEpoch);
        }
        let has_former = continues_from
            .is_some_and(|end| end.epoch == own.epoch && own.position >= end.position);
        if (has_former && start.position == 0) || start.epoch < own.epoch {
            self.enter_epoch(start.epoch, continues_from, out);
            return Ok(());
        }
        // The start of the epoch was lost in the network. If the epoch does not continue from the own position, the
        // relay sends a snapshot once it learns that position.
        if self.fetch.is_none() {
            self.heartbeats.request_resend(now, &self.settings);
        }
        Err(RejectReason::Unexpected)
    }

    fn enter_epoch(
        &mut self,
        epoch: Epoch,
        continues_from: Option<LogPosition>,
        out: &mut Vec<Output>,
    ) {
        self.log.begin_epoch(epoch, continues_from);
        self.reorder_buffer.clear();
        let position = LogPosition { epoch, position: 0 };
        out.push(Output::Notice(Notice::EpochStarted { position }));
    }

    /// Applies a batch and the stored batches that follow it, or stores it until the missing ones arrive.
    fn process_batch(
        &mut self,
        now: Micros,
        epoch: Epoch,
        batch: ReceivedBatch,
        out: &mut Vec<Output>,
    ) {
        let Some(own) = self.log.position().filter(|own| own.epoch == epoch) else {
            return;
        };
        // A batch without events also reveals a gap, because it begins where the batches sent before it end.
        let tolerated = u64::from(mutant("resume-off-by-one"));
        if batch.first > own.position + tolerated {
            self.counters.gaps += 1;
            self.reorder_buffer.insert(batch);
            self.heartbeats.request_resend(now, &self.settings);
            return;
        }
        self.apply_batch(batch, out);
        while let Some(batch) = self
            .log
            .position()
            .and_then(|own| self.reorder_buffer.take(own.position))
        {
            self.apply_batch(batch, out);
        }
        if self.log.position() > Some(own) {
            self.heartbeats.set_resend(!self.reorder_buffer.is_empty());
        }
    }

    /// Applies the new events of a batch that begins no later than the end of the log.
    fn apply_batch(&mut self, batch: ReceivedBatch, out: &mut Vec<Output>) {
        let own = self.log.position().map_or(0, |own| own.position);
        let known = own.saturating_sub(batch.first);
        let count = batch.events.len() as u64;
        if known >= count {
            return;
        }
        self.counters.batches += 1;
        self.counters.events += count - known;
        let new = self.log.append_rest(
            batch.published_at,
            known as usize,
            &batch.events,
            batch.encoded,
        );
        out.extend(new.into_iter().map(Output::Apply));
    }

    /// Handles the answer to a heartbeat, with or without a lease.
    fn process_grant(
        &mut self,
        now: Micros,
        grant: LeaseGrant,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let request = self.heartbeats.record_answer(grant.request)?;
        let is_too_far = self.role == Role::Relay && grant.hops >= MAX_RELAY_HOPS;
        if grant.lease_micros == 0 || is_too_far {
            self.heartbeats
                .schedule_after_refusal(now, request, &self.settings);
            return Ok(());
        }
        self.hops = grant.hops.saturating_add(1);
        self.relays.record_grant(now);
        let interval = match self.role {
            Role::Relay => self.settings.batch_interval,
            Role::Proxy => self.settings.heartbeat_interval,
        };
        self.heartbeats.schedule_after_grant(now, request, interval);
        let from = if mutant("lease-from-arrival") {
            now
        } else {
            request.sent_at
        };
        let duration = Micros::from(grant.lease_micros).min(self.settings.lease_duration);
        if let Some(time_without_lease) = self.lease.extend(now, from + duration) {
            let relay = self.relays.current_name();
            out.push(Output::Notice(Notice::LeaseAcquired {
                relay,
                time_without_lease,
            }));
        }
        Ok(())
    }
}
