//! The donor's side of catching up: sends records to proxies that have started, within a separate budget.
//!
//! Invariant: for each proxy and tree, at most one request is pending, the latest.

use super::budget::TokenBucket;
use super::send::encoded_size;
use super::{Action, Replica};
use crate::record::Key;
use crate::record_type::Tree;
use crate::wire::{Body, CatchUpPage, CatchUpRequest};
use crate::Micros;
use std::collections::VecDeque;

/// Maximum number of requests that wait for budget.
const MAX_PENDING: usize = 8;
/// Bytes of records after which a page ends. Client requests wait while a page is compressed, so pages are small.
const PAGE_BYTES: usize = 6 * 1024;

/// Requests of proxies that are catching up, and the budget for the answers.
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

    /// Adds the budget for the time since the last refill.
    pub(super) fn refill(&mut self, now: Micros) {
        self.budget.refill(now);
    }

    /// Takes the bytes of an answer from the budget.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.budget.spend(bytes);
    }

    /// Adds a request. It replaces an earlier request of the same proxy for the same tree.
    fn add(&mut self, from: String, request: CatchUpRequest) {
        self.pending
            .retain(|pending| pending.from != from || pending.request.tree != request.tree);
        if self.pending.len() < MAX_PENDING {
            self.pending.push_back(PendingRequest { from, request });
        }
    }
}

impl Replica {
    /// Processes a request for records from a proxy that is catching up.
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

    /// Answers pending requests until the budget is used up.
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

    /// One page of the records of a tree that follow a key.
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
