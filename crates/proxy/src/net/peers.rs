//! Communication with the other members of the fleet: carries datagrams and messages to and from the membership view,
//! the replica of the shared state and the subscription to events, which make the decisions.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `dispatch` | dispatch of received and sent messages, and the replica's list of members |
//! | `capabilities` | the capabilities that a member announces |
//! | `sockets` | a datagram and a stream socket on the same port |
//!
//! Invariant: when a step returns, every message of the view and the replica has been handed to a socket or dropped.
//! What remains for the event loop are changes of the membership, other actions of the replica and outputs of the
//! subscription.

mod capabilities;
mod dispatch;
mod sockets;

use super::datagrams::Datagrams;
use super::streams::Streams;
use super::subscription::Subscription;
use super::Poll;
use calloop::Readiness;
use meadowrill_event_distribution::settings::{DistributionSettings, Identity};
use meadowrill_event_distribution::wire as events_wire;
use meadowrill_membership::envelope;
use meadowrill_membership::settings::FleetSettings;
use meadowrill_membership::view::{Action, Change, MemberIdentity, View};
use meadowrill_replication::replica::{self, Replica};
use meadowrill_routing::interface::Micros;
use meadowrill_settings::ReplicaSettings;
use std::io;
use std::net::SocketAddr;

/// The membership view, the shared state and the subscription, with the sockets that carry their messages.
pub(crate) struct Peers {
    pub datagrams: Datagrams,
    pub streams: Streams,
    view: View,
    /// Actions of the view that have not been performed yet.
    actions: Vec<Action>,
    changes: Vec<Change>,
    /// The replica of the shared state, if the settings configure one.
    pub replica: Option<Replica>,
    /// Actions of the replica that have not been performed yet.
    replica_actions: Vec<replica::Action>,
    /// The subscription to events, if the settings name relays.
    pub subscription: Option<Subscription>,
    /// Version of the members' values that the replica has received.
    values_version: u64,
    /// No contact other than this member is configured, so there may be no other member to agree with.
    has_no_contacts: bool,
    /// The address at which other members reach this one.
    advertised: SocketAddr,
}

impl Peers {
    /// Opens the sockets and joins the fleet.
    pub(crate) fn listen(
        settings: &FleetSettings,
        shared: Option<&ReplicaSettings>,
        name: &str,
        now: Micros,
        seed: u64,
        poll: &Poll,
    ) -> io::Result<Peers> {
        let (socket, streams) = sockets::bind_pair(settings.listen, poll)?;
        let datagrams = Datagrams::new(socket, poll)?;
        let mut settings = settings.clone();
        if settings.advertise == settings.listen {
            // A port that the kernel has chosen is known only after the socket is bound.
            settings.listen = datagrams.address()?;
            settings.advertise = settings.listen;
        }
        let identity = MemberIdentity {
            name: name.into(),
            version: env!("CARGO_PKG_VERSION").into(),
            start: now as u64,
        };
        let has_no_contacts = settings.contacts.iter().all(|to| *to == settings.advertise);
        let advertised = settings.advertise;
        let view = View::new(settings, identity, now, seed);
        let replica = shared
            .map(|shared| Replica::new(shared.replication.clone(), name, now as u64, now, seed));
        let mut peers = Peers {
            datagrams,
            streams,
            view,
            actions: Vec::new(),
            changes: Vec::new(),
            replica,
            replica_actions: Vec::new(),
            subscription: None,
            values_version: 0,
            has_no_contacts,
            advertised,
        };
        if let Some(replica) = &peers.replica {
            let own = capabilities::own_value(replica.ledger().is_some());
            // The value is within the size limit.
            peers.view.put_value(now, own);
        }
        peers.update_replica_members(now);
        Ok(peers)
    }

    /// Subscribes to the events of the configured relays.
    pub(crate) fn subscribe(
        &mut self,
        settings: &DistributionSettings,
        region: &str,
        now: Micros,
        seed: u64,
    ) {
        let (claim, body) = self.view.own();
        let identity = Identity {
            name: self.view.name().into(),
            incarnation: claim.start,
            address: self.advertised,
            region: region.into(),
            zone: body.zone.clone(),
        };
        self.subscription = Some(Subscription::new(settings.clone(), identity, now, seed));
    }

    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// Whether datagrams must be read again even if the poll reports nothing new.
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

    /// Receives the datagrams that have arrived.
    pub(crate) fn receive_datagrams(&mut self, now: Micros, poll: &mut Poll) {
        // The clock advances first: a member that was suspended has to detect that before it relies on messages that
        // arrived in the meantime.
        self.tick(now, poll);
        let (view, replica, subscription) =
            (&mut self.view, &mut self.replica, &mut self.subscription);
        let (actions, replica_actions) = (&mut self.actions, &mut self.replica_actions);
        self.datagrams.receive(|bytes| {
            match (subscription.as_mut(), envelope::message_magic(bytes)) {
                (Some(subscription), Some(events_wire::MAGIC)) => subscription.receive(now, bytes),
                _ => dispatch::receive(view, replica, now, bytes, (actions, replica_actions)),
            }
        });
        self.dispatch(now, poll);
    }

    /// Handles a stream that became readable or writable.
    pub(crate) fn handle_stream(
        &mut self,
        number: u64,
        ready: Readiness,
        now: Micros,
        poll: &mut Poll,
    ) {
        let (view, replica) = (&mut self.view, &mut self.replica);
        let (actions, replica_actions) = (&mut self.actions, &mut self.replica_actions);
        let received =
            |bytes: &[u8]| dispatch::receive(view, replica, now, bytes, (actions, replica_actions));
        let failed = self
            .streams
            .handle_ready(number, ready, now, poll, received);
        failed
            .into_iter()
            .for_each(|to| self.view.stream_failed(now, to));
        self.dispatch(now, poll);
    }

    /// Handles the timeouts that are due.
    pub(crate) fn tick(&mut self, now: Micros, poll: &mut Poll) {
        if now >= self.view.next_timeout() {
            self.view.handle_timeout(now, &mut self.actions);
            let failed = self.streams.close_stale(now, poll);
            failed
                .into_iter()
                .for_each(|to| self.view.stream_failed(now, to));
        }
        if let Some(replica) = self.replica.as_mut().filter(|r| now >= r.next_wake()) {
            replica.tick(now, &mut self.replica_actions);
        }
        if let Some(subscription) = &mut self.subscription {
            subscription.tick(now);
        }
        self.dispatch(now, poll);
    }

    /// Runs one step with the replica of the shared state, if there is one.
    pub(crate) fn with_replica<T>(
        &mut self,
        step: impl FnOnce(&mut Replica, &mut Vec<replica::Action>) -> T,
    ) -> Option<T> {
        let actions = &mut self.replica_actions;
        self.replica.as_mut().map(|replica| step(replica, actions))
    }

    /// Removes and returns the pending actions of the replica for the event loop. Its messages to other members
    /// have already been sent.
    pub(crate) fn drain_replica_actions(&mut self) -> Vec<replica::Action> {
        std::mem::take(&mut self.replica_actions)
    }

    /// Notifies the other members that this one leaves.
    pub(crate) fn leave(&mut self, now: Micros, poll: &mut Poll) {
        self.view.leave(now, &mut self.actions);
        self.dispatch(now, poll);
    }

    /// Whether enough other members know that this one leaves, it has waited long enough, or it has withdrawn.
    pub(crate) fn has_left(&self) -> bool {
        self.view.has_left() || self.view.is_withdrawn()
    }

    /// Takes the changes of the membership since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
