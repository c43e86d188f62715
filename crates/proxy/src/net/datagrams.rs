//! The datagram socket of the fleet. Nothing waits on it: reading is bounded in each round, and a datagram for which the
//! kernel has no room is counted and dropped.

use super::{Key, Poll};
use meadowrill_membership::wire::MAX_DATAGRAM_LENGTH as MAX_DATAGRAM;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Datagrams that are read in one round; the next round reads the rest.
const MAX_READS_PER_ROUND: usize = 256;

pub(crate) struct Datagrams {
    socket: Rc<UdpSocket>,
    /// There may be more to read.
    has_unread: bool,
    /// Datagrams that the kernel had no room for.
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

    /// Whether it is to be read again although nothing new was reported.
    pub(crate) fn has_unread(&self) -> bool {
        self.has_unread
    }

    /// Reads what has come, up to a round's share.
    pub(crate) fn receive(&mut self, mut received: impl FnMut(&[u8])) {
        // A byte more than allowed, so that a longer datagram shows.
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
                // A host that reports that nobody listens: that shows where acknowledgements are missing.
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
