//! This proxy as a member of the fleet: its claim and the body that it publishes.
//!
//! Invariants: the claim and the revision of the body only grow; until this proxy leaves, the digest contains an entry
//! for the current values of both.

use super::{MemberIdentity, View};
use crate::claim::{Claim, MemberState};
use crate::settings::FleetSettings;
use crate::wire::{Body, Record, Value, MAX_VALUES_LENGTH};
use crate::Micros;

/// This proxy's own state as a member.
#[derive(Clone, Debug)]
pub(super) struct OwnMember {
    pub name: String,
    /// Random number that distinguishes processes with the same name.
    pub nonce: u64,
    pub claim: Claim,
    /// Revision of `body`.
    pub revision: u64,
    pub body: Body,
    pub encoded_body: Vec<u8>,
}

impl OwnMember {
    pub(super) fn new(identity: MemberIdentity, settings: &FleetSettings, nonce: u64) -> OwnMember {
        let body = Body {
            address: settings.advertise.to_string(),
            zone: settings.zone.clone(),
            weight: settings.weight,
            version: identity.version,
            nonce,
            values: Vec::new(),
        };
        OwnMember {
            name: identity.name,
            nonce,
            claim: Claim::alive(identity.start.max(1)),
            revision: 0,
            body,
            encoded_body: Vec::new(),
        }
    }

    /// Replaces the value of the same kind. Returns false, and changes nothing, if all values together are too large.
    pub(super) fn put_value(&mut self, value: Value) -> bool {
        let mut values = self.body.values.clone();
        values.retain(|other| other.kind != value.kind);
        values.push(value);
        values.sort_by_key(|value| value.kind);
        let size: usize = values.iter().map(|value| value.bytes.len()).sum();
        if size > MAX_VALUES_LENGTH {
            return false;
        }
        self.body.values = values;
        true
    }

    /// The record of this proxy, without its body.
    pub(super) fn record(&self) -> Record {
        Record {
            name: self.name.clone(),
            start: self.claim.start,
            incarnation: self.claim.incarnation,
            state: self.claim.state as u32,
            accuser: String::new(),
            revision: self.revision,
            body: Vec::new(),
        }
    }

    pub(super) fn record_with_body(&self) -> Record {
        Record {
            body: self.encoded_body.clone(),
            ..self.record()
        }
    }
}

impl View {
    /// Publishes a value of another module with this proxy's body, and replaces an earlier value of the same kind.
    /// Returns false, and changes nothing, if all values together are too large.
    pub fn put_value(&mut self, now: Micros, value: Value) -> bool {
        self.now = now;
        if !self.own.put_value(value) {
            return false;
        }
        self.publish_own_body();
        true
    }

    /// Publishes this proxy's body under a new revision.
    pub(super) fn publish_own_body(&mut self) {
        // The digest no longer contains a proxy that is leaving.
        let in_digest = self.own.claim.state == MemberState::Alive;
        if in_digest {
            self.toggle_own_digest();
        }
        self.own.revision += 1;
        if in_digest {
            self.toggle_own_digest();
        }
        self.own.encoded_body = prost::Message::encode_to_vec(&self.own.body);
        self.disseminate_own_record();
    }

    /// Publishes a new claim of this proxy about itself.
    pub(super) fn publish_own_claim(&mut self, claim: Claim) {
        self.toggle_own_digest();
        if claim.start != self.own.claim.start {
            self.own.revision = self.own.revision.max(1);
        }
        self.own.claim = claim;
        self.toggle_own_digest();
        self.disseminate_own_record();
    }

    fn disseminate_own_record(&mut self) {
        self.rumors.insert(&self.own.name, self.members.len());
        self.schedule_push();
    }
}
