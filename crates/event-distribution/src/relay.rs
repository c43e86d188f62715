//! A relay: follows the publisher or another relay, and serves subscribers.
//!
//! Invariants: no lease that it grants outlasts its own; the position that it acknowledges upstream has been applied by
//! itself and by all holders of its leases, and subscribers that are behind that position get no further lease.

use crate::distributor::{Distributor, FeedSource};
use crate::output::Output;
use crate::settings::{DistributionSettings, Identity, RelayLimits};
use crate::status::{DistributorStatus, SubscriberStatus};
use crate::subscriber::{Role, Subscriber};
use crate::time::{Micros, MILLISECOND};
use crate::wire::{self, Body, Heartbeat};

/// The state of one relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Relay {
    settings: DistributionSettings,
    subscriber: Subscriber,
    distributor: Distributor,
    next_flush: Micros,
}

impl Relay {
    /// Creates a starting relay without events.
    pub fn new(
        settings: DistributionSettings,
        limits: RelayLimits,
        identity: Identity,
        now: Micros,
        seed: u64,
    ) -> Relay {
        let window = limits.window_bytes;
        let distributor = Distributor::new(settings.clone(), limits, now);
        let subscriber =
            Subscriber::with_role(settings.clone(), identity, Role::Relay, window, now, seed);
        Relay {
            settings,
            subscriber,
            distributor,
            next_flush: now,
        }
    }

    /// When the host has to call [`Relay::tick`].
    pub fn next_wake(&self) -> Micros {
        self.subscriber.next_wake().min(self.next_flush)
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        match wire::decode(self.settings.fleet, bytes) {
            Ok(Body::Heartbeat(heartbeat)) => {
                self.distributor.counters.record_received(bytes.len());
                self.receive_heartbeat(now, &heartbeat, out);
            }
            Ok(body) => {
                let before = self.subscriber.position();
                self.subscriber.receive_body(now, body, bytes.len(), out);
                if self.subscriber.position() != before {
                    self.flush(now, out);
                }
            }
            Err(reason) => self.distributor.counters.reject(reason),
        }
    }

    fn receive_heartbeat(&mut self, now: Micros, heartbeat: &Heartbeat, out: &mut Vec<Output>) {
        let source = feed_source(&self.settings, &self.subscriber, now);
        let received = self
            .distributor
            .receive_heartbeat(now, heartbeat, &source, out);
        match received {
            Ok(newer) => self.subscriber.newer_epoch = self.subscriber.newer_epoch.max(newer),
            Err(reason) => self.distributor.counters.reject(reason),
        }
    }

    /// Runs the tasks that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.next_flush {
            self.next_flush = now + self.settings.batch_interval / 2;
            self.distributor.tick(now, out);
            self.flush(now, out);
        }
        if now >= self.subscriber.next_wake() {
            if let Some(own) = self.subscriber.position() {
                let log = &self.subscriber.log;
                let acknowledged = self.distributor.report_acknowledged(now, log, own);
                self.subscriber.acknowledged = Some(acknowledged);
            }
            self.subscriber.tick(now, out);
        }
    }

    fn flush(&mut self, now: Micros, out: &mut Vec<Output>) {
        let source = feed_source(&self.settings, &self.subscriber, now);
        self.distributor.flush(now, &source, out);
    }

    /// The state of its serving side, for operators.
    pub fn status(&self, now: Micros) -> DistributorStatus {
        self.distributor.status(now, &self.subscriber.log, None)
    }

    /// The state of its subscription to the publisher or another relay, for operators.
    pub fn upstream(&self, now: Micros) -> SubscriberStatus {
        self.subscriber.status(now)
    }
}

fn feed_source<'a>(
    settings: &DistributionSettings,
    subscriber: &'a Subscriber,
    now: Micros,
) -> FeedSource<'a> {
    let remaining = subscriber.lease_remaining(now).unwrap_or(0);
    FeedSource {
        log: &subscriber.log,
        max_lease: grantable_duration(settings, remaining),
        hops: subscriber.hops(),
    }
}

/// How long a lease a relay may grant, so that it ends before the relay's own lease by any clock.
fn grantable_duration(settings: &DistributionSettings, remaining: Micros) -> Micros {
    let drift = remaining * settings.clock_drift_per_mille / 1000;
    (remaining - drift - MILLISECOND).max(0)
}
