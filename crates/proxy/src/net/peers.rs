//! The other members of the fleet: carries datagrams and messages to and from the membership view, the replica of the
//! shared state and the subscription to events, which decide.
//!
//! Invariant: whatever one of them wants sent has been handed to a socket, or dropped, when a step returns; what is left
//! are changes of the membership and actions of the replica for the loop.

use super::datagrams::Datagrams;
use super::streams::Streams;
use super::subscription::Subscription;
use super::Poll;
use calloop::Readiness;
use meadowrill_event_distribution::settings::{DistributionSettings as EventsPlan, Identity};
use meadowrill_event_distribution::wire as events_wire;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::envelope;
use meadowrill_membership::settings::FleetSettings;
use meadowrill_membership::view::{Action, Change, Member, MemberIdentity, View};
use meadowrill_membership::wire::Value;
use meadowrill_replication::replica::{self, Peer, Replica};
use meadowrill_replication::wire;
use meadowrill_routing::interface::Micros;
use meadowrill_settings::Replica as ReplicaSettings;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

/// Ports from the kernel that are tried, until one is free for datagrams and streams.
const MAX_PORT_ATTEMPTS: u32 = 16;

/// Kind of the value by which a member says what it takes part in.
const CAPABILITIES_KIND: u32 = 1;
/// Capability: it replicates the shared state.
const REPLICATES: u8 = 1;
/// Capability: it decides on requests with an effect.
const HAS_LEDGER: u8 = 2;

pub(crate) struct Peers {
    pub datagrams: Datagrams,
    pub streams: Streams,
    view: View,
    acts: Vec<Action>,
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
    pub(crate) fn listen(
        plan: &FleetSettings,
        shared: Option<&ReplicaSettings>,
        name: &str,
        now: Micros,
        seed: u64,
        poll: &Poll,
    ) -> io::Result<Peers> {
        let (socket, streams) = bind_pair(plan.listen, poll)?;
        let datagrams = Datagrams::new(socket, poll)?;
        let mut plan = plan.clone();
        if plan.advertise == plan.listen {
            // A port that the kernel has chosen is known only now.
            plan.listen = datagrams.address()?;
            plan.advertise = plan.listen;
        }
        let me = MemberIdentity {
            name: name.into(),
            version: env!("CARGO_PKG_VERSION").into(),
            start: now as u64,
        };
        let alone = plan.contacts.iter().all(|to| *to == plan.advertise);
        let advertised = plan.advertise;
        let view = View::new(plan, me, now, seed);
        let replica =
            shared.map(|shared| Replica::new(shared.plan.clone(), name, now as u64, now, seed));
        let (acts, changes) = (Vec::new(), Vec::new());
        let mut peers = Peers {
            datagrams,
            streams,
            view,
            acts,
            changes,
            replica,
            replica_acts: Vec::new(),
            subscription: None,
            values_version: 0,
            alone,
            advertised,
        };
        if let Some(replica) = &peers.replica {
            let ledger = if replica.ledger().is_some() {
                HAS_LEDGER
            } else {
                0
            };
            // Within the limit of a value.
            peers.view.put_value(
                now,
                Value {
                    kind: CAPABILITIES_KIND,
                    version: 1,
                    bytes: vec![REPLICATES | ledger],
                },
            );
        }
        peers.update_replica_members(now);
        Ok(peers)
    }

