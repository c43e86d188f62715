//! Inventories: the records of the buckets whose digests differ, without published bodies.
//!
//! Invariant: an inventory lists a bucket as complete only if it contains all records of this proxy in that bucket, so
//! that the other proxy can determine which members this proxy does not know.

use super::recipients::Recipient;
use super::transfer::{DATAGRAM_CAPACITY, STREAM_CHUNK, STREAM_THRESHOLD};
use super::{Action, ClaimSource, Member, View};
use crate::claim::{Claim, MemberState};
use crate::digest::bucket;
use crate::wire::{Inventory, Payload, Record, BUCKET_COUNT};
use std::collections::{BTreeMap, BTreeSet};

/// Upper bound of the bytes that an item takes in a message in addition to its own encoding.
const ITEM_OVERHEAD: usize = 3;
/// Upper bound of the bytes that a bucket number takes in a message.
const BUCKET_OVERHEAD: usize = 8;
/// Number of items per datagram when a bucket is too large for one datagram.
const ITEMS_PER_DATAGRAM: usize = 10;

/// The items of one bucket.
struct BucketItems {
    bucket: usize,
    items: Vec<Record>,
}

impl BucketItems {
    fn encoded_length(&self) -> usize {
        self.items
            .iter()
            .map(|item| prost::Message::encoded_len(item) + ITEM_OVERHEAD)
            .sum()
    }

    fn append_to(self, inventory: &mut Inventory) {
        inventory.buckets.push(self.bucket as u32);
        inventory.items.extend(self.items);
    }
}

/// The result of a comparison with another proxy's inventory.
#[derive(Default)]
struct Difference {
    /// Names of members for which the other proxy has a newer record.
    newer_remotely: Vec<String>,
    /// Names of members for which this proxy has a newer record.
    newer_locally: Vec<String>,
}

impl View {
    /// Handles another proxy's bucket digests, and replies with an inventory of the buckets that differ.
    pub(super) fn receive_bucket_digests(
        &mut self,
        sender: Recipient,
        digests: &[u32],
        actions: &mut Vec<Action>,
    ) {
        let differing = self.differing_buckets(digests);
        if differing.is_empty() {
            return self.mark_joined(actions);
        }
        let buckets = self.bucket_items(&differing);
        let length: usize = buckets.iter().map(BucketItems::encoded_length).sum();
        if length > STREAM_THRESHOLD && self.can_stream(sender.address) {
            self.stream_inventory(sender, buckets, actions);
        } else {
            self.send_inventory(sender, buckets, actions);
        }
    }

    /// The buckets that differ, starting from a random one: if not all of them fit, the next comparison starts with
    /// other buckets.
    fn differing_buckets(&mut self, theirs: &[u32]) -> Vec<usize> {
        let ours = self.digest.bucket_digests();
        let first = self.rng.usize(0..BUCKET_COUNT);
        (0..BUCKET_COUNT)
            .map(|offset| (first + offset) % BUCKET_COUNT)
            .filter(|bucket| theirs.get(*bucket) != ours.get(*bucket))
            .collect()
    }

    /// This proxy's records in these buckets, in the order of the buckets.
    fn bucket_items(&self, buckets: &[usize]) -> Vec<BucketItems> {
        let mut items: BTreeMap<usize, Vec<Record>> =
            buckets.iter().map(|bucket| (*bucket, Vec::new())).collect();
        if let Some(list) = items.get_mut(&bucket(&self.own.name)) {
            list.push(self.own.record());
        }
        for (name, member) in &self.members {
            if let Some(list) = items.get_mut(&bucket(name)) {
                list.push(member.record(name, &self.own.name));
            }
        }
        let take_items = |bucket: &usize| BucketItems {
            bucket: *bucket,
            items: items.remove(bucket).unwrap_or_default(),
        };
        buckets.iter().map(take_items).collect()
    }

    /// Sends as many complete buckets as fit into one stream chunk. The next comparison finds the remaining ones.
    fn stream_inventory(
        &mut self,
        to: Recipient,
        buckets: Vec<BucketItems>,
        actions: &mut Vec<Action>,
    ) {
        let mut inventory = Inventory::default();
        let mut length = 0;
        for bucket in buckets {
            length += bucket.encoded_length();
            if length > STREAM_CHUNK && !inventory.buckets.is_empty() {
                break;
            }
            bucket.append_to(&mut inventory);
        }
        if self.may_send_deferrable() {
            self.send_chunk(to.address, Payload::Inventory(inventory), actions);
        }
    }

