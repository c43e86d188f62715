//! The view of the fleet in the loop: when it is asked, and what is said of its changes. Nothing of this is there
//! without `fleet { ... }` in the settings.

use super::timer::Timer;
use super::Front;
use crate::net::peers::Peers;
use crate::net::Poll;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::view::Change;
use meadowrill_routing::interface::Micros;
use slog::{error, info, warn, Logger};
use std::cmp::Reverse;

impl Front {
    /// One step with the other fronts, and what changed by it.
    pub(super) fn with_fronts(&mut self, now: Micros, step: impl FnOnce(&mut Peers, &mut Poll)) {
        let Some(fronts) = &mut self.fronts else {
            return;
        };
        step(fronts, &mut self.poll);
        for change in fronts.take_changes() {
            tell(&self.log, change);
        }
        self.do_events(now);
        self.do_shared(now);
        let Some(fronts) = &self.fronts else { return };
        let next = fronts.next_wake();
        if self.fleet_at != next {
            self.fleet_at = next;
            self.timers.push(Reverse((next, Timer::Fleet(next))));
        }
    }

    /// Rings that were set for a time which is no longer the next are passed over.
    pub(super) fn fleet_rang(&mut self, at: Micros, now: Micros) {
        if at == self.fleet_at {
            self.fleet_at = 0;
            self.with_fronts(now, |fronts, poll| fronts.tick(now, poll));
        }
    }
}

fn tell(log: &Logger, change: Change) {
    match change {
        Change::MemberChanged {
            name,
            from,
            to,
            start,
            incarnation,
            source: why,
            accuser: by,
        } => {
            let from = from.map_or("unknown", MemberState::name);
            info!(log, "member"; "who" => name, "from" => from, "to" => to.name(), "why" => why.name(), "by" => by,
                "start" => start, "incarnation" => incarnation);
        }
        Change::BodyReplaced { name } => info!(log, "member says more of itself"; "who" => name),
        Change::Forgotten { name } => info!(log, "member forgotten"; "who" => name),
        Change::Refuted { accuser: by } => warn!(log, "was held to fail, spoke up"; "by" => by),
        Change::ProcessPaused { duration: span } => warn!(log, "was away"; "us" => span),
        Change::Joined => info!(log, "joined the fleet"),
        Change::StartAdvanced { start } => {
            warn!(log, "went past another start of its name"; "start" => start)
        }
        Change::Withdrawn { other_address: to } => {
            error!(log, "another front of this name is there and started later: this one leaves the fleet"; "at" => to);
        }
        Change::DepartureCompleted {
            confirmations: confirmed,
        } => info!(log, "left the fleet"; "confirmed" => confirmed),
    }
}
