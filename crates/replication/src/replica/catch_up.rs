//! Catching up after a start: all records are copied from two donors side by side, tree by tree in the order of keys. A
//! donor that fails or stalls is replaced, and its successor goes on from the last key received.

use super::receive::Origin;
use super::{Act, Replica, Told, STALLED};
use crate::kind::{Tree, TREES};
use crate::record::Key;
use crate::wire::{Body, CatchUpPage, CatchUpRequest};
use crate::Micros;
use std::collections::BTreeSet;

/// The trees in the order in which each transfer takes them: the first copies the urgent kinds first, the second begins
/// with those that can wait.
const TREE_ORDERS: [[Tree; TREES]; TRANSFERS] = [
    [Tree::Urgent, Tree::Effects, Tree::Rest],
    [Tree::Rest, Tree::Effects, Tree::Urgent],
];
/// Transfers that run side by side.
const TRANSFERS: usize = 2;

/// How far catching up has come.
#[derive(Clone, Debug)]
pub(super) struct CatchUpState {
    began_at: Micros,
    transfers: [Transfer; TRANSFERS],
    /// By the number of the tree.
    progress: [TreeProgress; TREES],
    records: u64,
    /// The host has been told that this front may report to be ready.
    ready_reported: bool,
}

/// A transfer from one donor, a tree at a time.
#[derive(Clone, Debug)]
struct Transfer {
    donor: Option<String>,
    /// The tree being copied; none between trees.
    tree: Option<Tree>,
    requested_at: Micros,
}

#[derive(Clone, Debug, Default)]
struct TreeProgress {
    /// The last key received.
    last_key: Option<Key>,
    done: bool,
}

impl Transfer {
    fn is_stalled(&self, now: Micros) -> bool {
        self.tree.is_some() && now >= self.requested_at + STALLED
    }
}

impl CatchUpState {
    pub(super) fn new(now: Micros) -> CatchUpState {
        let transfer = Transfer {
            donor: None,
            tree: None,
            requested_at: now,
        };
        CatchUpState {
            began_at: now,
            transfers: [transfer.clone(), transfer],
            progress: Default::default(),
            records: 0,
            ready_reported: false,
        }
    }

    fn is_done(&self, tree: Tree) -> bool {
        self.progress[tree as usize].done
    }

    /// The next tree for a transfer: one that is not done, nor being copied by the other transfer.
    fn next_tree(&self, index: usize) -> Option<Tree> {
        let other = self.transfers[1 - index].tree;
        TREE_ORDERS[index]
            .into_iter()
            .find(|tree| !self.is_done(*tree) && other != Some(*tree))
    }

    /// The transfer in which this donor copies this tree.
    fn transfer_of(&self, donor: &str, tree: Tree) -> Option<usize> {
        let copies = |transfer: &Transfer| {
            transfer.donor.as_deref() == Some(donor) && transfer.tree == Some(tree)
        };
        self.transfers.iter().position(copies)
    }
}

impl Replica {
    /// Whether a tree is still being copied.
    pub(super) fn is_catching_up(&self, tree: Tree) -> bool {
        self.catch_up
            .as_ref()
            .is_some_and(|state| !state.is_done(tree))
    }

    /// Reports what is complete, and requests records for transfers that have nothing to wait for.
    pub(super) fn continue_catch_up(&mut self, acts: &mut Vec<Act>) {
        let Some(mut state) = self.catch_up.take() else {
            return;
        };
        if self.is_alone() {
            state
                .progress
                .iter_mut()
                .for_each(|progress| progress.done = true);
        }
        self.report_ready(&mut state, acts);
        if Tree::ALL.into_iter().all(|tree| state.is_done(tree)) {
            let took = self.now - state.began_at;
            acts.push(Act::Tell(Told::CaughtUp {
                records: state.records,
                took,
            }));
            return;
        }
        for index in 0..TRANSFERS {
            self.continue_transfer(&mut state, index, acts);
        }
        self.catch_up = Some(state);
    }