    /// Sends the buckets in datagrams, as many in each as fit, until the send budget is exhausted.
    fn send_inventory(
        &mut self,
        to: Recipient,
        buckets: Vec<BucketItems>,
        actions: &mut Vec<Action>,
    ) {
        let mut inventory = Inventory::default();
        for bucket in buckets {
            let length = bucket.encoded_length();
            let total = prost::Message::encoded_len(&inventory) + length + BUCKET_OVERHEAD;
            if total > DATAGRAM_CAPACITY && !inventory.items.is_empty() {
                if !self.may_send_deferrable() {
                    return;
                }
                self.send(
                    to,
                    Some(Payload::Inventory(std::mem::take(&mut inventory))),
                    actions,
                );
            }
            if length <= DATAGRAM_CAPACITY {
                bucket.append_to(&mut inventory);
            } else if !self.send_bucket_in_parts(to, &bucket, actions) {
                return;
            }
        }
        if !inventory.buckets.is_empty() {
            self.send(to, Some(Payload::Inventory(inventory)), actions);
        }
    }

    /// Sends a bucket that is too large for one datagram. None of the parts is marked as complete. Returns false if the
    /// send budget did not allow all of them.
    fn send_bucket_in_parts(
        &mut self,
        to: Recipient,
        bucket: &BucketItems,
        actions: &mut Vec<Action>,
    ) -> bool {
        for items in bucket.items.chunks(ITEMS_PER_DATAGRAM) {
            if !self.may_send_deferrable() {
                return false;
            }
            let part = Inventory {
                buckets: Vec::new(),
                items: items.to_vec(),
            };
            self.send(to, Some(Payload::Inventory(part)), actions);
        }
        true
    }

    /// Handles another proxy's inventory: merges its claims, requests records that are newer at the other proxy, and
    /// sends records that are newer at this proxy.
    pub(super) fn receive_inventory(
        &mut self,
        sender: Recipient,
        inventory: Inventory,
        actions: &mut Vec<Action>,
    ) {
        let listed: BTreeSet<String> = inventory
            .items
            .iter()
            .map(|item| item.name.clone())
            .collect();
        let mut difference = Difference::default();
        for item in inventory.items {
            let Some(claim) = item.claim() else { continue };
            if item.name == self.own.name {
                self.compare_own_item(item, claim, &mut difference, actions);
            } else {
                self.compare_item(item, claim, &mut difference, actions);
            }
        }
        let complete: BTreeSet<usize> = inventory
            .buckets
            .iter()
            .map(|bucket| *bucket as usize)
            .collect();
        difference
            .newer_locally
            .extend(self.missing_names(&complete, &listed));
        if self.request_records(sender, difference.newer_remotely, actions) {
            self.send_records(sender, difference.newer_locally, actions);
        }
    }

    fn compare_own_item(
        &mut self,
        item: Record,
        claim: Claim,
        difference: &mut Difference,
        actions: &mut Vec<Action>,
    ) {
        let own = (
            self.own.claim.start,
            self.own.claim.incarnation,
            self.own.revision,
        );
        let is_outdated = own > (claim.start, claim.incarnation, item.revision);
        let name = item.name.clone();
        self.receive_record(item, ClaimSource::AntiEntropy, actions);
        if is_outdated || claim.state != MemberState::Alive {
            difference.newer_locally.push(name);
        }
    }

    fn compare_item(
        &mut self,
        item: Record,
        claim: Claim,
        difference: &mut Difference,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.members.get(&item.name) else {
            if !self.tombstones.covers(&item.name, item.start) {
                difference.newer_remotely.push(item.name);
            }
            return;
        };
        if claim == member.claim && item.revision == member.revision {
            return;
        }
        let known = member.claim;
        let same_process = claim.start == known.start;
        let body_is_newer =
            claim.start > known.start || (same_process && item.revision > member.revision);
        let is_outdated = known > claim || (same_process && member.revision > item.revision);
        let name = item.name.clone();
        if body_is_newer {
            difference.newer_remotely.push(name.clone());
        } else if claim > known {
            self.receive_record(item, ClaimSource::AntiEntropy, actions);
        }
        if is_outdated {
            difference.newer_locally.push(name);
        }
    }

    /// Names of present members, including this proxy, that the other proxy does not know: those in its complete
    /// buckets that it does not list.
    fn missing_names(&self, complete: &BTreeSet<usize>, listed: &BTreeSet<String>) -> Vec<String> {
        let is_missing = |name: &String| complete.contains(&bucket(name)) && !listed.contains(name);
        let present = |(_, member): &(&String, &Member)| member.claim.state.is_present();
        let members = self.members.iter().filter(present).map(|(name, _)| name);
        members
            .chain([&self.own.name])
            .filter(|name| is_missing(name))
            .cloned()
            .collect()
    }
}
