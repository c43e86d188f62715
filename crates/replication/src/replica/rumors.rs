//! Rumor dissemination: an update to an urgent record or a claim is sent to a few random proxies in each of a limited
//! number of rounds.
//!
//! Invariant: each queued key has rounds left, and is in the queue once.

use super::send::{encoded_size, MAX_STREAM_RECORD_BYTES};
use super::{Action, Replica, BATCH_DELAY};
use crate::map::Map;
use crate::mutant;
use crate::record::Key;
use crate::record_type::Tree;
use crate::wire::{Body, Record};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Number of proxies to which each round is sent.
const FANOUT: usize = 3;
/// Number of rounds in which an update is sent, for each doubling of the fleet's size.
const ROUNDS_PER_DOUBLING: u32 = 1;
/// Maximum number of queued updates. Further updates spread by anti-entropy only.
const MAX_QUEUED: usize = 20_000;

/// Queued updates, in the order in which they were queued or last taken for a round.
#[derive(Clone, Debug, Default)]
pub(super) struct RumorQueue {
    queue: VecDeque<Key>,
    /// Number of rounds in which each update is still to be sent.
    rounds_left: BTreeMap<Key, u32>,
    next_round_at: Option<Micros>,
}

impl RumorQueue {
    /// Number of queued updates.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// When the next round is due.
    pub(super) fn next_round_at(&self) -> Option<Micros> {
        self.next_round_at
    }

    fn push(&mut self, key: Key, rounds: u32, send_at: Micros) {
        if self.rounds_left.insert(key.clone(), rounds).is_none() {
            if self.queue.len() >= MAX_QUEUED {
                self.rounds_left.remove(&key);
                return;
            }
            self.queue.push_back(key);
        }
        let next = self
            .next_round_at
            .map_or(send_at, |former| former.min(send_at));
        self.next_round_at = Some(next);
    }

    /// Takes the records of the next round, as many as fit into one message on a stream.
    fn take_round(&mut self, map: &Map) -> Vec<Record> {
        let (mut round, mut size, mut requeued) = (Vec::new(), 0, Vec::new());
        while let Some(key) = self.queue.pop_front() {
            if !self.rounds_left.contains_key(&key) {
                continue;
            }
            let Some(record) = map.record(&key) else {
                self.rounds_left.remove(&key);
                continue;
            };
            let added = encoded_size(&record);
            if size + added > MAX_STREAM_RECORD_BYTES && !round.is_empty() {
                requeued.push(key);
                break;
            }
            size += added;
            round.push(record);
            if self.finish_round(&key) {
                requeued.push(key);
            }
        }
        self.queue.extend(requeued);
        round
    }

    /// Counts a round of an update. Returns whether the update has rounds left.
    fn finish_round(&mut self, key: &Key) -> bool {
        let Some(rounds_left) = self.rounds_left.get_mut(key) else {
            return false;
        };
        *rounds_left -= 1;
        if *rounds_left == 0 {
            self.rounds_left.remove(key);
            return false;
        }
        true
    }
}

impl Replica {
    /// Queues an update for dissemination, if its record type is disseminated.
    pub(super) fn queue_rumor(&mut self, key: Key) {
        if !Tree::of_type(key.record_type).is_disseminated() || mutant("no-news") {
            return;
        }
        let fleet_size = self.peers.len() + 1;
        let doublings = usize::BITS - fleet_size.leading_zeros();
        let rounds = ROUNDS_PER_DOUBLING * doublings;
        self.rumors.push(key, rounds, self.now + BATCH_DELAY);
    }

    /// Sends the next round if it is due.
    pub(super) fn send_due_rumors(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.rumors.next_round_at.is_some_and(|due| now >= due) {
            self.rumors.next_round_at = None;
            self.send_rumors(actions);
        }
    }

    fn send_rumors(&mut self, actions: &mut Vec<Action>) {
        let receivers = self.sample_peers(FANOUT);
        if receivers.is_empty() {
            return;
        }
        let records = self.rumors.take_round(&self.map);
        for receiver in receivers {
            self.send_records(&receiver, &records, Body::Rumors, actions);
        }
        if self.rumors.len() > 0 {
            self.rumors.next_round_at = Some(self.now + BATCH_DELAY);
        }
    }
}
