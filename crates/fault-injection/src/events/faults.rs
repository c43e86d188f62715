//! Faults on the datagrams of one simulated subscriber.

use serde::{Deserialize, Serialize};

/// A set of relays, by their indices in the list of relays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySet(u64);

impl RelaySet {
    /// The set of these relays.
    pub fn of(relays: impl IntoIterator<Item = usize>) -> RelaySet {
        RelaySet(relays.into_iter().fold(0, |set, relay| set | 1 << relay))
    }

    /// Whether the set contains the relay.
    pub fn contains(self, relay: usize) -> bool {
        self.0 >> relay & 1 == 1
    }

    /// The union of both sets.
    pub fn union(self, other: RelaySet) -> RelaySet {
        RelaySet(self.0 | other.0)
    }
}

/// Loss and partitions, the same in both directions. Losses are drawn from a seeded generator.
#[derive(Debug)]
pub struct DatagramFaults {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Relays with which no datagrams are exchanged.
    pub cut_off: RelaySet,
    rng: fastrand::Rng,
}

impl DatagramFaults {
    /// No faults yet; `seed` decides which datagrams are lost later.
    pub fn new(seed: u64) -> DatagramFaults {
        let rng = fastrand::Rng::with_seed(seed);
        DatagramFaults {
            loss: 0.0,
            cut_off: RelaySet::default(),
            rng,
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.cut_off = RelaySet::default();
    }

    /// Whether the next datagram to or from the relay is delivered. `None` is an address that belongs to no relay; no
    /// partition applies to it.
    pub fn passes(&mut self, relay: Option<usize>) -> bool {
        let cut = relay.is_some_and(|relay| self.cut_off.contains(relay));
        !cut && (self.loss <= 0.0 || self.rng.f64() >= self.loss)
    }
}
