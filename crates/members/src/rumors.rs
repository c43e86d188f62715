//! What is still to be told: newest first, each a bounded number of times.

use std::collections::BTreeMap;

/// Each is told so many times the doublings that the fleet's size takes.
const TOLD: u32 = 2;

#[derive(Clone, Debug, Default)]
pub struct Rumors {
    /// By age, and how often each is still to be told.
    queue: BTreeMap<u64, (String, u32)>,
    at: BTreeMap<String, u64>,
    count: u64,
}

impl Rumors {
    /// News about one member replaces what was to be told of it.
    pub fn put(&mut self, name: &str, members: usize) {
        if let Some(former) = self.at.remove(name) {
            self.queue.remove(&former);
        }
        self.count += 1;
        let times = TOLD * (usize::BITS - (members + 1).leading_zeros());
        self.queue.insert(self.count, (name.to_string(), times));
        self.at.insert(name.to_string(), self.count);
    }

    pub fn forget(&mut self, name: &str) {
        if let Some(at) = self.at.remove(name) {
            self.queue.remove(&at);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Hands out names, newest first, as long as `take` finds room for one more; each taken one is counted.
    pub fn tell(&mut self, mut take: impl FnMut(&str) -> bool) {
        let mut told = Vec::new();
        for (at, (name, left)) in self.queue.iter_mut().rev() {
            if !take(name) {
                break;
            }
            *left -= 1;
            if *left == 0 {
                told.push((*at, name.clone()));
            }
        }
        for (at, name) in told {
            self.queue.remove(&at);
            self.at.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn newest_first_and_each_a_bounded_number_of_times() {
        let mut rumors = Rumors::default();
        ["a", "b", "c"].iter().for_each(|n| rumors.put(n, 3));
        let mut order = Vec::new();
        rumors.tell(|name| {
            order.push(name.to_string());
            order.len() < 3
        });
        assert_eq!(order, ["c", "b", "a"]);
        let mut told = 0;
        while !rumors.is_empty() {
            rumors.tell(|_| true);
            told += 1;
        }
        assert_eq!(told, 6);
    }
}
