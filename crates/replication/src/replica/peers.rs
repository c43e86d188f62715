//! The other fronts, as the membership view has them, and which of them decide on effects.

use super::{Act, Replica};
use crate::Micros;
use std::collections::BTreeSet;

/// Claims granted when a front left or died have spread to all others after this many periods.
pub(super) const SETTLED_PERIODS: Micros = 6;
/// Stands for an unknown round trip, in microseconds.
const UNKNOWN_ROUND_TRIP: f64 = 1e9;

/// Another front, as the membership view has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// When its process started.
    pub start: u64,
    /// It is held to be alive.
    pub here: bool,
    /// It announced that it leaves: it decides on nothing any more.
    pub left: bool,
    /// Its zone.
    pub zone: String,
    /// In microseconds; none where it is not known.
    pub round_trip: Option<f64>,
    /// Whether it shares state; earlier builds don't.
    pub shares: bool,
    /// Whether it decides on effects; earlier builds don't.
    pub ledger: bool,
}

/// What is remembered of another front.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub(super) peer: Peer,
    /// It decides on effects, by its own report or another's. A front that restarts reports nothing for a moment and must
    /// not be left out for that: what it and one other granted could be granted again without them.
    pub(super) elector: bool,
    /// When it was alive last.
    last_here: Micros,
    /// Claims were compared with it since this front's start. Nothing undoes that: this front remembers what it grants
    /// itself, and a later process of that name has to compare with this front before it grants anything.
    pub(super) compared: bool,
}

impl PeerState {
    fn new(peer: Peer, elector: bool, last_here: Micros) -> PeerState {
        PeerState {
            peer,
            elector,
            last_here,
            compared: false,
        }
    }

    /// It is alive and shares state.
    fn is_partner(&self) -> bool {
        self.peer.here && self.peer.shares
    }

    /// It decides on effects: it is alive, or may come back with the claims that it held.
    fn decides(&self, now: Micros, settled: Micros) -> bool {
        self.elector && (!self.peer.left || now < self.last_here + settled)
    }
}

/// A front that is known only because another counts it among those that decide on effects.
fn unseen_peer(name: String) -> Peer {
    Peer {
        name,
        start: 0,
        here: false,
        left: false,
        zone: String::new(),
        round_trip: None,
        shares: true,
        ledger: true,
    }
}

impl Replica {
    /// The membership view has changed. `joined`: this front has agreed with another on who there is, or is alone.
    pub fn fleet(&mut self, now: Micros, joined: bool, peers: Vec<Peer>, acts: &mut Vec<Act>) {
        self.advance(now);
        self.electors.joined = joined;
        let names: BTreeSet<String> = peers.iter().map(|peer| peer.name.clone()).collect();
        for peer in peers {
            self.update_peer(now, peer);
        }
        self.forget_peers(now, &names);
        self.update_electors();
        self.with_ledger(acts, |ledger, input, out| ledger.tick(input, out));
    }

    fn update_peer(&mut self, now: Micros, peer: Peer) {
        let name = peer.name.clone();
        let state = self
            .peers
            .entry(name)
            .or_insert_with(|| PeerState::new(peer.clone(), false, now));
        state.elector |= peer.ledger;
        if peer.here || state.peer.here {
            state.last_here = now;
        }
        state.peer = peer;
    }

    /// A front that the view has forgotten decides on nothing once the claims of its time have expired.
    fn forget_peers(&mut self, now: Micros, in_view: &BTreeSet<String>) {
        let keep = self.plan.ledger.as_ref().map_or(0, |ledger| ledger.keep);
        self.peers.retain(|name, state| {
            let there = in_view.contains(name);
            state.peer.here &= there;
            there || now < state.last_here + keep
        });
    }

    /// Adds fronts that another counts among those that decide on effects: they may come back with claims they held.
    pub(super) fn add_unseen_electors(&mut self, names: Vec<String>) {
        let last_here = self.now - self.settling_time();
        for name in names {
            if name != self.name {
                let unseen =
                    |name: &String| PeerState::new(unseen_peer(name.clone()), true, last_here);
                self.peers.entry(name).or_insert_with_key(unseen);
            }
        }
    }

    /// Brings the list of those that decide on effects up to date.
    pub(super) fn update_electors(&mut self) {
        let (now, settled) = (self.now, self.settling_time());
        let deciding = self
            .peers
            .iter()
            .filter(|(_, state)| state.decides(now, settled));
        self.electors.all = deciding
            .map(|(name, state)| (name.clone(), state.peer.here.then_some(state.peer.start)))
            .collect();
        self.electors
            .all
            .insert(self.name.clone(), Some(self.start));
        let compared = self.peers.iter().filter(|(_, state)| state.compared);
        self.electors.compared = compared.map(|(name, _)| name.clone()).collect();
    }

    fn settling_time(&self) -> Micros {
        SETTLED_PERIODS * self.plan.period
    }

    /// Whether a front is held to be alive.
    pub(super) fn is_here(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|state| state.peer.here)
    }

    /// Whether there is nobody to share state with.
    pub(super) fn is_alone(&self) -> bool {
        self.electors.joined && !self.peers.values().any(PeerState::is_partner)
    }

    /// Draws up to `count` different fronts that share state.
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

    /// The front that shares state and is nearest, by zone and then by round trip.
    pub(super) fn nearest_peer(&self, excluded: &BTreeSet<String>) -> Option<String> {
        let partners = self
            .peers
            .values()
            .filter(|state| state.is_partner())
            .map(|state| &state.peer);
        let distance = |peer: &&Peer| {
            let round_trip = peer.round_trip.unwrap_or(UNKNOWN_ROUND_TRIP) as i64;
            (peer.zone != self.plan.zone, round_trip, peer.name.clone())
        };
        let nearest = partners
            .filter(|peer| !excluded.contains(&peer.name))
            .min_by_key(distance);
        nearest.map(|peer| peer.name.clone())
    }
}
