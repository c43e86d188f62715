//! Rumor dissemination: an update to an urgent record is sent to a few random fronts at a time, a bounded number of
//! times.

use super::send::{encoded_size, STREAM_BYTES};
use super::{Act, Replica, GATHER};
use crate::kind::Tree;
use crate::map::Map;
use crate::mutant;
use crate::record::Key;
use crate::wire::{Body, Record};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Fronts that each round goes to.
const FANOUT: usize = 3;
/// Rounds that an update takes part in, for each doubling of the fleet's size.
const ROUNDS_PER_DOUBLING: u32 = 1;
/// Updates that wait; what is beyond is found by anti-entropy comparison.
const WAITING_MOST: usize = 20_000;

/// Updates that wait to be sent, those sent less often first.
#[derive(Clone, Debug, Default)]
pub(super) struct RumorQueue {
    waiting: VecDeque<Key>,
    /// How many more rounds each takes part in.
    rounds_left: BTreeMap<Key, u32>,
    due: Option<Micros>,
}

impl RumorQueue {
    /// How many updates wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// When the next round is due.
    pub(super) fn due(&self) -> Option<Micros> {
        self.due
    }

    fn add(&mut self, key: Key, rounds: u32, due: Micros) {
        if self.rounds_left.insert(key.clone(), rounds).is_none() {
            if self.waiting.len() >= WAITING_MOST {
                self.rounds_left.remove(&key);
                return;
            }
            self.waiting.push_back(key);
        }
        self.due = Some(self.due.map_or(due, |former| former.min(due)));
    }

    /// The records of one round, as many as fit.
    fn next_round(&mut self, map: &Map) -> Vec<Record> {
        let (mut round, mut size, mut requeued) = (Vec::new(), 0, Vec::new());
        while let Some(key) = self.waiting.pop_front() {
            let Some(rounds_left) = self.rounds_left.get_mut(&key) else {
                continue;
            };
            let Some(record) = map.record(&key) else {
                self.rounds_left.remove(&key);
                continue;
            };
            let more = encoded_size(&record);
            if size + more > STREAM_BYTES && !round.is_empty() {
                requeued.push(key);
                break;
            }
            size += more;
            round.push(record);
            *rounds_left -= 1;
            if *rounds_left == 0 {
                self.rounds_left.remove(&key);
            } else {
                requeued.push(key);
            }
        }
        self.waiting.extend(requeued);
        round
    }
}

impl Replica {
    /// Queues an update for dissemination, if its kind is urgent.
    pub(super) fn queue_rumor(&mut self, key: Key) {
        if !Tree::of(key.kind).pushed() || mutant("no-news") {
            return;
        }
        let fleet = self.peers.len() + 1;
        let doublings = usize::BITS - fleet.leading_zeros();
        self.rumors
            .add(key, ROUNDS_PER_DOUBLING * doublings, self.now + GATHER);
    }

    /// Sends the next round once it is due.
    pub(super) fn send_due_rumors(&mut self, now: Micros, acts: &mut Vec<Act>) {
        if self.rumors.due.is_some_and(|due| now >= due) {
            self.rumors.due = None;
            self.send_rumors(acts);
        }
    }

    fn send_rumors(&mut self, acts: &mut Vec<Act>) {
        let receivers = self.sample_peers(FANOUT);
        if receivers.is_empty() {
            return;
        }
        let records = self.rumors.next_round(&self.map);
        for receiver in receivers {
            self.send_records(&receiver, &records, Body::Rumors, acts);
        }
        if !self.rumors.waiting.is_empty() {
            self.rumors.due = Some(self.now + GATHER);
        }
    }
}
