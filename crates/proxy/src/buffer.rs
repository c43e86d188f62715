//! Bounded buffers, one for each direction of a connection, and the accounting of their memory.
//!
//! The content of a buffer is one contiguous slice, so codecs parse it in place and sockets read into it directly.
//! Invariants: `start <= end <= memory.len()`; the content never exceeds the buffer's limit; [`BufferMemory::bytes`] is
//! the total memory of all live buffers, including the unused part.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

/// Memory that a buffer retains while it is idle, in bytes. Unused memory beyond it is released, so that idle
/// connections do not retain the memory of a burst.
const MIN_MEMORY: usize = 4096;
/// Spare allocations retained in each size class.
const MAX_SPARE_ALLOCATIONS: usize = 4;
/// Smallest size of the size class of large allocations, in bytes.
const LARGE_MEMORY: usize = 65_536;

/// Upper bound on the memory of spare allocations for buffers limited to `limit` bytes each.
pub(crate) const fn spare_bytes(limit: usize) -> usize {
    MAX_SPARE_ALLOCATIONS * (limit + MIN_MEMORY)
}

/// The memory of all buffers of this process: their total size, the size of a group of them, and spare allocations for
/// reuse.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferMemory {
    bytes: Rc<Cell<usize>>,
    group_bytes: Rc<Cell<usize>>,
    /// Spare allocations of the minimum size, and large ones.
    spare: Rc<RefCell<[VecDeque<Vec<u8>>; 2]>>,
}

impl BufferMemory {
    /// The memory that all buffers hold now, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// The same memory, for a new group of buffers.
    pub(crate) fn new_group(&self) -> BufferMemory {
        BufferMemory {
            group_bytes: Rc::default(),
            ..self.clone()
        }
    }

    /// The memory that the buffers of this group hold now, in bytes.
    pub(crate) fn group_bytes(&self) -> usize {
        self.group_bytes.get()
    }

    /// Accounts for a buffer whose memory changes from `old` to `new` bytes.
    fn resize(&self, old: usize, new: usize) {
        for bytes in [&self.bytes, &self.group_bytes] {
            bytes.set(bytes.get() + new - old);
        }
    }

    /// Initialized memory of `size` bytes, or a spare allocation of at least `size` and at most `limit` bytes.
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
            spare.truncate(MAX_SPARE_ALLOCATIONS);
        }
    }
}

/// The buffer has too little capacity left for the bytes to append.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct BufferFull;

/// A bounded first-in, first-out byte queue.
pub(crate) struct BoundedBuffer {
    /// Initialized memory. The content is the range from `start` to `end`.
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

    /// Bytes that may be appended without more memory than an idle buffer retains, or than this one has already.
    pub(crate) fn remaining_without_growth(&self) -> usize {
        self.memory.len().max(MIN_MEMORY).min(self.limit) - self.len()
    }

    /// Whether it has more memory than an idle buffer retains.
    pub(crate) fn has_grown(&self) -> bool {
        self.memory.len() > MIN_MEMORY
    }

    /// The content as one contiguous slice.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.memory[self.start..self.end]
    }

    /// Makes space for `more` bytes after the content. The content may be moved.
    fn reserve(&mut self, more: usize) {
        if self.memory.len() - self.end >= more {
            return;
        }
        if self.memory.len() - self.len() >= more {
            self.memory.copy_within(self.start..self.end, 0);
        } else {
            // The size doubles, but never beyond the limit. Otherwise many buffers that each wait for the end of a
            // frame of maximum length would together hold twice the memory that the limit allows.
            let size = (self.len() + more)
                .next_power_of_two()
                .max(MIN_MEMORY)
                .min(self.limit.max(self.len() + more));
            self.reallocate(size);
        }
        (self.start, self.end) = (0, self.len());
    }

    /// Moves the content to the front of new memory of `size` bytes. The caller must update `start` and `end`.
    fn reallocate(&mut self, size: usize) {
        let mut memory = if size == 0 {
            Vec::new()
        } else {
            self.accounting.allocate(size, self.limit)
        };
        memory[..self.len()].copy_from_slice(&self.memory[self.start..self.end]);
        self.accounting.resize(self.memory.len(), memory.len());
        self.accounting
            .release(std::mem::replace(&mut self.memory, memory));
    }

    /// Appends all of `bytes`, or nothing if they do not fit.
    pub(crate) fn append(&mut self, bytes: &[u8]) -> Result<(), BufferFull> {
        if bytes.len() > self.remaining() {
            return Err(BufferFull);
        }
        self.reserve(bytes.len());
        self.memory[self.end..self.end + bytes.len()].copy_from_slice(bytes);
        self.end += bytes.len();
        Ok(())
    }

    /// Appends the bytes that `read` writes into the space after the content. The space is at least one byte, or
    /// `expected` bytes if the caller knows that more will arrive, up to the limit. Returns the number of bytes read
    /// and the size of the space.
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

    /// Removes the first `n` bytes of the content. Releases memory if the buffer is then far larger than its content.
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
        self.accounting.resize(self.memory.len(), 0);
        self.accounting.release(std::mem::take(&mut self.memory));
    }
}

#[cfg(test)]
mod tests;
