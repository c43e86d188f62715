//! Other fronts: datagrams and chunks to and from the view of the fleet, which decides; here they are only carried.

use super::streams::Streams;
use super::{Key, Poll};
use calloop::Readiness;
use meadowrill_core::interface::Micros;
use meadowrill_members::plan::Plan;
use meadowrill_members::view::{Act, Change, Me, View};
use meadowrill_members::wire::MOST;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Datagrams that are read in one round; the rest are read in the next.
const READ: usize = 256;
/// Ports from the kernel that are tried.
const TRIES: u32 = 16;

pub struct Fronts {
    socket: Rc<UdpSocket>,
    pub streams: Streams,
    view: View,
    acts: Vec<Act>,
    changes: Vec<Change>,
    /// Datagrams that the kernel had no room for.
    pub unsent: u64,
    /// There may be more to read.
    waits: bool,
}

impl Fronts {
    pub fn listen(plan: &Plan, name: &str, now: Micros, seed: u64, poll: &Poll) -> io::Result<Fronts> {
        let (socket, streams) = both(plan.listen, poll)?;
        let socket = Rc::new(socket);
        socket.set_nonblocking(true)?;
        poll.watch(Rc::clone(&socket), Key::Fronts)?;
        let mut plan = plan.clone();
        if plan.advertise == plan.listen {
            // A port from the kernel is known only now.
            plan.listen = socket.local_addr()?;
            plan.advertise = plan.listen;
        }
        let me = Me { name: name.into(), version: env!("CARGO_PKG_VERSION").into(), start: now as u64 };
        let view = View::new(plan, me, now, seed);
        Ok(Fronts { socket, streams, view, acts: Vec::new(), changes: Vec::new(), unsent: 0, waits: false })
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn waits(&self) -> bool {
        self.waits
    }

    pub fn next(&self) -> Micros {
        self.view.next()
    }

    pub fn read(&mut self, now: Micros, poll: &mut Poll) {
        // First the clock: one that was stopped has to know that before it believes what came meanwhile.
        self.tick(now, poll);
        let mut bytes = [0; MOST + 1];
        self.waits = true;
        for _ in 0..READ {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => self.view.hear(now, &bytes[..length], &mut self.acts),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.waits = false;
                    break;
                }
                // A machine that says that nobody is there: the view finds that out by itself.
                Err(_) => {}
            }
        }
        self.carry(now, poll);
    }

    /// Something of a stream is ready.
    pub fn stream(&mut self, number: u64, ready: Readiness, now: Micros, poll: &mut Poll) {
        let (view, acts) = (&mut self.view, &mut self.acts);
        let failed = self.streams.handle(number, ready, now, poll, |bytes| view.hear(now, bytes, acts));
        failed.into_iter().for_each(|to| self.view.unstreamed(now, to));
        self.carry(now, poll);
    }

    pub fn tick(&mut self, now: Micros, poll: &mut Poll) {
        if now >= self.view.next() {
            self.view.tick(now, &mut self.acts);
            let failed = self.streams.tick(now, poll);
            failed.into_iter().for_each(|to| self.view.unstreamed(now, to));
            self.carry(now, poll);
        }
    }

    pub fn leave(&mut self, now: Micros, poll: &mut Poll) {
        self.view.leave(now, &mut self.acts);
        self.carry(now, poll);
    }

    /// True once those who need to know that it leaves do, or it waited long enough.
    pub fn left(&self) -> bool {
        self.view.left() || self.view.gave_way()
    }

    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn carry(&mut self, now: Micros, poll: &mut Poll) {
        for act in self.acts.drain(..) {
            match act {
                Act::Tell(change) => self.changes.push(change),
                Act::Stream { to, bytes } => {
                    if !self.streams.send(to, &bytes, now, poll) {
                        self.view.unstreamed(now, to);
                    }
                }
                Act::Send { to, bytes } => {
                    if self.socket.send_to(&bytes, to).is_err() {
                        self.unsent += 1;
                    }
                }
            }
        }
    }
}

/// Datagrams and streams at one address and port; a port from the kernel has to be free for both.
fn both(listen: SocketAddr, poll: &Poll) -> io::Result<(UdpSocket, Streams)> {
    let mut tries = 0;
    loop {
        let socket = UdpSocket::bind(listen)?;
        match Streams::listen(socket.local_addr()?, poll) {
            Ok(streams) => return Ok((socket, streams)),
            Err(e) if listen.port() == 0 && e.kind() == ErrorKind::AddrInUse && tries < TRIES => tries += 1,
            Err(e) => return Err(e),
        }
    }
}
