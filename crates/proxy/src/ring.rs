//! A bounded buffer, one for each direction of a connection, counted against the memory of the front. Bytes are read
//! into it where they stay, in one piece for the codecs.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

/// What a buffer keeps of its memory in any case; of more, what is not used is given back, lest idle connections sit on what a burst took.
const KEPT: usize = 4096;
/// Buffers of the least and of large size that are kept for the next who needs one, and what is large.
const SPARE: usize = 4;
const LARGE: usize = 65_536;

/// The most that spare buffers hold, of buffers bounded to `most` each.
pub(crate) const fn spare_bytes(most: usize) -> usize {
    SPARE * (most + KEPT)
}

/// Bytes that all buffers of the front hold at the moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    bytes: Rc<Cell<usize>>,
    spare: Rc<RefCell<[VecDeque<Vec<u8>>; 2]>>,
}

impl Tally {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Zeroed memory of so many bytes, or a spare one that is a little larger.
    fn take(&self, size: usize, most: usize) -> Vec<u8> {
        let spare = &mut self.spare.borrow_mut()[usize::from(size >= LARGE)];
        let fits = |b: &Vec<u8>| b.len() >= size && b.len() <= most;
        let at = spare.iter().position(fits);
        at.and_then(|at| spare.remove(at))
            .unwrap_or_else(|| vec![0; size])
    }

    fn give(&self, buffer: Vec<u8>) {
        let spare = &mut self.spare.borrow_mut()[usize::from(buffer.len() >= LARGE)];
        if buffer.len() == KEPT || buffer.len() >= LARGE {
            spare.push_front(buffer);
            spare.truncate(SPARE);
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Full;

pub(crate) struct Ring {
    /// All of it may be written to; what is held is from `start` to `end`.
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    most: usize,
    tally: Tally,
}

impl Ring {
    pub(crate) fn new(most: usize, tally: &Tally) -> Ring {
        Ring {
            bytes: Vec::new(),
            start: 0,
            end: 0,
            most,
            tally: tally.clone(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.end - self.start
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn room(&self) -> usize {
        self.most - self.len()
    }

    /// Makes room behind what is held, which may be moved.
    fn reserve(&mut self, more: usize) {
        if self.bytes.len() - self.end >= more {
            return;
        }
        if self.bytes.len() - self.len() >= more {
            self.bytes.copy_within(self.start..self.end, 0);
        } else {
            // Doubled, but never past the bound: many buffers that each wait for the end of a longest frame
            // would together hold twice what the bound allows for.
            let size = (self.len() + more)
                .next_power_of_two()
                .max(KEPT)
                .min(self.most.max(self.len() + more));
            self.hold(size);
        }
        (self.start, self.end) = (0, self.len());
    }

    /// Memory of another size, with what is held at its front. The places are the caller's to set.
    fn hold(&mut self, size: usize) {
        let mut bytes = if size == 0 {
            Vec::new()
        } else {
            self.tally.take(size, self.most)
        };
        bytes[..self.len()].copy_from_slice(&self.bytes[self.start..self.end]);
        let now = self.tally.bytes.get() + bytes.len() - self.bytes.len();
        self.tally.bytes.set(now);
        self.tally.give(std::mem::replace(&mut self.bytes, bytes));
    }

    /// All of it or nothing.
    pub(crate) fn put(&mut self, bytes: &[u8]) -> Result<(), Full> {
        if bytes.len() > self.room() {
            return Err(Full);
        }
        self.reserve(bytes.len());
        self.bytes[self.end..self.end + bytes.len()].copy_from_slice(bytes);
        self.end += bytes.len();
        Ok(())
    }

    /// Takes what `read` brings: as much as there is room for, or `expected` where more is known to come. Returns
    /// how much came and how much could have.
    pub(crate) fn read(
        &mut self,
        expected: usize,
        read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<(usize, usize)> {
        let more = expected.max(1).min(self.room());
        if self.bytes.len() - self.end < more || self.bytes.is_empty() {
            self.reserve(more);
        }
        let most = (self.bytes.len() - self.end).min(self.room());
        let n = read(&mut self.bytes[self.end..self.end + most])?;
        self.end += n;
        Ok((n, most))
    }

    /// All that is held, in one piece.
    pub(crate) fn whole(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    pub(crate) fn drop_front(&mut self, n: usize) {
        self.start += n;
        debug_assert!(self.start <= self.end);
        let len = self.len();
        if self.bytes.len() > KEPT.max(4 * len) {
            let size = (2 * len).max(KEPT).min(self.most);
            self.hold(size);
            (self.start, self.end) = (0, len);
        } else if len == 0 {
            (self.start, self.end) = (0, 0);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.drop_front(self.len());
    }
}

impl Drop for Ring {
    fn drop(&mut self) {
        self.tally
            .bytes
            .set(self.tally.bytes.get() - self.bytes.len());
        self.tally.give(std::mem::take(&mut self.bytes));
    }
}

#[cfg(test)]
mod tests;
