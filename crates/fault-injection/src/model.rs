//! A fleet in one process: real views, a network that loses, delays, doubles and cuts, processes that die, pause and
//! start again; by seed, on a clock of its own. What sockets cannot reach in size or in number of runs.

use crate::proxy_name;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::settings::{FleetSettings, SECOND};
use meadowrill_membership::view::{Action, Change, MemberIdentity, View};
use meadowrill_membership::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

/// After so long a stream sends again what was lost.
const RETRANSMIT: Micros = 200_000;
/// Unix time at which models begin.
const BEGIN: Micros = 1_700_000_000 * SECOND;

#[derive(Clone, Debug)]
pub struct Network {
    /// Share of datagrams lost, doubled, and cut short or garbled.
    pub loss: f64,
    pub doubled: f64,
    pub garbled: f64,
    /// Least time on the way, and what chance adds to it at most.
    pub delay: Micros,
    pub jitter: Micros,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            loss: 0.0,
            doubled: 0.0,
            garbled: 0.0,
            delay: 500,
            jitter: 2000,
        }
    }
}

/// What a model of a protocol has to do, so that baselines run on the same network.
pub trait Peer {
    fn hear(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Action>);
    fn tick(&mut self, now: Micros, out: &mut Vec<Action>);
    fn next(&self) -> Micros;
    /// Names of those held to be there, but for itself, and of those held to be dead.
    fn here(&self) -> Vec<&str>;
    fn holds(&self, name: &str) -> bool;
    fn sent_bytes(&self) -> u64;
    fn unstreamed(&mut self, _: Micros, _: SocketAddr) {}
}

impl Peer for View {
    fn hear(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Action>) {
        View::receive(self, now, bytes, out);
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        View::handle_timeout(self, now, out);
    }

    fn next(&self) -> Micros {
        View::next_timeout(self)
    }

    fn here(&self) -> Vec<&str> {
        self.members()
            .filter(|(_, m)| m.claim.state.is_present())
            .map(|(name, _)| name)
            .collect()
    }

    fn holds(&self, name: &str) -> bool {
        self.member(name)
            .is_some_and(|m| m.claim.state.is_present())
    }

    fn sent_bytes(&self) -> u64 {
        self.counters.bytes_sent
    }

    fn unstreamed(&mut self, now: Micros, to: SocketAddr) {
        View::stream_failed(self, now, to);
    }
}

/// One that a peer believed of another.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Micros,
    pub by: usize,
    pub change: Change,
}

struct Node<P> {
    peer: Option<P>,
    start: u64,
    /// Stopped until then: it hears nothing till then, and all at once after.
    paused: Micros,
    kept: Vec<Vec<u8>>,
    armed: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Tick(usize, u64),
    Arrive(usize, Vec<u8>),
    Resume(usize),
    Unstreamed(usize, usize),
}

pub type Make<P> = Box<dyn Fn(&Config, usize, u64, Micros) -> P>;

#[derive(Clone, Debug)]
pub struct Config {
    pub period: Micros,
    pub seed: u64,
    pub contacts: usize,
    pub remember: Micros,
    pub many: usize,
    pub bytes_per_s: u64,
    pub own_health: bool,
    pub streams: bool,
}

impl Config {
    pub fn new(many: usize, seed: u64) -> Config {
        Config {
            period: SECOND,
            seed,
            contacts: 3,
            remember: 600 * SECOND,
            many,
            bytes_per_s: 4000,
            own_health: true,
            streams: true,
        }
    }
}

pub struct Fleet<P> {
    pub config: Config,
    pub network: Network,
    pub now: Micros,
    nodes: Vec<Node<P>>,
    make: Make<P>,
    queue: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    serial: u64,
    rng: fastrand::Rng,
    /// Which side of a split each is on, while there is one.
    sides: Option<Vec<u8>>,
    /// Ordered pairs between which nothing arrives.
    pub cut: BTreeMap<(usize, usize), ()>,
    pub seen: Vec<Seen>,
    pub datagrams: u64,
}

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
    /// Views as they are shipped.
    pub fn views(config: Config) -> Fleet<View> {
        let make = |config: &Config, n: usize, start: u64, now: Micros| {
            let mut plan = FleetSettings::new(address(n));
            plan.probe_period = config.period;
            plan.contacts = (0..config.contacts.min(config.many)).map(address).collect();
            plan.departed_retention = config.remember;
            plan.bytes_per_second = config.bytes_per_s;
            plan.local_health = config.own_health;
            plan.use_streams = config.streams;
            plan.zone = format!("zone-{}", n % 4);
            let me = MemberIdentity {
                name: proxy_name(n),
                version: "0.1.0".into(),
                start,
            };
            View::new(plan, me, now, config.seed ^ start)
        };
        Fleet::new(config, Box::new(make))
    }

    /// Whether all that run agree on who is there, and that is who runs.
    pub fn settled(&self) -> bool {
        let mut digests = self
            .nodes
            .iter()
            .filter_map(|n| n.peer.as_ref())
            .map(View::digest);
        let first = digests.next();
        digests.all(|d| Some(d) == first) && self.right()
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
        self.carry(n, out);
    }
}

