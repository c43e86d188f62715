//! One simulated subscriber: the subscriber of production, a socket, and a record in place of a proxy.

use super::faults::DatagramFaults;
use super::layout::{region_name, region_of, subscriber_name, zone_name, zone_of};
use super::numbering::number_of;
use super::protocol::{Sabotage, Traffic};
use super::record::IncarnationRecord;
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
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Numbers from this one on do not belong to a purge of the run.
const PURGE_NUMBER_LIMIT: u64 = 10_000_000;
/// [`Sabotage::ForgetsPurges`] drops purges with numbers divisible by this.
const FORGOTTEN_PURGE_INTERVAL: usize = 1_000;
/// Delay of [`Sabotage::AppliesLate`].
const LATE_APPLY_DELAY: Micros = 3 * SECOND;

/// The subscriber, its faults and its records.
pub struct SimulatedSubscriber {
    number: usize,
    settings: DistributionSettings,
    seed: u64,
    sabotage: Option<Sabotage>,
    subscriber: Subscriber,
    /// Another one after each restart.
    pub socket: UdpSocket,
    /// Faults on its datagrams.
    pub faults: DatagramFaults,
    /// Until when it does nothing, as under SIGSTOP; [`Micros::MIN`] if it is not stopped.
    pub stopped_until: Micros,
    /// Whether it reads datagrams.
    pub is_reading: bool,
    /// Datagrams of all incarnations.
    pub traffic: Traffic,
    /// Datagrams that the kernel did not accept.
    pub unsent: u64,
    /// The records of all incarnations; the last one is current.
    records: Vec<IncarnationRecord>,
    /// Counters of the earlier incarnations.
    earlier_counters: Vec<Counters>,
    outputs: Vec<Output>,
}

fn open_socket() -> io::Result<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0))
}

fn subscriber(
    settings: &DistributionSettings,
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
    Ok(Subscriber::new(settings.clone(), identity, now, seed))
}

impl SimulatedSubscriber {
    /// Binds a socket and starts the subscriber.
    pub fn open(
        settings: &DistributionSettings,
        number: usize,
        now: Micros,
        seed: u64,
        sabotage: Option<Sabotage>,
    ) -> io::Result<SimulatedSubscriber> {
        let socket = open_socket()?;
        Ok(SimulatedSubscriber {
            number,
            seed,
            sabotage,
            subscriber: subscriber(settings, number, &socket, now, seed)?,
            settings: settings.clone(),
            socket,
            faults: DatagramFaults::new(seed),
            stopped_until: Micros::MIN,
            is_reading: true,
            traffic: Traffic::default(),
            unsent: 0,
            records: vec![IncarnationRecord::start(now)],
            earlier_counters: Vec::new(),
            outputs: Vec::new(),
        })
    }

    /// Ends without notice to its relay and starts again, on another socket.
    pub fn restart(&mut self, now: Micros) -> io::Result<()> {
        self.earlier_counters
            .push(self.subscriber.status(now).counters);
        let record = self.current_record();
        record.end_lease(now);
        record.ended_at = Some(now);
        self.socket = open_socket()?;
        self.seed = self.seed.wrapping_add(1);
        self.subscriber = subscriber(&self.settings, self.number, &self.socket, now, self.seed)?;
        self.records.push(IncarnationRecord::start(now));
        Ok(())
    }

    /// Its name in findings.
    pub fn name(&self) -> String {
        subscriber_name(self.number)
    }

    /// The records of all incarnations.
    pub fn records(&self) -> &[IncarnationRecord] {
        &self.records
    }

    /// The record of the current incarnation.
    pub fn latest_record(&self) -> &IncarnationRecord {
        &self.records[self.records.len() - 1]
    }

    fn current_record(&mut self) -> &mut IncarnationRecord {
        let latest = self.records.len() - 1;
        &mut self.records[latest]
    }

    /// Whether it holds a lease.
    pub fn has_lease(&self, now: Micros) -> bool {
        self.subscriber.has_lease(now)
    }

    /// Whether it does nothing now.
    pub fn is_stopped(&self, now: Micros) -> bool {
        now < self.stopped_until
    }

    /// When it has to be ticked next.
    pub fn next_wake(&self) -> Micros {
        self.subscriber.next_wake().max(self.stopped_until)
    }

    /// The counters of all incarnations.
    pub fn counters(&self, now: Micros) -> Vec<Counters> {
        let mut all = self.earlier_counters.clone();
        all.push(self.subscriber.status(now).counters);
        all
    }

    /// Runs what is due.
    pub fn tick(&mut self, now: Micros) {
        self.subscriber.tick(now, &mut self.outputs);
        self.process_outputs(now);
    }

    /// Handles all datagrams that have arrived.
    pub fn receive_all(&mut self, now: Micros) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while self.is_reading {
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
            self.process_outputs(now);
        }
    }

    fn relay_at(&self, address: SocketAddr) -> Option<usize> {
        self.settings
            .relays
            .iter()
            .position(|relay| relay.address == address)
    }

    fn process_outputs(&mut self, now: Micros) {
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
                Some(number_of(object)).filter(|number| *number < PURGE_NUMBER_LIMIT)
            }
            PurgeKey::Group(_) => None,
        };
        let Some(number) = number.map(|number| number as usize) else {
            self.current_record().unknown_purges += 1;
            return;
        };
        match self.sabotage {
            Some(Sabotage::ForgetsPurges) if number.is_multiple_of(FORGOTTEN_PURGE_INTERVAL) => {}
            Some(Sabotage::AppliesLate) => self
                .current_record()
                .record_applied(number, now + LATE_APPLY_DELAY),
            _ => self.current_record().record_applied(number, now),
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

    /// Records the lease, the purge floor, and whether the age of copies is bounded without a lease.
    fn record_lease(&mut self, now: Micros) {
        let bound = self.subscriber.freshness_bound(now);
        if let Some(stamp) = bound.not_before {
            self.current_record().raise_floor(now, stamp);
        }
        if !self.subscriber.has_lease(now) {
            let copy_age = self.settings.max_copy_age;
            let bounded = bound.max_age.is_some_and(|age| age <= copy_age);
            if !bounded || self.sabotage == Some(Sabotage::CopiesUnbounded) {
                self.current_record().unbounded_observations += 1;
            }
            if self.sabotage != Some(Sabotage::LeaseNeverEnds) {
                self.current_record().end_lease(now);
            }
            return;
        }
        // The full status costs more than this check, so it is read only if the lease reaches beyond its recorded end.
        let recorded_until = self.current_record().leased_until();
        if recorded_until <= now || self.subscriber.has_lease(recorded_until) {
            self.extend_lease(now);
        }
    }

    fn extend_lease(&mut self, now: Micros) {
        let Some(remaining) = self.subscriber.status(now).lease_remaining else {
            return;
        };
        let until = match self.sabotage {
            Some(Sabotage::LeaseNeverEnds) => Micros::MAX,
            _ => now + remaining,
        };
        self.current_record().record_lease(now, until);
    }
}
