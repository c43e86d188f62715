//! Plain protocols beside which the view is measured, on the same network.

use crate::model::{address, Config, Peer};
use meadowrill_membership::claim::{refute, Claim, MemberState};
use meadowrill_membership::view::{Action, Change, ClaimSource};
use meadowrill_membership::wire::{
    self, Packet, Payload, Ping, PingRequest, Record, SequenceNumber,
};
use meadowrill_membership::Micros;
use std::collections::BTreeMap;

/// Heartbeats to all: each tells each other once a period that it is there, and is dead after five missed ones.
pub struct Heartbeats {
    me: usize,
    many: usize,
    period: Micros,
    at: Micros,
    heard: BTreeMap<usize, Micros>,
    names: Vec<String>,
    sent: u64,
}

const MISSED: Micros = 5;
/// As large as a ping of the view.
const LENGTH: usize = 70;

impl Heartbeats {
    pub fn new(config: &Config, me: usize, now: Micros) -> Heartbeats {
        let names = (0..config.many).map(crate::proxy_name).collect();
        // Those that start together do not all speak at once.
        let at = now + config.period * me as Micros / config.many as Micros;
        Heartbeats {
            me,
            many: config.many,
            period: config.period,
            at,
            heard: BTreeMap::new(),
            names,
            sent: 0,
        }
    }
}

impl Peer for Heartbeats {
    fn hear(&mut self, now: Micros, bytes: &[u8], _: &mut Vec<Action>) {
        if let Some(from) = bytes
            .first_chunk::<4>()
            .map(|b| u32::from_le_bytes(*b) as usize)
        {
            if from < self.many && bytes.len() == LENGTH {
                self.heard.insert(from, now);
            }
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.at {
            return;
        }
        self.at = now + self.period;
        self.heard.retain(|_, at| now - *at < MISSED * self.period);
        let mut bytes = vec![0; LENGTH];
        bytes[..4].copy_from_slice(&(self.me as u32).to_le_bytes());
        for to in (0..self.many).filter(|to| *to != self.me) {
            self.sent += LENGTH as u64;
            out.push(Action::SendDatagram {
                to: address(to),
                bytes: bytes.clone(),
            });
        }
    }

    fn next(&self) -> Micros {
        self.at
    }

    fn here(&self) -> Vec<&str> {
        self.heard.keys().map(|n| self.names[*n].as_str()).collect()
    }

    fn holds(&self, name: &str) -> bool {
        self.here().contains(&name)
    }

    fn sent_bytes(&self) -> u64 {
        self.sent
    }
}

/// SWIM as published (Das, Gupta, Motivala 2002, with suspicion): a random order of targets, three helpers, a fixed wait,
/// news on pings and acks. Each knows all others from the start; nothing doubts itself, nothing is compared.
pub struct Swim {
    me: usize,
    names: Vec<String>,
    period: Micros,
    wait: Micros,
    tells: u32,
    at: Micros,
    order: Vec<usize>,
    incarnation: u64,
    claims: Vec<(Claim, Micros)>,
    news: BTreeMap<usize, u32>,
    /// The open probe: its number, target, when others are asked, and when it has failed.
    probe: Option<(u64, usize, Micros, Micros)>,
    errands: BTreeMap<u64, (u64, usize)>,
    seq: u64,
    rng: fastrand::Rng,
    sent: u64,
}

/// Suspected for so many periods times the logarithm of the fleet's size; news told that often as well, as in the paper.
const SUSPECTED: f64 = 3.0;
const NEWS: usize = 20;

impl Swim {
    pub fn new(config: &Config, me: usize, now: Micros, seed: u64) -> Swim {
        let mut rng = fastrand::Rng::with_seed(seed ^ me as u64);
        let log = (config.many as f64).log10().max(1.0);
        Swim {
            me,
            names: (0..config.many).map(crate::proxy_name).collect(),
            period: config.period,
            wait: (SUSPECTED * log * config.period as f64) as Micros,
            tells: (SUSPECTED * (config.many as f64).log2()) as u32,
            at: now + rng.i64(0..config.period),
            order: Vec::new(),
            incarnation: 0,
            claims: vec![(Claim::alive(1), now); config.many],
            news: BTreeMap::new(),
            probe: None,
            errands: BTreeMap::new(),
            seq: 0,
            rng,
            sent: 0,
        }
    }

    fn send(&mut self, to: usize, said: Payload, out: &mut Vec<Action>) {
        let mut told: Vec<(u32, usize)> = self.news.iter().map(|(n, left)| (*left, *n)).collect();
        told.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        let mut records = Vec::new();
        for (_, n) in told.into_iter().take(NEWS) {
            let claim = if n == self.me {
                self.own()
            } else {
                self.claims[n].0
            };
            let (start, incarnation, state) = (claim.start, claim.incarnation, claim.state as u32);
            records.push(Record {
                name: self.names[n].clone(),
                start,
                incarnation,
                state,
                ..Record::default()
            });
            if let Some(left) = self.news.get_mut(&n) {
                *left -= 1;
            }
        }
        self.news.retain(|_, left| *left > 0);
        let from = self.names[self.me].clone();
        let packet = Packet {
            sender: from,
            payload: Some(said),
            records,
            ..Packet::default()
        };
        let mut bytes = Vec::new();
        wire::encode(&packet, &mut bytes);
        self.sent += bytes.len() as u64;
        out.push(Action::SendDatagram {
            to: address(to),
            bytes,
        });
    }

