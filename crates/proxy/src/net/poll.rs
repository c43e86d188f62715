//! Readiness notification: waits until connections can be read or written, and registers new connections.
//!
//! Client, endpoint, discovery and fleet connections are registered with an epoll instance of this module,
//! edge-triggered: each change is reported once, so a connection without changes costs nothing. Listeners, signals and
//! the operators' socket are registered with calloop, whose own poller is watched as one entry here. Waiting for all
//! connections with calloop would take five system calls each time, two of them for a timer and a notifier that are not
//! needed here.

use super::buffered_stream::{BufferLimits, BufferedStream};
use super::syscalls::{increment, SyscallCounters};
use crate::buffer::BufferMemory;
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use rustix::buffer::spare_capacity;
use rustix::event::epoll;
use rustix::event::Timespec;
use rustix::net::{bind, connect, socket_with, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of connections that one wait reports; the next wait reports the others.
const MAX_REPORTED: usize = 1024;
/// The epoll entry of calloop's own poller.
const CALLOOP_ENTRY: u64 = 0;
/// Number of bits of an epoll entry that hold the connection's number; the kind of the connection is above them.
const NUMBER_BITS: u32 = 60;
const DISCOVERY_KIND: u64 = 1;
const ENDPOINT_KIND: u64 = 2;
const CLIENT_KIND: u64 = 3;
const STREAM_KIND: u64 = 4;
const MILLIS_PER_SECOND: i64 = 1000;
const NANOS_PER_MILLI: i64 = 1_000_000;

/// A source of readiness events. Numbers are never reused, so a late event matches no other connection.
///
/// A round handles events in the order of the variants. Discovery comes first, so that no request is answered with
/// content that an earlier invalidation forbids. Responses come next, so that no timeout is handled before a response
/// that has arrived. Clients come after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Key {
    /// The connection to the discovery service.
    Discovery(u64),
    /// A connection to a cache, parent or origin.
    Endpoint(u64),
    /// A client's connection.
    Client(u64),
    /// Client connections that wait to be accepted.
    Listener,
    /// Datagrams from other members of the fleet.
    Datagrams,
    /// Streams of other members that wait to be accepted.
    StreamListener,
    /// A stream to or from a member of the fleet.
    Stream(u64),
    /// Operator connections that wait to be accepted.
    Operators,
    /// An operator's connection.
    Operator(u64),
    /// The signal to reload the configuration.
    Reload,
    /// The signal to write the report to the log.
    Report,
    /// A signal to shut down.
    Signal,
}

impl Key {
    /// The epoll entry of a connection.
    fn to_entry(self) -> u64 {
        let entry = |kind: u64, number: u64| kind << NUMBER_BITS | number;
        match self {
            Key::Discovery(number) => entry(DISCOVERY_KIND, number),
            Key::Endpoint(number) => entry(ENDPOINT_KIND, number),
            Key::Client(number) => entry(CLIENT_KIND, number),
            Key::Stream(number) => entry(STREAM_KIND, number),
            _ => CALLOOP_ENTRY,
        }
    }

    /// Decodes an epoll entry; none for the entry of calloop's poller.
    fn from_entry(entry: u64) -> Option<Key> {
        let number = entry & ((1 << NUMBER_BITS) - 1);
        match entry >> NUMBER_BITS {
            DISCOVERY_KIND => Some(Key::Discovery(number)),
            ENDPOINT_KIND => Some(Key::Endpoint(number)),
            CLIENT_KIND => Some(Key::Client(number)),
            STREAM_KIND => Some(Key::Stream(number)),
            _ => None,
        }
    }
}

/// The events of one round.
pub(crate) type ReadyEvents = Vec<(Key, Readiness)>;

/// Registers connections, and holds the state that they share.
pub(crate) struct Poll {
    calloop: LoopHandle<'static, ReadyEvents>,
    pub buffer_memory: BufferMemory,
    /// The part of `buffer_memory` that holds the input of clients.
    pub client_input_memory: BufferMemory,
    pub syscalls: Rc<SyscallCounters>,
    last_number: u64,
    epoll: OwnedFd,
    reported: Vec<epoll::Event>,
}

