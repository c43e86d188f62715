//! This proxy's knowledge of another member.
//!
//! Invariant: a member has a [`Suspicion`] exactly while its claimed state is suspected.

use crate::claim::{Claim, MemberState};
use crate::wire::{self, Body, Record};
use crate::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An open suspicion of a member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When the suspicion began.
    pub since: Micros,
    /// Names of the observers whose probes failed.
    pub accusers: BTreeSet<String>,
}

impl Suspicion {
    pub(super) fn new(now: Micros) -> Suspicion {
        Suspicion {
            since: now,
            accusers: BTreeSet::new(),
        }
    }
}

/// This proxy's knowledge of another member.
#[derive(Clone, Debug)]
pub struct Member {
    /// The claim that supersedes all other claims about this member that this proxy received.
    pub claim: Claim,
    /// When the member entered its state in this view.
    pub state_since: Micros,
    /// Revision of `body`, counted from 1 by the member; 0 while only the member's name and address are known.
    pub revision: u64,
    /// The body that the member published.
    pub body: Body,
    /// `body` as the member encoded it, including fields that this build does not know.
    pub(super) encoded_body: Vec<u8>,
    /// The open suspicion, if the member is suspected.
    pub suspicion: Option<Suspicion>,
    /// Name of the proxy that declared the member dead.
    pub declared_dead_by: String,
    /// When the member last responded to a probe of this proxy.
    pub(super) acknowledged_at: Option<Micros>,
    /// When this proxy last received a message from the member.
    pub(super) received_at: Option<Micros>,
    /// Smoothed round trip time of direct probes, in microseconds.
    pub round_trip: Option<f64>,
}

/// A body that a member published, with its revision and encoding.
#[derive(Clone, Debug, Default)]
pub(super) struct PublishedBody {
    pub revision: u64,
    pub body: Body,
    pub encoded: Vec<u8>,
}

impl PublishedBody {
    /// Creates the body from the fields of a record. The revision is 0 if the record has no body.
    pub(super) fn from_wire(revision: u64, encoded: Vec<u8>) -> PublishedBody {
        PublishedBody {
            revision: if encoded.is_empty() { 0 } else { revision },
            body: wire::decode_body(&encoded).unwrap_or_default(),
            encoded,
        }
    }
}

impl Member {
    pub(super) fn new(
        claim: Claim,
        published: PublishedBody,
        accuser: &str,
        now: Micros,
    ) -> Member {
        Member {
            claim,
            state_since: now,
            revision: published.revision,
            body: published.body,
            encoded_body: published.encoded,
            suspicion: (claim.state == MemberState::Suspected).then(|| Suspicion::new(now)),
            declared_dead_by: accuser.to_string(),
            acknowledged_at: None,
            received_at: None,
            round_trip: None,
        }
    }

    /// Address at which the member receives datagrams, if a valid one is known.
    pub fn address(&self) -> Option<SocketAddr> {
        self.body.address.parse().ok()
    }

    pub(super) fn is_alive(&self) -> bool {
        self.claim.state == MemberState::Alive
    }

    /// The record of this member for another proxy, without its body.
    pub(super) fn record(&self, name: &str, preferred_accuser: &str) -> Record {
        Record {
            name: name.into(),
            start: self.claim.start,
            incarnation: self.claim.incarnation,
            state: self.claim.state as u32,
            accuser: self.accuser(preferred_accuser),
            revision: self.revision,
            body: Vec::new(),
        }
    }

    /// The record of this member for another proxy, with its body if the member is present.
    pub(super) fn record_with_body(&self, name: &str, preferred_accuser: &str) -> Record {
        let body = if self.claim.state.is_present() {
            self.encoded_body.clone()
        } else {
            Vec::new()
        };
        Record {
            body,
            ..self.record(name, preferred_accuser)
        }
    }

    /// Name of the proxy that suspects the member or declared it dead. If several proxies suspect it and the preferred
    /// one is among them, its name is returned.
    fn accuser(&self, preferred: &str) -> String {
        match (&self.suspicion, self.claim.state) {
            (Some(suspicion), MemberState::Suspected) if suspicion.accusers.contains(preferred) => {
                preferred.to_string()
            }
            (Some(suspicion), MemberState::Suspected) => {
                suspicion.accusers.first().cloned().unwrap_or_default()
            }
            (_, MemberState::Dead) => self.declared_dead_by.clone(),
            _ => String::new(),
        }
    }
}