    fn own(&self) -> Claim {
        Claim {
            incarnation: self.incarnation,
            ..Claim::alive(1)
        }
    }

    fn number(&self, name: &str) -> Option<usize> {
        name.strip_prefix("front-")?
            .parse()
            .ok()
            .filter(|n| *n < self.claims.len())
    }

    fn take(&mut self, n: usize, claim: Claim, now: Micros, out: &mut Vec<Action>) {
        if n == self.me {
            if let Some(own) = refute(self.own(), claim) {
                self.incarnation = own.incarnation;
                self.news.insert(n, self.tells);
            }
            return;
        }
        let former = self.claims[n].0;
        if claim.supersedes(&former) {
            self.claims[n] = (claim, now);
            self.news.insert(n, self.tells);
            let (from, to) = (Some(former.state), claim.state);
            let (name, by) = (self.names[n].clone(), String::new());
            let (start, incarnation) = (claim.start, claim.incarnation);
            out.push(Action::Notify(Change::MemberChanged {
                name,
                from,
                to,
                start,
                incarnation,
                source: ClaimSource::Rumor,
                accuser: by,
            }));
        }
    }
}

impl Peer for Swim {
    fn hear(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Action>) {
        let Ok(packet) = wire::decode(bytes, 0) else {
            return;
        };
        let Some(from) = self.number(&packet.sender) else {
            return;
        };
        for record in &packet.records {
            if let (Some(n), Some(claim)) = (self.number(&record.name), record.claim()) {
                self.take(n, claim, now, out);
            }
        }
        match packet.payload {
            Some(Payload::Ping(ping)) => self.send(
                from,
                Payload::Ack(SequenceNumber {
                    sequence: ping.sequence,
                }),
                out,
            ),
            Some(Payload::Ack(SequenceNumber { sequence: seq })) => {
                if let Some((back, to)) = self.errands.remove(&seq) {
                    self.send(to, Payload::Ack(SequenceNumber { sequence: back }), out);
                } else if self.probe.is_some_and(|(open, ..)| open == seq) {
                    self.probe = None;
                }
            }
            Some(Payload::PingRequest(ask)) => {
                if let Some(target) = self.number(&ask.target) {
                    self.seq += 1;
                    self.errands.insert(self.seq, (ask.sequence, from));
                    self.errands.retain(|seq, _| seq + 1000 > self.seq);
                    self.send(
                        target,
                        Payload::Ping(Ping {
                            sequence: self.seq,
                            target: ask.target,
                        }),
                        out,
                    );
                }
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if let Some((seq, target, ask, end)) = self.probe {
            if now >= end {
                self.probe = None;
                let claim = self.claims[target].0.with_state(MemberState::Suspected);
                self.take(target, claim, now, out);
            } else if now >= ask && ask > 0 {
                self.probe = Some((seq, target, 0, end));
                for _ in 0..3 {
                    let helper = self.rng.usize(0..self.claims.len());
                    if helper != self.me && self.claims[helper].0.state.is_present() {
                        let target = self.names[target].clone();
                        self.send(
                            helper,
                            Payload::PingRequest(PingRequest {
                                sequence: seq,
                                target,
                                address: String::new(),
                            }),
                            out,
                        );
                    }
                }
            }
        }
        let over = |(claim, at): &(Claim, Micros)| {
            claim.state == MemberState::Suspected && now - at >= self.wait
        };
        let over: Vec<usize> = (0..self.claims.len())
            .filter(|n| over(&self.claims[*n]))
            .collect();
        for n in over {
            self.take(n, self.claims[n].0.with_state(MemberState::Dead), now, out);
        }
        if now >= self.at {
            self.at = now + self.period;
            self.order.retain(|n| self.claims[*n].0.state.is_present());
            if self.order.is_empty() {
                let here = |n: &usize| *n != self.me && self.claims[*n].0.state.is_present();
                self.order = (0..self.claims.len()).filter(here).collect();
                self.rng.shuffle(&mut self.order);
            }
            if let Some(target) = self.order.pop().filter(|_| self.probe.is_none()) {
                self.seq += 1;
                let third = self.period / 3;
                self.probe = Some((self.seq, target, now + third, now + self.period - 1));
                self.send(
                    target,
                    Payload::Ping(Ping {
                        sequence: self.seq,
                        target: String::new(),
                    }),
                    out,
                );
            }
        }
    }

    fn next(&self) -> Micros {
        self.probe.map_or(self.at, |(_, _, ask, end)| {
            self.at.min(if ask > 0 { ask } else { end })
        })
    }

    fn here(&self) -> Vec<&str> {
        let here = |n: &usize| *n != self.me && self.claims[*n].0.state.is_present();
        (0..self.claims.len())
            .filter(here)
            .map(|n| self.names[n].as_str())
            .collect()
    }

    fn holds(&self, name: &str) -> bool {
        self.number(name)
            .is_some_and(|n| n != self.me && self.claims[n].0.state.is_present())
    }

    fn sent_bytes(&self) -> u64 {
        self.sent
    }
}
