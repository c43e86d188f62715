//! Counters of the loop's system calls by kind, and of body bytes that were copied: counted where they happen.

use std::cell::Cell;
use std::fmt::Write;

#[derive(Debug, Default)]
pub(crate) struct SyscallCounters {
    pub waits: Cell<u64>,
    /// Changes of what is watched.
    pub controls: Cell<u64>,
    pub reads: Cell<u64>,
    pub writes: Cell<u64>,
    /// Connections opened, accepted or inspected: socket, connect, accept, options, names.
    pub connections: Cell<u64>,
    /// Bytes of bodies that were copied from one place of this program to another.
    pub copied: Cell<u64>,
}

pub(crate) fn increment(count: &Cell<u64>, by: u64) {
    count.set(count.get() + by);
}

impl SyscallCounters {
    /// A line for each counter, for the operators' socket.
    pub(crate) fn report(&self) -> String {
        let mut text = String::new();
        let all = [
            ("waits", &self.waits),
            ("controls", &self.controls),
            ("reads", &self.reads),
            ("writes", &self.writes),
            ("connections", &self.connections),
            ("copied_bytes", &self.copied),
        ];
        for (name, count) in all {
            // Writing to a text cannot fail.
            let _ = writeln!(text, "{name} {}", count.get());
        }
        text
    }
}
