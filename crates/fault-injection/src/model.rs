//! A fleet in one process: real membership views, a network that loses, delays, duplicates and truncates datagrams and
//! that is cut, and members that die, pause and restart. It runs on a simulated clock and is deterministic by seed. It
//! reaches fleet sizes and numbers of runs that are out of reach with sockets.

use crate::proxy_name;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::settings::{FleetSettings, SECOND};
use meadowrill_membership::view::{Action, Change, MemberIdentity, View};
use meadowrill_membership::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

/// Time after which a stream retransmits lost data.
const RETRANSMISSION_DELAY: Micros = 200_000;
/// Unix time at which a simulation starts.
const START_TIME: Micros = 1_700_000_000 * SECOND;

/// Properties of the simulated network.
#[derive(Clone, Debug)]
pub struct Network {
    /// Share of datagrams that are lost, duplicated, and truncated or corrupted.
    pub loss: f64,
    pub duplicated: f64,
    pub corrupted: f64,
    /// Minimum transit time, and the maximum that is randomly added to it.
    pub delay: Micros,
    pub jitter: Micros,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            loss: 0.0,
            duplicated: 0.0,
            corrupted: 0.0,
            delay: 500,
            jitter: 2000,
        }
    }
}

/// A membership protocol that runs on the simulated network: the view or a baseline.
pub trait MembershipProtocol {
    fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Action>);
    fn tick(&mut self, now: Micros, out: &mut Vec<Action>);
    fn next_timeout(&self) -> Micros;
    /// Names of the members that are considered present, without the member itself.
    fn present_members(&self) -> Vec<&str>;
    fn considers_present(&self, name: &str) -> bool;
    fn sent_bytes(&self) -> u64;
    /// A stream to this address failed.
    fn stream_failed(&mut self, _: Micros, _: SocketAddr) {}
}

impl MembershipProtocol for View {
    fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Action>) {
        View::receive(self, now, bytes, out);
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        View::handle_timeout(self, now, out);
    }

    fn next_timeout(&self) -> Micros {
        View::next_timeout(self)
    }

    fn present_members(&self) -> Vec<&str> {
        self.members()
            .filter(|(_, m)| m.claim.state.is_present())
            .map(|(name, _)| name)
            .collect()
    }

    fn considers_present(&self, name: &str) -> bool {
        self.member(name)
            .is_some_and(|m| m.claim.state.is_present())
    }

    fn sent_bytes(&self) -> u64 {
        self.counters.bytes_sent
    }

    fn stream_failed(&mut self, now: Micros, to: SocketAddr) {
        View::stream_failed(self, now, to);
    }
}

/// A membership change that a member observed.
#[derive(Clone, Debug)]
pub struct Observation {
    pub at: Micros,
    pub observer: usize,
    pub change: Change,
}

struct Node<P> {
    peer: Option<P>,
    start: u64,
    /// Until this time the member receives nothing; then it receives all queued messages.
    paused_until: Micros,
    queued: Vec<Vec<u8>>,
    scheduled_tick: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize, u64),
    Deliver(usize, Vec<u8>),
    Resume(usize),
    StreamFailed(usize, usize),
}

/// Creates a member from the configuration, its number, its start number and the time.
pub type ProtocolFactory<P> = Box<dyn Fn(&Config, usize, u64, Micros) -> P>;

/// Configuration of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Config {
    pub period: Micros,
    pub seed: u64,
    pub contacts: usize,
    pub departed_retention: Micros,
    pub proxies: usize,
    pub bytes_per_s: u64,
    pub local_health: bool,
    pub use_streams: bool,
}

impl Config {
    pub fn new(proxies: usize, seed: u64) -> Config {
        Config {
            period: SECOND,
            seed,
            contacts: 3,
            departed_retention: 600 * SECOND,
            proxies,
            bytes_per_s: 4000,
            local_health: true,
            use_streams: true,
        }
    }
}

/// A simulated fleet of members of the protocol `P`.
pub struct Fleet<P> {
    pub config: Config,
    pub network: Network,
    pub now: Micros,
    nodes: Vec<Node<P>>,
    factory: ProtocolFactory<P>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    serial: u64,
    rng: fastrand::Rng,
    /// The partition of each member, while the network is partitioned.
    partitions: Option<Vec<u8>>,
    /// Pairs of sender and receiver between which no datagram is delivered; a stream needs both directions.
    pub cut_links: BTreeMap<(usize, usize), ()>,
    pub observations: Vec<Observation>,
    pub datagrams: u64,
}

/// Address of the n-th member.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(127, 9, (n >> 8) as u8, n as u8).into(), 7000)
}

fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => 0,
    }
}

