//! Booked turns. Who is turned away is told a moment; the moment is kept as a booking in a bounded calendar, and who
//! returns then is let into the queue on it. Bookings are counted per connection and slot of time, so that looking
//! for one costs the same whoever holds how many. They belong to the client, but the connection that was told goes
//! first: else its neighbours, who were told nothing, would use them up, and what it was told would not be true.

use crate::names::Asker;
use crate::slab::{Slab, NONE};
use crate::wheel::Wheel;
use meadowrill_core::interface::Micros;

/// Width of a slot of time.
const SLOT: Micros = 20_000;
/// Slots after its own in which a booking still holds: networks and clients' timers take their time.
const HELD: i64 = 12;
/// Bookings of one client in one slot of time.
const TOGETHER: u16 = 1_000;
/// Notes that the calendar holds.
pub const MOST: usize = 4_096;

/// From so many slots after its own on, a booking is any connection's of its client.
const ANYONES: i64 = 3;
/// Bookings of a client's other connections that are looked at in a slot.
const LOOKED: usize = 4;

struct Note {
    client: u64,
    connection: u64,
    /// The newest connection when it was made.
    newest: u64,
    slot: i64,
    flow: u32,
    count: u16,
    /// The next with the same place in each index: by connection, and by client.
    next: [u32; 2],
}

pub struct Calendar {
    notes: Slab<Note>,
    /// By connection and by client.
    index: [Vec<u32>; 2],
    newest: u64,
    ends: Wheel,
    /// Bookings over all, and kept, missed and refused ones since the start.
    pub open: usize,
    pub kept: u64,
    pub missed: u64,
    pub unbooked: u64,
}

fn slot(at: Micros) -> i64 {
    at.div_euclid(SLOT)
}

