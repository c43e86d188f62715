//! System calls of the loop and its sockets, by kind, and body bytes that were copied: counted where they happen.

use std::cell::Cell;
use std::fmt::Write;

#[derive(Debug, Default)]
pub(crate) struct Calls {
    pub waits: Cell<u64>,
    /// What is watched was changed.
    pub controls: Cell<u64>,
    pub reads: Cell<u64>,
    pub writes: Cell<u64>,
    /// Connections begun, taken in or looked after: socket, connect, accept, options, names.
    pub connections: Cell<u64>,
    /// Bytes of bodies that were copied from one place of this program to another.
    pub copied: Cell<u64>,
}

pub(crate) fn add(count: &Cell<u64>, more: u64) {
    count.set(count.get() + more);
}

impl Calls {
    pub(crate) fn text(&self) -> String {
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
