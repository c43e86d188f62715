//! The subscription to the events of a relay: passes datagrams and time to the subscriber, and holds its outputs, in
//! order, for the event loop.
//!
//! Invariant: after a panic the subscriber's former state is not used; the subscription restarts without a lease.

use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::settings::{DistributionSettings, Identity};
use meadowrill_event_distribution::status::SubscriberStatus;
use meadowrill_event_distribution::subscriber::{FreshnessBound, Subscriber};
use meadowrill_routing::host::catch_panic;
use meadowrill_routing::interface::Micros;

pub(crate) struct Subscription {
    settings: DistributionSettings,
    identity: Identity,
    seed: u64,
    subscriber: Subscriber,
    outputs: Vec<Output>,
    /// Messages of panics that have not been logged yet.
    panics: Vec<String>,
}

impl Subscription {
    pub(crate) fn new(
        settings: DistributionSettings,
        identity: Identity,
        now: Micros,
        seed: u64,
    ) -> Subscription {
        let subscriber = Subscriber::new(settings.clone(), identity.clone(), now, seed);
        Subscription {
            settings,
            identity,
            seed,
            subscriber,
            outputs: Vec::new(),
            panics: Vec::new(),
        }
    }

    pub(crate) fn receive(&mut self, now: Micros, bytes: &[u8]) {
        self.step(now, |subscriber, outputs| {
            subscriber.receive(now, bytes, outputs)
        });
    }

    pub(crate) fn tick(&mut self, now: Micros) {
        if now >= self.subscriber.next_wake() {
            self.step(now, |subscriber, outputs| subscriber.tick(now, outputs));
        }
    }

    /// Runs one step; a panic restarts the subscription.
    fn step(&mut self, now: Micros, step: impl FnOnce(&mut Subscriber, &mut Vec<Output>)) {
        let (subscriber, outputs) = (&mut self.subscriber, &mut self.outputs);
        let Err(panic) = catch_panic(|| step(subscriber, outputs)) else {
            return;
        };
        self.panics.push(panic.to_string());
        self.restart(now);
    }

    /// Restarts without a lease, and fetches all events that are in force.
    pub(crate) fn restart(&mut self, now: Micros) {
        // Messages that have not been sent belong to the previous incarnation.
        self.outputs
            .retain(|output| matches!(output, Output::Apply(_)));
        self.identity.incarnation = self
            .identity
            .incarnation
            .saturating_add(1)
            .max(now.max(0) as u64);
        self.subscriber =
            Subscriber::new(self.settings.clone(), self.identity.clone(), now, self.seed);
    }

    pub(crate) fn next_wake(&self) -> Micros {
        self.subscriber.next_wake()
    }

    pub(crate) fn freshness_bound(&self, now: Micros) -> FreshnessBound {
        self.subscriber.freshness_bound(now)
    }

    pub(crate) fn status(&self, now: Micros) -> SubscriberStatus {
        self.subscriber.status(now)
    }

    /// Takes the outputs since the last call, in order: an event has to be in force before a later datagram is sent.
    pub(crate) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    pub(crate) fn take_panics(&mut self) -> Vec<String> {
        std::mem::take(&mut self.panics)
    }
}
