//! Client connections: the listener that accepts them, and their events.

use super::Proxy;
use crate::net::clients::{ClientEvent, Clients};
use crate::net::syscalls::increment;
use calloop::RegistrationToken;
use meadowrill_routing::interface::Micros;
use slog::warn;
use std::io;
use std::net::TcpListener;

/// The listener and the connections of clients.
pub(super) struct Downstream {
    pub(super) clients: Clients,
    /// `None` once the proxy accepts no more connections.
    pub(super) listener: Option<(TcpListener, RegistrationToken)>,
    /// Whether connections may be waiting to be accepted.
    pub(super) accept_pending: bool,
    /// Reusable buffer for client events; empty between calls.
    pub(super) events: Vec<ClientEvent>,
}

impl Proxy {
    /// Accepts waiting connections up to the limit on client connections.
    pub(super) fn accept_clients(&mut self, now: Micros) {
        let downstream = &mut self.downstream;
        while downstream.accept_pending && downstream.clients.evict_if_full(now, &mut self.poll) {
            let Some((listener, _)) = &downstream.listener else {
                return;
            };
            increment(&self.poll.syscalls.connections, 1);
            match listener.accept() {
                Ok((stream, from)) => {
                    let accepted =
                        downstream
                            .clients
                            .accept(stream, from.ip(), now, &mut self.poll);
                    if let Err(e) = accepted {
                        warn!(self.log, "client connection could not be set up"; "error" => %e);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    downstream.accept_pending = false;
                    if e.kind() != io::ErrorKind::WouldBlock {
                        warn!(self.log, "client connection could not be accepted"; "error" => %e);
                    }
                }
            }
        }
    }
}
