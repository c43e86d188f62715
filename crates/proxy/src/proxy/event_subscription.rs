//! The subscription to invalidations from relays. It is active only with `fleet { events { ... } }` in the settings.
//!
//! Invariants: an invalidation is in force before it is acknowledged, and before any other decision is made or message
//! is sent; without a lease the age of copies is bounded, according to the clock at the time of the decision.

use super::Proxy;
use crate::report::distribution::log_notice;
use meadowrill_event_distribution::event::{Event as DistributedEvent, Purge, PurgeKey};
use meadowrill_event_distribution::output::Output;
use meadowrill_routing::host::stable_id;
use meadowrill_routing::interface::{Event, Micros};
use slog::error;

impl Proxy {
    /// Subscribes to a relay if the settings name relays.
    pub(super) fn subscribe_to_relays(&mut self, now: Micros) {
        let (Some(peers), Some(settings)) = (&mut self.fleet.peers, &self.config.operator.events)
        else {
            return;
        };
        // Proxies with the same seed must not draw the same random delays.
        let seed = self.config.seed ^ stable_id(&self.config.name);
        peers.subscribe(settings, &self.config.operator.region, now, seed);
    }

    /// Performs the outputs of the subscription in order.
    pub(super) fn perform_subscription_outputs(&mut self, now: Micros) {
        let Some(subscription) = self.fleet.subscription_mut() else {
            return;
        };
        let (outputs, panics) = (subscription.take_outputs(), subscription.take_panics());
        for panic in panics {
            error!(self.log, "panic in the subscription; the subscription is restarted"; "text" => %panic);
        }
        for output in outputs {
            match output {
                Output::Apply(DistributedEvent::Purge(purge)) => {
                    if !self.apply_invalidation(purge, now) {
                        // No later event may be acknowledged: all events that are in force are fetched again.
                        return self.restart_subscription(now);
                    }
                }
                Output::Send { to, bytes } => {
                    if let Some(peers) = &mut self.fleet.peers {
                        peers.datagrams.send(to, &bytes);
                    }
                }
                Output::Notice(notice) => log_notice(&self.log, &notice),
                // Used by publishers only.
                Output::InForce { .. } => {}
            }
        }
    }

    fn restart_subscription(&mut self, now: Micros) {
        if let Some(subscription) = self.fleet.subscription_mut() {
            subscription.restart(now);
        }
    }

    /// Applies an invalidation immediately. Returns false if the router panicked.
    fn apply_invalidation(&mut self, purge: Purge, now: Micros) -> bool {
        let (object, group) = match purge.key {
            PurgeKey::Object(object) => (Some(object), 0),
            PurgeKey::Group(group) => (None, group),
        };
        let age = now - purge.timestamp;
        self.metrics.observe_purge_age(age as f64 / 1e6);
        let event = Event::Invalidated { object, group, age };
        self.handle_immediately(now, event)
    }

    /// Notifies the router of a changed freshness bound. The bound is computed with the current time, not the start of
    /// the round: a process that was stopped since then must not rely on a lease that has expired meanwhile.
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
        if self.handle_immediately(now, event) {
            self.fleet.freshness_bound = Some(bound);
        }
    }

    /// Passes an event to the router ahead of all queued events. Returns false if the router panicked.
    fn handle_immediately(&mut self, now: Micros, event: Event) -> bool {
        let handled = self.routing.handle_immediately(now, event);
        if let Err(panic) = &handled {
            error!(self.log, "panic in the router"; "text" => %panic);
        }
        handled.is_ok()
    }
}
