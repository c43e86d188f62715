//! A relay: follows the publisher or another relay, and feeds subscribers. It grants no lease beyond its own.

use crate::distributor::{lease_to_hand_on, Distributor, Supply};
use crate::output::Output;
use crate::settings::{DistributionSettings, Identity, RelayLimits};
use crate::status::{DistributorStatus, SubscriberStatus};
use crate::subscriber::{Role, Subscriber};
use crate::wire::{self, Body};
use crate::Micros;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Relay {
    plan: DistributionSettings,
    follower: Subscriber,
    distributor: Distributor,
    next_flush: Micros,
}

impl Relay {
    pub fn new(
        plan: DistributionSettings,
        relay: RelayLimits,
        me: Identity,
        now: Micros,
        seed: u64,
    ) -> Relay {
        let window = relay.window_bytes;
        let distributor = Distributor::new(plan.clone(), relay, now);
        let follower = Subscriber::with_role(plan.clone(), me, Role::Relay, window, now, seed);
        Relay {
            plan,
            follower,
            distributor,
            next_flush: now,
        }
    }

    pub fn next_wake(&self) -> Micros {
        self.follower.next_wake().min(self.next_flush)
    }

    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        match wire::decode(self.plan.fleet, bytes) {
            Ok(Body::Heartbeat(heartbeat)) => {
                self.distributor.counters.record_received(bytes.len());
                let supply = supply(&self.plan, &self.follower, now);
                match self.distributor.heartbeat(now, heartbeat, &supply, out) {
                    Ok(later) => self.follower.later_epoch = self.follower.later_epoch.max(later),
                    Err(why) => self.distributor.counters.reject(why),
                }
            }
            Ok(body) => {
                let before = self.follower.position();
                self.follower.receive_body(now, body, bytes.len(), out);
                if self.follower.position() != before {
                    self.flush(now, out);
                }
            }
            Err(why) => self.distributor.counters.reject(why),
        }
    }

    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.next_flush {
            self.next_flush = now + self.plan.batch_interval / 2;
            self.distributor.tick(now, out);
            self.flush(now, out);
        }
        if now >= self.follower.next_wake() {
            if let Some(own) = self.follower.position() {
                // What is reported here binds: nobody behind it gets a lease any more.
                self.follower.acknowledged =
                    Some(self.distributor.report(now, &self.follower.log, own));
            }
            self.follower.tick(now, out);
        }
    }

    fn flush(&mut self, now: Micros, out: &mut Vec<Output>) {
        let supply = supply(&self.plan, &self.follower, now);
        self.distributor.flush(now, &supply, out);
    }

    pub fn status(&self, now: Micros) -> DistributorStatus {
        self.distributor.status(now, &self.follower.log, None)
    }

    /// How it follows the one that feeds it.
    pub fn upstream(&self, now: Micros) -> SubscriberStatus {
        self.follower.status(now)
    }
}

/// What a relay can hand on: its own lease, less what clocks may differ.
fn supply<'a>(plan: &DistributionSettings, follower: &'a Subscriber, now: Micros) -> Supply<'a> {
    let left = follower.lease_remaining(now).unwrap_or(0);
    Supply {
        log: &follower.log,
        lease: lease_to_hand_on(plan, left),
        hops: follower.hops(),
    }
}
