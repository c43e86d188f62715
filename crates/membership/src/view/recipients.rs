//! Recipients of messages, and the random choice of them.

use super::View;
use crate::claim::MemberState;
use crate::Micros;
use std::net::SocketAddr;

/// Candidates drawn for each place of a random choice.
const CANDIDATES_PER_PLACE: usize = 3;

/// The name and the address that a message goes to; the name is empty where only the address is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct Recipient<'a> {
    pub name: &'a str,
    pub address: SocketAddr,
}

/// A member that was chosen as a recipient.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub name: String,
    pub address: SocketAddr,
}

impl Peer {
    pub(super) fn recipient(&self) -> Recipient<'_> {
        Recipient {
            name: &self.name,
            address: self.address,
        }
    }
}

struct Candidate<'a> {
    name: &'a str,
    address: SocketAddr,
    received_at: Option<Micros>,
}

impl View {
    /// Random members that are alive. Of the candidates drawn for each place the one from which this proxy received
    /// something most recently is taken, by whole periods: just after many have died most of those in the view are dead.
    pub(super) fn random_peers(&mut self, count: usize, except: &str) -> Vec<Peer> {
        let mut candidates: Vec<Candidate> = self
            .members
            .iter()
            .filter(|(name, member)| member.claim.state == MemberState::Alive && *name != except)
            .filter_map(|(name, member)| {
                Some(Candidate {
                    name,
                    address: member.address()?,
                    received_at: member.received_at,
                })
            })
            .collect();
        let mut peers = Vec::new();
        while peers.len() < count && !candidates.is_empty() {
            let drawn = (0..CANDIDATES_PER_PLACE).map(|_| self.rng.usize(0..candidates.len()));
            let period = |at: &usize| {
                candidates[*at]
                    .received_at
                    .map(|at| at / self.settings.probe_period)
            };
            let best = drawn.max_by_key(period).unwrap_or(0);
            let Candidate { name, address, .. } = candidates.swap_remove(best);
            peers.push(Peer {
                name: name.to_string(),
                address,
            });
        }
        peers
    }

    /// The address of a known member.
    pub(super) fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name)?.address()
    }
}
