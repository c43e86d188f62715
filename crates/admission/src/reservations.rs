//! Reservations: a rejected client is sent a time to return, and the time is entered into a bounded calendar. A request
//! that arrives at that time may wait regardless of the length of its flow's queue.
//!
//! Reservations are counted by connection and time slot, so the cost of an operation does not depend on the number of
//! reservations of a client. A reservation belongs to the client, but the connection that was sent the time has
//! precedence. Otherwise the client's other connections, which were sent no time, would use up the reservation.
//! Invariants: the calendar is bounded; each reservation is either redeemed or expires, once; no reservation is
//! redeemed before its slot.

use crate::identity::ClientIdentity;
use crate::slab::{Slab, NONE};
use crate::timer_wheel::TimerWheel;
use meadowrill_routing::interface::Micros;

/// Maximum number of entries of the calendar.
pub const CAPACITY: usize = 4_096;
/// Width of a time slot.
const SLOT_WIDTH: Micros = 20_000;
/// Number of slots after its own in which a reservation is still valid, because networks and client timers add delay.
const GRACE_SLOTS: i64 = 12;
/// Maximum number of reservations of one connection in one slot, which share an entry.
const MAX_PER_ENTRY: u16 = 1_000;
/// Number of slots after its own after which any connection of the client may use a reservation.
const EXCLUSIVE_SLOTS: i64 = 3;
/// Maximum number of a client's entries that are examined in a slot to find one of another connection.
const MAX_SCANNED: usize = 4;
/// Odd multipliers that spread slots and connections over the hash tables.
const SLOT_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const CONNECTION_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;

/// Indices of the two hash tables of entries.
const BY_CONNECTION: usize = 0;
const BY_CLIENT: usize = 1;
const TABLES: [usize; 2] = [BY_CONNECTION, BY_CLIENT];

/// Reservations of one connection in one slot.
struct Entry {
    client: u64,
    connection: u64,
    /// Number of the newest connection of any client when the entry was made.
    newest_connection: u64,
    slot: i64,
    flow: u32,
    count: u16,
    /// The next entry in the same bucket of each hash table.
    next: [u32; 2],
}

/// A bounded calendar of reservations.
pub struct ReservationCalendar {
    entries: Slab<Entry>,
    /// First entry of each bucket, for each hash table.
    tables: [Vec<u32>; 2],
    newest_connection: u64,
    expiries: TimerWheel,
    /// Number of reservations that are neither redeemed nor expired.
    pub open: usize,
    /// Number of reservations that were redeemed since the start.
    pub redeemed: u64,
    /// Number of reservations that expired since the start.
    pub expired: u64,
    /// Number of reservations that were refused since the start because the calendar or an entry of it was full.
    pub refused: u64,
}

/// An entry that has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredEntry {
    /// The flow that the reservations were for, or [`NONE`] if the flow no longer exists.
    pub flow: u32,
    /// Number of reservations that were not redeemed.
    pub count: u32,
}

fn slot_of(time: Micros) -> i64 {
    time.div_euclid(SLOT_WIDTH)
}

/// Returns the buckets of an entry in both hash tables.
fn buckets(client: u64, connection: u64, slot: i64) -> [usize; 2] {
    // `client` is a salted hash already.
    let by_client = client ^ (slot as u64).wrapping_mul(SLOT_MULTIPLIER);
    let by_connection = by_client ^ connection.wrapping_mul(CONNECTION_MULTIPLIER);
    [by_connection, by_client].map(|hash| (hash ^ (hash >> 32)) as usize % CAPACITY)
}

impl ReservationCalendar {
    /// Creates an empty calendar and allocates all of its memory.
    pub fn new(now: Micros) -> ReservationCalendar {
        ReservationCalendar {
            entries: Slab::with_capacity(CAPACITY),
            tables: [vec![NONE; CAPACITY], vec![NONE; CAPACITY]],
            expiries: TimerWheel::with_capacity(SLOT_WIDTH, now, CAPACITY),
            newest_connection: 0,
            open: 0,
            redeemed: 0,
            expired: 0,
            refused: 0,
        }
    }

    /// Returns the entries of a client in a slot that are in the client's bucket of one hash table.
    fn entries_of(
        &self,
        identity: &ClientIdentity,
        slot: i64,
        table: usize,
    ) -> impl Iterator<Item = (u32, &Entry)> {
        let client = identity.client;
        let first = self.tables[table][buckets(client, identity.connection, slot)[table]];
        let at = |index: u32| Some((index, self.entries.get(index)?));
        let bucket = std::iter::successors(at(first), move |(_, entry)| at(entry.next[table]));
        bucket.filter(move |(_, entry)| (entry.client, entry.slot) == (client, slot))
    }

    /// Returns the entry of the connection itself in a slot.
    fn connection_entry(&self, identity: &ClientIdentity, slot: i64) -> Option<u32> {
        let mut entries = self.entries_of(identity, slot, BY_CONNECTION);
        entries
            .find(|(_, entry)| entry.connection == identity.connection)
            .map(|(index, _)| index)
    }

