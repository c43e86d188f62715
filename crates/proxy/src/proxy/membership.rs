//! Fleet membership in the event loop: the timer of the membership view, and log lines for its changes. It is active
//! only with `fleet { ... }` in the settings.

use super::timers::Timer;
use super::Proxy;
use crate::net::peers::Peers;
use crate::net::subscription::Subscription;
use crate::net::Poll;
use meadowrill_event_distribution::subscriber::FreshnessBound;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::view::Change;
use meadowrill_replication::replica::Replica;
use meadowrill_routing::interface::Micros;
use slog::{error, info, warn, Logger};

/// The exchange with the other proxies of the fleet, and the state that depends on it.
pub(super) struct Fleet {
    /// `None` without a fleet in the settings.
    pub(super) peers: Option<Peers>,
    /// The time for which the fleet timer is set.
    pub(super) wake_at: Micros,
    /// The freshness bound last passed to the router; `None` before the first bound, and without a subscription.
    pub(super) freshness_bound: Option<FreshnessBound>,
}

impl Fleet {
    pub(super) fn new(peers: Option<Peers>) -> Fleet {
        Fleet {
            peers,
            wake_at: 0,
            freshness_bound: None,
        }
    }

    /// The replica of the shared state, if the settings enable it.
    pub(super) fn replica(&self) -> Option<&Replica> {
        self.peers.as_ref()?.replica.as_ref()
    }

    pub(super) fn shares_state(&self) -> bool {
        self.replica().is_some()
    }

    /// The subscription to relays, if the settings name relays.
    pub(super) fn subscription(&self) -> Option<&Subscription> {
        self.peers.as_ref()?.subscription.as_ref()
    }

    pub(super) fn subscription_mut(&mut self) -> Option<&mut Subscription> {
        self.peers.as_mut()?.subscription.as_mut()
    }

    pub(super) fn subscribes(&self) -> bool {
        self.subscription().is_some()
    }

    /// Whether unread datagrams are waiting.
    pub(super) fn has_input(&self) -> bool {
        self.peers.as_ref().is_some_and(Peers::has_unread_datagrams)
    }

    /// Whether this proxy has left the fleet, or has never been a member.
    pub(super) fn has_left(&self) -> bool {
        self.peers.as_ref().is_none_or(Peers::has_left)
    }
}

impl Proxy {
    /// Runs one step of the exchange with the other proxies, carries out its results and sets the fleet timer.
    pub(super) fn with_fleet(&mut self, now: Micros, step: impl FnOnce(&mut Peers, &mut Poll)) {
        let Some(peers) = &mut self.fleet.peers else {
            return;
        };
        step(peers, &mut self.poll);
        for change in peers.take_changes() {
            log_change(&self.log, change);
        }
        self.perform_subscription_outputs(now);
        self.perform_replica_actions(now);
        let Some(peers) = &self.fleet.peers else {
            return;
        };
        let next = peers.next_wake();
        if self.fleet.wake_at != next {
            self.fleet.wake_at = next;
            self.timers.set(next, Timer::Fleet(next));
        }
    }

    /// Handles a fleet timer. A timer that was set for a time other than the current wake time is ignored.
    pub(super) fn fleet_timer_fired(&mut self, at: Micros, now: Micros) {
        if at == self.fleet.wake_at {
            self.fleet.wake_at = 0;
            self.with_fleet(now, |peers, poll| peers.tick(now, poll));
        }
    }
}

/// Logs a change of the membership. Texts and fields are matched by the checks and scripts of `crates/fault-injection`.
fn log_change(log: &Logger, change: Change) {
    match change {
        Change::MemberChanged {
            name,
            from,
            to,
            start,
            incarnation,
            source,
            accuser,
        } => {
            let from = from.map_or("unknown", MemberState::name);
            info!(log, "member"; "who" => name, "from" => from, "to" => to.name(), "why" => source.name(), "by" => accuser,
                "start" => start, "incarnation" => incarnation);
        }
        Change::BodyReplaced { name } => {
            info!(log, "member replaced its published body"; "who" => name)
        }
        Change::Forgotten { name } => info!(log, "member forgotten"; "who" => name),
        Change::Refuted { accuser } => {
            warn!(log, "refuted a claim that this proxy had failed"; "by" => accuser)
        }
        Change::ProcessPaused { duration } => warn!(log, "was away"; "us" => duration),
        Change::Joined => info!(log, "joined the fleet"),
        Change::StartAdvanced { start } => {
            warn!(log, "adopted a later start than another process of this name"; "start" => start)
        }
        Change::Withdrawn { other_address } => {
            error!(log, "another front of this name is alive; this proxy leaves the fleet"; "at" => other_address);
        }
        Change::DepartureCompleted { confirmations } => {
            info!(log, "left the fleet"; "confirmed" => confirmations)
        }
    }
}
