//! Recovery of a publisher that starts: the purges in force, and the position of the former epoch that it builds on, are
//! fetched from other relays.
//!
//! It ends once everything is there, or after [`MAX_SILENCE`]; a snapshot that goes on extends it by that much with each
//! part, up to [`MAX_DURATION`] in all.

use crate::event::LogPosition;
use crate::output::Output;
use crate::purge_set::PurgeSet;
use crate::settings::{DistributionSettings, Identity};
use crate::subscriber::{Role, Subscriber};
use crate::time::{Micros, SECOND};
use crate::wire::Body;

/// How long it waits for the first part of a snapshot, and for the next one.
const MAX_SILENCE: Micros = 2 * SECOND;
/// How long it waits in all.
const MAX_DURATION: Micros = 20 * SECOND;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Recovery {
    follower: Subscriber,
    started_at: Micros,
    deadline: Micros,
}

impl Recovery {
    /// None where there is no other relay.
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
            follower: Subscriber::with_role(settings, identity, Role::Relay, 0, now, seed),
            started_at: now,
            deadline: now + MAX_SILENCE,
        })
    }

    pub(super) fn next_wake(&self) -> Micros {
        self.follower.next_wake().min(self.deadline)
    }

    pub(super) fn receive(&mut self, now: Micros, body: Body, bytes: usize, out: &mut Vec<Output>) {
        self.follower.receive_body(now, body, bytes, out);
    }

    pub(super) fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.follower.next_wake() {
            self.follower.tick(now, out);
        }
    }

    /// Waits no longer than this.
    pub(super) fn end_at(&mut self, deadline: Micros) {
        self.deadline = deadline;
    }

    /// Waits for the next part, while a snapshot is under way.
    pub(super) fn extend(&mut self) {
        if let Some(last_part_at) = self.follower.last_part_at() {
            let deadline = (last_part_at + MAX_SILENCE).min(self.started_at + MAX_DURATION);
            self.deadline = self.deadline.max(deadline);
        }
    }

    /// Whether everything is there, or the time is over.
    pub(super) fn is_over(&self, now: Micros) -> bool {
        self.complete_position().is_some() || now >= self.deadline
    }

    /// The position that the new epoch builds on. Behind it, others may lack what is known here and is not published again.
    pub(super) fn complete_position(&self) -> Option<LogPosition> {
        self.follower.complete_position()
    }

    /// Copies from before this timestamp are to be refused.
    pub(super) fn raise_floor(&mut self, floor: Micros) {
        self.follower.log.purges.raise_floor(floor);
    }

    /// The purges that were found, also by a snapshot that was broken off.
    pub(super) fn into_purges(self) -> PurgeSet {
        self.follower.log.purges
    }
}
