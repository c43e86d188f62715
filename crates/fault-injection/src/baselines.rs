//! Baseline protocols with which the membership view is compared on the same network.

use crate::model::{address, Config, MembershipProtocol};
use meadowrill_membership::claim::{refute, Claim, MemberState};
use meadowrill_membership::view::{Action, Change, ClaimSource};
use meadowrill_membership::wire::{
    self, Packet, Payload, Ping, PingRequest, Record, SequenceNumber,
};
use meadowrill_membership::Micros;
use std::collections::BTreeMap;

/// All-to-all heartbeats: each member sends one to every other member once per period, and is considered dead after
/// five missed ones.
pub struct Heartbeats {
    own_number: usize,
    proxies: usize,
    period: Micros,
    next_send: Micros,
    last_received: BTreeMap<usize, Micros>,
    names: Vec<String>,
    sent_bytes: u64,
}

/// Missed heartbeats after which a member is considered dead.
const MISSED_HEARTBEATS: Micros = 5;
/// The size of a ping of the membership view.
const HEARTBEAT_BYTES: usize = 70;

impl Heartbeats {
    pub fn new(config: &Config, own_number: usize, now: Micros) -> Heartbeats {
        let names = (0..config.proxies).map(crate::proxy_name).collect();
        // Spreads the heartbeats of members that start together over the period.
        let next_send = now + config.period * own_number as Micros / config.proxies as Micros;
        Heartbeats {
            own_number,
            proxies: config.proxies,
            period: config.period,
            next_send,
            last_received: BTreeMap::new(),
            names,
            sent_bytes: 0,
        }
    }
}

impl MembershipProtocol for Heartbeats {
    fn receive(&mut self, now: Micros, bytes: &[u8], _: &mut Vec<Action>) {
        if let Some(from) = bytes
            .first_chunk::<4>()
            .map(|b| u32::from_le_bytes(*b) as usize)
        {
            if from < self.proxies && bytes.len() == HEARTBEAT_BYTES {
                self.last_received.insert(from, now);
            }
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.next_send {
            return;
        }
        self.next_send = now + self.period;
        self.last_received
            .retain(|_, at| now - *at < MISSED_HEARTBEATS * self.period);
        let mut bytes = vec![0; HEARTBEAT_BYTES];
        bytes[..4].copy_from_slice(&(self.own_number as u32).to_le_bytes());
        for to in (0..self.proxies).filter(|to| *to != self.own_number) {
            self.sent_bytes += HEARTBEAT_BYTES as u64;
            out.push(Action::SendDatagram {
                to: address(to),
                bytes: bytes.clone(),
            });
        }
    }

    fn next_timeout(&self) -> Micros {
        self.next_send
    }

    fn present_members(&self) -> Vec<&str> {
        self.last_received
            .keys()
            .map(|n| self.names[*n].as_str())
            .collect()
    }

    fn considers_present(&self, name: &str) -> bool {
        self.present_members().contains(&name)
    }

    fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }
}

/// SWIM as published (Das, Gupta, Motivala 2002, with suspicion): a random order of targets, indirect probes through
/// three helpers, a fixed suspicion timeout, and rumors piggybacked on pings and acks. Each member knows all others
/// from the start; there is no local health and no anti-entropy.
pub struct Swim {
    own_number: usize,
    names: Vec<String>,
    period: Micros,
    suspicion_timeout: Micros,
    transmissions: u32,
    next_send: Micros,
    target_order: Vec<usize>,
    incarnation: u64,
    claims: Vec<(Claim, Micros)>,
    rumors: BTreeMap<usize, u32>,
    /// The open probe: its sequence number and target, when indirect probes are requested, and when it has failed.
    probe: Option<(u64, usize, Micros, Micros)>,
    relayed_probes: BTreeMap<u64, (u64, usize)>,
    sequence: u64,
    rng: fastrand::Rng,
    sent_bytes: u64,
}

/// Multiplied by a logarithm of the fleet size, it gives the suspicion timeout in periods (decimal logarithm) and the
/// number of transmissions of a rumor (binary logarithm), as in the paper.
const SUSPICION_FACTOR: f64 = 3.0;
const MAX_RUMORS_PER_PACKET: usize = 20;

impl Swim {
    pub fn new(config: &Config, own_number: usize, now: Micros, seed: u64) -> Swim {
        let mut rng = fastrand::Rng::with_seed(seed ^ own_number as u64);
        let log = (config.proxies as f64).log10().max(1.0);
        Swim {
            own_number,
            names: (0..config.proxies).map(crate::proxy_name).collect(),
            period: config.period,
            suspicion_timeout: (SUSPICION_FACTOR * log * config.period as f64) as Micros,
            transmissions: (SUSPICION_FACTOR * (config.proxies as f64).log2()) as u32,
            next_send: now + rng.i64(0..config.period),
            target_order: Vec::new(),
            incarnation: 0,
            claims: vec![(Claim::alive(1), now); config.proxies],
            rumors: BTreeMap::new(),
            probe: None,
            relayed_probes: BTreeMap::new(),
            sequence: 0,
            rng,
            sent_bytes: 0,
        }
    }

