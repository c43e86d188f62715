//! Catching up after a start: all records are copied from two donors in parallel, tree by tree, and page by page in the
//! order of their keys. If a donor fails or stalls, the next one continues after the last key of the latest page.
//!
//! Invariants: a tree is copied by one transfer at a time; a tree that is done stays done; once all trees are done, the
//! state is dropped.

use super::receive::Origin;
use super::{Action, LogEvent, Replica, STALL_TIMEOUT};
use crate::record::Key;
use crate::record_type::{Tree, TREES};
use crate::wire::{Body, CatchUpPage, CatchUpRequest};
use crate::Micros;
use std::collections::BTreeSet;

/// Number of transfers that run in parallel.
const TRANSFERS: usize = 2;
/// The order in which each transfer copies the trees. The first transfer starts with the urgent records, the second
/// with those that can wait.
const TREE_ORDERS: [[Tree; TREES]; TRANSFERS] = [
    [Tree::Urgent, Tree::Claims, Tree::Background],
    [Tree::Background, Tree::Claims, Tree::Urgent],
];

/// The progress of catching up.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    started_at: Micros,
    transfers: [Transfer; TRANSFERS],
    /// Indexed by the number of the tree.
    progress: [TreeProgress; TREES],
    /// Number of records received.
    records: u64,
    /// Whether the host was notified that this proxy may report that it is ready.
    ready_reported: bool,
}

/// A transfer from one donor, which copies one tree at a time.
#[derive(Clone, Debug)]
struct Transfer {
    donor: Option<String>,
    /// The tree being copied; none between trees.
    tree: Option<Tree>,
    requested_at: Micros,
}

#[derive(Clone, Debug, Default)]
struct TreeProgress {
    /// The last key of the latest page.
    last_key: Option<Key>,
    done: bool,
}

impl Transfer {
    fn is_stalled(&self, now: Micros) -> bool {
        self.tree.is_some() && now >= self.requested_at + STALL_TIMEOUT
    }
}

impl CatchUp {
    pub(super) fn new(now: Micros) -> CatchUp {
        let transfer = Transfer {
            donor: None,
            tree: None,
            requested_at: now,
        };
        CatchUp {
            started_at: now,
            transfers: [transfer.clone(), transfer],
            progress: Default::default(),
            records: 0,
            ready_reported: false,
        }
    }

    fn is_tree_done(&self, tree: Tree) -> bool {
        self.progress[tree as usize].done
    }

    fn is_done(&self) -> bool {
        Tree::ALL.into_iter().all(|tree| self.is_tree_done(tree))
    }

    /// Marks all trees as done, because there is no proxy to copy from.
    fn mark_all_done(&mut self) {
        for progress in &mut self.progress {
            progress.done = true;
        }
    }

    /// The next tree for a transfer: one that is neither done nor being copied by the other transfer.
    fn next_tree(&self, index: usize) -> Option<Tree> {
        let other = self.transfers[1 - index].tree;
        TREE_ORDERS[index]
            .into_iter()
            .find(|tree| !self.is_tree_done(*tree) && other != Some(*tree))
    }

    /// The index of the transfer that copies this tree from this donor.
    fn transfer_of(&self, donor: &str, tree: Tree) -> Option<usize> {
        self.transfers.iter().position(|transfer| {
            transfer.donor.as_deref() == Some(donor) && transfer.tree == Some(tree)
        })
    }
}

impl Replica {
    /// Whether a tree is still being copied.
    pub(super) fn is_catching_up(&self, tree: Tree) -> bool {
        self.catch_up
            .as_ref()
            .is_some_and(|state| !state.is_tree_done(tree))
    }

    /// Reports readiness and completion, and requests records for transfers that do not wait for a donor.
    pub(super) fn continue_catch_up(&mut self, actions: &mut Vec<Action>) {
        let Some(mut state) = self.catch_up.take() else {
            return;
        };
        if self.is_alone() {
            state.mark_all_done();
        }
        self.report_ready(&mut state, actions);
        if state.is_done() {
            let elapsed = self.now - state.started_at;
            let records = state.records;
            actions.push(Action::Log(LogEvent::CaughtUp { records, elapsed }));
            return;
        }
        for index in 0..TRANSFERS {
            self.continue_transfer(&mut state, index, actions);
        }
        self.catch_up = Some(state);
    }

