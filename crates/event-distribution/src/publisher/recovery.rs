//! Recovery of a starting publisher: it fetches the purges in force, and the position of the previous epoch that it
//! continues from, from other relays.
//!
//! It ends once everything has been fetched, or after [`PART_TIMEOUT`]. Each part of a snapshot extends it by that
//! time, up to [`TOTAL_TIMEOUT`] in total.

use crate::event::LogPosition;
use crate::output::Output;
use crate::purge_set::PurgeSet;
use crate::settings::{DistributionSettings, Identity};
use crate::subscriber::{Role, Subscriber};
use crate::time::{Micros, SECOND};
use crate::wire::Body;

/// Maximum wait for the first part of a snapshot, and for each further one.
const PART_TIMEOUT: Micros = 2 * SECOND;
/// Maximum duration of the recovery.
const TOTAL_TIMEOUT: Micros = 20 * SECOND;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Recovery {
    subscriber: Subscriber,
    started_at: Micros,
    deadline: Micros,
}

impl Recovery {
    /// Starts the recovery, or returns `None` if there is no other relay.
    pub(super) fn new(
        settings: &DistributionSettings,
        identity: Identity,
        now: Micros,
        seed: u64,
    ) -> Option<Recovery> {
        let mut relays = settings.relays.iter();
        relays.find(|relay| relay.name != identity.name)?;
        let settings = settings.clone();
        Some(Recovery {
            subscriber: Subscriber::with_role(settings, identity, Role::Relay, 0, now, seed),
            started_at: now,
            deadline: now + PART_TIMEOUT,
        })
    }

    pub(super) fn next_wake(&self) -> Micros {
        self.subscriber.next_wake().min(self.deadline)
    }

    pub(super) fn receive(&mut self, now: Micros, body: Body, bytes: usize, out: &mut Vec<Output>) {
        self.subscriber.receive_body(now, body, bytes, out);
    }

    pub(super) fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.subscriber.next_wake() {
            self.subscriber.tick(now, out);
        }
    }

    /// Sets the time at which the recovery ends at the latest.
    pub(super) fn set_deadline(&mut self, deadline: Micros) {
        self.deadline = deadline;
    }

    /// Extends the deadline for the next part while a snapshot is being fetched.
    pub(super) fn extend_deadline(&mut self) {
        if let Some(last_part_at) = self.subscriber.last_part_at() {
            let deadline = (last_part_at + PART_TIMEOUT).min(self.started_at + TOTAL_TIMEOUT);
            self.deadline = self.deadline.max(deadline);
        }
    }

    /// Whether everything has been fetched or the deadline has passed.
    pub(super) fn is_over(&self, now: Micros) -> bool {
        self.complete_position().is_some() || now >= self.deadline
    }

    /// The position that the new epoch continues from, or `None` before the recovery is complete. Subscribers that are
    /// behind it may lack purges that are known here and are not published again.
    pub(super) fn complete_position(&self) -> Option<LogPosition> {
        self.subscriber.complete_position()
    }

    /// Refuses copies from before this timestamp.
    pub(super) fn raise_floor(&mut self, floor: Micros) {
        self.subscriber.log.purges.raise_floor(floor);
    }

    /// The purges that were fetched, also those of an incomplete snapshot.
    pub(super) fn into_purges(self) -> PurgeSet {
        self.subscriber.log.purges
    }
}