    /// Subscribes to the events of these relays.
    pub(crate) fn subscribe(&mut self, plan: &EventsPlan, region: &str, now: Micros, seed: u64) {
        let (claim, body) = self.view.own();
        let me = Identity {
            name: self.view.name().into(),
            incarnation: claim.start,
            address: self.advertised,
            region: region.into(),
            zone: body.zone.clone(),
        };
        self.subscription = Some(Subscription::new(plan.clone(), me, now, seed));
    }

    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    pub(crate) fn has_unread_datagrams(&self) -> bool {
        self.datagrams.has_unread()
    }

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
        let (acts, replica_acts) = (&mut self.acts, &mut self.replica_acts);
        self.datagrams.receive(|bytes| {
            match (subscription.as_mut(), envelope::message_mark(bytes)) {
                (Some(subscription), Some(events_wire::MARK)) => subscription.receive(now, bytes),
                _ => receive(view, replica, now, bytes, (acts, replica_acts)),
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
        let (acts, replica_acts) = (&mut self.acts, &mut self.replica_acts);
        let received = |bytes: &[u8]| receive(view, replica, now, bytes, (acts, replica_acts));
        let failed = self
            .streams
            .handle_ready(number, ready, now, poll, received);
        failed
            .into_iter()
            .for_each(|to| self.view.stream_failed(now, to));
        self.dispatch(now, poll);
    }

    pub(crate) fn tick(&mut self, now: Micros, poll: &mut Poll) {
        if now >= self.view.next_timeout() {
            self.view.handle_timeout(now, &mut self.acts);
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
        self.view.leave(now, &mut self.acts);
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

    /// The membership has changed: gives the replica its members.
    fn update_replica_members(&mut self, now: Micros) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let peer = |(name, m): (&str, &Member)| Peer {
            name: name.into(),
            incarnation: m.claim.start,
            alive: m.claim.state.is_present(),
            left: m.claim.state == MemberState::Left,
            zone: m.body.zone.clone(),
            round_trip: m.round_trip,
            replicates: capabilities(m) & REPLICATES != 0,
            votes: capabilities(m) & HAS_LEDGER != 0,
        };
        let alone = self.alone && self.view.members().next().is_none();
        let peers = self.view.members().map(peer).collect();
        replica.update_membership(
            now,
            self.view.has_joined() || alone,
            peers,
            &mut self.replica_acts,
        );
    }

    /// Sends what the view, the replica and their changes ask for.
    pub(crate) fn dispatch(&mut self, now: Micros, poll: &mut Poll) {
        let mut changed = false;
        for act in self.acts.drain(..) {
            match act {
                Action::Notify(change) => {
                    if let (Change::ProcessPaused { .. }, Some(replica)) =
                        (&change, &mut self.replica)
                    {
                        replica.resume_after_pause(now, &mut self.replica_acts);
                    }
                    self.changes.push(change);
                    changed = true;
                }
                Action::SendStream { to, bytes } => {
                    if !self.streams.send(to, &bytes, now, poll) {
                        self.view.stream_failed(now, to);
                    }
                }
                Action::SendDatagram { to, bytes } => self.datagrams.send(to, &bytes),
            }
        }
        if changed || self.values_version != self.view.body_updates() {
            self.values_version = self.view.body_updates();
            self.update_replica_members(now);
        }
        self.dispatch_replica(now, poll);
    }

    /// The replica names members; the view knows their addresses.
    fn dispatch_replica(&mut self, now: Micros, poll: &mut Poll) {
        let mut rest = Vec::new();
        for act in self.replica_acts.drain(..) {
            let (to, bytes, stream) = match act {
                replica::Action::SendDatagram { to, bytes } => (to, bytes, false),
                replica::Action::SendStream { to, bytes } => (to, bytes, true),
                other => {
                    rest.push(other);
                    continue;
                }
            };
            let Some(address) = self.view.member(&to).and_then(Member::address) else {
                continue;
            };
            if stream {
                // What is dropped is found missing by the next comparison.
                self.streams.send(address, &bytes, now, poll);
            } else {
                self.datagrams.send(address, &bytes);
            }
        }
        self.replica_acts = rest;
    }
}

/// What a member takes part in.
fn capabilities(member: &Member) -> u8 {
    let value = member
        .body
        .values
        .iter()
        .find(|value| value.kind == CAPABILITIES_KIND);
    value
        .and_then(|value| value.bytes.first().copied())
        .unwrap_or(0)
}

/// Hands a datagram or message to the replica or the view, by its first bytes.
fn receive(
    view: &mut View,
    replica: &mut Option<Replica>,
    now: Micros,
    bytes: &[u8],
    (acts, replica_acts): (&mut Vec<Action>, &mut Vec<replica::Action>),
) {
    let for_replica = matches!(
        envelope::message_mark(bytes),
        Some(wire::MARK | wire::CHUNK_MARK)
    );
    match replica {
        Some(replica) if for_replica => replica.receive_message(now, bytes, replica_acts),
        // Without a replica the view drops it, and counts that.
        _ => view.receive(now, bytes, acts),
    }
}

/// Sockets for datagrams and streams at one address and port; a port from the kernel has to be free for both.
fn bind_pair(listen: SocketAddr, poll: &Poll) -> io::Result<(UdpSocket, Streams)> {
    let mut attempts = 0;
    loop {
        let socket = UdpSocket::bind(listen)?;
        match Streams::listen(socket.local_addr()?, poll) {
            Ok(streams) => return Ok((socket, streams)),
            Err(e)
                if listen.port() == 0
                    && e.kind() == ErrorKind::AddrInUse
                    && attempts < MAX_PORT_ATTEMPTS =>
            {
                attempts += 1
            }
            Err(e) => return Err(e),
        }
    }
}
