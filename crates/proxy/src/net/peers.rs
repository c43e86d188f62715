//! The other members of the fleet: carries datagrams and messages to and from the membership view, the replica of the
//! shared state and the subscription to events, which decide.
//!
//! | module | concern |
//! | --- | --- |
//! | `dispatch` | messages in and out, and which members the replica knows |
//! | `capabilities` | what a member takes part in |
//! | `sockets` | one port for datagrams and streams |
//!
//! Invariant: whatever one of them wants sent has been handed to a socket, or dropped, when a step returns; what is left
//! are changes of the membership and actions of the replica for the loop.

mod capabilities;
mod dispatch;
mod sockets;

use super::datagrams::Datagrams;
use super::streams::Streams;
use super::subscription::Subscription;
use super::Poll;
use calloop::Readiness;
use meadowrill_event_distribution::settings::{DistributionSettings as EventsPlan, Identity};
use meadowrill_event_distribution::wire as events_wire;
use meadowrill_membership::envelope;
use meadowrill_membership::settings::FleetSettings;
use meadowrill_membership::view::{Action, Change, MemberIdentity, View};
use meadowrill_replication::replica::{self, Replica};
use meadowrill_routing::interface::Micros;
use meadowrill_settings::Replica as ReplicaSettings;
use std::io;
use std::net::SocketAddr;

/// Membership, the shared state and the subscription, with the sockets that carry their messages.
pub(crate) struct Peers {
    pub datagrams: Datagrams,
    pub streams: Streams,
    view: View,
    /// Actions of the view that were not carried out yet.
    actions: Vec<Action>,
    changes: Vec<Change>,
    /// The replica of the shared state, where the settings name one.
    pub replica: Option<Replica>,
    /// Actions of the replica that were not carried out yet.
    replica_acts: Vec<replica::Action>,
    /// Where the settings name relays.
    pub subscription: Option<Subscription>,
    /// Version of the members' values that the replica has been given.
    values_version: u64,
    /// No contact but this member is configured: there may be nobody to agree with.
    alone: bool,
    /// Where others reach this member.
    advertised: SocketAddr,
}

impl Peers {
    /// Opens the sockets and joins the fleet.
    pub(crate) fn listen(
        plan: &FleetSettings,
        shared: Option<&ReplicaSettings>,
        name: &str,
        now: Micros,
        seed: u64,
        poll: &Poll,
    ) -> io::Result<Peers> {
        let (socket, streams) = sockets::bind_pair(plan.listen, poll)?;
        let datagrams = Datagrams::new(socket, poll)?;
        let mut plan = plan.clone();
        if plan.advertise == plan.listen {
            // A port that the kernel has chosen is known only now.
            plan.listen = datagrams.address()?;
            plan.advertise = plan.listen;
        }
        let identity = MemberIdentity {
            name: name.into(),
            version: env!("CARGO_PKG_VERSION").into(),
            start: now as u64,
        };
        let alone = plan.contacts.iter().all(|to| *to == plan.advertise);
        let advertised = plan.advertise;
        let view = View::new(plan, identity, now, seed);
        let replica =
            shared.map(|shared| Replica::new(shared.plan.clone(), name, now as u64, now, seed));
        let mut peers = Peers {
            datagrams,
            streams,
            view,
            actions: Vec::new(),
            changes: Vec::new(),
            replica,
            replica_acts: Vec::new(),
            subscription: None,
            values_version: 0,
            alone,
            advertised,
        };
        if let Some(replica) = &peers.replica {
            let own = capabilities::value(replica.ledger().is_some());
            // Within the limit of a value.
            peers.view.put_value(now, own);
        }
        peers.update_replica_members(now);
        Ok(peers)
    }

