//! A hashed timing wheel (Varghese, Lauck, 1987). Timers are identified by small indices, and setting, moving and
//! cancelling a timer take O(1) time.
//!
//! Invariants: an index has at most one timer; a cancelled timer is removed completely; each timer is in the list of
//! the slot of its deadline.

use crate::slab::NONE;
use meadowrill_routing::interface::Micros;

/// Number of slots of the wheel. Timers more than one revolution ahead share their slots with earlier timers.
const SLOT_COUNT: usize = 512;

/// A timer, linked into the list of its slot.
#[derive(Clone, Copy)]
struct Timer {
    deadline: Micros,
    previous: u32,
    next: u32,
    /// The slot whose list contains the timer, or [`NONE`] if the timer is not set.
    slot: u32,
}

const UNSET: Timer = Timer {
    deadline: 0,
    previous: NONE,
    next: NONE,
    slot: NONE,
};

/// A set of timers, each identified by an index.
pub struct TimerWheel {
    /// Width of a slot, in microseconds.
    granularity: Micros,
    /// The first timer of each slot.
    heads: Vec<u32>,
    timers: Vec<Timer>,
    /// The next tick to examine. No timer of an earlier tick is still set.
    tick: i64,
    count: usize,
}

impl TimerWheel {
    /// Creates an empty wheel whose slots are `granularity` wide.
    pub fn new(granularity: Micros, now: Micros) -> TimerWheel {
        let tick = now.div_euclid(granularity);
        TimerWheel {
            granularity,
            heads: vec![NONE; SLOT_COUNT],
            timers: Vec::new(),
            tick,
            count: 0,
        }
    }

    /// Creates an empty wheel with memory for the timer indices from 0 up to, but not including, `capacity`.
    pub fn with_capacity(granularity: Micros, now: Micros, capacity: usize) -> TimerWheel {
        TimerWheel {
            timers: vec![UNSET; capacity],
            ..TimerWheel::new(granularity, now)
        }
    }

    /// Returns the number of timers that are set.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn slot_of_tick(tick: i64) -> usize {
        tick.rem_euclid(SLOT_COUNT as i64) as usize
    }

    /// Returns the slot for a deadline. A deadline in the past maps to the slot that is examined next.
    fn slot_of(&self, deadline: Micros) -> usize {
        Self::slot_of_tick(deadline.div_euclid(self.granularity).max(self.tick))
    }

    /// Sets the timer `index`, or moves it if it is set already.
    pub fn set(&mut self, index: u32, deadline: Micros) {
        self.cancel(index);
        let slot = self.slot_of(deadline);
        if self.timers.len() <= index as usize {
            self.timers.resize(index as usize + 1, UNSET);
        }
        let head = self.heads[slot];
        self.timers[index as usize] = Timer {
            deadline,
            previous: NONE,
            next: head,
            slot: slot as u32,
        };
        if head != NONE {
            self.timers[head as usize].previous = index;
        }
        self.heads[slot] = index;
        self.count += 1;
    }

    /// Cancels the timer `index` if it is set.
    pub fn cancel(&mut self, index: u32) {
        let set = self
            .timers
            .get(index as usize)
            .copied()
            .filter(|timer| timer.slot != NONE);
        let Some(timer) = set else { return };
        match timer.previous {
            NONE => self.heads[timer.slot as usize] = timer.next,
            previous => self.timers[previous as usize].next = timer.next,
        }
        if timer.next != NONE {
            self.timers[timer.next as usize].previous = timer.previous;
        }
        self.timers[index as usize] = UNSET;
        self.count -= 1;
    }

    /// Removes and returns one timer that is due. The caller repeats the call until there is none. A clock that jumps
    /// ahead costs at most one revolution of the wheel.
    pub fn pop_due(&mut self, now: Micros) -> Option<u32> {
        let last = now.div_euclid(self.granularity);
        if self.count == 0 {
            self.tick = self.tick.max(last);
            return None;
        }
        self.tick = self.tick.max(last - SLOT_COUNT as i64 + 1);
        while self.tick <= last {
            if let Some(index) = self.due_in_slot(Self::slot_of_tick(self.tick), now) {
                self.cancel(index);
                return Some(index);
            }
            if self.tick == last {
                break;
            }
            self.tick += 1;
        }
        None
    }

    fn due_in_slot(&self, slot: usize, now: Micros) -> Option<u32> {
        self.slot_timers(slot)
            .find(|(_, timer)| timer.deadline <= now)
            .map(|(index, _)| index)
    }

    fn slot_timers(&self, slot: usize) -> impl Iterator<Item = (u32, &Timer)> {
        let at = |index: u32| Some((index, self.timers.get(index as usize)?));
        std::iter::successors(at(self.heads[slot]), move |(_, timer)| at(timer.next))
    }

    /// Returns when `pop_due` has to be called next. This is the earliest deadline, unless a timer more than one
    /// revolution ahead is in an earlier slot than the earliest deadline: the result is then later.
    pub fn next_deadline(&self) -> Option<Micros> {
        if self.count == 0 {
            return None;
        }
        let mut slots = (0..SLOT_COUNT as i64).map(|ahead| Self::slot_of_tick(self.tick + ahead));
        let slot = slots.find(|slot| self.heads[*slot] != NONE)?;
        self.slot_timers(slot)
            .map(|(_, timer)| timer.deadline)
            .min()
    }

    /// Returns the number of allocated bytes, whether used or not.
    pub fn memory_bytes(&self) -> usize {
        self.heads.capacity() * size_of::<u32>() + self.timers.capacity() * size_of::<Timer>()
    }
}

#[cfg(test)]
mod tests;
