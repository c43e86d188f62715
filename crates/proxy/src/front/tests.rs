//! The loop, round by round: what a process that is stopped within a round may still decide.

use super::*;
use crate::clock::Clock;
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::settings::{
    DistributionSettings as EventsPlan, Identity, RelayAddress, RelayLimits,
};
use meadowrill_test_servers::{ask, config, header, ok, Cache, Journal, Seen, HANG, OBJECT};
use slog::{o, Discard};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Instant;

/// A publisher that does nothing by itself.
struct Feeder {
    socket: UdpSocket,
    clock: Clock,
    publisher: Publisher,
}

impl Feeder {
    fn new() -> (Feeder, EventsPlan) {
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
        let plan = EventsPlan::new(7, vec![relay]);
        let me = Identity {
            name: "r0".into(),
            incarnation: 1,
            address,
            region: String::new(),
            zone: String::new(),
        };
        let clock = Clock::start();
        let publisher = Publisher::new(plan.clone(), RelayLimits::default(), me, clock.now(), 1);
        (
            Feeder {
                socket,
                clock,
                publisher,
            },
            plan,
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

/// A front in this process, with one cache, one client and a publisher.
struct Bench {
    events: EventLoop<'static, ReadyEvents>,
    front: Front,
    feeder: Feeder,
    cache: Cache,
    client: TcpStream,
    _journal: Journal,
}

impl Bench {
    fn new() -> Bench {
        let (feeder, plan) = Feeder::new();
        let (cache, journal) = (Cache::start(ok(b"fine")), Journal::start());
        let json = config(&[("s-a", cache.address)], journal.address);
        let mut config = Config::read(&json.to_string(), |_| None).unwrap();
        let mut fleet =
            meadowrill_membership::settings::FleetSettings::new("127.0.0.1:0".parse().unwrap());
        fleet.fleet = "test".into();
        config.own.fleet = Some(fleet);
        config.own.events = Some(plan);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.set_nonblocking(true).unwrap();
        let events = EventLoop::try_new().unwrap();
        let front =
            Front::new(config, listener, &events, Logger::root(Discard, o!()), None).unwrap();
        Bench {
            events,
            front,
            feeder,
            cache,
            client,
            _journal: journal,
        }
    }

    fn round(&mut self) {
        let mut gathered = Vec::new();
        self.front.wait(&mut self.events, &mut gathered).unwrap();
        self.decide(gathered, 0);
    }

    /// What a round does with what it has gathered, stopped for so long before it decides.
    fn decide(&mut self, mut gathered: ReadyEvents, stopped: Micros) {
        let now = self.front.clock.now();
        self.front.gather(&mut gathered, now);
        self.front.clock.skip(stopped);
        let actions = std::mem::take(&mut self.front.spare.actions);
        self.front.hand_over(now, actions);
    }

    fn leased(&self) -> bool {
        let subscription = self
            .front
            .fronts
            .as_ref()
            .unwrap()
            .subscription
            .as_ref()
            .unwrap();
        subscription
            .status(self.front.clock.now())
            .lease_remaining
            .is_some()
    }

    /// Rounds in which the publisher takes part, until this holds.
    fn until(&mut self, what: &str, mut holds: impl FnMut(&mut Bench) -> bool) {
        let end = Instant::now() + HANG;
        while !holds(self) {
            assert!(Instant::now() < end, "never: {what}");
            self.feeder.step();
            self.round();
        }
    }

    fn asks(&mut self, stream: u32) {
        self.client
            .write_all(&ask(stream, "map", &[("item", OBJECT)], b""))
            .unwrap();
    }

    /// Some of an answer has come.
    fn answered(&mut self) -> bool {
        match self.client.read(&mut [0; 4096]) {
            Ok(length) => length > 0,
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            Err(e) => panic!("{e}"),
        }
    }

    /// The next request that has come to the cache: the number of its connection, and how old a copy may be.
    fn request(&mut self) -> Option<(usize, Option<u64>)> {
        let Ok(Seen::Request(connection, head, _)) = self.cache.seen.try_recv() else {
            return None;
        };
        Some((
            connection,
            header(&head, "Oldest-Ms").map(|ms| ms.parse().unwrap()),
        ))
    }
}

#[test]
fn one_that_is_stopped_between_reading_a_lookup_and_deciding_does_not_rely_on_its_lease() {
    let mut bench = Bench::new();
    bench.until("a lease", |bench| bench.leased());
    bench.asks(1);
    bench.until("an answer", Bench::answered);
    let (connection, bound) = bench.request().expect("a request");
    assert_eq!(bound, None);
    // The connection is used again once it has rested, so that nothing is judged anew when one comes up.
    let rested = Instant::now() + Duration::from_millis(200);
    bench.until("rested", |_| Instant::now() > rested);
    bench.asks(2);
    let mut gathered = Vec::new();
    while !gathered
        .iter()
        .any(|(key, _)| matches!(key, Key::Client(_)))
    {
        bench.front.wait(&mut bench.events, &mut gathered).unwrap();
    }
    assert!(bench.leased());
    let lease = bench
        .front
        .config
        .own
        .events
        .as_ref()
        .unwrap()
        .lease_duration;
    bench.decide(gathered, 2 * lease);
    let mut request = None;
    let end = Instant::now() + HANG;
    while request.is_none() {
        assert!(Instant::now() < end, "no request");
        bench.round();
        request = bench.request();
    }
    let (again, bound) = request.unwrap();
    assert_eq!(again, connection);
    let copy_age = bench.front.config.own.events.as_ref().unwrap().max_copy_age;
    assert!(
        bound.is_some_and(|bound| bound as Micros * 1000 <= copy_age),
        "{bound:?}"
    );
}