impl<P: Peer> Fleet<P> {
    pub fn new(config: Config, make: Make<P>) -> Fleet<P> {
        let nodes = (0..config.many)
            .map(|_| Node {
                peer: None,
                start: 0,
                paused: 0,
                kept: Vec::new(),
                armed: 0,
            })
            .collect();
        Fleet {
            network: Network::default(),
            now: BEGIN,
            nodes,
            make,
            queue: BinaryHeap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(config.seed),
            sides: None,
            cut: BTreeMap::new(),
            seen: Vec::new(),
            datagrams: 0,
            config,
        }
    }

    fn at(&mut self, at: Micros, next: Next) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, next)));
    }

    pub fn start(&mut self, n: usize) {
        self.start_as(n, self.now as u64);
    }

    pub fn start_as(&mut self, n: usize, start: u64) {
        let peer = (self.make)(&self.config, n, start, self.now);
        self.nodes[n] = Node {
            peer: Some(peer),
            start,
            paused: 0,
            kept: Vec::new(),
            armed: 0,
        };
        self.arm(n);
    }

    pub fn start_all(&mut self) {
        (0..self.config.many).for_each(|n| self.start(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].peer = None;
    }

    pub fn runs(&self, n: usize) -> bool {
        self.nodes[n].peer.is_some()
    }

    pub fn pause(&mut self, n: usize, span: Micros) {
        let until = self.now + span;
        self.nodes[n].paused = until;
        self.at(until, Next::Resume(n));
    }

    pub fn split(&mut self, side: impl Fn(usize) -> u8) {
        self.sides = Some((0..self.config.many).map(side).collect());
    }

    pub fn heal(&mut self) {
        self.sides = None;
        self.cut.clear();
    }

    fn arm(&mut self, n: usize) {
        let Some(peer) = &self.nodes[n].peer else {
            return;
        };
        let at = peer.next().max(self.now);
        if self.nodes[n].armed != at {
            self.nodes[n].armed = at;
            let start = self.nodes[n].start;
            self.at(at, Next::Tick(n, start));
        }
    }

    fn carry(&mut self, n: usize, out: Vec<Action>) {
        for act in out {
            match act {
                Action::Notify(change) => self.seen.push(Seen {
                    at: self.now,
                    by: n,
                    change,
                }),
                Action::SendDatagram { to, bytes } => self.post(n, number(to), bytes),
                Action::SendStream { to, bytes } => self.stream(n, number(to), bytes),
            }
        }
        self.arm(n);
    }

    fn post(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        self.datagrams += 1;
        let apart = self
            .sides
            .as_ref()
            .is_some_and(|s| s.get(from) != s.get(to));
        if to >= self.nodes.len()
            || apart
            || self.cut.contains_key(&(from, to))
            || self.rng.f64() < self.network.loss
        {
            return;
        }
        if self.rng.f64() < self.network.garbled {
            let at = self.rng.usize(0..bytes.len());
            bytes[at] ^= 1 << self.rng.u8(0..8);
            bytes.truncate(self.rng.usize(1..=bytes.len()));
        }
        let many = if self.rng.f64() < self.network.doubled {
            2
        } else {
            1
        };
        for _ in 0..many {
            let at = self.now + self.network.delay + self.rng.i64(0..=self.network.jitter);
            self.at(at, Next::Arrive(to, bytes.clone()));
        }
    }

    /// A stream brings all or nothing: what is lost is sent again, later each time; to one that is not there it does
    /// not come up, and where nothing passes it fails after a while.
    fn stream(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.datagrams += 1;
        let apart = self
            .sides
            .as_ref()
            .is_some_and(|s| s.get(from) != s.get(to));
        let cut = self.cut.contains_key(&(from, to)) || self.cut.contains_key(&(to, from));
        if to >= self.nodes.len() || apart || cut || self.nodes[to].peer.is_none() {
            let at = self.now + self.config.period;
            return self.at(at, Next::Unstreamed(from, to));
        }
        let trips = 4 * (self.network.delay + self.network.jitter);
        let mut at = self.now + trips;
        while self.rng.f64() < self.network.loss {
            at += RETRANSMIT;
        }
        self.at(at, Next::Arrive(to, bytes));
    }

    fn arrive(&mut self, n: usize, bytes: Vec<u8>) {
        let now = self.now;
        if now < self.nodes[n].paused {
            if self.nodes[n].kept.len() < 256 {
                self.nodes[n].kept.push(bytes);
            }
            return;
        }
        let mut out = Vec::new();
        if let Some(peer) = &mut self.nodes[n].peer {
            peer.hear(now, &bytes, &mut out);
        }
        self.carry(n, out);
    }

    pub fn run(&mut self, span: Micros) {
        self.run_until(self.now + span, |_| false);
    }

    /// Runs so long, or until that holds; looked at every twentieth of a period. When it did.
    pub fn run_until(&mut self, end: Micros, done: impl Fn(&Self) -> bool) -> Option<Micros> {
        let mut look = self.now;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            let at = *at;
            if at > end {
                break;
            }
            while look <= at {
                if done(self) {
                    return Some(self.now);
                }
                look += self.config.period / 20;
            }
            let Some(Reverse((_, _, next))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            match next {
                Next::Arrive(n, bytes) => self.arrive(n, bytes),
                Next::Resume(n) => {
                    // The loop takes up what lies in its socket, then its timers, as the program's does.
                    let kept = std::mem::take(&mut self.nodes[n].kept);
                    self.tick(n);
                    kept.into_iter().for_each(|bytes| self.arrive(n, bytes));
                }
                Next::Unstreamed(from, to) => {
                    if let Some(peer) = &mut self.nodes[from].peer {
                        peer.unstreamed(self.now, address(to));
                    }
                }
                Next::Tick(n, start) => {
                    if self.nodes[n].start == start
                        && self.nodes[n].armed == at
                        && at >= self.nodes[n].paused
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
        self.nodes[n].armed = 0;
        let mut out = Vec::new();
        if let Some(peer) = &mut self.nodes[n].peer {
            peer.tick(now, &mut out);
        }
        self.carry(n, out);
    }

    /// Whether each that runs holds exactly those that run, and it can reach, to be there.
    pub fn right(&self) -> bool {
        let side = |n: usize| self.sides.as_ref().map_or(0, |s| s[n]);
        let runs: Vec<(usize, String)> = (0..self.nodes.len())
            .filter(|n| self.runs(*n))
            .map(|n| (n, proxy_name(n)))
            .collect();
        runs.iter().all(|(n, _)| {
            let Some(peer) = &self.nodes[*n].peer else {
                return true;
            };
            let mut here = peer.here();
            here.sort_unstable();
            let mut want: Vec<&str> = runs
                .iter()
                .filter(|(m, _)| m != n && side(*m) == side(*n))
                .map(|(_, name)| name.as_str())
                .collect();
            want.sort_unstable();
            here == want
        })
    }

    /// Whether none that runs holds this one to be there.
    pub fn gone(&self, n: usize) -> bool {
        let gone = proxy_name(n);
        self.nodes
            .iter()
            .filter_map(|node| node.peer.as_ref())
            .all(|peer| !peer.holds(&gone))
    }

    pub fn bytes(&self) -> u64 {
        self.nodes
            .iter()
            .filter_map(|n| n.peer.as_ref())
            .map(Peer::sent_bytes)
            .sum()
    }

    /// Who was called dead since then while it ran, and by whom.
    pub fn called_dead(&self, since: Micros) -> Vec<(String, usize, Micros)> {
        let dead = self
            .seen
            .iter()
            .filter(|s| s.at >= since)
            .filter_map(|s| match &s.change {
                Change::MemberChanged {
                    name,
                    to: MemberState::Dead,
                    ..
                } => Some((name.clone(), s.by, s.at - since)),
                _ => None,
            });
        dead.collect()
    }
}
