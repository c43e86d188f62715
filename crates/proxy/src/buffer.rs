//! Bounded buffers, one for each direction of a connection, and the memory that all of them hold.
//!
//! The content of a buffer is one contiguous slice, so codecs parse it in place and sockets read into it directly.
//! Invariants: `start <= end <= memory.len()`; the content never exceeds the buffer's limit; [`BufferMemory::bytes`] is
//! the sum of the memory of all live buffers, whether used or not.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

/// Memory that a buffer does not give back, in bytes. Beyond it unused memory is released, so that idle connections do
/// not keep what a burst needed.
const MIN_MEMORY: usize = 4096;
/// Spare allocations of each size class.
const MAX_SPARE: usize = 4;
/// From this size on an allocation belongs to the size class of large ones, in bytes.
const LARGE_MEMORY: usize = 65_536;

/// The most memory that spare allocations hold, of buffers limited to `limit` bytes each.
pub(crate) const fn spare_bytes(limit: usize) -> usize {
    MAX_SPARE * (limit + MIN_MEMORY)
}

/// The memory of all buffers of this process: its sum, and spare allocations for reuse.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferMemory {
    bytes: Rc<Cell<usize>>,
    /// Spare allocations of the least size, and large ones.
    spare: Rc<RefCell<[VecDeque<Vec<u8>>; 2]>>,
}

impl BufferMemory {
    /// Bytes that all buffers hold now.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Initialized memory of `size` bytes, or a spare allocation that has at least so many and at most `limit`.
    fn allocate(&self, size: usize, limit: usize) -> Vec<u8> {
        let spare = &mut self.spare.borrow_mut()[usize::from(size >= LARGE_MEMORY)];
        let fits = |memory: &Vec<u8>| memory.len() >= size && memory.len() <= limit;
        let at = spare.iter().position(fits);
        at.and_then(|at| spare.remove(at))
            .unwrap_or_else(|| vec![0; size])
    }

    fn release(&self, memory: Vec<u8>) {
        let spare = &mut self.spare.borrow_mut()[usize::from(memory.len() >= LARGE_MEMORY)];
        if memory.len() == MIN_MEMORY || memory.len() >= LARGE_MEMORY {
            spare.push_front(memory);
            spare.truncate(MAX_SPARE);
        }
    }
}

/// The buffer has no capacity left for what was to be appended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct BufferFull;

/// Bytes in order of arrival, bounded.
pub(crate) struct BoundedBuffer {
    /// All of it may be written to; the content is from `start` to `end`.
    memory: Vec<u8>,
    start: usize,
    end: usize,
    limit: usize,
    accounting: BufferMemory,
}

impl BoundedBuffer {
    pub(crate) fn new(limit: usize, accounting: &BufferMemory) -> BoundedBuffer {
        BoundedBuffer {
            memory: Vec::new(),
            start: 0,
            end: 0,
            limit,
            accounting: accounting.clone(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.end - self.start
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that may still be appended.
    pub(crate) fn remaining(&self) -> usize {
        self.limit - self.len()
    }

    /// The content.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.memory[self.start..self.end]
    }

    /// Makes space for `more` bytes behind the content, which may be moved.
    fn reserve(&mut self, more: usize) {
        if self.memory.len() - self.end >= more {
            return;
        }
        if self.memory.len() - self.len() >= more {
            self.memory.copy_within(self.start..self.end, 0);
        } else {
            // Doubled, but never past the limit: many buffers that each wait for the end of a longest frame would
            // together hold twice what the limit allows for.
            let size = (self.len() + more)
                .next_power_of_two()
                .max(MIN_MEMORY)
                .min(self.limit.max(self.len() + more));
            self.reallocate(size);
        }
        (self.start, self.end) = (0, self.len());
    }

    /// Moves the content to the front of memory of another size. `start` and `end` are the caller's to set.
    fn reallocate(&mut self, size: usize) {
        let mut memory = if size == 0 {
            Vec::new()
        } else {
            self.accounting.allocate(size, self.limit)
        };
        memory[..self.len()].copy_from_slice(&self.memory[self.start..self.end]);
        let total = self.accounting.bytes.get() + memory.len() - self.memory.len();
        self.accounting.bytes.set(total);
        self.accounting
            .release(std::mem::replace(&mut self.memory, memory));
    }

    /// Appends all of `bytes`, or nothing.
    pub(crate) fn append(&mut self, bytes: &[u8]) -> Result<(), BufferFull> {
        if bytes.len() > self.remaining() {
            return Err(BufferFull);
        }
        self.reserve(bytes.len());
        self.memory[self.end..self.end + bytes.len()].copy_from_slice(bytes);
        self.end += bytes.len();
        Ok(())
    }

    /// Appends what `read` delivers into the space behind the content, which is at least one byte, or `expected` where
    /// more is known to come. Returns how much came and how much space there was.
    pub(crate) fn read(
        &mut self,
        expected: usize,
        read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<(usize, usize)> {
        let wanted = expected.max(1).min(self.remaining());
        if self.memory.len() - self.end < wanted || self.memory.is_empty() {
            self.reserve(wanted);
        }
        let space = (self.memory.len() - self.end).min(self.remaining());
        let n = read(&mut self.memory[self.end..self.end + space])?;
        self.end += n;
        Ok((n, space))
    }

    /// Drops the first `n` bytes of the content, and gives memory back that is then far too large.
    pub(crate) fn consume(&mut self, n: usize) {
        self.start += n;
        debug_assert!(self.start <= self.end);
        let len = self.len();
        if self.memory.len() > MIN_MEMORY.max(4 * len) {
            let size = (2 * len).max(MIN_MEMORY).min(self.limit);
            self.reallocate(size);
            (self.start, self.end) = (0, len);
        } else if len == 0 {
            (self.start, self.end) = (0, 0);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.consume(self.len());
    }
}

impl Drop for BoundedBuffer {
    fn drop(&mut self) {
        let total = self.accounting.bytes.get() - self.memory.len();
        self.accounting.bytes.set(total);
        self.accounting.release(std::mem::take(&mut self.memory));
    }
}

#[cfg(test)]
mod tests;
