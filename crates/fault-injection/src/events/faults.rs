//! What happens to the datagrams of one hollow subscriber.

use serde::{Deserialize, Serialize};

/// A set of relays, by their places in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySet(u64);

impl RelaySet {
    pub fn of(relays: impl IntoIterator<Item = usize>) -> RelaySet {
        RelaySet(relays.into_iter().fold(0, |set, relay| set | 1 << relay))
    }

    pub fn has(self, relay: usize) -> bool {
        self.0 >> relay & 1 == 1
    }

    pub fn with(self, other: RelaySet) -> RelaySet {
        RelaySet(self.0 | other.0)
    }
}

/// Faults by seed, the same in both directions.
#[derive(Debug)]
pub struct DatagramFaults {
    /// Share of datagrams that is lost.
    pub loss: f64,
    /// Relays that nothing goes to and nothing comes from.
    pub cut_off: RelaySet,
    rng: fastrand::Rng,
}

impl DatagramFaults {
    pub fn new(seed: u64) -> DatagramFaults {
        let rng = fastrand::Rng::with_seed(seed);
        DatagramFaults {
            loss: 0.0,
            cut_off: RelaySet::default(),
            rng,
        }
    }

    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.cut_off = RelaySet::default();
    }

    /// Whether the next datagram to or from that relay arrives; one of nobody known always does.
    pub fn passes(&mut self, relay: Option<usize>) -> bool {
        let cut = relay.is_some_and(|relay| self.cut_off.has(relay));
        !cut && (self.loss <= 0.0 || self.rng.f64() >= self.loss)
    }
}
