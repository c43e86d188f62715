//! One member of the simulated network, and the datagrams that wait for it.

use super::checks::Known;
use meadowrill_event_distribution::event::LogPosition;
use meadowrill_event_distribution::output::{Notice, Output};
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::relay::Relay;
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::Micros;
use std::collections::VecDeque;

/// Maximum number of datagrams that wait for a paused or slow member, as in the buffer of a socket. Further ones are
/// dropped.
const MAX_WAITING_DATAGRAMS: usize = 256;

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
    pub is_paused: bool,
    /// How much faster the node's clock runs, in parts per million.
    pub drift_ppm: i64,
    /// How far the node's clock is ahead.
    pub clock_offset: Micros,
    /// Maximum number of datagrams that the node reads per step, if it is limited.
    pub max_reads: Option<usize>,
    /// Purges that the node has applied since its start.
    pub known: Known,
    /// The last position of the subscriber.
    pub position: Option<LogPosition>,
    pub notices: Vec<Notice>,
    pub waiting: VecDeque<Vec<u8>>,
}

impl Node {
    pub(crate) fn enqueue(&mut self, bytes: Vec<u8>) {
        if self.waiting.len() < MAX_WAITING_DATAGRAMS {
            self.waiting.push_back(bytes);
        }
    }

    /// Removes the state of a former start, including the datagrams that wait.
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
