//! Admission of new subscribers, limited in number and in rate.

use super::subscription::Subscription;
use super::Distributor;
use crate::counters::RejectReason;
use crate::output::Output;
use crate::time::Micros;
use crate::wire::{Body, Busy, Heartbeat};
use meadowrill_membership::hash::stable_hash;
use std::net::SocketAddr;

/// The Retry-After of rejected subscribers is spread over this range by a hash of their names and request numbers.
const MIN_RETRY_AFTER_MS: u64 = 100;
const RETRY_AFTER_SPREAD_MS: u64 = 900;

impl Distributor {
    /// Admits a new subscriber, or rejects it with a Retry-After.
    pub(super) fn admit(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        address: SocketAddr,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        if self.subscriptions.len() >= self.limits.max_subscribers {
            self.send_busy(heartbeat, address, true, out);
            return Err(RejectReason::Full);
        }
        if !self.joins.try_take(now, 1) {
            self.send_busy(heartbeat, address, false, out);
            return Ok(());
        }
        let subscription = Subscription::new(now, heartbeat.incarnation, address);
        self.subscriptions
            .insert(heartbeat.name.clone(), subscription);
        Ok(())
    }

    /// Rejects a heartbeat with a Retry-After. If this member is full, the subscriber has to choose another relay.
    pub(super) fn send_busy(
        &mut self,
        heartbeat: &Heartbeat,
        address: SocketAddr,
        full: bool,
        out: &mut Vec<Output>,
    ) {
        self.counters.busy += 1;
        let spread = stable_hash(&heartbeat.name, u64::from(heartbeat.request));
        let retry_after_ms = (MIN_RETRY_AFTER_MS + spread % RETRY_AFTER_SPREAD_MS) as u32;
        let busy = Busy {
            request: heartbeat.request,
            retry_after_ms,
            full,
        };
        self.send(address, Body::Busy(busy), out);
    }
}
