//! One member of the simulated network, and what comes to it.

use super::checks::Known;
use meadowrill_event_distribution::event::LogPosition;
use meadowrill_event_distribution::output::{Notice, Output};
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::relay::Relay;
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::Micros;
use std::collections::VecDeque;

/// Datagrams that wait for a member that is stopped or slow, as in the buffer of a socket. More are lost.
const WAITING_MOST: usize = 256;

pub(crate) enum Member {
    Publisher(Box<Publisher>),
    Relay(Box<Relay>),
    Subscriber(Box<Subscriber>),
}

impl Member {
    pub(crate) fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        match self {
            Member::Publisher(publisher) => publisher.receive(now, bytes, out),
            Member::Relay(relay) => relay.receive(now, bytes, out),
            Member::Subscriber(subscriber) => subscriber.receive(now, bytes, out),
        }
    }

    pub(crate) fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        match self {
            Member::Publisher(publisher) => publisher.tick(now, out),
            Member::Relay(relay) => relay.tick(now, out),
            Member::Subscriber(subscriber) => subscriber.tick(now, out),
        }
    }

    pub(crate) fn next_wake(&self) -> Micros {
        match self {
            Member::Publisher(publisher) => publisher.next_wake(),
            Member::Relay(relay) => relay.next_wake(),
            Member::Subscriber(subscriber) => subscriber.next_wake(),
        }
    }
}

#[derive(Default)]
pub(crate) struct Node {
    pub member: Option<Member>,
    pub paused: bool,
    /// Its clock runs so much faster, in parts per million, and is so far ahead.
    pub drift_ppm: i64,
    pub clock_offset: Micros,
    /// It reads no more datagrams than this in one step, where that is set.
    pub max_reads: Option<usize>,
    /// Purges that it has applied since its start.
    pub known: Known,
    /// The position that it had last.
    pub position: Option<LogPosition>,
    pub notices: Vec<Notice>,
    pub waiting: VecDeque<Vec<u8>>,
}

impl Node {
    pub(crate) fn put(&mut self, bytes: Vec<u8>) {
        if self.waiting.len() < WAITING_MOST {
            self.waiting.push_back(bytes);
        }
    }

    /// Drops what it knows and what waits for it.
    pub(crate) fn clear(&mut self) {
        self.known = Known::default();
        self.position = None;
        self.waiting.clear();
    }

    pub(crate) fn subscriber(&self) -> Option<&Subscriber> {
        match &self.member {
            Some(Member::Subscriber(subscriber)) => Some(subscriber),
            _ => None,
        }
    }
}
