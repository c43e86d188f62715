//! The other proxies, as the membership view has them, and which of them vote on claims.
//!
//! Invariants: a proxy that voted stays a voter until it announced that it leaves and the claims of its time have
//! settled, or until the view has forgotten it and they have expired; so both sides of a network split see the same voters,
//! and at most one of them has a quorum. `compared` is never undone.

use super::{Action, Replica};
use crate::Micros;
use std::collections::BTreeSet;

/// Claims granted when a proxy left or died have spread to all others after this many periods.
const SETTLING_PERIODS: Micros = 6;
/// Replaces an unknown round trip.
const UNKNOWN_ROUND_TRIP_MICROS: f64 = 1e9;

/// Another proxy, as the membership view has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its incarnation: when its process started.
    pub incarnation: u64,
    /// The view holds it to be alive.
    pub alive: bool,
    /// It announced that it leaves: it votes on nothing any more.
    pub left: bool,
    /// Its zone.
    pub zone: String,
    /// In microseconds; none where it is not known.
    pub round_trip: Option<f64>,
    /// Whether it replicates state; earlier builds don't.
    pub replicates: bool,
    /// Whether it votes on claims; earlier builds don't.
    pub votes: bool,
}

/// What is remembered of another proxy.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub(super) peer: Peer,
    /// It votes on claims, by its own report or another's. A proxy that restarts reports nothing for a moment and must
    /// not be left out for that: what it and one other granted could be granted again without them.
    pub(super) is_voter: bool,
    /// When it was alive last.
    last_alive: Micros,
    /// Claims were compared with it since this proxy's start. Nothing undoes that: this proxy remembers what it grants
    /// itself, and a later process of that name has to compare with this proxy before it grants anything.
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

    /// It is alive and replicates state.
    fn is_partner(&self) -> bool {
        self.peer.alive && self.peer.replicates
    }

    /// It votes: it is alive, or may return with the claims that it granted.
    fn counts_as_voter(&self, now: Micros, settling_time: Micros) -> bool {
        self.is_voter && (!self.peer.left || now < self.last_alive + settling_time)
    }
}

/// A proxy that is known only because another counts it among the voters.
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
    /// The membership view has changed. `agreed`: this proxy has agreed with another on the membership, or is alone.
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

    /// A proxy that the view has forgotten is forgotten once the claims of its time have expired.
    fn forget_peers(&mut self, now: Micros, in_view: &BTreeSet<String>) {
        let ledger = self.settings.ledger.as_ref();
        let retention = ledger.map_or(0, |ledger| ledger.claim_retention);
        self.peers.retain(|name, state| {
            let is_in_view = in_view.contains(name);
            state.peer.alive &= is_in_view;
            is_in_view || now < state.last_alive + retention
        });
    }

    /// Adds proxies that another counts among the voters: they may return with claims that they granted.
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

    /// Brings the list of voters up to date.
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

    /// Whether the view holds a proxy to be alive.
    pub(super) fn is_alive(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|state| state.peer.alive)
    }

    /// Whether there is nobody to replicate with.
    pub(super) fn is_alone(&self) -> bool {
        self.voters.membership_agreed && !self.peers.values().any(PeerState::is_partner)
    }

    /// Draws up to `count` different proxies that replicate state.
    pub(super) fn sample_peers(&mut self, count: usize) -> Vec<String> {
        let partners = self.peers.iter().filter(|(_, state)| state.is_partner());
        let mut names: Vec<&String> = partners.map(|(name, _)| name).collect();
        let count = count.min(names.len());
        for index in 0..count {
            let drawn = self.rng.usize(index..names.len());
            names.swap(index, drawn);
        }
        names.into_iter().take(count).cloned().collect()
    }

    /// The proxy that replicates state and is nearest, by zone and then by round trip.
    pub(super) fn nearest_peer(&self, excluded: &BTreeSet<String>) -> Option<String> {
        let distance = |peer: &&Peer| {
            let round_trip = peer.round_trip.unwrap_or(UNKNOWN_ROUND_TRIP_MICROS) as i64;
            let other_zone = peer.zone != self.settings.zone;
            (other_zone, round_trip, peer.name.clone())
        };
        self.peers
            .values()
            .filter(|state| state.is_partner())
            .map(|state| &state.peer)
            .filter(|peer| !excluded.contains(&peer.name))
            .min_by_key(distance)
            .map(|peer| peer.name.clone())
    }
}