    /// This front is ready once the urgent kinds are complete, or after a time although they are not.
    fn report_ready(&mut self, state: &mut CatchUpState, acts: &mut Vec<Act>) {
        let took = self.now - state.began_at;
        let caught_up = state.is_done(Tree::Urgent) && state.is_done(Tree::Effects);
        if !state.ready_reported && (caught_up || took >= self.plan.ready_after) {
            state.ready_reported = true;
            self.ready = Some(caught_up);
            acts.push(Act::Tell(Told::Ready { caught_up, took }));
        }
    }

    /// Begins the next tree, or replaces the donor of the current one if it failed or stalled.
    fn continue_transfer(&mut self, state: &mut CatchUpState, index: usize, acts: &mut Vec<Act>) {
        let Transfer {
            donor: former,
            tree: current,
            ..
        } = state.transfers[index].clone();
        let former_here = former.as_ref().is_some_and(|name| self.is_here(name));
        let stalled = state.transfers[index].is_stalled(self.now);
        if current.is_some() && former_here && !stalled {
            return;
        }
        let Some(donor) = self.choose_donor(state, index) else {
            return;
        };
        let Some(tree) = state.next_tree(index) else {
            return;
        };
        if let Some(former) = former.filter(|former| *former != donor && (stalled || !former_here))
        {
            acts.push(Act::Tell(Told::Donor {
                former,
                next: donor.clone(),
            }));
        }
        let after = state.progress[tree as usize].last_key.clone();
        self.request_page(&donor, tree, after, acts);
        state.transfers[index] = Transfer {
            donor: Some(donor),
            tree: Some(tree),
            requested_at: self.now,
        };
    }

    /// The nearest front that is neither the other transfer's donor nor has stalled; failing that the former donor, or
    /// the nearest of all.
    fn choose_donor(&self, state: &CatchUpState, index: usize) -> Option<String> {
        let transfer = &state.transfers[index];
        let mut excluded: BTreeSet<String> =
            state.transfers[1 - index].donor.iter().cloned().collect();
        if transfer.is_stalled(self.now) {
            excluded.extend(transfer.donor.clone());
        }
        let former = || transfer.donor.clone().filter(|name| self.is_here(name));
        self.nearest_peer(&excluded)
            .or_else(former)
            .or_else(|| self.nearest_peer(&BTreeSet::new()))
    }

    fn request_page(&mut self, donor: &str, tree: Tree, after: Option<Key>, acts: &mut Vec<Act>) {
        let first = after.is_none();
        let Key { kind, name } = after.unwrap_or(Key {
            kind: 0,
            name: Vec::new(),
        });
        self.send(
            donor,
            Body::CatchUpRequest(CatchUpRequest {
                tree: tree as u32,
                first,
                kind,
                name,
            }),
            acts,
        );
    }

    /// A donor sent records.
    pub(super) fn receive_page(&mut self, from: &str, page: CatchUpPage, acts: &mut Vec<Act>) {
        let Some(tree) = Tree::number(page.tree) else {
            return;
        };
        let (last_key, count) = (page.records.last().map(Key::of), page.records.len() as u64);
        for record in page.records {
            self.merge_received(record, Origin::Repair, acts);
        }
        let Some(mut state) = self.catch_up.take() else {
            return;
        };
        if let Some(index) = state.transfer_of(from, tree) {
            state.records += count;
            let progress = &mut state.progress[tree as usize];
            progress.last_key = last_key.or(progress.last_key.take());
            progress.done |= page.last;
            let after = progress.last_key.clone();
            state.transfers[index].requested_at = self.now;
            if page.last {
                state.transfers[index].tree = None;
            } else {
                self.request_page(from, tree, after, acts);
            }
        }
        self.catch_up = Some(state);
        self.continue_catch_up(acts);
    }
}
