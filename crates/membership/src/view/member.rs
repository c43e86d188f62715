//! What this proxy knows of one other member.
//!
//! Invariant: a member has a [`Suspicion`] exactly while its claim is that it is suspected.

use crate::claim::{Claim, MemberState};
use crate::wire::{self, Body, Record};
use crate::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An open suspicion of a member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When it began.
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

/// Another member, as this proxy knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The claim about it that supersedes all others that this proxy received.
    pub claim: Claim,
    /// When it took its state, by this view.
    pub state_since: Micros,
    /// Revision of `body`, counted from 1 by the member; 0 while only its name and address are known.
    pub revision: u64,
    /// What the member publishes of itself.
    pub body: Body,
    /// `body` as the member encoded it, with fields that this build does not know.
    pub(super) encoded_body: Vec<u8>,
    /// The open suspicion of it.
    pub suspicion: Option<Suspicion>,
    /// Who claimed that it is dead.
    pub declared_dead_by: String,
    /// When it last responded to a probe of this proxy.
    pub(super) acknowledged_at: Option<Micros>,
    /// When this proxy last received anything from it.
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
    /// A body as it came in a record; without revision where the record has none.
    pub(super) fn from_wire(revision: u64, encoded: Vec<u8>) -> PublishedBody {
        PublishedBody {
            revision: if encoded.is_empty() { 0 } else { revision },
            body: wire::decode_body(&encoded).unwrap_or_default(),
            encoded,
        }
    }
}

impl Member {
    pub(super) fn new(claim: Claim, published: PublishedBody, by: &str, now: Micros) -> Member {
        Member {
            claim,
            state_since: now,
            revision: published.revision,
            body: published.body,
            encoded_body: published.encoded,
            suspicion: (claim.state == MemberState::Suspected).then(|| Suspicion::new(now)),
            declared_dead_by: by.to_string(),
            acknowledged_at: None,
            received_at: None,
            round_trip: None,
        }
    }

    /// Where it receives datagrams, if it published a valid address.
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

    /// The same with the body of a member that is present.
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

    /// Who is named for a suspicion or a death: of several accusers the preferred one, if it is among them.
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
