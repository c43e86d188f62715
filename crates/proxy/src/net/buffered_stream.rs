//! A non-blocking TCP connection with a bounded buffer in each direction.
//!
//! Readiness is edge-triggered: [`BufferedStream::set_ready`] sets `readable` and `writable`. `readable` is cleared
//! when the kernel has no more input, and `writable` when it accepts no more output. Output is written in the order in
//! which it was queued.

use super::poll::Poll;
use super::syscalls::{increment, SyscallCounters};
use crate::buffer::{BoundedBuffer, BufferMemory};
use calloop::Readiness;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// The maximum number of bytes in each buffer of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BufferLimits {
    pub inbound: usize,
    pub outbound: usize,
}

pub(crate) struct BufferedStream {
    stream: TcpStream,
    syscalls: Rc<SyscallCounters>,
    pub inbound: BoundedBuffer,
    pub outbound: BoundedBuffer,
    pub readable: bool,
    pub writable: bool,
    /// The poll has reported that the peer has closed its side or that the connection has failed, so reading continues
    /// until the end of the stream or the error.
    end_reported: bool,
    /// Number of bytes that are known to follow, so that the buffer has room to read them in one call.
    expected_bytes: usize,
    /// Number of bytes that the kernel has accepted so far.
    pub written: u64,
}

impl BufferedStream {
    pub(super) fn new(
        stream: TcpStream,
        limits: BufferLimits,
        (inbound_memory, memory): (&BufferMemory, &BufferMemory),
        syscalls: Rc<SyscallCounters>,
    ) -> BufferedStream {
        BufferedStream {
            stream,
            syscalls,
            inbound: BoundedBuffer::new(limits.inbound, inbound_memory),
            outbound: BoundedBuffer::new(limits.outbound, memory),
            readable: false,
            writable: false,
            end_reported: false,
            expected_bytes: 0,
            written: 0,
        }
    }

    /// Records readiness that the poll reported.
    pub(crate) fn set_ready(&mut self, ready: Readiness) {
        self.readable |= ready.readable || ready.error;
        self.writable |= ready.writable || ready.error;
        self.end_reported |= ready.error;
    }

    /// Reads available input until the buffer is full. Returns true once the peer has closed its side.
    pub(crate) fn fill(&mut self) -> io::Result<bool> {
        while self.readable && self.inbound.remaining() > 0 {
            if self.fill_once()? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Reads available input as far as the buffer needs no more memory. Returns true once the peer has closed its side.
    pub(crate) fn fill_without_growth(&mut self) -> io::Result<bool> {
        while self.readable && self.inbound.remaining_without_growth() > 0 {
            if self.fill_once()? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Reads once into the buffer. Returns true once the peer has closed its side.
    pub(crate) fn fill_once(&mut self) -> io::Result<bool> {
        let read = self.read()?;
        self.expected_bytes = self.expected_bytes.saturating_sub(read.unwrap_or(0));
        Ok(read == Some(0))
    }

    /// Reads once and discards the bytes. Returns true once the peer has closed its side.
    pub(crate) fn discard(&mut self) -> io::Result<bool> {
        let ended = self.read()? == Some(0);
        self.inbound.clear();
        Ok(ended)
    }

    /// Reads once and returns the number of bytes, or none if the kernel has no input. A read that does not fill the
    /// space has emptied the kernel's buffer, and the poll reports later input again. The end of the stream is reported
    /// only once, so after such a report reading continues until the end is seen.
    fn read(&mut self) -> io::Result<Option<usize>> {
        increment(&self.syscalls.reads, 1);
        match self
            .inbound
            .read(self.expected_bytes, |into| (&self.stream).read(into))
        {
            Ok((n, space)) => {
                self.readable &= n > 0 && (n == space || self.end_reported);
                Ok(Some(n))
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.readable = false;
                Ok(None)
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Sets how many more bytes are known to follow.
    pub(crate) fn expect_bytes(&mut self, more: usize) {
        self.expected_bytes = more;
    }

    /// Queues `head` and `body`; the next flush writes them.
    pub(crate) fn queue(&mut self, head: &[u8], body: &[u8]) -> io::Result<()> {
        let full = |_| io::Error::from(ErrorKind::OutOfMemory);
        self.outbound.append(head).map_err(full)?;
        self.outbound.append(body).map_err(full)
    }

    /// Writes `head` and `body`. The part of the body that the kernel accepts now is written without a copy, and the
    /// remainder is queued.
    pub(crate) fn send(&mut self, head: &[u8], body: &[u8]) -> io::Result<()> {
        let full = |_| io::Error::from(ErrorKind::OutOfMemory);
        self.outbound.append(head).map_err(full)?;
        let accepted = self.write(body)?;
        increment(&self.syscalls.copied, (body.len() - accepted) as u64);
        self.outbound.append(&body[accepted..]).map_err(full)
    }

    /// Writes as much of the queued output as the kernel accepts now.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        self.write(&[]).map(drop)
    }

    /// Writes the queued output and then `body`, as far as the kernel accepts them now. Returns how many bytes of the
    /// body the kernel accepted.
    fn write(&mut self, body: &[u8]) -> io::Result<usize> {
        let mut accepted = 0;
        while self.writable && (accepted < body.len() || !self.outbound.is_empty()) {
            increment(&self.syscalls.writes, 1);
            let pieces = [
                IoSlice::new(self.outbound.bytes()),
                IoSlice::new(&body[accepted..]),
            ];
            match (&self.stream).write_vectored(&pieces) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    let queued = n.min(self.outbound.len());
                    self.outbound.consume(queued);
                    accepted += n - queued;
                    self.written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(accepted)
    }

    /// Whether the connection is established; an error if it has failed.
    pub(crate) fn is_connected(&self) -> io::Result<bool> {
        increment(&self.syscalls.connections, 2);
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Whether the poll has reported that the peer has closed its side or that the connection has failed. There may be
    /// unread input that arrived before.
    pub(crate) fn is_end_reported(&self) -> bool {
        self.end_reported
    }

    /// Whether the buffer is empty and the poll has reported neither unread input nor the end of the stream.
    pub(crate) fn has_no_pending_input(&self) -> bool {
        self.inbound.is_empty() && !self.readable && !self.end_reported
    }

    /// Shuts down the sending direction. The peer sees the end of the stream after all bytes that were written.
    pub(crate) fn shut_down_output(&self) {
        // The shutdown fails if the connection is already closed, and then it is not needed.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes the connection, which also removes it from the poll.
    pub(crate) fn close(self, poll: &Poll) {
        increment(&poll.syscalls.connections, 1);
    }
}
