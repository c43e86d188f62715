//! Plain protocols beside which the view is measured, on the same network.

use crate::model::{address, Config, Peer};
use meadowrill_members::view::Act;
use meadowrill_members::Micros;
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
        let names = (0..config.many).map(crate::name).collect();
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
    fn hear(&mut self, now: Micros, bytes: &[u8], _: &mut Vec<Act>) {
        if let Some(from) = bytes.first_chunk::<4>().map(|b| u32::from_le_bytes(*b) as usize) {
            if from < self.many && bytes.len() == LENGTH {
                self.heard.insert(from, now);
            }
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Act>) {
        if now < self.at {
            return;
        }
        self.at = now + self.period;
        self.heard.retain(|_, at| now - *at < MISSED * self.period);
        let mut bytes = vec![0; LENGTH];
        bytes[..4].copy_from_slice(&(self.me as u32).to_le_bytes());
        for to in (0..self.many).filter(|to| *to != self.me) {
            self.sent += LENGTH as u64;
            out.push(Act::Send { to: address(to), bytes: bytes.clone() });
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