    /// Returns an entry of another connection of the client that this connection may use: an entry whose own connection
    /// did not return in time, or an entry that was made before this connection was opened.
    fn other_connection_entry(
        &self,
        identity: &ClientIdentity,
        slot: i64,
        current_slot: i64,
    ) -> Option<u32> {
        let mut entries = self.entries_of(identity, slot, BY_CLIENT).take(MAX_SCANNED);
        let exclusive_over = slot + EXCLUSIVE_SLOTS <= current_slot;
        let usable =
            |entry: &Entry| exclusive_over || identity.connection > entry.newest_connection;
        entries
            .find(|(_, entry)| usable(entry))
            .map(|(index, _)| index)
    }

    /// Makes a reservation of `flow` at `due`. Returns false if the calendar is full, or if the entry of the connection
    /// in this slot is full.
    pub fn reserve(&mut self, identity: &ClientIdentity, flow: u32, due: Micros) -> bool {
        let slot = slot_of(due);
        self.newest_connection = self.newest_connection.max(identity.connection);
        let reserved = match self.connection_entry(identity, slot) {
            Some(index) => self.add_to_entry(index),
            None => self.add_entry(identity, flow, slot),
        };
        match reserved {
            true => self.open += 1,
            false => self.refused += 1,
        }
        reserved
    }

    fn add_to_entry(&mut self, index: u32) -> bool {
        let Some(entry) = self
            .entries
            .get_mut(index)
            .filter(|entry| entry.count < MAX_PER_ENTRY)
        else {
            return false;
        };
        entry.count += 1;
        true
    }

    fn add_entry(&mut self, identity: &ClientIdentity, flow: u32, slot: i64) -> bool {
        if self.entries.len() >= CAPACITY {
            return false;
        }
        let ClientIdentity {
            client, connection, ..
        } = *identity;
        let buckets = buckets(client, connection, slot);
        let next = TABLES.map(|table| self.tables[table][buckets[table]]);
        let newest_connection = self.newest_connection;
        let entry = Entry {
            client,
            connection,
            newest_connection,
            slot,
            flow,
            count: 1,
            next,
        };
        let index = self.entries.insert(entry);
        for table in TABLES {
            self.tables[table][buckets[table]] = index;
        }
        self.expiries
            .set(index, (slot + GRACE_SLOTS + 1) * SLOT_WIDTH);
        true
    }

    /// Redeems a reservation of a client whose request has arrived, and returns the flow of the reservation. Valid
    /// reservations of the connection itself are used first, and the oldest first. A reservation in a future slot is
    /// not affected, however many requests the client sends before.
    pub fn redeem(&mut self, now: Micros, identity: &ClientIdentity) -> Option<u32> {
        self.newest_connection = self.newest_connection.max(identity.connection);
        if self.open == 0 {
            return None;
        }
        let current = slot_of(now);
        let mut valid_slots = current - GRACE_SLOTS..=current;
        let of_connection = valid_slots
            .clone()
            .find_map(|slot| self.connection_entry(identity, slot));
        let index = of_connection.or_else(|| {
            valid_slots.find_map(|slot| self.other_connection_entry(identity, slot, current))
        })?;
        let entry = self.entries.get_mut(index)?;
        entry.count -= 1;
        let (flow, used_up) = (entry.flow, entry.count == 0);
        self.open -= 1;
        self.redeemed += 1;
        if used_up {
            self.remove(index);
        }
        Some(flow)
    }

    /// Removes and returns one expired entry. The caller repeats the call until there is none.
    pub fn pop_expired(&mut self, now: Micros) -> Option<ExpiredEntry> {
        let index = self.expiries.pop_due(now)?;
        let entry = self.remove(index)?;
        self.open -= usize::from(entry.count);
        self.expired += u64::from(entry.count);
        Some(ExpiredEntry {
            flow: entry.flow,
            count: u32::from(entry.count),
        })
    }

    fn remove(&mut self, index: u32) -> Option<Entry> {
        self.expiries.cancel(index);
        let entry = self.entries.remove(index)?;
        let buckets = buckets(entry.client, entry.connection, entry.slot);
        for table in TABLES {
            self.unlink(index, table, buckets[table], entry.next[table]);
        }
        Some(entry)
    }

    /// Unlinks an entry from a bucket of a hash table. `next` is the entry that follows it.
    fn unlink(&mut self, index: u32, table: usize, bucket: usize, next: u32) {
        let head = &mut self.tables[table][bucket];
        if *head == index {
            *head = next;
            return;
        }
        let mut previous = *head;
        while let Some(other) = self.entries.get_mut(previous) {
            if other.next[table] == index {
                other.next[table] = next;
                return;
            }
            previous = other.next[table];
        }
    }

    /// Clears the flows of all entries because the flows no longer exist. The reservations stay valid.
    pub fn clear_flows(&mut self) {
        self.entries.for_each_mut(|entry| entry.flow = NONE);
    }

    /// Returns the number of allocated bytes, whether used or not.
    pub fn memory_bytes(&self) -> usize {
        self.entries.memory_bytes() + 2 * CAPACITY * size_of::<u32>() + self.expiries.memory_bytes()
    }

    /// Returns how full the calendar is, from 0 to 1.
    pub fn fullness(&self) -> f64 {
        self.entries.len() as f64 / CAPACITY as f64
    }
}

#[cfg(test)]
mod tests;
