//! The subscription to events of a relay: hands it datagrams and time, and holds its outputs, in order, for the loop.
//!
//! Invariant: after a panic nothing that it knew is relied on; it starts anew without a lease.

use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::settings::{DistributionSettings, Identity};
use meadowrill_event_distribution::status::SubscriberStatus;
use meadowrill_event_distribution::subscriber::{FreshnessBound, Subscriber};
use meadowrill_routing::host::catch_panic;
use meadowrill_routing::interface::Micros;

pub(crate) struct Subscription {
    plan: DistributionSettings,
    me: Identity,
    seed: u64,
    subscriber: Subscriber,
    outputs: Vec<Output>,
    /// Texts of panics that were not logged yet.
    panics: Vec<String>,
}

impl Subscription {
    pub(crate) fn new(
        plan: DistributionSettings,
        me: Identity,
        now: Micros,
        seed: u64,
    ) -> Subscription {
        let subscriber = Subscriber::new(plan.clone(), me.clone(), now, seed);
        Subscription {
            plan,
            me,
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

    /// One step; a panic restarts the subscription.
    fn step(&mut self, now: Micros, step: impl FnOnce(&mut Subscriber, &mut Vec<Output>)) {
        let (subscriber, outputs) = (&mut self.subscriber, &mut self.outputs);
        let Err(panic) = catch_panic(|| step(subscriber, outputs)) else {
            return;
        };
        self.panics.push(panic.to_string());
        self.restart(now);
    }

    /// Starts anew, without a lease, and fetches all events that are in force.
    pub(crate) fn restart(&mut self, now: Micros) {
        // Messages that were to be sent belong to the former incarnation.
        self.outputs
            .retain(|output| matches!(output, Output::Apply(_)));
        self.me.incarnation = self.me.incarnation.saturating_add(1).max(now.max(0) as u64);
        self.subscriber = Subscriber::new(self.plan.clone(), self.me.clone(), now, self.seed);
    }

    pub(crate) fn next_wake(&self) -> Micros {
        self.subscriber.next_wake()
    }

    pub(crate) fn copy_bound(&self, now: Micros) -> FreshnessBound {
        self.subscriber.freshness_bound(now)
    }

    pub(crate) fn status(&self, now: Micros) -> SubscriberStatus {
        self.subscriber.status(now)
    }

    /// Outputs since the last call, in order: an event has to be in force before a later datagram is sent.
    pub(crate) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    pub(crate) fn take_panics(&mut self) -> Vec<String> {
        std::mem::take(&mut self.panics)
    }
}
