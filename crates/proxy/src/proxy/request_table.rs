//! The table of requests: each from when it was read until it has its response and its last attempt has ended.
//!
//! Invariants: a request is removed only after the router has handled what ended it (until then the router may start
//! another attempt, and would wait for ever for the end of one that nobody knows); `body_bytes` is the sum of the bodies
//! of all requests in the table.

use crate::frame;
use meadowrill_admission::request::{Completion, Ticket};
use meadowrill_routing::interface::{EndpointIndex, Micros};
use smallvec::SmallVec;
use std::collections::HashMap;

/// Where an attempt is in flight: a connection to an endpoint, and which of its uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptHandle {
    /// Number of the connection.
    pub(super) connection: u64,
    /// Serial number of the attempt: tells the uses of a connection apart.
    pub(super) serial: u64,
}

/// A request that the proxy works on.
pub(super) struct ProxiedRequest {
    /// The client's connection, and the stream on it.
    pub(super) client: u64,
    pub(super) stream: u32,
    /// The request as the client sent it.
    pub(super) message: Box<frame::Request>,
    /// Index of its class in the configuration.
    pub(super) class: usize,
    pub(super) deadline: Micros,
    /// Its client still waits for the response.
    pub(super) awaits_response: bool,
    /// A rejection or failure of it counts for availability: it is valid, and its client has not ended its side.
    pub(super) counts_for_availability: bool,
    /// Its ticket of admission control, queued or admitted, until it has its response or its client has left.
    pub(super) ticket: Option<Ticket>,
    /// What admission control is told of its completion.
    pub(super) completion: Completion,
    /// By the number of the attempt: where it is in flight; none once it has ended.
    pub(super) attempts: SmallVec<[Option<AttemptHandle>; 4]>,
    /// Its claim at the ledger of effects.
    pub(super) claim: LedgerWait,
    /// An attempt that has ended may have run.
    pub(super) ended_attempt_may_have_run: bool,
    /// By the number of the attempt: the source that it named. Kept only where state is shared.
    pub(super) sources: SmallVec<[EndpointIndex; 2]>,
}

/// How far a request with an effect has come with its claim at the ledger that the proxies share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LedgerWait {
    /// There is none.
    None,
    /// The ledger has not decided yet; the router does not know of the request.
    Pending,
    /// The request may run.
    Granted {
        /// Another proxy's claim of the same key may have run before.
        earlier_may_have_run: bool,
    },
}

impl ProxiedRequest {
    pub(super) fn has_claim(&self) -> bool {
        self.claim != LedgerWait::None
    }

    /// Whether any attempt may have run: what is still in flight may.
    pub(super) fn may_have_run(&self) -> bool {
        self.ended_attempt_may_have_run || self.attempts.iter().any(Option::is_some)
    }

    fn is_finished(&self) -> bool {
        !self.awaits_response && self.attempts.iter().all(Option::is_none)
    }
}

/// All requests that the proxy works on.
#[derive(Default)]
pub(super) struct RequestTable {
    by_id: HashMap<u32, ProxiedRequest>,
    /// Valid requests by the id that their client gave them.
    by_client_id: HashMap<u64, u32>,
    body_bytes: usize,
    /// Requests that may have finished since the router last handled events.
    maybe_finished: Vec<u32>,
    /// An empty buffer to swap with `maybe_finished`.
    spare: Vec<u32>,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Bytes of the bodies that requests hold for further attempts.
    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    pub(super) fn get(&self, id: u32) -> Option<&ProxiedRequest> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u32) -> Option<&mut ProxiedRequest> {
        self.by_id.get_mut(&id)
    }

    /// The request to which a client gave this id last, while it is in the table.
    pub(super) fn by_client_id(&self, client_id: u64) -> Option<&ProxiedRequest> {
        self.get(*self.by_client_id.get(&client_id)?)
    }

    /// Adds a request. One that is invalid is not found by its client's id.
    pub(super) fn insert(&mut self, id: u32, request: ProxiedRequest, valid: bool) {
        self.body_bytes += request.message.body.len();
        if valid {
            self.by_client_id.insert(request.message.id, id);
        }
        self.by_id.insert(id, request);
    }

    /// Where an attempt is in flight.
    pub(super) fn attempt(&self, id: u32, number: u8) -> Option<AttemptHandle> {
        let request = self.get(id)?;
        request.attempts.get(usize::from(number)).copied().flatten()
    }

    /// Notes that a request may have finished: to be looked at once the router has handled the events until now.
    pub(super) fn note_maybe_finished(&mut self, id: u32) {
        self.maybe_finished.push(id);
    }

    pub(super) fn any_maybe_finished(&self) -> bool {
        !self.maybe_finished.is_empty()
    }

    /// Takes the list of requests that may have finished. Give the buffer back with [`RequestTable::recycle`].
    pub(super) fn take_maybe_finished(&mut self) -> Vec<u32> {
        std::mem::replace(&mut self.maybe_finished, std::mem::take(&mut self.spare))
    }

    pub(super) fn recycle(&mut self, mut buffer: Vec<u32>) {
        buffer.clear();
        self.spare = buffer;
    }

    /// Removes a request that has its response and no attempt in flight.
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
