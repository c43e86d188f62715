//! Events from relays in the loop: a purge is in force before anything else is decided or sent, and without a lease the
//! age of copies is bounded. Nothing of this is there without `fleet { events { ... } }` in the settings.

use super::Front;
use crate::report::distribution::log_notice;
use meadowrill_event_distribution::event::{Event as Distributed, Purge, PurgeKey};
use meadowrill_event_distribution::output::Output;
use meadowrill_routing::host::{catch_panic, stable_id};
use meadowrill_routing::interface::{Action, Event, Micros};
use slog::error;

impl Front {
    pub(super) fn subscribes(&self) -> bool {
        self.fronts
            .as_ref()
            .is_some_and(|fronts| fronts.subscription.is_some())
    }

    /// Subscribes to a relay, where the settings tell of some.
    pub(super) fn subscribe(&mut self, now: Micros) {
        let (Some(fronts), Some(plan)) = (&mut self.fronts, &self.config.own.events) else {
            return;
        };
        // Peers of one seed are not to draw the same pauses.
        let seed = self.config.seed ^ stable_id(&self.config.name);
        fronts.subscribe(plan, &self.config.own.region, now, seed);
    }

    /// What the subscription wants done, in its order.
    pub(super) fn do_events(&mut self, now: Micros) {
        let Some(subscription) = self
            .fronts
            .as_mut()
            .and_then(|fronts| fronts.subscription.as_mut())
        else {
            return;
        };
        let (outputs, panics) = (subscription.take_outputs(), subscription.take_panics());
        for panic in panics {
            error!(self.log, "panic in the subscription, which starts anew"; "text" => %panic);
        }
        for output in outputs {
            match output {
                Output::Apply(Distributed::Purge(purge)) => {
                    if !self.purge_at_once(purge, now) {
                        // Nothing behind it may be acknowledged: all that binds is fetched again.
                        return self.subscribe_anew(now);
                    }
                }
                Output::Send { to, bytes } => {
                    if let Some(fronts) = &mut self.fronts {
                        fronts.datagrams.send(to, &bytes);
                    }
                }
                Output::Notice(notice) => log_notice(&self.log, &notice),
                // Publishers tell that.
                Output::InForce { .. } => {}
            }
        }
    }

    fn subscribe_anew(&mut self, now: Micros) {
        if let Some(subscription) = self
            .fronts
            .as_mut()
            .and_then(|fronts| fronts.subscription.as_mut())
        {
            subscription.restart(now);
        }
    }

    /// False where the decisions did not take it.
    fn purge_at_once(&mut self, purge: Purge, now: Micros) -> bool {
        let (object, group) = match purge.key {
            PurgeKey::Object(object) => (Some(object), 0),
            PurgeKey::Group(group) => (None, group),
        };
        let ago = now - purge.timestamp;
        self.metrics.observe_purge_age(ago as f64 / 1e6);
        let mut actions = std::mem::take(&mut self.spare.actions);
        let decided = self.decide_at_once(
            now,
            Event::Invalidated {
                object,
                group,
                age: ago,
            },
            &mut actions,
        );
        self.spare.actions = actions;
        decided
    }

    /// Tells the decisions what copies may be served, where that has changed. By the clock as it is now: whoever was
    /// stopped since the round began must not rely on a lease that has lapsed meanwhile.
    pub(super) fn bound_copies(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(subscription) = self
            .fronts
            .as_ref()
            .and_then(|fronts| fronts.subscription.as_ref())
        else {
            return;
        };
        let bound = subscription.copy_bound(self.clock.now());
        if self.copy_bound == Some(bound) {
            return;
        }
        let event = Event::FreshnessBound {
            not_before: bound.not_before,
            max_age: bound.max_age,
        };
        if self.decide_at_once(now, event, actions) {
            self.copy_bound = Some(bound);
        }
    }

    /// One event ahead of all that waits for the decisions; false where they panicked.
    fn decide_at_once(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) -> bool {
        let module = &mut self.module;
        let decided = catch_panic(|| module.handle_event(now, event, actions));
        if let Err(panic) = &decided {
            error!(self.log, "panic in the decisions"; "text" => %panic);
        }
        decided.is_ok()
    }
}
