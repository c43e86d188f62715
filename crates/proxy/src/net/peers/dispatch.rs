//! Dispatches messages: received ones to the view or the replica, and those of the view and the replica to the sockets.

use super::{capabilities, Peers};
use crate::net::Poll;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::envelope;
use meadowrill_membership::view::{Action, Change, Member, View};
use meadowrill_replication::replica::{self, Peer, Replica};
use meadowrill_replication::wire;
use meadowrill_routing::interface::Micros;

impl Peers {
    /// Passes the members to the replica after the membership has changed.
    pub(super) fn update_replica_members(&mut self, now: Micros) {
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
            replicates: capabilities::replicates(m),
            votes: capabilities::has_ledger(m),
        };
        let is_alone = self.has_no_contacts && self.view.members().next().is_none();
        let peers = self.view.members().map(peer).collect();
        replica.update_membership(
            now,
            self.view.has_joined() || is_alone,
            peers,
            &mut self.replica_actions,
        );
    }

    /// Performs the pending actions of the view, and sends the messages of the replica.
    pub(crate) fn dispatch(&mut self, now: Micros, poll: &mut Poll) {
        let mut changed = false;
        for action in self.actions.drain(..) {
            match action {
                Action::Notify(change) => {
                    if let (Change::ProcessPaused { .. }, Some(replica)) =
                        (&change, &mut self.replica)
                    {
                        replica.resume_after_pause(now, &mut self.replica_actions);
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

    /// Sends the messages of the replica. The replica names members, and the view knows their addresses.
    fn dispatch_replica(&mut self, now: Micros, poll: &mut Poll) {
        let mut remaining = Vec::new();
        for action in self.replica_actions.drain(..) {
            let (to, bytes, stream) = match action {
                replica::Action::SendDatagram { to, bytes } => (to, bytes, false),
                replica::Action::SendStream { to, bytes } => (to, bytes, true),
                other => {
                    remaining.push(other);
                    continue;
                }
            };
            let Some(address) = self.view.member(&to).and_then(Member::address) else {
                continue;
            };
            if stream {
                // The next anti-entropy comparison finds what is missing after a message was dropped.
                self.streams.send(address, &bytes, now, poll);
            } else {
                self.datagrams.send(address, &bytes);
            }
        }
        self.replica_actions = remaining;
    }
}

/// Passes a datagram or message to the replica or the view, according to its first bytes.
pub(super) fn receive(
    view: &mut View,
    replica: &mut Option<Replica>,
    now: Micros,
    bytes: &[u8],
    (actions, replica_actions): (&mut Vec<Action>, &mut Vec<replica::Action>),
) {
    let for_replica = matches!(
        envelope::message_magic(bytes),
        Some(wire::MARK | wire::CHUNK_MARK)
    );
    match replica {
        Some(replica) if for_replica => replica.receive_message(now, bytes, replica_actions),
        // Without a replica the view drops the message and counts it.
        _ => view.receive(now, bytes, actions),
    }
}
