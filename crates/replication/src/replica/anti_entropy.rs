//! Anti-entropy: two proxies compare the roots of their trees, then digests of buckets, then hashes of records, and
//! exchange the records that differ.
//!
//! Invariant: no state is stored between the messages of a comparison, and each answer follows from the received
//! message and the replica. So any message may be lost or duplicated. (`voting` records which comparisons of claims are
//! complete.)

use super::send::{encoded_size, MAX_STREAM_RECORD_BYTES};
use super::{Action, Replica};
use crate::map::BUCKETS;
use crate::record_type::Tree;
use crate::wire::{
    Body, BucketDigests, BucketHashes, Delta, Record, RecordRequest, Records, Roots,
};
use std::collections::BTreeSet;

/// Maximum number of hashes in one message. A single bucket may exceed it.
const MAX_HASHES: usize = 1500;
/// Maximum number of names of voters in one message.
const MAX_VOTERS: usize = 256;

fn delta(records: Records) -> Body {
    Body::Delta(Delta {
        records: records.records,
        no_longer_stored: Vec::new(),
    })
}

impl Replica {
    /// Starts a comparison with one other proxy, if the budget allows it. Called once per period.
    pub(super) fn start_comparison(&mut self, actions: &mut Vec<Action>) {
        if !self.has_budget() {
            return;
        }
        for peer in self.sample_peers(1) {
            self.send_roots(&peer, actions);
        }
    }

    fn has_budget(&mut self) -> bool {
        self.refill_budgets();
        let has_budget = self.budget.has_tokens();
        self.counts.comparisons_delayed += u64::from(!has_budget);
        has_budget
    }

    /// Starts a comparison of all trees with another proxy.
    pub(super) fn send_roots(&mut self, to: &str, actions: &mut Vec<Action>) {
        let roots = Tree::ALL
            .into_iter()
            .map(|tree| self.map.root(tree))
            .collect();
        self.send(to, Body::Roots(Roots { roots }), actions);
    }

    /// Answers with the digests of each tree that differs.
    pub(super) fn receive_roots(&mut self, from: &str, roots: &[u64], actions: &mut Vec<Action>) {
        for tree in Tree::ALL {
            let differs = roots
                .get(tree as usize)
                .is_none_or(|root| *root != self.map.root(tree));
            // A tree that is being copied from a donor is not compared: a comparison would transfer the same records in
            // more bytes.
            if differs && !self.is_catching_up(tree) && self.has_budget() {
                self.send_bucket_digests(from, tree, actions);
            }
        }
    }

    /// Starts a comparison of one tree with another proxy, or continues one after roots differed.
    pub(super) fn send_bucket_digests(&mut self, to: &str, tree: Tree, actions: &mut Vec<Action>) {
        let digests = BucketDigests {
            tree: tree as u32,
            digests: self.map.bucket_digests(tree),
        };
        self.send(to, Body::BucketDigests(digests), actions);
    }

    /// Answers with the hashes in the buckets that differ.
    pub(super) fn receive_bucket_digests(
        &mut self,
        from: &str,
        theirs: &BucketDigests,
        actions: &mut Vec<Action>,
    ) {
        let Some(tree) = Tree::from_wire(theirs.tree) else {
            return;
        };
        let differing = self.map.differing_buckets(tree, &theirs.digests);
        let mut hashes = self.bucket_hashes(tree, differing);
        if tree == Tree::Claims {
            let voters = &self.voters.members;
            hashes.receiver_votes = voters.contains_key(from);
            hashes.voters = voters.keys().take(MAX_VOTERS).cloned().collect();
        }
        self.send(from, Body::BucketHashes(hashes), actions);
    }

    /// The hashes of the records in the differing buckets. A random bucket is the first one, and the message ends with
    /// the last bucket that fits.
    fn bucket_hashes(&mut self, tree: Tree, mut differing: Vec<usize>) -> BucketHashes {
        let first = self.rng.usize(0..BUCKETS);
        differing.sort_by_key(|bucket| (bucket + BUCKETS - first) % BUCKETS);
        let mut message = BucketHashes {
            tree: tree as u32,
            ..BucketHashes::default()
        };
        for bucket in &differing {
            let hashes: Vec<u64> = self.map.bucket_hashes(tree, *bucket).collect();
            if message.hashes.len() + hashes.len() > MAX_HASHES && !message.buckets.is_empty() {
                break;
            }
            message.buckets.push(*bucket as u32);
            message.hashes.extend(hashes);
        }
        message.covers_all = message.buckets.len() == differing.len();
        message
    }

    /// Sends the records that the other proxy lacks, and requests those that this proxy lacks.
    pub(super) fn receive_bucket_hashes(
        &mut self,
        from: &str,
        theirs: BucketHashes,
        actions: &mut Vec<Action>,
    ) {
        let Some(tree) = Tree::from_wire(theirs.tree) else {
            return;
        };
        let remote_hashes: BTreeSet<u64> = theirs.hashes.iter().copied().collect();
        let mut missing = remote_hashes.clone();
        missing.retain(|hash| !self.map.contains_hash(*hash));
        let missing_remotely = self.records_except(tree, &theirs.buckets, &remote_hashes);
        self.send_records(from, &missing_remotely, delta, actions);
        if tree == Tree::Claims {
            self.continue_comparison(from, theirs, &missing);
        }
        if !missing.is_empty() {
            let hashes = missing.into_iter().collect();
            let request = RecordRequest { hashes };
            self.send(from, Body::RecordRequest(request), actions);
        }
    }

    /// This proxy's records in some buckets of a tree, except those with the hashes in `except`.
    fn records_except(&self, tree: Tree, buckets: &[u32], except: &BTreeSet<u64>) -> Vec<Record> {
        let buckets = buckets
            .iter()
            .map(|bucket| *bucket as usize)
            .filter(|bucket| *bucket < BUCKETS);
        let hashes = buckets.flat_map(|bucket| self.map.bucket_hashes(tree, bucket));
        hashes
            .filter(|hash| !except.contains(hash))
            .filter_map(|hash| self.map.record_by_hash(hash))
            .collect()
    }

    /// Sends the requested records, and the hashes of those that are no longer stored.
    pub(super) fn receive_record_request(
        &mut self,
        from: &str,
        request: &RecordRequest,
        actions: &mut Vec<Action>,
    ) {
        let (mut records, mut no_longer_stored, mut size) = (Vec::new(), Vec::new(), 0);
        for hash in &request.hashes {
            match self.map.record_by_hash(*hash) {
                Some(record) => {
                    size += encoded_size(&record);
                    records.push(record);
                }
                None => no_longer_stored.push(*hash),
            }
            if size > MAX_STREAM_RECORD_BYTES {
                let records = std::mem::take(&mut records);
                self.send(from, delta(Records { records }), actions);
                size = 0;
            }
        }
        if !records.is_empty() || !no_longer_stored.is_empty() {
            let delta = Delta {
                records,
                no_longer_stored,
            };
            self.send(from, Body::Delta(delta), actions);
        }
    }
}
