//! A peer that the test controls step by step, so that interleavings are deterministic.

use crate::HANG_TIMEOUT;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Listens like a cache or the journal service; the test itself accepts, reads, writes and closes.
pub struct ScriptedPeer {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections that occupy the accept queue.
    queue_fillers: Vec<TcpStream>,
}

impl Default for ScriptedPeer {
    fn default() -> ScriptedPeer {
        ScriptedPeer::listen()
    }
}

impl ScriptedPeer {
    pub fn listen() -> ScriptedPeer {
        ScriptedPeer::listen_at("127.0.0.1:0".parse().expect("an address"))
    }

    pub fn listen_at(address: SocketAddr) -> ScriptedPeer {
        let listener = TcpListener::bind(address).expect("a free address");
        ScriptedPeer {
            address: listener.local_addr().expect("an address"),
            listener,
            queue_fillers: Vec::new(),
        }
    }

    /// Prevents new connections until [`ScriptedPeer::clear_accept_queue`]: the accept queue is full, and the kernel
    /// drops further connection attempts, which are retried a second later.
    pub fn fill_accept_queue(&mut self) {
        rustix::net::listen(&self.listener, 0).expect("a shorter queue");
        loop {
            let connected =
                TcpStream::connect_timeout(&self.address, std::time::Duration::from_millis(50));
            match connected {
                Ok(stream) => self.queue_fillers.push(stream),
                Err(_) => return,
            }
        }
    }

    /// Restores the accept queue and accepts and closes the connections that filled it.
    pub fn clear_accept_queue(&mut self) {
        rustix::net::listen(&self.listener, 128).expect("a longer queue");
        for _ in self.queue_fillers.drain(..) {
            self.listener
                .accept()
                .expect("a connection that filled the queue");
        }
    }

    /// The next connection; panics if there is none within [`HANG_TIMEOUT`].
    pub fn accept(&self) -> PeerConnection {
        self.accept_within(HANG_TIMEOUT).expect("a connection")
    }

    /// The next connection, or `None` if there is none within `timeout`.
    pub fn accept_within(&self, timeout: std::time::Duration) -> Option<PeerConnection> {
        use rustix::event::{poll, PollFd, PollFlags};
        let mut poll_fds = [PollFd::new(&self.listener, PollFlags::IN)];
        let timeout = rustix::event::Timespec {
            tv_sec: timeout.as_secs() as i64,
            tv_nsec: timeout.subsec_nanos().into(),
        };
        if poll(&mut poll_fds, Some(&timeout)).expect("poll") == 0 {
            return None;
        }
        let stream = self.listener.accept().expect("a connection").0;
        stream
            .set_read_timeout(Some(HANG_TIMEOUT))
            .expect("a time limit");
        stream.set_nodelay(true).expect("an option");
        let reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        Some(PeerConnection { stream, reader })
    }
}

/// An accepted connection of a [`ScriptedPeer`].
pub struct PeerConnection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl PeerConnection {
    /// The next line; empty after the proxy has closed the connection.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Err(e) if e.kind() == ErrorKind::ConnectionReset => String::new(),
            read => {
                read.expect("a line before the read timeout");
                line
            }
        }
    }

    /// Reads the next request and returns its head; empty after the proxy has closed the connection.
    pub fn read_request(&mut self) -> String {
        let mut head = String::new();
        loop {
            let line = self.read_line();
            if line.trim().is_empty() {
                break;
            }
            head.push_str(&line);
        }
        let length =
            crate::header(&head, "Content-Length").map_or(0, |n| n.parse().expect("a length"));
        std::io::copy(&mut self.reader.by_ref().take(length), &mut std::io::sink())
            .expect("a body");
        head
    }

    pub fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("an open connection");
    }

    /// Writes a response with status 200.
    pub fn respond_ok(&mut self, body: &str) {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(std::time::Duration::ZERO))
            .expect("an option");
    }
}
