//! A socket for datagrams on which nothing waits: reading is bounded in each round, and what the kernel has no room for
//! is counted.

use super::{Key, Poll};
use meadowrill_membership::wire::MAX_DATAGRAM_LENGTH;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Datagrams that are read in one round; the rest are read in the next.
const READ: usize = 256;

pub(crate) struct Datagrams {
    socket: Rc<UdpSocket>,
    /// There may be more to read.
    waits: bool,
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
            waits: false,
            unsent: 0,
        })
    }

    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    pub(crate) fn waits(&self) -> bool {
        self.waits
    }

    pub(crate) fn read(&mut self, mut received: impl FnMut(&[u8])) {
        let mut bytes = [0; MAX_DATAGRAM_LENGTH + 1];
        self.waits = true;
        for _ in 0..READ {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => received(&bytes[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.waits = false;
                    return;
                }
                // A machine that says that nobody is there: that is found out where answers are missing.
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