impl Poll {
    pub(crate) fn new(events: &EventLoop<'static, ReadyEvents>) -> io::Result<Poll> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(
            &epoll,
            events,
            epoll::EventData::new_u64(CALLOOP_ENTRY),
            epoll::EventFlags::IN,
        )?;
        let buffer_memory = BufferMemory::default();
        Ok(Poll {
            calloop: events.handle(),
            client_input_memory: buffer_memory.new_group(),
            buffer_memory,
            syscalls: Rc::default(),
            last_number: 0,
            epoll,
            reported: Vec::with_capacity(MAX_REPORTED),
        })
    }

    /// Waits until something is ready, for at most `timeout`. Returns true if calloop has events to dispatch.
    pub(crate) fn wait(&mut self, timeout: Duration, ready: &mut ReadyEvents) -> io::Result<bool> {
        increment(&self.syscalls.waits, 1);
        // The timeout is rounded up to milliseconds: the system call with a finer timeout is missing on some kernels
        // and under some tools.
        let millis = timeout.as_micros().div_ceil(1000) as i64;
        let timeout = Timespec {
            tv_sec: millis / MILLIS_PER_SECOND,
            tv_nsec: millis % MILLIS_PER_SECOND * NANOS_PER_MILLI,
        };
        self.reported.clear();
        match epoll::wait(
            &self.epoll,
            spare_capacity(&mut self.reported),
            Some(&timeout),
        ) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        let mut calloop_ready = false;
        for event in &self.reported {
            match Key::from_entry(event.data.u64()) {
                Some(key) => ready.push((key, readiness(event.flags))),
                None => calloop_ready = true,
            }
        }
        Ok(calloop_ready)
    }

    /// A number for a new connection.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Watches a file for input and output with calloop, edge-triggered.
    pub(crate) fn watch<F: AsFd + 'static>(
        &self,
        file: F,
        key: Key,
    ) -> io::Result<RegistrationToken> {
        self.watch_for(file, key, Interest::BOTH)
    }

    /// Watches a file only for input: otherwise a datagram socket would report each datagram that was sent.
    pub(crate) fn watch_input<F: AsFd + 'static>(
        &self,
        file: F,
        key: Key,
    ) -> io::Result<RegistrationToken> {
        self.watch_for(file, key, Interest::READ)
    }

    fn watch_for<F: AsFd + 'static>(
        &self,
        file: F,
        key: Key,
        interest: Interest,
    ) -> io::Result<RegistrationToken> {
        increment(&self.syscalls.controls, 1);
        let source = Generic::new(file, interest, Mode::Edge);
        let on_ready = move |readiness, _: &mut _, ready: &mut ReadyEvents| {
            ready.push((key, readiness));
            Ok(PostAction::Continue)
        };
        self.calloop
            .insert_source(source, on_ready)
            .map_err(|e| io::Error::other(e.error.to_string()))
    }

    pub(crate) fn unwatch(&self, token: RegistrationToken) {
        increment(&self.syscalls.controls, 1);
        self.calloop.remove(token);
    }

    /// Starts to connect without blocking. A refused connection is reported here or when the connection becomes ready.
    pub(crate) fn connect(
        &self,
        address: SocketAddr,
        key: Key,
        limits: BufferLimits,
    ) -> io::Result<BufferedStream> {
        self.connect_from(None, address, key, limits)
    }

    /// Like [`Poll::connect`], but from a local address if it has the same address family.
    pub(crate) fn connect_from(
        &self,
        local: Option<IpAddr>,
        address: SocketAddr,
        key: Key,
        limits: BufferLimits,
    ) -> io::Result<BufferedStream> {
        let family = if address.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        increment(&self.syscalls.connections, 2);
        let socket = socket_with(family, SocketType::STREAM, flags, None)?;
        if let Some(local) = local.filter(|local| local.is_ipv4() == address.is_ipv4()) {
            bind(&socket, &SocketAddr::new(local, 0))?;
        }
        match connect(&socket, &address) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        self.register(TcpStream::from(socket), key, limits)
    }

    /// Registers a connection. Closing its descriptor removes the registration.
    pub(crate) fn register(
        &self,
        stream: TcpStream,
        key: Key,
        limits: BufferLimits,
    ) -> io::Result<BufferedStream> {
        increment(&self.syscalls.connections, 2);
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        increment(&self.syscalls.controls, 1);
        let flags = epoll::EventFlags::IN | epoll::EventFlags::OUT | epoll::EventFlags::RDHUP;
        let entry = epoll::EventData::new_u64(key.to_entry());
        epoll::add(&self.epoll, &stream, entry, flags | epoll::EventFlags::ET)?;
        let inbound_memory = match key {
            Key::Client(_) => &self.client_input_memory,
            _ => &self.buffer_memory,
        };
        Ok(BufferedStream::new(
            stream,
            limits,
            (inbound_memory, &self.buffer_memory),
            Rc::clone(&self.syscalls),
        ))
    }
}

fn readiness(flags: epoll::EventFlags) -> Readiness {
    let ended = epoll::EventFlags::ERR | epoll::EventFlags::HUP | epoll::EventFlags::RDHUP;
    Readiness {
        readable: flags.intersects(epoll::EventFlags::IN),
        writable: flags.intersects(epoll::EventFlags::OUT),
        error: flags.intersects(ended),
    }
}