impl Fleet<View> {
    /// A fleet of the membership views that the proxy uses.
    pub fn views(config: Config) -> Fleet<View> {
        let factory = |config: &Config, n: usize, start: u64, now: Micros| {
            let mut settings = FleetSettings::new(address(n));
            settings.probe_period = config.period;
            settings.contacts = (0..config.contacts.min(config.proxies))
                .map(address)
                .collect();
            settings.departed_retention = config.departed_retention;
            settings.bytes_per_second = config.bytes_per_s;
            settings.local_health = config.local_health;
            settings.use_streams = config.use_streams;
            settings.zone = format!("zone-{}", n % 4);
            let me = MemberIdentity {
                name: proxy_name(n),
                version: "0.1.0".into(),
                start,
            };
            View::new(settings, me, now, config.seed ^ start)
        };
        Fleet::new(config, Box::new(factory))
    }

    /// Whether all running members agree on the members that are present, and these are the running members.
    pub fn settled(&self) -> bool {
        let mut digests = self
            .nodes
            .iter()
            .filter_map(|n| n.peer.as_ref())
            .map(View::digest);
        let first = digests.next();
        digests.all(|d| Some(d) == first) && self.membership_is_correct()
    }

    pub fn view(&self, n: usize) -> Option<&View> {
        self.nodes[n].peer.as_ref()
    }

    pub fn view_mut(&mut self, n: usize) -> Option<&mut View> {
        self.nodes[n].peer.as_mut()
    }

    pub fn leave(&mut self, n: usize) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(view) = &mut self.nodes[n].peer {
            view.leave(now, &mut out);
        }
        self.apply_actions(n, out);
    }
}

