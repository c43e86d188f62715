//! Recipients of messages, and their random selection.

use super::View;
use crate::claim::MemberState;
use crate::Micros;
use std::net::SocketAddr;

/// Number of candidates drawn for each random choice: the power of several choices (Mitzenmacher, 2001).
const CANDIDATES_PER_CHOICE: usize = 3;

/// Name and address of the recipient of a message. The name is empty if only the address is known.
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
    /// Chooses random members that are alive. For each choice, several candidates are drawn, and the one from which
    /// this proxy received a message most recently is taken. The times are compared in full probe periods. Shortly
    /// after many members have died, most members that the view still considers alive are dead.
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
            let drawn = (0..CANDIDATES_PER_CHOICE).map(|_| self.rng.usize(0..candidates.len()));
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
