//! Checks and dispatches received messages, and merges the records in them.

use super::{Action, Replica};
use crate::map::MergeOutcome;
use crate::record::{record_hash, Entry, Key};
use crate::record_type::RecordType;
use crate::records::{self, ClaimState};
use crate::wire::{self, Body, Delta, Packet, Record};
use crate::wire_time;
use crate::Micros;
use meadowrill_membership::envelope::DropReason;
use std::collections::BTreeSet;

/// Maximum number of record ages that are stored until the host takes them.
const MAX_RECORD_AGES: usize = 256;

/// How a record reached this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// As a rumor, which is disseminated further.
    Rumor,
    /// By a comparison or by catching up. It is not disseminated further.
    Repair,
}

impl Replica {
    /// Processes a message from another proxy.
    pub fn receive_message(&mut self, now: Micros, bytes: &[u8], actions: &mut Vec<Action>) {
        self.advance(now);
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        match self.decode_packet(bytes) {
            Ok(packet) => self.dispatch(packet, actions),
            Err(reason) => *self.counts.dropped.entry(reason).or_default() += 1,
        }
    }

    fn decode_packet(&self, bytes: &[u8]) -> Result<Packet, DropReason> {
        let packet = wire::read(bytes, self.settings.fleet_id)?;
        // The sender is known if it is or recently was in the membership view, or if another proxy reported it as a
        // voter. An unknown sender may be forged.
        if !self.peers.contains_key(&packet.from) {
            return Err(DropReason::SenderDead);
        }
        Ok(packet)
    }

    fn dispatch(&mut self, packet: Packet, actions: &mut Vec<Action>) {
        let from = packet.from.as_str();
        match packet.body {
            Some(Body::Rumors(rumors)) => self.receive_rumors(rumors.records, actions),
            Some(Body::Delta(delta)) => self.receive_delta(from, delta, actions),
            Some(Body::Roots(roots)) => self.receive_roots(from, &roots.roots, actions),
            Some(Body::BucketDigests(digests)) => {
                self.receive_bucket_digests(from, &digests, actions);
            }
            Some(Body::BucketHashes(hashes)) => self.receive_bucket_hashes(from, hashes, actions),
            Some(Body::RecordRequest(request)) => {
                self.receive_record_request(from, &request, actions);
            }
            Some(Body::CatchUpRequest(request)) => {
                self.receive_catch_up_request(from, request, actions);
            }
            Some(Body::CatchUpPage(page)) => {
                self.receive_page(from, page, actions);
                self.update_waiting_requests(actions);
            }
            Some(Body::ClaimRequest(request)) => {
                self.receive_claim_request(from, &request, actions);
            }
            Some(Body::ClaimReply(reply)) => {
                self.with_ledger(actions, |ledger, input, out| {
                    ledger.receive_vote(from, reply, input, out);
                });
            }
            None => {}
        }
    }

    fn receive_rumors(&mut self, records: Vec<Record>, actions: &mut Vec<Action>) {
        for record in records {
            self.merge_received(&record, Origin::Rumor, actions);
        }
        self.update_waiting_requests(actions);
    }

    fn receive_delta(&mut self, from: &str, delta: Delta, actions: &mut Vec<Action>) {
        let mut answered: BTreeSet<u64> = delta.no_longer_stored.into_iter().collect();
        for record in delta.records {
            let hash = record_hash(&Key::from_wire(&record), &Entry::from_wire(&record));
            answered.insert(hash);
            self.merge_received(&record, Origin::Repair, actions);
        }
        self.complete_record_requests(from, &answered);
        self.update_waiting_requests(actions);
    }

    /// Merges a record from another proxy.
    pub(super) fn merge_received(
        &mut self,
        record: &Record,
        origin: Origin,
        actions: &mut Vec<Action>,
    ) {
        let (key, entry) = (Key::from_wire(record), Entry::from_wire(record));
        match self.map.merge(key.clone(), entry.clone(), self.now) {
            MergeOutcome::Merged { replaced } => {
                self.count_merged(key.record_type, replaced, origin);
            }
            MergeOutcome::AlreadyKnown => return self.count_known(&key, &entry),
            MergeOutcome::Rejected => return,
        }
        if origin == Origin::Rumor {
            self.queue_rumor(key.clone());
        }
        self.record_age(&key, &entry);
        actions.extend(action_for(&key, &entry));
    }

    fn count_merged(&mut self, record_type: u32, replaced: bool, origin: Origin) {
        self.counts.conflicts_replaced += u64::from(replaced);
        let count = match origin {
            Origin::Rumor => &mut self.counts.merged_from_rumors,
            Origin::Repair => &mut self.counts.merged_by_repair,
        };
        *count.entry(record_type).or_default() += 1;
    }

    fn count_known(&mut self, key: &Key, entry: &Entry) {
        // A holder regularly replaces a claim that was only requested. That is no conflict.
        let is_requested_claim =
            self.ledger.is_some() && entry.rank.0 == ClaimState::Requested as u64;
        let differs = self.map.get(key) != Some(entry);
        self.counts.conflicts_kept += u64::from(!is_requested_claim && differs);
    }

    /// Stores the age of a record for the host, except while catching up: records that are copied then are old, but
    /// were not delayed.
    fn record_age(&mut self, key: &Key, entry: &Entry) {
        if self.catch_up.is_some() || self.counts.record_ages.len() >= MAX_RECORD_AGES {
            return;
        }
        if let Some((record_type, written_at)) = written_at(key, entry) {
            let age = (self.now - written_at).max(0);
            self.counts.record_ages.push((record_type, age));
        }
    }
}

/// When a record was written, if its type contains that time.
fn written_at(key: &Key, entry: &Entry) -> Option<(RecordType, Micros)> {
    let record_type = RecordType::from_wire(key.record_type)?;
    match record_type {
        RecordType::Purge => Some((record_type, wire_time::from_wire(entry.rank.0))),
        RecordType::Observation | RecordType::Usage => {
            Some((record_type, wire_time::from_wire(entry.rank.1)))
        }
        RecordType::Endpoint | RecordType::Claim => None,
    }
}

/// The action with which the host applies a record that another proxy wrote or a snapshot restored.
pub(super) fn action_for(key: &Key, entry: &Entry) -> Option<Action> {
    match RecordType::from_wire(key.record_type)? {
        RecordType::Purge => {
            let (object, group, stamp) = records::decode_purge(key, entry)?;
            Some(Action::Purge {
                object,
                group,
                stamp,
            })
        }
        RecordType::Endpoint => {
            let (id, started_at, phase, endpoint) = records::decode_endpoint(key, entry)?;
            Some(Action::UpdateEndpoint {
                id,
                started_at,
                phase,
                endpoint,
            })
        }
        RecordType::Observation => {
            let (subject, _) = records::decode_observation(key, entry)?;
            Some(Action::UpdateSharedEstimate { subject })
        }
        RecordType::Claim | RecordType::Usage => None,
    }
}
