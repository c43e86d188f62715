//! A timing wheel over small indices: setting, moving and taking out cost the same however many there are, and
//! nothing is left behind by what was taken out. (A heap with dead entries grows with the rate of lookups.)

use meadowrill_core::interface::Micros;

const NONE: u32 = u32::MAX;
const SLOTS: usize = 512;

#[derive(Clone, Copy)]
struct Node {
    at: Micros,
    prev: u32,
    next: u32,
    /// Slot that it stands in, or none.
    slot: u32,
}

const FREE: Node = Node { at: 0, prev: NONE, next: NONE, slot: NONE };

pub struct Wheel {
    /// Width of a slot.
    grain: Micros,
    heads: Vec<u32>,
    nodes: Vec<Node>,
    /// The tick up to which all that is due was given out.
    tick: i64,
    count: usize,
}

impl Wheel {
    pub fn new(grain: Micros, now: Micros) -> Wheel {
        Wheel { grain, heads: vec![NONE; SLOTS], nodes: Vec::new(), tick: now.div_euclid(grain), count: 0 }
    }

    /// With room for so many from the start.
    pub fn with(grain: Micros, now: Micros, most: usize) -> Wheel {
        Wheel { nodes: vec![FREE; most], ..Wheel::new(grain, now) }
    }

    fn slot(&self, at: Micros) -> usize {
        // What is due already stands in the next slot to be looked at.
        at.div_euclid(self.grain).max(self.tick).rem_euclid(SLOTS as i64) as usize
    }

    pub fn set(&mut self, index: u32, at: Micros) {
        self.unset(index);
        let slot = self.slot(at);
        let i = index as usize;
        if self.nodes.len() <= i {
            self.nodes.resize(i + 1, FREE);
        }
        let head = self.heads[slot];
        self.nodes[i] = Node { at, prev: NONE, next: head, slot: slot as u32 };
        if head != NONE {
            self.nodes[head as usize].prev = index;
        }
        self.heads[slot] = index;
        self.count += 1;
    }

    pub fn unset(&mut self, index: u32) {
        let Some(node) = self.nodes.get(index as usize).copied().filter(|n| n.slot != NONE) else { return };
        match node.prev {
            NONE => self.heads[node.slot as usize] = node.next,
            prev => self.nodes[prev as usize].next = node.next,
        }
        if node.next != NONE {
            self.nodes[node.next as usize].prev = node.prev;
        }
        self.nodes[index as usize] = FREE;
        self.count -= 1;
    }

    /// One that is due, taken out; to be asked until there is none. A clock that jumps ahead costs one round.
    pub fn due(&mut self, now: Micros) -> Option<u32> {
        let last = now.div_euclid(self.grain);
        if self.count == 0 {
            self.tick = self.tick.max(last);
            return None;
        }
        self.tick = self.tick.max(last - SLOTS as i64 + 1);
        while self.tick <= last {
            let mut at = self.heads[self.tick.rem_euclid(SLOTS as i64) as usize];
            while at != NONE {
                let node = self.nodes[at as usize];
                if node.at <= now {
                    self.unset(at);
                    return Some(at);
                }
                at = node.next;
            }
            if self.tick == last {
                break;
            }
            self.tick += 1;
        }
        None
    }

    /// When to look again: no later than the next that is due, but for what lies beyond a whole turn.
    pub fn next(&self) -> Option<Micros> {
        if self.count == 0 {
            return None;
        }
        let ahead = (0..SLOTS as i64)
            .find(|n| self.heads[(self.tick + n).rem_euclid(SLOTS as i64) as usize] != NONE)?;
        let mut at = self.heads[(self.tick + ahead).rem_euclid(SLOTS as i64) as usize];
        let mut least = Micros::MAX;
        while at != NONE {
            least = least.min(self.nodes[at as usize].at);
            at = self.nodes[at as usize].next;
        }
        Some(least)
    }

    /// Bytes held, used or not.
    pub fn size(&self) -> usize {
        self.heads.capacity() * size_of::<u32>() + self.nodes.capacity() * size_of::<Node>()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_come_out_when_due_and_none_before() {
        let mut wheel = Wheel::new(1000, 0);
        let times = [5_000, 100, 700_000, 1_500_000, 1_500_001, 5_000];
        times.iter().enumerate().for_each(|(i, at)| wheel.set(i as u32, *at));
        wheel.unset(0);
        wheel.set(1, 2_000);
        let mut out = Vec::new();
        for now in (0..2_000_000).step_by(500) {
            while let Some(i) = wheel.due(now) {
                out.push((i, now));
            }
        }
        assert_eq!(out, [(1, 2_000), (5, 5_000), (2, 700_000), (3, 1_500_000), (4, 1_500_500)]);
        assert_eq!(wheel.count, 0);
    }

    #[test]
    fn a_clock_that_jumps_a_year_costs_one_round() {
        let mut wheel = Wheel::new(1000, 0);
        (0..100).for_each(|i| wheel.set(i, Micros::from(i) * 10_000));
        let year = 365 * 86_400 * 1_000_000;
        assert_eq!(std::iter::from_fn(|| wheel.due(year)).count(), 100);
        wheel.set(7, year - 5);
        assert_eq!((wheel.due(year), wheel.due(year)), (Some(7), None));
    }
}