    fn send(&mut self, to: usize, payload: Payload, out: &mut Vec<Action>) {
        let mut pending: Vec<(u32, usize)> =
            self.rumors.iter().map(|(n, left)| (*left, *n)).collect();
        pending.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        let mut records = Vec::new();
        for (_, n) in pending.into_iter().take(MAX_RUMORS_PER_PACKET) {
            let claim = if n == self.own_number {
                self.own_claim()
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
            if let Some(left) = self.rumors.get_mut(&n) {
                *left -= 1;
            }
        }
        self.rumors.retain(|_, left| *left > 0);
        let from = self.names[self.own_number].clone();
        let packet = Packet {
            sender: from,
            payload: Some(payload),
            records,
            ..Packet::default()
        };
        let mut bytes = Vec::new();
        wire::encode(&packet, &mut bytes);
        self.sent_bytes += bytes.len() as u64;
        out.push(Action::SendDatagram {
            to: address(to),
            bytes,
        });
    }

    fn own_claim(&self) -> Claim {
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

    fn apply_claim(&mut self, n: usize, claim: Claim, now: Micros, out: &mut Vec<Action>) {
        if n == self.own_number {
            if let Some(own) = refute(self.own_claim(), claim) {
                self.incarnation = own.incarnation;
                self.rumors.insert(n, self.transmissions);
            }
            return;
        }
        let former = self.claims[n].0;
        if claim.supersedes(&former) {
            self.claims[n] = (claim, now);
            self.rumors.insert(n, self.transmissions);
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

impl MembershipProtocol for Swim {
    fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Action>) {
        let Ok(packet) = wire::decode(bytes, 0) else {
            return;
        };
        let Some(from) = self.number(&packet.sender) else {
            return;
        };
        for record in &packet.records {
            if let (Some(n), Some(claim)) = (self.number(&record.name), record.claim()) {
                self.apply_claim(n, claim, now, out);
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
            Some(Payload::Ack(SequenceNumber { sequence })) => {
                if let Some((original, to)) = self.relayed_probes.remove(&sequence) {
                    self.send(to, Payload::Ack(SequenceNumber { sequence: original }), out);
                } else if self.probe.is_some_and(|(open, ..)| open == sequence) {
                    self.probe = None;
                }
            }
            Some(Payload::PingRequest(request)) => {
                if let Some(target) = self.number(&request.target) {
                    self.sequence += 1;
                    self.relayed_probes
                        .insert(self.sequence, (request.sequence, from));
                    self.relayed_probes
                        .retain(|sequence, _| sequence + 1000 > self.sequence);
                    self.send(
                        target,
                        Payload::Ping(Ping {
                            sequence: self.sequence,
                            target: request.target,
                        }),
                        out,
                    );
                }
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if let Some((sequence, target, relay_after, deadline)) = self.probe {
            if now >= deadline {
                self.probe = None;
                let claim = self.claims[target].0.with_state(MemberState::Suspected);
                self.apply_claim(target, claim, now, out);
            } else if now >= relay_after && relay_after > 0 {
                self.probe = Some((sequence, target, 0, deadline));
                for _ in 0..3 {
                    let helper = self.rng.usize(0..self.claims.len());
                    if helper != self.own_number && self.claims[helper].0.state.is_present() {
                        let target = self.names[target].clone();
                        self.send(
                            helper,
                            Payload::PingRequest(PingRequest {
                                sequence,
                                target,
                                address: String::new(),
                            }),
                            out,
                        );
                    }
                }
            }
        }
        let expired = |(claim, at): &(Claim, Micros)| {
            claim.state == MemberState::Suspected && now - at >= self.suspicion_timeout
        };
        let expired: Vec<usize> = (0..self.claims.len())
            .filter(|n| expired(&self.claims[*n]))
            .collect();
        for n in expired {
            self.apply_claim(n, self.claims[n].0.with_state(MemberState::Dead), now, out);
        }
        if now >= self.next_send {
            self.next_send = now + self.period;
            self.target_order
                .retain(|n| self.claims[*n].0.state.is_present());
            if self.target_order.is_empty() {
                let is_present =
                    |n: &usize| *n != self.own_number && self.claims[*n].0.state.is_present();
                self.target_order = (0..self.claims.len()).filter(is_present).collect();
                self.rng.shuffle(&mut self.target_order);
            }
            if let Some(target) = self.target_order.pop().filter(|_| self.probe.is_none()) {
                self.sequence += 1;
                let third = self.period / 3;
                self.probe = Some((self.sequence, target, now + third, now + self.period - 1));
                self.send(
                    target,
                    Payload::Ping(Ping {
                        sequence: self.sequence,
                        target: String::new(),
                    }),
                    out,
                );
            }
        }
    }

    fn next_timeout(&self) -> Micros {
        self.probe
            .map_or(self.next_send, |(_, _, relay_after, deadline)| {
                self.next_send.min(if relay_after > 0 {
                    relay_after
                } else {
                    deadline
                })
            })
    }

    fn present_members(&self) -> Vec<&str> {
        let is_present = |n: &usize| *n != self.own_number && self.claims[*n].0.state.is_present();
        (0..self.claims.len())
            .filter(is_present)
            .map(|n| self.names[n].as_str())
            .collect()
    }

    fn considers_present(&self, name: &str) -> bool {
        self.number(name)
            .is_some_and(|n| n != self.own_number && self.claims[n].0.state.is_present())
    }

    fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }
}
