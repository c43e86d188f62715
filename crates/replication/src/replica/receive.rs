//! Receiving: messages are checked and dispatched, and the records in them merged.

use super::{Act, Replica};
use crate::kind::Kind;
use crate::kinds::{self, Ran};
use crate::map::Took;
use crate::record::{entry, hash, Entry, Key};
use crate::wire::{self, Body, Delta, Packet, Record};
use crate::Micros;
use meadowrill_membership::envelope::DropReason;
use std::collections::BTreeSet;

/// Ages of records that are kept for the host to take.
const LAGS_MOST: usize = 256;

/// How a record reached this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// As a rumor: it is disseminated further.
    Rumor,
    /// By a comparison or by catching up.
    Repair,
}

impl Replica {
    /// A message came from another front.
    pub fn hear(&mut self, now: Micros, bytes: &[u8], acts: &mut Vec<Act>) {
        self.advance(now);
        self.counts.heard += 1;
        self.counts.heard_bytes += bytes.len() as u64;
        match self.read_packet(bytes) {
            Ok(packet) => self.dispatch(packet, acts),
            Err(reason) => *self.counts.dropped.entry(reason).or_default() += 1,
        }
    }

    fn read_packet(&self, bytes: &[u8]) -> Result<Packet, DropReason> {
        let packet = wire::read(bytes, self.plan.fleet)?;
        // Only fronts in the membership view are heard: a made-up one would have to pass there.
        if !self.peers.contains_key(&packet.from) {
            return Err(DropReason::SenderDead);
        }
        Ok(packet)
    }

    fn dispatch(&mut self, packet: Packet, acts: &mut Vec<Act>) {
        let from = packet.from;
        match packet.body {
            Some(Body::Rumors(rumors)) => self.receive_rumors(rumors.records, acts),
            Some(Body::Delta(delta)) => self.receive_delta(&from, delta, acts),
            Some(Body::Roots(roots)) => self.receive_roots(&from, &roots.roots, acts),
            Some(Body::BucketDigests(digests)) => {
                self.receive_bucket_digests(&from, &digests, acts)
            }
            Some(Body::BucketHashes(hashes)) => self.receive_bucket_hashes(&from, hashes, acts),
            Some(Body::RecordRequest(request)) => {
                self.receive_record_request(&from, &request, acts)
            }
            Some(Body::CatchUpRequest(request)) => {
                self.receive_catch_up_request(from, request, acts)
            }
            Some(Body::CatchUpPage(page)) => {
                self.receive_page(&from, page, acts);
                self.update_waiting_lookups(acts);
            }
            Some(Body::ClaimRequest(request)) => self.receive_claim_request(&from, &request, acts),
            Some(Body::ClaimReply(reply)) => {
                self.with_ledger(acts, |ledger, input, out| {
                    ledger.reply(&from, reply, input, out)
                });
            }
            None => {}
        }
    }

    fn receive_rumors(&mut self, records: Vec<Record>, acts: &mut Vec<Act>) {
        for record in records {
            self.merge_received(record, Origin::Rumor, acts);
        }
        self.update_waiting_lookups(acts);
    }

    fn receive_delta(&mut self, from: &str, delta: Delta, acts: &mut Vec<Act>) {
        let mut answered: BTreeSet<u64> = delta.gone.into_iter().collect();
        for record in delta.records {
            answered.insert(hash(&Key::of(&record), &entry(&record)));
            self.merge_received(record, Origin::Repair, acts);
        }
        self.complete_requests(from, &answered);
        self.update_waiting_lookups(acts);
    }

    /// Merges a record from another front.
    pub(super) fn merge_received(&mut self, record: Record, origin: Origin, acts: &mut Vec<Act>) {
        let (key, entry) = (Key::of(&record), entry(&record));
        match self.map.merge(key.clone(), entry.clone(), self.now) {
            Took::New(replaced) => self.count_merged(key.kind, replaced, origin),
            Took::Known => return self.count_known(&key, &entry),
            Took::Refused => return,
        }
        if origin == Origin::Rumor {
            self.queue_rumor(key.clone());
        }
        self.note_age(&key, &entry);
        acts.extend(action_for(&key, &entry));
    }

    fn count_merged(&mut self, kind: u32, replaced: bool, origin: Origin) {
        self.counts.won += u64::from(replaced);
        let count = match origin {
            Origin::Rumor => &mut self.counts.news,
            Origin::Repair => &mut self.counts.repaired,
        };
        *count.entry(kind).or_default() += 1;
    }

    fn count_known(&mut self, key: &Key, entry: &Entry) {
        // Claims that were only requested are replaced as a matter of course, by their holder.
        let requested_claim = self.ledger.is_some() && entry.rank.0 == Ran::Asked as u64;
        self.counts.lost += u64::from(!requested_claim && self.map.get(key) != Some(entry));
    }

    /// Notes how old a record is. What catching up brings is old without being late.
    fn note_age(&mut self, key: &Key, entry: &Entry) {
        if self.catch_up.is_none() && self.counts.lags.len() < LAGS_MOST {
            let age = |(kind, written): (Kind, Micros)| (kind, (self.now - written).max(0));
            self.counts.lags.extend(written_at(key, entry).map(age));
        }
    }
}

/// When a record was written, where its kind tells.
fn written_at(key: &Key, entry: &Entry) -> Option<(Kind, Micros)> {
    let kind = Kind::of(key.kind)?;
    match kind {
        Kind::Purge => Some((kind, entry.rank.0 as Micros)),
        Kind::Learned | Kind::Usage => Some((kind, entry.rank.1 as Micros)),
        Kind::Machine | Kind::Effect => None,
    }
}

/// What the host is to do about a record that came from elsewhere.
pub(super) fn action_for(key: &Key, entry: &Entry) -> Option<Act> {
    match Kind::of(key.kind)? {
        Kind::Purge => {
            let (object, group, stamp) = kinds::read_purge(key, entry)?;
            Some(Act::Purged {
                object,
                group,
                stamp,
            })
        }
        Kind::Machine => {
            let (id, start, phase, machine) = kinds::read_machine(key, entry)?;
            Some(Act::Machine {
                id,
                start,
                phase,
                machine,
            })
        }
        Kind::Learned => {
            let (what, _) = kinds::read_sight(key, entry)?;
            Some(Act::Learned { what })
        }
        Kind::Effect | Kind::Usage => None,
    }
}