    /// Subscribes to the events of these relays.
    pub(crate) fn subscribe(&mut self, plan: &EventsPlan, region: &str, now: Micros, seed: u64) {
        let (claim, body) = self.view.own();
        let identity = Identity {
            name: self.view.name().into(),
            incarnation: claim.start,
            address: self.advertised,
            region: region.into(),
            zone: body.zone.clone(),
        };
        self.subscription = Some(Subscription::new(plan.clone(), identity, now, seed));
    }

    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// Whether datagrams are to be read again although nothing new was reported.
    pub(crate) fn has_unread_datagrams(&self) -> bool {
        self.datagrams.has_unread()
    }

    /// When [`Peers::tick`] is due next.
    pub(crate) fn next_wake(&self) -> Micros {
        let replica = self.replica.iter().map(Replica::next_wake);
        let subscription = self.subscription.iter().map(Subscription::next_wake);
        replica
            .chain(subscription)
            .fold(self.view.next_timeout(), Micros::min)
    }

    /// Datagrams have come.
    pub(crate) fn receive_datagrams(&mut self, now: Micros, poll: &mut Poll) {
        // The clock first: a member that was suspended has to know that before it relies on what came meanwhile.
        self.tick(now, poll);
        let (view, replica, subscription) =
            (&mut self.view, &mut self.replica, &mut self.subscription);
        let (actions, replica_acts) = (&mut self.actions, &mut self.replica_acts);
        self.datagrams.receive(|bytes| {
            match (subscription.as_mut(), envelope::message_magic(bytes)) {
                (Some(subscription), Some(events_wire::MARK)) => subscription.receive(now, bytes),
                _ => dispatch::receive(view, replica, now, bytes, (actions, replica_acts)),
            }
        });
        self.dispatch(now, poll);
    }

    /// A stream became readable or writable.
    pub(crate) fn handle_stream(
        &mut self,
        number: u64,
        ready: Readiness,
        now: Micros,
        poll: &mut Poll,
    ) {
        let (view, replica) = (&mut self.view, &mut self.replica);
        let (actions, replica_acts) = (&mut self.actions, &mut self.replica_acts);
        let received =
            |bytes: &[u8]| dispatch::receive(view, replica, now, bytes, (actions, replica_acts));
        let failed = self
            .streams
            .handle_ready(number, ready, now, poll, received);
        failed
            .into_iter()
            .for_each(|to| self.view.stream_failed(now, to));
        self.dispatch(now, poll);
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: Micros, poll: &mut Poll) {
        if now >= self.view.next_timeout() {
            self.view.handle_timeout(now, &mut self.actions);
            let failed = self.streams.close_stale(now, poll);
            failed
                .into_iter()
                .for_each(|to| self.view.stream_failed(now, to));
        }
        if let Some(replica) = self.replica.as_mut().filter(|r| now >= r.next_wake()) {
            replica.tick(now, &mut self.replica_acts);
        }
        if let Some(subscription) = &mut self.subscription {
            subscription.tick(now);
        }
        self.dispatch(now, poll);
    }

    /// One step with the replica of the shared state, if there is one.
    pub(crate) fn with_replica<T>(
        &mut self,
        step: impl FnOnce(&mut Replica, &mut Vec<replica::Action>) -> T,
    ) -> Option<T> {
        let acts = &mut self.replica_acts;
        self.replica.as_mut().map(|replica| step(replica, acts))
    }

    /// Actions of the replica for the loop; what goes to other members has been sent.
    pub(crate) fn take_replica_acts(&mut self) -> Vec<replica::Action> {
        std::mem::take(&mut self.replica_acts)
    }

    /// Tells the other members that this one leaves.
    pub(crate) fn leave(&mut self, now: Micros, poll: &mut Poll) {
        self.view.leave(now, &mut self.actions);
        self.dispatch(now, poll);
    }

    /// Whether the other members know that it leaves, or it has waited long enough.
    pub(crate) fn has_left(&self) -> bool {
        self.view.has_left() || self.view.is_withdrawn()
    }

    /// Changes of the membership since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
