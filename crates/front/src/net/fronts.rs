//! Other fronts: datagrams to and from the view of the fleet, which decides; here they are only carried.

use super::{Key, Poll};
use meadowrill_core::interface::Micros;
use meadowrill_members::plan::Plan;
use meadowrill_members::view::{Act, Change, Me, View};
use meadowrill_members::wire::MOST;
use std::io::{self, ErrorKind};
use std::net::UdpSocket;
use std::rc::Rc;

/// Datagrams that are read in one round; the rest are read in the next.
const READ: usize = 256;

pub struct Fronts {
    socket: Rc<UdpSocket>,
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
        let socket = Rc::new(UdpSocket::bind(plan.listen)?);
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
        Ok(Fronts { socket, view, acts: Vec::new(), changes: Vec::new(), unsent: 0, waits: false })
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

    pub fn read(&mut self, now: Micros) {
        // First the clock: one that was stopped has to know that before it believes what came meanwhile.
        self.tick(now);
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
        self.carry();
    }

    pub fn tick(&mut self, now: Micros) {
        if now >= self.view.next() {
            self.view.tick(now, &mut self.acts);
            self.carry();
        }
    }

    pub fn leave(&mut self, now: Micros) {
        self.view.leave(now, &mut self.acts);
        self.carry();
    }

    /// True once those who need to know that it leaves do, or it waited long enough.
    pub fn left(&self) -> bool {
        self.view.left() || self.view.gave_way()
    }

    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn carry(&mut self) {
        for act in self.acts.drain(..) {
            match act {
                Act::Tell(change) => self.changes.push(change),
                Act::Send { to, bytes } => {
                    if self.socket.send_to(&bytes, to).is_err() {
                        self.unsent += 1;
                    }
                }
            }
        }
    }
}
