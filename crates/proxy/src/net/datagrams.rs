//! The datagram socket of the fleet. It never blocks: each round reads a bounded number of datagrams, and a datagram
//! that cannot be sent is counted and dropped.

use super::{Key, Poll};
use meadowrill_membership::wire::MAX_DATAGRAM_LENGTH as MAX_DATAGRAM;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Maximum number of datagrams that are read in one round; the next round reads the others.
const MAX_READS_PER_ROUND: usize = 256;

pub(crate) struct Datagrams {
    socket: Rc<UdpSocket>,
    /// There may be unread datagrams.
    has_unread: bool,
    /// Number of datagrams that could not be sent.
    pub unsent: u64,
}

impl Datagrams {
    pub(crate) fn new(socket: UdpSocket, poll: &Poll) -> io::Result<Datagrams> {
        let socket = Rc::new(socket);
        socket.set_nonblocking(true)?;
        poll.watch_input(Rc::clone(&socket), Key::Datagrams)?;
        Ok(Datagrams {
            socket,
            has_unread: false,
            unsent: 0,
        })
    }

    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Whether the socket must be read again even if the poll reports nothing new.
    pub(crate) fn has_unread(&self) -> bool {
        self.has_unread
    }

    /// Reads the datagrams that have arrived, at most [`MAX_READS_PER_ROUND`].
    pub(crate) fn receive(&mut self, mut received: impl FnMut(&[u8])) {
        // The buffer is one byte longer than allowed, so that a longer datagram is recognized.
        let mut bytes = [0; MAX_DATAGRAM + 1];
        self.has_unread = true;
        for _ in 0..MAX_READS_PER_ROUND {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => received(&bytes[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.has_unread = false;
                    return;
                }
                // A host may report that no process listens on the port. The missing acknowledgements show that as
                // well.
                Err(_) => {}
            }
        }
    }

    pub(crate) fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        if self.socket.send_to(bytes, to).is_err() {
            self.unsent += 1;
        }
    }
}
