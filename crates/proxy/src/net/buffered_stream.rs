//! A non-blocking TCP connection with a bounded buffer in each direction.
//!
//! Readiness is edge-triggered: `readable` and `writable` are set by [`BufferedStream::set_ready`] and cleared once the
//! kernel has nothing more to give, or takes no more. Output leaves in the order in which it was queued.

use super::poll::Poll;
use super::syscalls::{increment, SyscallCounters};
use crate::buffer::{BoundedBuffer, BufferMemory};
use calloop::Readiness;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// The most bytes that the buffers of a connection hold.
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
    /// The peer has ended its side, or the connection has failed: reads come to that end.
    ending: bool,
    /// Bytes that are known to come, so that they are read at once.
    expected: usize,
    /// Bytes that the kernel has taken so far.
    pub written: u64,
}

impl BufferedStream {
    pub(super) fn new(
        stream: TcpStream,
        limits: BufferLimits,
        memory: &BufferMemory,
        syscalls: Rc<SyscallCounters>,
    ) -> BufferedStream {
        BufferedStream {
            stream,
            syscalls,
            inbound: BoundedBuffer::new(limits.inbound, memory),
            outbound: BoundedBuffer::new(limits.outbound, memory),
            readable: false,
            writable: false,
            ending: false,
            expected: 0,
            written: 0,
        }
    }

    /// Takes note of reported readiness.
    pub(crate) fn set_ready(&mut self, ready: Readiness) {
        self.readable |= ready.readable || ready.error;
        self.writable |= ready.writable || ready.error;
        self.ending |= ready.error;
    }

    /// Reads what has come as far as the buffer takes it; true once the peer has ended its side.
    pub(crate) fn fill(&mut self) -> io::Result<bool> {
        while self.readable && self.inbound.remaining() > 0 {
            if self.fill_once()? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// One read; true once the peer has ended its side.
    pub(crate) fn fill_once(&mut self) -> io::Result<bool> {
        let read = self.read()?;
        self.expected = self.expected.saturating_sub(read.unwrap_or(0));
        Ok(read == Some(0))
    }

    /// One read whose bytes are dropped; true once the peer has ended its side.
    pub(crate) fn discard(&mut self) -> io::Result<bool> {
        let ended = self.read()? == Some(0);
        self.inbound.clear();
        Ok(ended)
    }

    /// One read: how many bytes came, none where the kernel has none. A read that does not fill the space has emptied the
    /// kernel's buffer, and what comes later is reported anew; but an end that was reported is not reported again.
    fn read(&mut self) -> io::Result<Option<usize>> {
        increment(&self.syscalls.reads, 1);
        match self
            .inbound
            .read(self.expected, |into| (&self.stream).read(into))
        {
            Ok((n, space)) => {
                self.readable &= n > 0 && (n == space || self.ending);
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

    /// Sets how many more bytes are known to come.
    pub(crate) fn expect(&mut self, more: usize) {
        self.expected = more;
    }

    /// Queues `head` and `body`, to be written with the next flush.
    pub(crate) fn queue(&mut self, head: &[u8], body: &[u8]) -> io::Result<()> {
        let full = |_| io::Error::from(ErrorKind::OutOfMemory);
        self.outbound.append(head).map_err(full)?;
        self.outbound.append(body).map_err(full)
    }

    /// Writes `head` and `body`, the body from where it is as far as the kernel takes it now; the rest is queued.
    pub(crate) fn send(&mut self, head: &[u8], body: &[u8]) -> io::Result<()> {
        let full = |_| io::Error::from(ErrorKind::OutOfMemory);
        self.outbound.append(head).map_err(full)?;
        let taken = self.write(body)?;
        increment(&self.syscalls.copied, (body.len() - taken) as u64);
        self.outbound.append(&body[taken..]).map_err(full)
    }

    /// Writes what is queued as far as the kernel takes it now.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        self.write(&[]).map(drop)
    }

    /// Writes what is queued and then `body`, as far as the kernel takes them now; returns how much of the body it took.
    fn write(&mut self, body: &[u8]) -> io::Result<usize> {
        let mut taken = 0;
        while self.writable && (taken < body.len() || !self.outbound.is_empty()) {
            increment(&self.syscalls.writes, 1);
            let pieces = [
                IoSlice::new(self.outbound.bytes()),
                IoSlice::new(&body[taken..]),
            ];
            match (&self.stream).write_vectored(&pieces) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    let queued = n.min(self.outbound.len());
                    self.outbound.consume(queued);
                    taken += n - queued;
                    self.written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(taken)
    }

    /// Whether a connection that was begun is up.
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

    /// Whether nothing has come that was not read, and no end, as far as was reported.
    pub(crate) fn is_quiet(&self) -> bool {
        self.inbound.is_empty() && !self.readable && !self.ending
    }

    /// Ends this side: the peer sees the end behind all that was written.
    pub(crate) fn shut_down_output(&self) {
        // A connection that is already gone needs no end.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes the connection, which ends its registration.
    pub(crate) fn close(self, poll: &Poll) {
        increment(&poll.syscalls.connections, 1);
    }
}
