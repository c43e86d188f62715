//! Other members of the fleet: datagrams and chunks to and from the view of the fleet, what is shared and the
//! subscription to events, which decide; here they are only carried.

use super::datagrams::Datagrams;
use super::events::Subscription;
use super::streams::Streams;
use super::Poll;
use calloop::Readiness;
use meadowrill_event_distribution::settings::{DistributionSettings as EventsPlan, Identity};
use meadowrill_event_distribution::wire as events_wire;
use meadowrill_membership::claim::State;
use meadowrill_membership::envelope;
use meadowrill_membership::plan::Plan;
use meadowrill_membership::view::{Act, Change, Me, Member, View};
use meadowrill_membership::wire::Value;
use meadowrill_replication::replica::{self, Peer, Replica};
use meadowrill_replication::wire;
use meadowrill_routing::interface::Micros;
use meadowrill_settings::Replica as Shared;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

/// Ports from the kernel that are tried.
const TRIES: u32 = 16;

/// The value by which a member tells that it shares state, and decides on effects.
const SHARED: u32 = 1;
const SHARES: u8 = 1;
const LEDGER: u8 = 2;

pub(crate) struct Fronts {
    pub datagrams: Datagrams,
    pub streams: Streams,
    view: View,
    acts: Vec<Act>,
    changes: Vec<Change>,
    /// What is shared beside who is there, where the settings tell of it, and what it wants done.
    pub replica: Option<Replica>,
    shared: Vec<replica::Act>,
    /// Where the settings tell of relays.
    pub subscription: Option<Subscription>,
    /// What members have said of themselves, as far as it was handed on.
    worded: u64,
    /// No contact was told: there may be nobody to agree with.
    alone: bool,
    /// Where others reach this front.
    advertised: SocketAddr,
}

impl Fronts {
    pub(crate) fn listen(
        plan: &Plan,
        shared: Option<&Shared>,
        name: &str,
        now: Micros,
        seed: u64,
        poll: &Poll,
    ) -> io::Result<Fronts> {
        let (socket, streams) = both(plan.listen, poll)?;
        let datagrams = Datagrams::new(socket, poll)?;
        let mut plan = plan.clone();
        if plan.advertise == plan.listen {
            // A port from the kernel is known only now.
            plan.listen = datagrams.address()?;
            plan.advertise = plan.listen;
        }
        let me = Me {
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
        let mut fronts = Fronts {
            datagrams,
            streams,
            view,
            acts,
            changes,
            replica,
            shared: Vec::new(),
            subscription: None,
            worded: 0,
            alone,
            advertised,
        };
        if let Some(replica) = &fronts.replica {
            let ledger = if replica.ledger().is_some() {
                LEDGER
            } else {
                0
            };
            // Short enough in any case.
            fronts.view.put_value(
                now,
                Value {
                    kind: SHARED,
                    version: 1,
                    bytes: vec![SHARES | ledger],
                },
            );
        }
        fronts.tell_fleet(now);
        Ok(fronts)
    }

    /// Events come by these relays from now on.
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

    pub(crate) fn waits(&self) -> bool {
        self.datagrams.waits()
    }

    pub(crate) fn next(&self) -> Micros {
        let replica = self.replica.iter().map(Replica::next);
        let subscription = self.subscription.iter().map(Subscription::next_wake);
        replica
            .chain(subscription)
            .fold(self.view.next(), Micros::min)
    }

    pub(crate) fn read(&mut self, now: Micros, poll: &mut Poll) {
        // First the clock: one that was stopped has to know that before it believes what came meanwhile.
        self.tick(now, poll);
        let (view, replica, subscription) =
            (&mut self.view, &mut self.replica, &mut self.subscription);
        let (acts, shared) = (&mut self.acts, &mut self.shared);
        self.datagrams.read(
            |bytes| match (subscription.as_mut(), envelope::mark(bytes)) {
                (Some(subscription), Some(events_wire::MARK)) => subscription.receive(now, bytes),
                _ => heard(view, replica, now, bytes, (acts, shared)),
            },
        );
        self.carry(now, poll);
    }

    /// Something of a stream is ready.
    pub(crate) fn stream(&mut self, number: u64, ready: Readiness, now: Micros, poll: &mut Poll) {
        let (view, replica) = (&mut self.view, &mut self.replica);
        let (acts, shared) = (&mut self.acts, &mut self.shared);
        let heard = |bytes: &[u8]| heard(view, replica, now, bytes, (acts, shared));
        let failed = self.streams.handle(number, ready, now, poll, heard);
        failed
            .into_iter()
            .for_each(|to| self.view.unstreamed(now, to));
        self.carry(now, poll);
    }

    pub(crate) fn tick(&mut self, now: Micros, poll: &mut Poll) {
        if now >= self.view.next() {
            self.view.tick(now, &mut self.acts);
            let failed = self.streams.tick(now, poll);
            failed
                .into_iter()
                .for_each(|to| self.view.unstreamed(now, to));
        }
        if let Some(replica) = self.replica.as_mut().filter(|r| now >= r.next()) {
            replica.tick(now, &mut self.shared);
        }
        if let Some(subscription) = &mut self.subscription {
            subscription.tick(now);
        }
        self.carry(now, poll);
    }

    /// One step with what is shared, if anything is.
    pub(crate) fn share<T>(
        &mut self,
        step: impl FnOnce(&mut Replica, &mut Vec<replica::Act>) -> T,
    ) -> Option<T> {
        let shared = &mut self.shared;
        self.replica.as_mut().map(|replica| step(replica, shared))
    }

    /// What is to be done about what is shared, but for what goes to other fronts.
    pub(crate) fn take_acts(&mut self) -> Vec<replica::Act> {
        std::mem::take(&mut self.shared)
    }

    pub(crate) fn leave(&mut self, now: Micros, poll: &mut Poll) {
        self.view.leave(now, &mut self.acts);
        self.carry(now, poll);
    }

    /// True once those who need to know that it leaves do, or it waited long enough.
    pub(crate) fn left(&self) -> bool {
        self.view.left() || self.view.gave_way()
    }

    pub(crate) fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The view has changed: who there is, as what is shared needs to know.
    fn tell_fleet(&mut self, now: Micros) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let peer = |(name, m): (&str, &Member)| Peer {
            name: name.into(),
            start: m.claim.start,
            here: m.claim.state.here(),
            left: m.claim.state == State::Left,
            zone: m.body.zone.clone(),
            round_trip: m.round_trip,
            shares: flags(m) & SHARES != 0,
            ledger: flags(m) & LEDGER != 0,
        };
        let alone = self.alone && self.view.members().next().is_none();
        let peers = self.view.members().map(peer).collect();
        replica.fleet(now, self.view.joined() || alone, peers, &mut self.shared);
    }

