//! The subscription to invalidations from relays. Nothing of this runs without `fleet { events { ... } }` in the settings.
//!
//! Invariants: an invalidation is in force before it is acknowledged and before anything else is decided or sent; without
//! a lease the age of copies is bounded, by the clock at the moment of the decision.

use super::Proxy;
use crate::report::distribution::log_notice;
use meadowrill_event_distribution::event::{Event as Distributed, Purge, PurgeKey};
use meadowrill_event_distribution::output::Output;
use meadowrill_routing::host::stable_id;
use meadowrill_routing::interface::{Event, Micros};
use slog::error;

impl Proxy {
    /// Subscribes to a relay, where the settings name some.
    pub(super) fn subscribe_to_relays(&mut self, now: Micros) {
        let (Some(peers), Some(plan)) = (&mut self.fleet.peers, &self.config.operator.events)
        else {
            return;
        };
        // Proxies of one seed are not to draw the same pauses.
        let seed = self.config.seed ^ stable_id(&self.config.name);
        peers.subscribe(plan, &self.config.operator.region, now, seed);
    }

    /// Carries out what the subscription asks for, in order.
    pub(super) fn perform_subscription_outputs(&mut self, now: Micros) {
        let Some(subscription) = self.fleet.subscription_mut() else {
            return;
        };
        let (outputs, panics) = (subscription.take_outputs(), subscription.take_panics());
        for panic in panics {
            error!(self.log, "panic in the subscription, which starts anew"; "text" => %panic);
        }
        for output in outputs {
            match output {
                Output::Apply(Distributed::Purge(purge)) => {
                    if !self.apply_invalidation(purge, now) {
                        // Nothing behind it may be acknowledged: all that binds is fetched again.
                        return self.restart_subscription(now);
                    }
                }
                Output::Send { to, bytes } => {
                    if let Some(peers) = &mut self.fleet.peers {
                        peers.datagrams.send(to, &bytes);
                    }
                }
                Output::Notice(notice) => log_notice(&self.log, &notice),
                // For publishers only.
                Output::InForce { .. } => {}
            }
        }
    }

    fn restart_subscription(&mut self, now: Micros) {
        if let Some(subscription) = self.fleet.subscription_mut() {
            subscription.restart(now);
        }
    }

    /// Puts an invalidation in force at once; false where the router did not take it.
    fn apply_invalidation(&mut self, purge: Purge, now: Micros) -> bool {
        let (object, group) = match purge.key {
            PurgeKey::Object(object) => (Some(object), 0),
            PurgeKey::Group(group) => (None, group),
        };
        let age = now - purge.timestamp;
        self.metrics.observe_purge_age(age as f64 / 1e6);
        let event = Event::Invalidated { object, group, age };
        self.handle_at_once(now, event)
    }

    /// Tells the router which copies may be served, where that has changed. By the clock as it is now: a process that
    /// was stopped since the round began must not rely on a lease that has lapsed meanwhile.
    pub(super) fn update_freshness_bound(&mut self, now: Micros) {
        let Some(subscription) = self.fleet.subscription() else {
            return;
        };
        let bound = subscription.freshness_bound(self.clock.now());
        if self.fleet.freshness_bound == Some(bound) {
            return;
        }
        let event = Event::FreshnessBound {
            not_before: bound.not_before,
            max_age: bound.max_age,
        };
        if self.handle_at_once(now, event) {
            self.fleet.freshness_bound = Some(bound);
        }
    }

    /// Has the router handle an event ahead of all that wait; false where it panicked.
    fn handle_at_once(&mut self, now: Micros, event: Event) -> bool {
        let handled = self.routing.handle_at_once(now, event);
        if let Err(panic) = &handled {
            error!(self.log, "panic in the decisions"; "text" => %panic);
        }
        handled.is_ok()
    }
}
