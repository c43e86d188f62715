//! A relay: follows the publisher or another relay, and feeds subscribers.
//!
//! Invariants: it grants no lease beyond its own; what it acknowledges upstream has been applied by itself and by all that
//! hold a lease of it, and nobody behind that gets one any more.

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
    follower: Subscriber,
    distributor: Distributor,
    next_flush: Micros,
}

impl Relay {
    /// A relay that starts, with nothing.
    pub fn new(
        settings: DistributionSettings,
        limits: RelayLimits,
        identity: Identity,
        now: Micros,
        seed: u64,
    ) -> Relay {
        let window = limits.window_bytes;
        let distributor = Distributor::new(settings.clone(), limits, now);
        let follower =
            Subscriber::with_role(settings.clone(), identity, Role::Relay, window, now, seed);
        Relay {
            settings,
            follower,
            distributor,
            next_flush: now,
        }
    }

    /// When [`Relay::tick`] has to be called.
    pub fn next_wake(&self) -> Micros {
        self.follower.next_wake().min(self.next_flush)
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        match wire::decode(self.settings.fleet, bytes) {
            Ok(Body::Heartbeat(heartbeat)) => {
                self.distributor.counters.record_received(bytes.len());
                self.receive_heartbeat(now, &heartbeat, out);
            }
            Ok(body) => {
                let before = self.follower.position();
                self.follower.receive_body(now, body, bytes.len(), out);
                if self.follower.position() != before {
                    self.flush(now, out);
                }
            }
            Err(reason) => self.distributor.counters.reject(reason),
        }
    }

    fn receive_heartbeat(&mut self, now: Micros, heartbeat: &Heartbeat, out: &mut Vec<Output>) {
        let source = feed_source(&self.settings, &self.follower, now);
        let received = self
            .distributor
            .receive_heartbeat(now, heartbeat, &source, out);
        match received {
            Ok(newer) => self.follower.newer_epoch = self.follower.newer_epoch.max(newer),
            Err(reason) => self.distributor.counters.reject(reason),
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.next_flush {
            self.next_flush = now + self.settings.batch_interval / 2;
            self.distributor.tick(now, out);
            self.flush(now, out);
        }
        if now >= self.follower.next_wake() {
            if let Some(own) = self.follower.position() {
                let log = &self.follower.log;
                let acknowledged = self.distributor.report_acknowledged(now, log, own);
                self.follower.acknowledged = Some(acknowledged);
            }
            self.follower.tick(now, out);
        }
    }

    fn flush(&mut self, now: Micros, out: &mut Vec<Output>) {
        let source = feed_source(&self.settings, &self.follower, now);
        self.distributor.flush(now, &source, out);
    }

    /// How it feeds subscribers, for operators.
    pub fn status(&self, now: Micros) -> DistributorStatus {
        self.distributor.status(now, &self.follower.log, None)
    }

    /// How it follows the member that feeds it, for operators.
    pub fn upstream(&self, now: Micros) -> SubscriberStatus {
        self.follower.status(now)
    }
}

fn feed_source<'a>(
    settings: &DistributionSettings,
    follower: &'a Subscriber,
    now: Micros,
) -> FeedSource<'a> {
    let remaining = follower.lease_remaining(now).unwrap_or(0);
    FeedSource {
        log: &follower.log,
        max_lease: grantable(settings, remaining),
        hops: follower.hops(),
    }
}

/// How much of its own lease a relay may grant, so that what it grants ends before its own by any clock.
fn grantable(settings: &DistributionSettings, remaining: Micros) -> Micros {
    let drift = remaining * settings.clock_drift_per_mille / 1000;
    (remaining - drift - MILLISECOND).max(0)
}