    /// Reports that this proxy is ready once urgent records and claims are complete, or after `ready_timeout`.
    fn report_ready(&mut self, state: &mut CatchUp, actions: &mut Vec<Action>) {
        let elapsed = self.now - state.started_at;
        let caught_up = state.is_tree_done(Tree::Urgent) && state.is_tree_done(Tree::Claims);
        let is_due = caught_up || elapsed >= self.settings.ready_timeout;
        if is_due && !state.ready_reported {
            state.ready_reported = true;
            self.ready = Some(caught_up);
            actions.push(Action::Log(LogEvent::Ready { caught_up, elapsed }));
        }
    }

    /// Starts to copy the next tree, or replaces the donor of the current one if it failed or stalled.
    fn continue_transfer(&mut self, state: &mut CatchUp, index: usize, actions: &mut Vec<Action>) {
        let transfer = state.transfers[index].clone();
        let is_failed = !transfer
            .donor
            .as_ref()
            .is_some_and(|name| self.is_alive(name));
        let is_stalled = transfer.is_stalled(self.now);
        if transfer.tree.is_some() && !is_failed && !is_stalled {
            return;
        }
        let Some(donor) = self.choose_donor(state, index) else {
            return;
        };
        let Some(tree) = state.next_tree(index) else {
            return;
        };
        let replaced = transfer.donor.filter(|former| *former != donor);
        if let Some(former) = replaced.filter(|_| is_stalled || is_failed) {
            let next = donor.clone();
            actions.push(Action::Log(LogEvent::DonorReplaced { former, next }));
        }
        let after = state.progress[tree as usize].last_key.clone();
        self.request_page(&donor, tree, after, actions);
        state.transfers[index] = Transfer {
            donor: Some(donor),
            tree: Some(tree),
            requested_at: self.now,
        };
    }

    /// The nearest proxy that is neither the other transfer's donor nor a donor that stalled. If there is none, the
    /// transfer's previous donor if it is alive, and otherwise the nearest of all proxies.
    fn choose_donor(&self, state: &CatchUp, index: usize) -> Option<String> {
        let transfer = &state.transfers[index];
        let mut excluded: BTreeSet<String> =
            state.transfers[1 - index].donor.iter().cloned().collect();
        if transfer.is_stalled(self.now) {
            excluded.extend(transfer.donor.clone());
        }
        let former = || transfer.donor.clone().filter(|name| self.is_alive(name));
        self.nearest_peer(&excluded)
            .or_else(former)
            .or_else(|| self.nearest_peer(&BTreeSet::new()))
    }

    fn request_page(
        &mut self,
        donor: &str,
        tree: Tree,
        after: Option<Key>,
        actions: &mut Vec<Action>,
    ) {
        let from_start = after.is_none();
        let (record_type, name) = after.map_or((0, Vec::new()), |key| (key.record_type, key.name));
        let request = CatchUpRequest {
            tree: tree as u32,
            from_start,
            record_type,
            name,
        };
        self.send(donor, Body::CatchUpRequest(request), actions);
    }

    /// Merges a donor's page and continues the transfer that it belongs to.
    pub(super) fn receive_page(
        &mut self,
        from: &str,
        page: CatchUpPage,
        actions: &mut Vec<Action>,
    ) {
        let Some(tree) = Tree::from_wire(page.tree) else {
            return;
        };
        for record in &page.records {
            self.merge_received(record, Origin::Repair, actions);
        }
        let Some(mut state) = self.catch_up.take() else {
            return;
        };
        if let Some(index) = state.transfer_of(from, tree) {
            self.advance_transfer(&mut state, index, tree, &page, actions);
        }
        self.catch_up = Some(state);
        self.continue_catch_up(actions);
    }

    /// Updates the progress of a transfer after a page, and requests the next page unless this was the last.
    fn advance_transfer(
        &mut self,
        state: &mut CatchUp,
        index: usize,
        tree: Tree,
        page: &CatchUpPage,
        actions: &mut Vec<Action>,
    ) {
        state.records += page.records.len() as u64;
        let progress = &mut state.progress[tree as usize];
        if let Some(last) = page.records.last() {
            progress.last_key = Some(Key::from_wire(last));
        }
        progress.done |= page.last;
        let after = progress.last_key.clone();
        let transfer = &mut state.transfers[index];
        transfer.requested_at = self.now;
        if page.last {
            transfer.tree = None;
        } else if let Some(donor) = &transfer.donor {
            self.request_page(donor, tree, after, actions);
        }
    }
}
