//! The donor's side of catching up: hands records to proxies that start, within a budget of its own.
//!
//! Invariant: one request of each proxy and tree is pending at most, the latest.

use super::budget::TokenBucket;
use super::send::encoded_size;
use super::{Action, Replica};
use crate::record::Key;
use crate::record_type::Tree;
use crate::wire::{Body, CatchUpPage, CatchUpRequest};
use crate::Micros;
use std::collections::VecDeque;

/// Requests that wait for budget.
const MAX_PENDING: usize = 8;
/// Bytes of records in one page: clients' requests wait while it is packed.
const PAGE_BYTES: usize = 6 * 1024;

/// Requests of proxies that catch up, and the budget for answers.
#[derive(Clone, Debug)]
pub(super) struct Donor {
    pending: VecDeque<PendingRequest>,
    budget: TokenBucket,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    from: String,
    request: CatchUpRequest,
}

impl Donor {
    pub(super) fn new(bytes_per_second: u64, now: Micros) -> Donor {
        Donor {
            pending: VecDeque::new(),
            budget: TokenBucket::for_catch_up(bytes_per_second, now),
        }
    }

    /// Whether requests wait for budget.
    pub(super) fn has_requests(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds the budget of the time that has passed.
    pub(super) fn refill(&mut self, now: Micros) {
        self.budget.refill(now);
    }

    /// Takes what an answer cost from the budget.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.budget.spend(bytes);
    }

    /// Adds a request. A later one of the same proxy for the same tree replaces the earlier.
    fn add(&mut self, from: String, request: CatchUpRequest) {
        self.pending
            .retain(|pending| pending.from != from || pending.request.tree != request.tree);
        if self.pending.len() < MAX_PENDING {
            self.pending.push_back(PendingRequest { from, request });
        }
    }
}

impl Replica {
    /// A proxy that catches up requests records.
    pub(super) fn receive_catch_up_request(
        &mut self,
        from: &str,
        request: CatchUpRequest,
        actions: &mut Vec<Action>,
    ) {
        self.refill_budgets();
        self.donor.add(from.to_string(), request);
        self.serve_catch_up_requests(actions);
    }

    /// Answers requests as far as the budget goes.
    pub(super) fn serve_catch_up_requests(&mut self, actions: &mut Vec<Action>) {
        while self.donor.budget.has_tokens() {
            let Some(PendingRequest { from, request }) = self.donor.pending.pop_front() else {
                return;
            };
            let Some(tree) = Tree::from_wire(request.tree) else {
                continue;
            };
            let after = (!request.from_start).then_some(Key {
                record_type: request.record_type,
                name: request.name,
            });
            let page = self.page(tree, after.as_ref());
            self.send(&from, Body::CatchUpPage(page), actions);
        }
    }

    /// The records of a tree that follow a key, as many as fit into one page.
    fn page(&self, tree: Tree, after: Option<&Key>) -> CatchUpPage {
        let mut page = CatchUpPage {
            tree: tree as u32,
            records: Vec::new(),
            last: true,
        };
        let mut size = 0;
        for record in self.map.records_after(tree, after) {
            if size > PAGE_BYTES {
                page.last = false;
                break;
            }
            size += encoded_size(&record);
            page.records.push(record);
        }
        page
    }
}