impl<P: MembershipProtocol> Fleet<P> {
    pub fn new(config: Config, factory: ProtocolFactory<P>) -> Fleet<P> {
        let nodes = (0..config.proxies)
            .map(|_| Node {
                peer: None,
                start: 0,
                paused_until: 0,
                queued: Vec::new(),
                scheduled_tick: 0,
            })
            .collect();
        Fleet {
            network: Network::default(),
            now: START_TIME,
            nodes,
            factory,
            queue: BinaryHeap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(config.seed),
            partitions: None,
            cut_links: BTreeMap::new(),
            observations: Vec::new(),
            datagrams: 0,
            config,
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, event)));
    }

    pub fn start(&mut self, n: usize) {
        self.start_as(n, self.now as u64);
    }

    /// Starts a member with this start number.
    pub fn start_as(&mut self, n: usize, start: u64) {
        let peer = (self.factory)(&self.config, n, start, self.now);
        self.nodes[n] = Node {
            peer: Some(peer),
            start,
            paused_until: 0,
            queued: Vec::new(),
            scheduled_tick: 0,
        };
        self.schedule_tick(n);
    }

    pub fn start_all(&mut self) {
        (0..self.config.proxies).for_each(|n| self.start(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].peer = None;
    }

    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].peer.is_some()
    }

    pub fn pause(&mut self, n: usize, span: Micros) {
        let until = self.now + span;
        self.nodes[n].paused_until = until;
        self.schedule(until, Event::Resume(n));
    }

    pub fn split(&mut self, side: impl Fn(usize) -> u8) {
        self.partitions = Some((0..self.config.proxies).map(side).collect());
    }

    pub fn heal(&mut self) {
        self.partitions = None;
        self.cut_links.clear();
    }

    fn schedule_tick(&mut self, n: usize) {
        let Some(peer) = &self.nodes[n].peer else {
            return;
        };
        let at = peer.next_timeout().max(self.now);
        if self.nodes[n].scheduled_tick != at {
            self.nodes[n].scheduled_tick = at;
            let start = self.nodes[n].start;
            self.schedule(at, Event::Tick(n, start));
        }
    }

    fn apply_actions(&mut self, n: usize, out: Vec<Action>) {
        for act in out {
            match act {
                Action::Notify(change) => self.observations.push(Observation {
                    at: self.now,
                    observer: n,
                    change,
                }),
                Action::SendDatagram { to, bytes } => self.send_datagram(n, number(to), bytes),
                Action::SendStream { to, bytes } => self.send_stream(n, number(to), bytes),
            }
        }
        self.schedule_tick(n);
    }

    fn send_datagram(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        self.datagrams += 1;
        let partitioned = self
            .partitions
            .as_ref()
            .is_some_and(|s| s.get(from) != s.get(to));
        if to >= self.nodes.len()
            || partitioned
            || self.cut_links.contains_key(&(from, to))
            || self.rng.f64() < self.network.loss
        {
            return;
        }
        if self.rng.f64() < self.network.corrupted {
            let at = self.rng.usize(0..bytes.len());
            bytes[at] ^= 1 << self.rng.u8(0..8);
            bytes.truncate(self.rng.usize(1..=bytes.len()));
        }
        let copies = if self.rng.f64() < self.network.duplicated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let at = self.now + self.network.delay + self.rng.i64(0..=self.network.jitter);
            self.schedule(at, Event::Deliver(to, bytes.clone()));
        }
    }

    /// Delivers a stream completely or not at all: each loss delays it by a retransmission. To a member that does not
    /// run or cannot be reached it fails after one period.
    fn send_stream(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.datagrams += 1;
        let partitioned = self
            .partitions
            .as_ref()
            .is_some_and(|s| s.get(from) != s.get(to));
        let cut =
            self.cut_links.contains_key(&(from, to)) || self.cut_links.contains_key(&(to, from));
        if to >= self.nodes.len() || partitioned || cut || self.nodes[to].peer.is_none() {
            let at = self.now + self.config.period;
            return self.schedule(at, Event::StreamFailed(from, to));
        }
        let round_trips = 4 * (self.network.delay + self.network.jitter);
        let mut at = self.now + round_trips;
        while self.rng.f64() < self.network.loss {
            at += RETRANSMISSION_DELAY;
        }
        self.schedule(at, Event::Deliver(to, bytes));
    }

    fn deliver(&mut self, n: usize, bytes: Vec<u8>) {
        let now = self.now;
        if now < self.nodes[n].paused_until {
            if self.nodes[n].queued.len() < 256 {
                self.nodes[n].queued.push(bytes);
            }
            return;
        }
        let mut out = Vec::new();
        if let Some(peer) = &mut self.nodes[n].peer {
            peer.receive(now, &bytes, &mut out);
        }
        self.apply_actions(n, out);
    }

    pub fn run(&mut self, span: Micros) {
        self.run_until(self.now + span, |_| false);
    }

    /// Runs until `end`, or until `done` holds, which is checked every twentieth of a period. Returns the time at which
    /// it held.
    pub fn run_until(&mut self, end: Micros, done: impl Fn(&Self) -> bool) -> Option<Micros> {
        let mut next_check = self.now;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            let at = *at;
            if at > end {
                break;
            }
            while next_check <= at {
                if done(self) {
                    return Some(self.now);
                }
                next_check += self.config.period / 20;
            }
            let Some(Reverse((_, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            match event {
                Event::Deliver(n, bytes) => self.deliver(n, bytes),
                Event::Resume(n) => {
                    // The tick runs before the queued messages are delivered.
                    let queued = std::mem::take(&mut self.nodes[n].queued);
                    self.tick(n);
                    queued.into_iter().for_each(|bytes| self.deliver(n, bytes));
                }
                Event::StreamFailed(from, to) => {
                    if let Some(peer) = &mut self.nodes[from].peer {
                        peer.stream_failed(self.now, address(to));
                    }
                }
                Event::Tick(n, start) => {
                    if self.nodes[n].start == start
                        && self.nodes[n].scheduled_tick == at
                        && at >= self.nodes[n].paused_until
                    {
                        self.tick(n);
                    }
                }
            }
        }
        self.now = end;
        done(self).then_some(end)
    }

    fn tick(&mut self, n: usize) {
        let now = self.now;
        self.nodes[n].scheduled_tick = 0;
        let mut out = Vec::new();
        if let Some(peer) = &mut self.nodes[n].peer {
            peer.tick(now, &mut out);
        }
        self.apply_actions(n, out);
    }

    /// Whether each running member considers exactly the running members in its own partition present.
    pub fn membership_is_correct(&self) -> bool {
        let side = |n: usize| self.partitions.as_ref().map_or(0, |s| s[n]);
        let running: Vec<(usize, String)> = (0..self.nodes.len())
            .filter(|n| self.is_running(*n))
            .map(|n| (n, proxy_name(n)))
            .collect();
        running.iter().all(|(n, _)| {
            let Some(peer) = &self.nodes[*n].peer else {
                return true;
            };
            let mut present = peer.present_members();
            present.sort_unstable();
            let mut expected: Vec<&str> = running
                .iter()
                .filter(|(m, _)| m != n && side(*m) == side(*n))
                .map(|(_, name)| name.as_str())
                .collect();
            expected.sort_unstable();
            present == expected
        })
    }

    /// Whether no running member considers this one present.
    pub fn is_absent_everywhere(&self, n: usize) -> bool {
        let absent = proxy_name(n);
        self.nodes
            .iter()
            .filter_map(|node| node.peer.as_ref())
            .all(|peer| !peer.considers_present(&absent))
    }

    /// Bytes that the running members have sent.
    pub fn sent_bytes(&self) -> u64 {
        self.nodes
            .iter()
            .filter_map(|n| n.peer.as_ref())
            .map(MembershipProtocol::sent_bytes)
            .sum()
    }

    /// Members that were declared dead since `since`: the name, the member that declared it, and the time since then.
    pub fn declared_dead(&self, since: Micros) -> Vec<(String, usize, Micros)> {
        let dead = self
            .observations
            .iter()
            .filter(|s| s.at >= since)
            .filter_map(|s| match &s.change {
                Change::MemberChanged {
                    name,
                    to: MemberState::Dead,
                    ..
                } => Some((name.clone(), s.observer, s.at - since)),
                _ => None,
            });
        dead.collect()
    }
}
