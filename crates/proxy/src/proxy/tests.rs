//! Tests that run the event loop round by round. They check the decisions of a process that is stopped within a round.

use super::*;
use crate::clock::Clock;
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::settings::{
    DistributionSettings, Identity, RelayAddress, RelayLimits,
};
use meadowrill_test_servers::{
    config, header, ok, request_frame, Cache, CacheEvent, Journal, HANG_TIMEOUT, OBJECT,
};
use slog::{o, Discard};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;
use std::time::Instant;

/// A publisher that runs only when `step` is called.
struct TestPublisher {
    socket: UdpSocket,
    clock: Clock,
    publisher: Publisher,
}

impl TestPublisher {
    fn new() -> (TestPublisher, DistributionSettings) {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let address = socket.local_addr().unwrap();
        let relay = RelayAddress {
            name: "r0".into(),
            address,
            region: String::new(),
            zone: String::new(),
            publishes: true,
        };
        let settings = DistributionSettings::new(7, vec![relay]);
        let identity = Identity {
            name: "r0".into(),
            incarnation: 1,
            address,
            region: String::new(),
            zone: String::new(),
        };
        let clock = Clock::start();
        let publisher = Publisher::new(
            settings.clone(),
            RelayLimits::default(),
            identity,
            clock.now(),
            1,
        );
        (
            TestPublisher {
                socket,
                clock,
                publisher,
            },
            settings,
        )
    }

    fn step(&mut self) {
        let (now, mut outputs) = (self.clock.now(), Vec::new());
        let mut bytes = [0; 2048];
        while let Ok((length, _)) = self.socket.recv_from(&mut bytes) {
            self.publisher.receive(now, &bytes[..length], &mut outputs);
        }
        self.publisher.tick(now, &mut outputs);
        for output in outputs {
            if let Output::Send { to, bytes } = output {
                self.socket.send_to(&bytes, to).unwrap();
            }
        }
    }
}

/// A proxy in this process, with one cache, one client and a publisher.
struct TestBed {
    events: EventLoop<'static, ReadyEvents>,
    proxy: Proxy,
    publisher: TestPublisher,
    cache: Cache,
    client: TcpStream,
    _journal: Journal,
}

impl TestBed {
    fn new() -> TestBed {
        let (publisher, settings) = TestPublisher::new();
        let (cache, journal) = (Cache::start(ok(b"fine")), Journal::start());
        let json = config(&[("s-a", cache.address)], journal.address);
        let mut config = Config::read(&json.to_string(), |_| None).unwrap();
        let mut fleet =
            meadowrill_membership::settings::FleetSettings::new("127.0.0.1:0".parse().unwrap());
        fleet.fleet = "test".into();
        config.operator.fleet = Some(fleet);
        config.operator.events = Some(settings);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.set_nonblocking(true).unwrap();
        let events = EventLoop::try_new().unwrap();
        let proxy =
            Proxy::new(config, listener, &events, Logger::root(Discard, o!()), None).unwrap();
        TestBed {
            events,
            proxy,
            publisher,
            cache,
            client,
            _journal: journal,
        }
    }

    fn round(&mut self) {
        let mut ready_events = Vec::new();
        self.proxy
            .wait(&mut self.events, &mut ready_events)
            .unwrap();
        self.run_round(ready_events, 0);
    }

    /// Runs a round with the given ready events. The process is stopped for `pause` before the router handles the
    /// round.
    fn run_round(&mut self, mut ready_events: ReadyEvents, pause: Micros) {
        let now = self.proxy.clock.now();
        self.proxy.handle_ready(&mut ready_events, now);
        self.proxy.clock.skip(pause);
        self.proxy.dispatch_events(now);
    }

    fn has_lease(&self) -> bool {
        let subscription = self.proxy.fleet.subscription().unwrap();
        subscription
            .status(self.proxy.clock.now())
            .lease_remaining
            .is_some()
    }

    /// Runs rounds with the publisher until `holds` returns true.
    fn step_until(&mut self, condition: &str, mut holds: impl FnMut(&mut TestBed) -> bool) {
        let end = Instant::now() + HANG_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < end, "timed out waiting for {condition}");
            self.publisher.step();
            self.round();
        }
    }

    fn send_request(&mut self, stream: u32) {
        self.client
            .write_all(&request_frame(stream, "map", &[("item", OBJECT)], b""))
            .unwrap();
    }

    /// Whether any bytes of a response have arrived.
    fn has_response(&mut self) -> bool {
        match self.client.read(&mut [0; 4096]) {
            Ok(length) => length > 0,
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            Err(e) => panic!("{e}"),
        }
    }

    /// The next request that the cache received: the number of its connection, and the maximum age of a copy.
    fn request(&mut self) -> Option<(usize, Option<u64>)> {
        let Ok(CacheEvent::Request(connection, head, _)) = self.cache.events.try_recv() else {
            return None;
        };
        Some((
            connection,
            header(&head, "Oldest-Ms").map(|ms| ms.parse().unwrap()),
        ))
    }
}

#[test]
fn a_process_stopped_between_reading_a_request_and_routing_it_does_not_rely_on_its_lease() {
    let mut bed = TestBed::new();
    bed.step_until("a lease", |bed| bed.has_lease());
    bed.send_request(1);
    bed.step_until("an answer", TestBed::has_response);
    let (connection, bound) = bed.request().expect("a request");
    assert_eq!(bound, None);
    // An idle connection is reused only after a rest period. The test waits for it, because the router would decide
    // anew when a new connection is established.
    let rest_end = Instant::now() + Duration::from_millis(200);
    bed.step_until("the rest period", |_| Instant::now() > rest_end);
    bed.send_request(2);
    let mut ready_events = Vec::new();
    while !ready_events
        .iter()
        .any(|(key, _)| matches!(key, Key::Client(_)))
    {
        bed.proxy.wait(&mut bed.events, &mut ready_events).unwrap();
    }
    assert!(bed.has_lease());
    let lease = bed
        .proxy
        .config
        .operator
        .events
        .as_ref()
        .unwrap()
        .lease_duration;
    bed.run_round(ready_events, 2 * lease);
    let mut request = None;
    let end = Instant::now() + HANG_TIMEOUT;
    while request.is_none() {
        assert!(Instant::now() < end, "no request");
        bed.round();
        request = bed.request();
    }
    let (second_connection, bound) = request.unwrap();
    assert_eq!(second_connection, connection);
    let copy_age = bed
        .proxy
        .config
        .operator
        .events
        .as_ref()
        .unwrap()
        .max_copy_age;
    assert!(
        bound.is_some_and(|bound| bound as Micros * 1000 <= copy_age),
        "{bound:?}"
    );
}