    pub(crate) fn carry(&mut self, now: Micros, poll: &mut Poll) {
        let mut changed = false;
        for act in self.acts.drain(..) {
            match act {
                Act::Tell(change) => {
                    if let (Change::WasAway { .. }, Some(replica)) = (&change, &mut self.replica) {
                        replica.was_away(now, &mut self.shared);
                    }
                    self.changes.push(change);
                    changed = true;
                }
                Act::Stream { to, bytes } => {
                    if !self.streams.send(to, &bytes, now, poll) {
                        self.view.unstreamed(now, to);
                    }
                }
                Act::Send { to, bytes } => self.datagrams.send(to, &bytes),
            }
        }
        if changed || self.worded != self.view.worded() {
            self.worded = self.view.worded();
            self.tell_fleet(now);
        }
        self.carry_shared(now, poll);
    }

    /// What is shared goes to fronts by their names; the view knows where they are.
    fn carry_shared(&mut self, now: Micros, poll: &mut Poll) {
        let mut rest = Vec::new();
        for act in self.shared.drain(..) {
            let (to, bytes, stream) = match act {
                replica::Act::Send { to, bytes } => (to, bytes, false),
                replica::Act::Stream { to, bytes } => (to, bytes, true),
                other => {
                    rest.push(other);
                    continue;
                }
            };
            let Some(address) = self.view.member(&to).and_then(Member::address) else {
                continue;
            };
            if stream {
                // Where none comes up it is found missing by the next comparison.
                self.streams.send(address, &bytes, now, poll);
            } else {
                self.datagrams.send(address, &bytes);
            }
        }
        self.shared = rest;
    }
}

/// What one says of itself that it shares.
fn flags(member: &Member) -> u8 {
    let value = member.body.values.iter().find(|value| value.kind == SHARED);
    value
        .and_then(|value| value.bytes.first().copied())
        .unwrap_or(0)
}

/// By the first letters: what is about the view, and what is about what is shared.
fn heard(
    view: &mut View,
    replica: &mut Option<Replica>,
    now: Micros,
    bytes: &[u8],
    (acts, shared): (&mut Vec<Act>, &mut Vec<replica::Act>),
) {
    let about_shared = matches!(envelope::mark(bytes), Some(wire::MARK | wire::CHUNK_MARK));
    match replica {
        Some(replica) if about_shared => replica.hear(now, bytes, shared),
        // Without one it is dropped there, and counted.
        _ => view.hear(now, bytes, acts),
    }
}

/// Datagrams and streams at one address and port; a port from the kernel has to be free for both.
fn both(listen: SocketAddr, poll: &Poll) -> io::Result<(UdpSocket, Streams)> {
    let mut tries = 0;
    loop {
        let socket = UdpSocket::bind(listen)?;
        match Streams::listen(socket.local_addr()?, poll) {
            Ok(streams) => return Ok((socket, streams)),
            Err(e) if listen.port() == 0 && e.kind() == ErrorKind::AddrInUse && tries < TRIES => {
                tries += 1
            }
            Err(e) => return Err(e),
        }
    }
}
