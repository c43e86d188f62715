//! Counters of the event loop's system calls by kind, and of copied body bytes. Each event is counted where it happens.

use std::cell::Cell;
use std::fmt::Write;

#[derive(Debug, Default)]
pub(crate) struct SyscallCounters {
    pub waits: Cell<u64>,
    /// Changes to the set of watched files.
    pub controls: Cell<u64>,
    pub reads: Cell<u64>,
    pub writes: Cell<u64>,
    /// System calls that open, accept, inspect or close connections: socket, connect, accept, options, names.
    pub connections: Cell<u64>,
    /// Body bytes that were copied within this program.
    pub copied: Cell<u64>,
}

pub(crate) fn increment(count: &Cell<u64>, by: u64) {
    count.set(count.get() + by);
}

impl SyscallCounters {
    /// Formats a line for each counter, for the operators' socket.
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
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {}", count.get());
        }
        text
    }
}
