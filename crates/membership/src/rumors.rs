//! Gossip: a queue of the rumors that this proxy still has to transmit. The newest rumors come first, and each is
//! transmitted a bounded number of times.
//!
//! Invariants: there is at most one rumor about each member; the queue and the index by name contain the same rumors;
//! each queued rumor has at least one transmission left.

use std::collections::BTreeMap;

/// Number of transmissions of each rumor, as a multiple of the binary logarithm of the fleet's size.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;

#[derive(Clone, Debug)]
struct Rumor {
    /// Name of the member that the rumor is about.
    name: String,
    transmissions_left: u32,
}

/// A queue of rumors, at most one about each member.
#[derive(Clone, Debug, Default)]
pub struct Rumors {
    /// Rumors by age: newer ones have larger numbers.
    queue: BTreeMap<u64, Rumor>,
    /// The number of the rumor about each member.
    numbers: BTreeMap<String, u64>,
    last_number: u64,
}

impl Rumors {
    /// Queues a rumor about a member and replaces an earlier rumor about it. `members` is the fleet's size without this
    /// proxy.
    pub fn insert(&mut self, name: &str, members: usize) {
        self.remove(name);
        self.last_number += 1;
        let doublings = usize::BITS - (members + 1).leading_zeros();
        let transmissions_left = TRANSMISSIONS_PER_DOUBLING * doublings;
        self.queue.insert(
            self.last_number,
            Rumor {
                name: name.to_string(),
                transmissions_left,
            },
        );
        self.numbers.insert(name.to_string(), self.last_number);
    }

    /// Removes the rumor about a member.
    pub fn remove(&mut self, name: &str) {
        if let Some(number) = self.numbers.remove(name) {
            self.queue.remove(&number);
        }
    }

    /// Whether there is nothing left to transmit.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Passes the names of the rumors to `accept`, newest first, until it returns false. Each accepted name counts as
    /// one transmission of its rumor.
    pub fn transmit(&mut self, mut accept: impl FnMut(&str) -> bool) {
        let mut finished = Vec::new();
        for (number, rumor) in self.queue.iter_mut().rev() {
            if !accept(&rumor.name) {
                break;
            }
            rumor.transmissions_left -= 1;
            if rumor.transmissions_left == 0 {
                finished.push((*number, rumor.name.clone()));
            }
        }
        for (number, name) in finished {
            self.queue.remove(&number);
            self.numbers.remove(&name);
        }
    }
}
