//! The table of requests. A request is in the table from the time it was read until it has been answered and its last
//! attempt has ended.
//!
//! Invariants: a request is removed only after the router has handled the event that ended it. Before that the router
//! may start another attempt, and would wait forever for the end of an attempt of an unknown request. `body_bytes` is
//! the sum of the bodies of all requests in the table.

use crate::frame;
use meadowrill_admission::request::{Completion, Ticket};
use meadowrill_routing::interface::{EndpointIndex, Micros};
use smallvec::SmallVec;
use std::collections::HashMap;

/// Identifies an attempt in flight: its connection to an endpoint, and its serial number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptHandle {
    /// Number of the connection.
    pub(super) connection: u64,
    /// Serial number of the attempt, which distinguishes it from other attempts on the connection.
    pub(super) serial: u64,
}

/// A request that the proxy is handling.
pub(super) struct ProxiedRequest {
    /// Number of the client's connection, and the stream on it.
    pub(super) client: u64,
    pub(super) stream: u32,
    /// The request as the client sent it.
    pub(super) message: Box<frame::Request>,
    /// Index of its class in the configuration.
    pub(super) class: usize,
    pub(super) deadline: Micros,
    /// Whether the client still waits for the response.
    pub(super) awaits_response: bool,
    /// Whether a rejection or failure counts for availability: the request is valid, and its client has not closed its
    /// sending side.
    pub(super) counts_for_availability: bool,
    /// Ticket of admission control, queued or admitted, until the request is answered or its client disconnects.
    pub(super) ticket: Option<Ticket>,
    /// The completion that is reported to admission control.
    pub(super) completion: Completion,
    /// Attempts by number; `None` for an attempt that has ended.
    pub(super) attempts: SmallVec<[Option<AttemptHandle>; 4]>,
    /// State of the claim at the ledger.
    pub(super) claim: ClaimState,
    /// Whether an attempt that has ended may have run.
    pub(super) ended_attempt_may_have_run: bool,
    /// Sources that the attempts named, by number of the attempt. Recorded only if state is shared.
    pub(super) sources: SmallVec<[EndpointIndex; 2]>,
}

/// State of the claim of a request with a side effect at the shared ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimState {
    /// The request has no claim.
    None,
    /// The ledger has not decided yet; the request has not been submitted to the router.
    Pending,
    /// The request may run.
    Granted {
        /// An attempt under an earlier claim of the same key may have run.
        earlier_may_have_run: bool,
    },
}

impl ProxiedRequest {
    pub(super) fn has_claim(&self) -> bool {
        self.claim != ClaimState::None
    }

    /// Whether any attempt may have run. An attempt in flight counts as one that may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.ended_attempt_may_have_run || self.attempts.iter().any(Option::is_some)
    }

    fn is_finished(&self) -> bool {
        !self.awaits_response && self.attempts.iter().all(Option::is_none)
    }
}

/// All requests that the proxy is handling.
#[derive(Default)]
pub(super) struct RequestTable {
    by_id: HashMap<u32, ProxiedRequest>,
    /// Valid requests by the id that the client assigned.
    by_client_id: HashMap<u64, u32>,
    body_bytes: usize,
    /// Requests that may have finished since the router last handled events.
    maybe_finished: Vec<u32>,
    /// Empty buffer that is swapped with `maybe_finished`.
    spare: Vec<u32>,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Total size of the bodies that requests hold for further attempts, in bytes.
    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    pub(super) fn get(&self, id: u32) -> Option<&ProxiedRequest> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u32) -> Option<&mut ProxiedRequest> {
        self.by_id.get_mut(&id)
    }

    /// The most recent request to which a client assigned this id, if it is in the table.
    pub(super) fn by_client_id(&self, client_id: u64) -> Option<&ProxiedRequest> {
        self.get(*self.by_client_id.get(&client_id)?)
    }

    /// Adds a request. An invalid request cannot be found by the id that its client assigned.
    pub(super) fn insert(&mut self, id: u32, request: ProxiedRequest, valid: bool) {
        self.body_bytes += request.message.body.len();
        if valid {
            self.by_client_id.insert(request.message.id, id);
        }
        self.by_id.insert(id, request);
    }

    /// Returns an attempt that is in flight.
    pub(super) fn attempt(&self, id: u32, number: u8) -> Option<AttemptHandle> {
        let request = self.get(id)?;
        request.attempts.get(usize::from(number)).copied().flatten()
    }

    /// Marks a request that may have finished. It is checked once the router has handled the events queued until now.
    pub(super) fn mark_maybe_finished(&mut self, id: u32) {
        self.maybe_finished.push(id);
    }

    pub(super) fn any_maybe_finished(&self) -> bool {
        !self.maybe_finished.is_empty()
    }

    /// Takes the list of requests that may have finished. Return the buffer with [`RequestTable::recycle`].
    pub(super) fn take_maybe_finished(&mut self) -> Vec<u32> {
        std::mem::replace(&mut self.maybe_finished, std::mem::take(&mut self.spare))
    }

    pub(super) fn recycle(&mut self, mut buffer: Vec<u32>) {
        buffer.clear();
        self.spare = buffer;
    }

    /// Removes a request that no longer waits for its response and has no attempt in flight.
    pub(super) fn remove_finished(&mut self, id: u32) -> Option<ProxiedRequest> {
        let request = self.get(id).filter(|request| request.is_finished())?;
        let client_id = request.message.id;
        self.body_bytes -= request.message.body.len();
        if self.by_client_id.get(&client_id) == Some(&id) {
            self.by_client_id.remove(&client_id);
        }
        self.by_id.remove(&id)
    }
}
