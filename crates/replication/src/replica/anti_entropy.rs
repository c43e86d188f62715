//! Anti-entropy: two fronts compare the roots of their trees, then digests of buckets, then hashes of records, and
//! exchange the records that differ.

use super::send::{encoded_size, STREAM_BYTES};
use super::{Act, Replica};
use crate::kind::Tree;
use crate::map::BUCKETS;
use crate::wire::{
    Body, BucketDigests, BucketHashes, Delta, Record, RecordRequest, Records, Roots,
};
use std::collections::BTreeSet;

/// Hashes in one message.
const HASHES_MOST: usize = 1500;
/// Names of fronts in one message.
const NAMES_MOST: usize = 256;

fn delta(records: Records) -> Body {
    Body::Delta(Delta {
        records: records.records,
        gone: Vec::new(),
    })
}

impl Replica {
    /// Once a period: compares with one other front, if the budget allows.
    pub(super) fn start_comparison(&mut self, acts: &mut Vec<Act>) {
        if !self.has_budget() {
            return;
        }
        for peer in self.sample_peers(1) {
            self.send_roots(&peer, acts);
        }
    }

    fn has_budget(&mut self) -> bool {
        self.refill_budgets();
        let has_budget = self.budget.has_tokens();
        self.counts.held_back += u64::from(!has_budget);
        has_budget
    }

    /// Begins a comparison of all trees with another front.
    pub(super) fn send_roots(&mut self, to: &str, acts: &mut Vec<Act>) {
        let roots = Tree::ALL
            .into_iter()
            .map(|tree| self.map.root(tree))
            .collect();
        self.send(to, Body::Roots(Roots { roots }), acts);
    }

    /// Answers with the digests of each tree that differs.
    pub(super) fn receive_roots(&mut self, from: &str, roots: &[u64], acts: &mut Vec<Act>) {
        for tree in Tree::ALL {
            let differs = roots
                .get(tree as usize)
                .is_none_or(|root| *root != self.map.root(tree));
            // A tree that is being copied from a donor is not compared: that would bring the same in more bytes.
            if differs && !self.is_catching_up(tree) && self.has_budget() {
                self.send_bucket_digests(from, tree, acts);
            }
        }
    }

    /// Begins a comparison of one tree with another front.
    pub(super) fn send_bucket_digests(&mut self, to: &str, tree: Tree, acts: &mut Vec<Act>) {
        let digests = BucketDigests {
            tree: tree as u32,
            digests: self.map.digests(tree),
        };
        self.send(to, Body::BucketDigests(digests), acts);
    }

    /// Answers with the hashes in the buckets that differ.
    pub(super) fn receive_bucket_digests(
        &mut self,
        from: &str,
        theirs: &BucketDigests,
        acts: &mut Vec<Act>,
    ) {
        let Some(tree) = Tree::number(theirs.tree) else {
            return;
        };
        let differing = self.map.differing(tree, &theirs.digests);
        let mut hashes = self.bucket_hashes(tree, differing);
        if tree == Tree::Effects {
            hashes.knows = self.electors.all.contains_key(from);
            hashes.electors = self.electors.all.keys().take(NAMES_MOST).cloned().collect();
        }
        self.send(from, Body::BucketHashes(hashes), acts);
    }

    /// The hashes in these buckets, as many as fit into a message, beginning at a random bucket.
    fn bucket_hashes(&mut self, tree: Tree, mut differing: Vec<usize>) -> BucketHashes {
        let first = self.rng.usize(0..BUCKETS);
        differing.sort_by_key(|bucket| (bucket + BUCKETS - first) % BUCKETS);
        let mut message = BucketHashes {
            tree: tree as u32,
            ..BucketHashes::default()
        };
        for bucket in &differing {
            let hashes: Vec<u64> = self.map.hashes_in(tree, *bucket).collect();
            if message.hashes.len() + hashes.len() > HASHES_MOST && !message.buckets.is_empty() {
                break;
            }
            message.buckets.push(*bucket as u32);
            message.hashes.extend(hashes);
        }
        message.all = message.buckets.len() == differing.len();
        message
    }

    /// Sends what the other lacks, and requests what this front lacks.
    pub(super) fn receive_bucket_hashes(
        &mut self,
        from: &str,
        theirs: BucketHashes,
        acts: &mut Vec<Act>,
    ) {
        let Some(tree) = Tree::number(theirs.tree) else {
            return;
        };
        let held_there: BTreeSet<u64> = theirs.hashes.iter().copied().collect();
        let missing: BTreeSet<u64> = held_there
            .iter()
            .copied()
            .filter(|hash| !self.map.has(*hash))
            .collect();
        let lacking_there = self.records_beyond(tree, &theirs.buckets, &held_there);
        self.send_records(from, &lacking_there, delta, acts);
        if tree == Tree::Effects {
            self.continue_vouching(from, theirs, &missing);
        }
        if !missing.is_empty() {
            self.send(
                from,
                Body::RecordRequest(RecordRequest {
                    hashes: missing.into_iter().collect(),
                }),
                acts,
            );
        }
    }

    /// This front's records in some buckets of a tree, but those with the given hashes.
    fn records_beyond(&self, tree: Tree, buckets: &[u32], known: &BTreeSet<u64>) -> Vec<Record> {
        let buckets = buckets
            .iter()
            .map(|bucket| *bucket as usize)
            .filter(|bucket| *bucket < BUCKETS);
        let hashes = buckets.flat_map(|bucket| self.map.hashes_in(tree, bucket));
        hashes
            .filter(|hash| !known.contains(hash))
            .filter_map(|hash| self.map.by_hash(hash))
            .collect()
    }

    /// Sends the records that were requested, and the hashes of those that are no longer held.
    pub(super) fn receive_record_request(
        &mut self,
        from: &str,
        request: &RecordRequest,
        acts: &mut Vec<Act>,
    ) {
        let (mut records, mut gone, mut size) = (Vec::new(), Vec::new(), 0);
        for hash in &request.hashes {
            match self.map.by_hash(*hash) {
                Some(record) => {
                    size += encoded_size(&record);
                    records.push(record);
                }
                None => gone.push(*hash),
            }
            if size > STREAM_BYTES {
                self.send(
                    from,
                    delta(Records {
                        records: std::mem::take(&mut records),
                    }),
                    acts,
                );
                size = 0;
            }
        }
        if !records.is_empty() || !gone.is_empty() {
            self.send(from, Body::Delta(Delta { records, gone }), acts);
        }
    }
}
