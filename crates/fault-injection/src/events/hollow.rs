//! One hollow subscriber: a subscriber as it is in earnest, a socket, and a record in place of a front.

use super::faults::DatagramFaults;
use super::layout::{region_name, region_of, subscriber_name, zone_name, zone_of};
use super::numbering::number_of;
use super::protocol::{Sabotage, Traffic};
use super::record::Life;
use meadowrill_event_distribution::counters::Counters;
use meadowrill_event_distribution::event::{Event, PurgeKey};
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::settings::{DistributionSettings, Identity, SECOND};
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::Micros;
use mio::net::UdpSocket;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// Longer than any datagram of the fleet.
const DATAGRAM_MOST: usize = 2_048;
/// Numbers above this are not of this run.
const NUMBERS_MOST: u64 = 10_000_000;
const FORGETS_ONE_IN: usize = 1_000;
const APPLIES_LATER_BY: Micros = 3 * SECOND;

pub struct HollowSubscriber {
    number: usize,
    plan: DistributionSettings,
    seed: u64,
    sabotage: Option<Sabotage>,
    subscriber: Subscriber,
    pub socket: UdpSocket,
    pub faults: DatagramFaults,
    pub stopped_until: Micros,
    pub reads: bool,
    pub traffic: Traffic,
    /// Datagrams that the kernel did not take.
    pub unsent: u64,
    lives: Vec<Life>,
    /// Counted in the lives before this one.
    counted: Vec<Counters>,
    outputs: Vec<Output>,
}

fn open_socket() -> io::Result<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0))
}

fn subscriber(
    plan: &DistributionSettings,
    number: usize,
    socket: &UdpSocket,
    now: Micros,
    seed: u64,
) -> io::Result<Subscriber> {
    let identity = Identity {
        name: subscriber_name(number),
        incarnation: now.unsigned_abs(),
        address: socket.local_addr()?,
        region: region_name(region_of(number)),
        zone: zone_name(zone_of(number)),
    };
    Ok(Subscriber::new(plan.clone(), identity, now, seed))
}

impl HollowSubscriber {
    pub fn open(
        plan: &DistributionSettings,
        number: usize,
        now: Micros,
        seed: u64,
        sabotage: Option<Sabotage>,
    ) -> io::Result<HollowSubscriber> {
        let socket = open_socket()?;
        Ok(HollowSubscriber {
            number,
            seed,
            sabotage,
            subscriber: subscriber(plan, number, &socket, now, seed)?,
            plan: plan.clone(),
            socket,
            faults: DatagramFaults::new(seed),
            stopped_until: Micros::MIN,
            reads: true,
            traffic: Traffic::default(),
            unsent: 0,
            lives: vec![Life::begin(now)],
            counted: Vec::new(),
            outputs: Vec::new(),
        })
    }

    /// Ends without a word and begins anew. The socket is another one.
    pub fn restart(&mut self, now: Micros) -> io::Result<()> {
        self.counted.push(self.subscriber.status(now).counters);
        let life = self.life();
        life.lose_lease(now);
        life.ended = Some(now);
        self.socket = open_socket()?;
        self.seed = self.seed.wrapping_add(1);
        self.subscriber = subscriber(&self.plan, self.number, &self.socket, now, self.seed)?;
        self.lives.push(Life::begin(now));
        Ok(())
    }

    pub fn name(&self) -> String {
        subscriber_name(self.number)
    }

    pub fn lives(&self) -> &[Life] {
        &self.lives
    }

    pub fn latest_life(&self) -> &Life {
        &self.lives[self.lives.len() - 1]
    }

    fn life(&mut self) -> &mut Life {
        let latest = self.lives.len() - 1;
        &mut self.lives[latest]
    }

    pub fn leased(&self, now: Micros) -> bool {
        self.subscriber.has_lease(now)
    }

    pub fn stopped(&self, now: Micros) -> bool {
        now < self.stopped_until
    }

    pub fn next_wake(&self) -> Micros {
        self.subscriber.next_wake().max(self.stopped_until)
    }

    /// Of all lives.
    pub fn counters(&self, now: Micros) -> Vec<Counters> {
        let mut all = self.counted.clone();
        all.push(self.subscriber.status(now).counters);
        all
    }

    pub fn tick(&mut self, now: Micros) {
        self.subscriber.tick(now, &mut self.outputs);
        self.carry_out(now);
    }

    /// Takes in all datagrams that have arrived.
    pub fn receive_all(&mut self, now: Micros) {
        let mut bytes = [0; DATAGRAM_MOST];
        while self.reads {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes) else {
                break;
            };
            let relay = self.relay_at(from);
            if !self.faults.passes(relay) {
                continue;
            }
            self.traffic.received += 1;
            self.traffic.received_bytes += length as u64;
            self.subscriber
                .receive(now, &bytes[..length], &mut self.outputs);
            self.carry_out(now);
        }
    }

    fn relay_at(&self, address: SocketAddr) -> Option<usize> {
        self.plan
            .relays
            .iter()
            .position(|relay| relay.address == address)
    }

    fn carry_out(&mut self, now: Micros) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Apply(Event::Purge(purge)) => self.apply(purge.key, now),
                Output::Send { to, bytes } => self.send(to, &bytes),
                Output::InForce { .. } | Output::Notice(_) => {}
            }
        }
        self.outputs = outputs;
        self.record_lease(now);
    }

    fn apply(&mut self, key: PurgeKey, now: Micros) {
        let number = match key {
            PurgeKey::Object(object) => {
                Some(number_of(object)).filter(|number| *number < NUMBERS_MOST)
            }
            PurgeKey::Group(_) => None,
        };
        let Some(number) = number.map(|number| number as usize) else {
            self.life().unknown += 1;
            return;
        };
        match self.sabotage {
            Some(Sabotage::ForgetsPurges) if number.is_multiple_of(FORGETS_ONE_IN) => {}
            Some(Sabotage::AppliesLate) => self.life().apply(number, now + APPLIES_LATER_BY),
            _ => self.life().apply(number, now),
        }
    }

    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        let relay = self.relay_at(to);
        if self.faults.passes(relay) && self.socket.send_to(bytes, to).is_err() {
            self.unsent += 1;
        }
    }

    /// Keeps the record of leases, and of what bounds copies without one.
    fn record_lease(&mut self, now: Micros) {
        let bound = self.subscriber.freshness_bound(now);
        if let Some(stamp) = bound.not_before {
            self.life().raise_floor(now, stamp);
        }
        if !self.subscriber.has_lease(now) {
            let copy_age = self.plan.max_copy_age;
            let bounded = bound.max_age.is_some_and(|age| age <= copy_age);
            if !bounded || self.sabotage == Some(Sabotage::CopiesUnbounded) {
                self.life().unbounded += 1;
            }
            if self.sabotage != Some(Sabotage::LeaseNeverEnds) {
                self.life().lose_lease(now);
            }
            return;
        }
        // Whether a later moment is leased too is asked first, as it costs less than the whole status.
        let known = self.life().leased_until();
        if known <= now || self.subscriber.has_lease(known) {
            self.extend_lease(now);
        }
    }

    fn extend_lease(&mut self, now: Micros) {
        let Some(left) = self.subscriber.status(now).lease_remaining else {
            return;
        };
        let until = match self.sabotage {
            Some(Sabotage::LeaseNeverEnds) => Micros::MAX,
            _ => now + left,
        };
        self.life().hold_lease(now, until);
    }
}
