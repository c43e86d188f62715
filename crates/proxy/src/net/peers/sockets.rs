//! Sockets for datagrams and streams on the same address and port.

use crate::net::streams::Streams;
use crate::net::Poll;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

/// How often another port from the kernel is tried, until one is free for both datagrams and streams.
const MAX_PORT_ATTEMPTS: u32 = 16;

/// Opens both sockets. A port that the kernel chooses has to be free for both.
pub(super) fn bind_pair(listen: SocketAddr, poll: &Poll) -> io::Result<(UdpSocket, Streams)> {
    let mut attempts = 0;
    loop {
        let socket = UdpSocket::bind(listen)?;
        match Streams::listen(socket.local_addr()?, poll) {
            Ok(streams) => return Ok((socket, streams)),
            Err(e)
                if listen.port() == 0
                    && e.kind() == ErrorKind::AddrInUse
                    && attempts < MAX_PORT_ATTEMPTS =>
            {
                attempts += 1
            }
            Err(e) => return Err(e),
        }
    }
}