/// Places of a booking in both indices.
fn places(client: u64, connection: u64, slot: i64) -> [usize; 2] {
    // The client's number is a salted hash already.
    let by_client = client ^ (slot as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let by_connection = by_client ^ connection.wrapping_mul(0xd6e8_feb8_6659_fd93);
    [by_connection, by_client].map(|hash| (hash ^ (hash >> 32)) as usize % MOST)
}

impl Calendar {
    pub fn new(now: Micros) -> Calendar {
        // All at once: what a day brings makes it no larger.
        let ends = Wheel::with(SLOT, now, MOST);
        Calendar {
            notes: Slab::with(MOST),
            index: [vec![NONE; MOST], vec![NONE; MOST]],
            ends,
            newest: 0,
            open: 0,
            kept: 0,
            missed: 0,
            unbooked: 0,
        }
    }

    /// Those of a client in a slot, by `which` index.
    fn chain(
        &self,
        client: u64,
        connection: u64,
        slot: i64,
        which: usize,
    ) -> impl Iterator<Item = (u32, &Note)> {
        let first = self.index[which][places(client, connection, slot)[which]];
        let next = move |at: &u32| self.notes.get(*at).map(|note| note.next[which]);
        let all = std::iter::successors(Some(first), next).filter_map(|at| Some((at, self.notes.get(at)?)));
        all.filter(move |(_, note)| (note.client, note.slot) == (client, slot))
    }

    fn own(&self, asker: &Asker, slot: i64) -> Option<u32> {
        let mut chain = self.chain(asker.client, asker.connection, slot, 0);
        chain.find(|(_, note)| note.connection == asker.connection).map(|(at, _)| at)
    }

    /// Books a turn of `flow` at `due`; false where the calendar is full.
    pub fn book(&mut self, asker: &Asker, flow: u32, due: Micros) -> bool {
        let (slot, client, connection) = (slot(due), asker.client, asker.connection);
        self.newest = self.newest.max(connection);
        if let Some(note) = self.own(asker, slot).and_then(|at| self.notes.get_mut(at)) {
            if note.count >= TOGETHER {
                self.unbooked += 1;
                return false;
            }
            note.count += 1;
            self.open += 1;
            return true;
        }
        if self.notes.len() >= MOST {
            self.unbooked += 1;
            return false;
        }
        let places = places(client, connection, slot);
        let next = [0, 1].map(|which| self.index[which][places[which]]);
        let newest = self.newest;
        let at = self.notes.put(Note { client, connection, newest, slot, flow, count: 1, next });
        for which in [0, 1] {
            self.index[which][places[which]] = at;
        }
        self.ends.set(at, (slot + HELD + 1) * SLOT);
        self.open += 1;
        true
    }

    /// A client has come: a booking that holds now is used up, the oldest first. Returns its flow. One that lies
    /// ahead is left alone, however often its client comes before.
    pub fn redeem(&mut self, now: Micros, asker: &Asker) -> Option<u32> {
        self.newest = self.newest.max(asker.connection);
        if self.open == 0 {
            return None;
        }
        let here = slot(now);
        let own = (here - HELD..=here).find_map(|slot| self.own(asker, slot));
        let at = own.or_else(|| (here - HELD..=here).find_map(|slot| self.another(asker, slot, here)))?;
        let note = self.notes.get_mut(at)?;
        note.count -= 1;
        let (flow, over) = (note.flow, note.count == 0);
        self.open -= 1;
        self.kept += 1;
        if over {
            self.remove(at);
        }
        Some(flow)
    }

    /// One that was told to another connection of this client, which has not come for a while; or this one was
    /// opened since.
    fn another(&self, asker: &Asker, slot: i64, here: i64) -> Option<u32> {
        let mut chain = self.chain(asker.client, asker.connection, slot, 1).take(LOOKED);
        let free = |note: &Note| slot + ANYONES <= here || asker.connection > note.newest;
        chain.find(|(_, note)| free(note)).map(|(at, _)| at)
    }

    /// A note whose time is over: its flow, and how many had not come.
    pub fn lapsed(&mut self, now: Micros) -> Option<(u32, u32)> {
        let at = self.ends.due(now)?;
        let note = self.remove(at)?;
        self.open -= usize::from(note.count);
        self.missed += u64::from(note.count);
        Some((note.flow, u32::from(note.count)))
    }

    fn remove(&mut self, at: u32) -> Option<Note> {
        self.ends.unset(at);
        let note = self.notes.take(at)?;
        let places = places(note.client, note.connection, note.slot);
        for which in [0, 1] {
            let head = &mut self.index[which][places[which]];
            if *head == at {
                *head = note.next[which];
                continue;
            }
            let mut before = *head;
            while let Some(other) = self.notes.get_mut(before) {
                if other.next[which] == at {
                    other.next[which] = note.next[which];
                    break;
                }
                before = other.next[which];
            }
        }
        Some(note)
    }

    /// The flows that notes name are no more; the bookings hold.
    pub fn forget_flows(&mut self) {
        self.notes.each(|note| note.flow = NONE);
    }

    /// Bytes held, used or not.
    pub fn size(&self) -> usize {
        self.notes.bytes() + 2 * MOST * size_of::<u32>() + self.ends.size()
    }

    /// How full it is, from 0 to 1.
    pub fn fullness(&self) -> f64 {
        self.notes.len() as f64 / MOST as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn asker(client: u64, connection: u64) -> Asker {
        Asker { tenant: 0, client, connection, address: "127.0.0.1".parse().unwrap() }
    }

    #[test]
    fn who_returns_then_has_a_turn_and_who_returns_early_has_not() {
        let mut calendar = Calendar::new(0);
        let one = asker(7, 1);
        assert!(calendar.book(&one, 3, 100_000) && calendar.book(&one, 3, 100_000));
        assert_eq!(calendar.redeem(99_999, &one), None);
        assert_eq!(calendar.redeem(100_000, &asker(8, 1)), None);
        assert_eq!(calendar.redeem(100_000, &one), Some(3));
        assert_eq!(calendar.redeem(300_000, &one), Some(3));
        assert_eq!((calendar.redeem(300_000, &one), calendar.open, calendar.kept), (None, 0, 2));
    }

    #[test]
    fn the_connection_that_was_told_goes_first_but_the_booking_is_the_clients() {
        let mut calendar = Calendar::new(0);
        let (told, other, newer) = (asker(7, 1), asker(7, 2), asker(7, 3));
        calendar.redeem(0, &other);
        assert!(calendar.book(&told, 3, 100_000) && calendar.book(&told, 3, 100_000));
        assert_eq!(calendar.redeem(100_000, &other), None);
        assert_eq!(calendar.redeem(100_000, &newer), Some(3));
        assert_eq!(calendar.redeem(170_000, &other), Some(3));
        assert_eq!(calendar.open, 0);
    }

    #[test]
    fn what_nobody_comes_for_lapses() {
        let mut calendar = Calendar::new(0);
        (0..500)
            .for_each(|c| assert!(calendar.book(&asker(c % 50, c % 7), 1, Micros::from(c as u32) * 1_000)));
        assert_eq!(calendar.lapsed(200_000), None);
        let missed: u32 = std::iter::from_fn(|| calendar.lapsed(2_000_000)).map(|(_, n)| n).sum();
        assert_eq!((missed, calendar.open, calendar.notes.len()), (500, 0, 0));
        assert!(calendar.index.iter().flatten().all(|at| *at == NONE));
    }

    #[test]
    fn it_is_bounded_and_says_so() {
        let mut calendar = Calendar::new(0);
        let booked = (0..3 * MOST as u64).filter(|c| calendar.book(&asker(*c, 0), 0, 500_000)).count();
        assert_eq!((booked, calendar.unbooked), (MOST, 2 * MOST as u64));
    }
}
