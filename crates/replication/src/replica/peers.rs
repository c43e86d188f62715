//! The other proxies according to the membership view, and which of them vote on claims.
//!
//! Invariants:
//! - A voter stays a voter until it has announced that it leaves and the claims of its time have settled, or until it
//!   is no longer in the view and those claims have expired. So both sides of a network split see the same voters, and
//!   at most one side has a quorum.
//! - `compared` is never reset.

use super::{Action, Replica};
use crate::Micros;
use std::collections::BTreeSet;

/// Number of periods after which claims that were granted when a proxy left or died have spread to all others.
const SETTLING_PERIODS: Micros = 6;
/// Round-trip time that is assumed if it is not known.
const UNKNOWN_ROUND_TRIP_MICROS: f64 = 1e9;

/// Another proxy, according to the membership view.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its incarnation: when its process started.
    pub incarnation: u64,
    /// Whether the view considers it alive.
    pub alive: bool,
    /// Whether it announced that it leaves. It no longer votes then.
    pub left: bool,
    /// Its zone.
    pub zone: String,
    /// Round-trip time in microseconds; none if it is not known.
    pub round_trip: Option<f64>,
    /// Whether it replicates state. Earlier builds do not.
    pub replicates: bool,
    /// Whether it votes on claims. Earlier builds do not.
    pub votes: bool,
}

/// What this proxy stores about another proxy.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub(super) peer: Peer,
    /// Whether it votes on claims, according to its own report or that of another proxy. It remains set: a proxy that
    /// restarts reports nothing for a moment. If it were not a voter during that time, a claim that it and one other
    /// proxy granted could be granted again without them.
    pub(super) is_voter: bool,
    /// When it was last alive.
    last_alive: Micros,
    /// Whether claims were compared with it since this proxy's start. It remains set: this proxy stores the claims that
    /// it grants itself, and a later process of that name has to compare its claims with this proxy before it grants
    /// any.
    pub(super) compared: bool,
}

impl PeerState {
    fn new(peer: Peer, is_voter: bool, last_alive: Micros) -> PeerState {
        PeerState {
            peer,
            is_voter,
            last_alive,
            compared: false,
        }
    }

    /// Whether it is alive and replicates state.
    fn is_live_replica(&self) -> bool {
        self.peer.alive && self.peer.replicates
    }

    /// Whether it is a voter: it has not left, or the claims of its time have not settled. A proxy that is not alive
    /// may return with the claims that it granted.
    fn counts_as_voter(&self, now: Micros, settling_time: Micros) -> bool {
        self.is_voter && (!self.peer.left || now < self.last_alive + settling_time)
    }
}

/// A proxy that is known only because another proxy counts it as a voter.
fn unseen_peer(name: String) -> Peer {
    Peer {
        name,
        incarnation: 0,
        alive: false,
        left: false,
        zone: String::new(),
        round_trip: None,
        replicates: true,
        votes: true,
    }
}

impl Replica {
    /// Adopts a new membership view. `agreed` is whether this proxy has agreed on the membership with another proxy, or
    /// is the only one.
    pub fn update_membership(
        &mut self,
        now: Micros,
        agreed: bool,
        peers: Vec<Peer>,
        actions: &mut Vec<Action>,
    ) {
        self.advance(now);
        self.voters.membership_agreed = agreed;
        let names: BTreeSet<String> = peers.iter().map(|peer| peer.name.clone()).collect();
        for peer in peers {
            self.update_peer(now, peer);
        }
        self.forget_peers(now, &names);
        self.update_voters();
        self.with_ledger(actions, |ledger, input, out| ledger.tick(input, out));
    }

    fn update_peer(&mut self, now: Micros, peer: Peer) {
        let name = peer.name.clone();
        let state = self
            .peers
            .entry(name)
            .or_insert_with(|| PeerState::new(peer.clone(), false, now));
        state.is_voter |= peer.votes;
        if peer.alive || state.peer.alive {
            state.last_alive = now;
        }
        state.peer = peer;
    }

    /// Removes proxies that are no longer in the view, once the claims of their time have expired.
    fn forget_peers(&mut self, now: Micros, in_view: &BTreeSet<String>) {
        let ledger = self.settings.ledger.as_ref();
        let retention = ledger.map_or(0, |ledger| ledger.claim_retention);
        self.peers.retain(|name, state| {
            let is_in_view = in_view.contains(name);
            state.peer.alive &= is_in_view;
            is_in_view || now < state.last_alive + retention
        });
    }

    /// Adds proxies that another proxy counts as voters. They may return with claims that they granted.
    pub(super) fn add_unseen_voters(&mut self, names: Vec<String>) {
        let last_alive = self.now - self.settling_time();
        for name in names {
            if name != self.name {
                let unseen =
                    |name: &String| PeerState::new(unseen_peer(name.clone()), true, last_alive);
                self.peers.entry(name).or_insert_with_key(unseen);
            }
        }
    }

    /// Recomputes the voters, and those with which this proxy has compared its claims.
    pub(super) fn update_voters(&mut self) {
        let (now, settling_time) = (self.now, self.settling_time());
        let own = (self.name.clone(), Some(self.incarnation));
        let others = self
            .peers
            .iter()
            .filter(|(_, state)| state.counts_as_voter(now, settling_time))
            .map(|(name, state)| {
                let incarnation = state.peer.alive.then_some(state.peer.incarnation);
                (name.clone(), incarnation)
            });
        self.voters.members = others.chain([own]).collect();
        let compared = self.peers.iter().filter(|(_, state)| state.compared);
        self.voters.compared_with = compared.map(|(name, _)| name.clone()).collect();
    }

    fn settling_time(&self) -> Micros {
        SETTLING_PERIODS * self.settings.period
    }

    /// Whether the view considers a proxy alive.
    pub(super) fn is_alive(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|state| state.peer.alive)
    }

    /// Whether there is no proxy to replicate with.
    pub(super) fn is_alone(&self) -> bool {
        self.voters.membership_agreed && !self.peers.values().any(PeerState::is_live_replica)
    }

    /// Selects up to `count` different live proxies that replicate state, at random.
    pub(super) fn sample_peers(&mut self, count: usize) -> Vec<String> {
        let candidates = self
            .peers
            .iter()
            .filter(|(_, state)| state.is_live_replica());
        let mut names: Vec<&String> = candidates.map(|(name, _)| name).collect();
        let count = count.min(names.len());
        for index in 0..count {
            let selected = self.rng.usize(index..names.len());
            names.swap(index, selected);
        }
        names.into_iter().take(count).cloned().collect()
    }

    /// The nearest live proxy that replicates state, by zone and then by round-trip time.
    pub(super) fn nearest_peer(&self, excluded: &BTreeSet<String>) -> Option<String> {
        let distance = |peer: &&Peer| {
            let round_trip = peer.round_trip.unwrap_or(UNKNOWN_ROUND_TRIP_MICROS) as i64;
            let other_zone = peer.zone != self.settings.zone;
            (other_zone, round_trip, peer.name.clone())
        };
        self.peers
            .values()
            .filter(|state| state.is_live_replica())
            .map(|state| &state.peer)
            .filter(|peer| !excluded.contains(&peer.name))
            .min_by_key(distance)
            .map(|peer| peer.name.clone())
    }
}
