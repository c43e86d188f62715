//! The state of the model: three proxies, the messages in flight between them, and how often the side effect ran.

use super::model::Fault;
use meadowrill_replication::ledger::Ledger;
use meadowrill_replication::map::{Map, MapLimits};
use meadowrill_replication::settings::LedgerSettings;
use meadowrill_replication::wire::{ClaimReply, ClaimRequest};
use std::hash::{Hash, Hasher};

pub(crate) const PROXIES: usize = 3;
/// Incarnations of all proxies after the first start, and of a proxy after a restart.
pub(crate) const FIRST_INCARNATION: u64 = 100;
pub(crate) const LATER_INCARNATION: u64 = 200;

/// One proxy.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) ledger: Ledger,
    pub(crate) map: Map,
    /// Whether it has compared its claims with the others since its start.
    pub(crate) can_vote: bool,
    pub(crate) alive: bool,
    pub(crate) incarnation: u64,
}

impl Node {
    pub(crate) fn new(index: usize, incarnation: u64, can_vote: bool, fault: Fault) -> Node {
        let settings = LedgerSettings {
            owners_per_key: if fault == Fault::SingleOwner { 1 } else { 3 },
            ..LedgerSettings::default()
        };
        Node {
            ledger: Ledger::new(settings, &name(index), incarnation, 7),
            map: Map::new(MapLimits {
                entries: 100,
                bytes: 1_000_000,
            }),
            can_vote,
            alive: true,
            incarnation,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Message {
    Request(ClaimRequest),
    Reply(ClaimReply),
}

#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) nodes: Vec<Node>,
    /// Sender, receiver and message.
    pub(crate) in_flight: Vec<(usize, usize, Message)>,
    /// Requests that were admitted and have not run: the proxy and the token.
    pub(crate) admitted: Vec<(usize, u64)>,
    pub(crate) requests: u32,
    pub(crate) runs: u32,
    pub(crate) crashes: u32,
    pub(crate) split: bool,
    pub(crate) splits: u32,
}

impl World {
    pub(crate) fn new(fault: Fault) -> World {
        let node = |index| Node::new(index, FIRST_INCARNATION, true, fault);
        World {
            nodes: (0..PROXIES).map(node).collect(),
            in_flight: Vec::new(),
            admitted: Vec::new(),
            requests: 0,
            runs: 0,
            crashes: 0,
            split: false,
            splits: 0,
        }
    }

    /// Whether two proxies reach each other. A split separates the last proxy from the first two.
    pub(crate) fn reaches(&self, one: usize, other: usize) -> bool {
        let is_last = |index| index == PROXIES - 1;
        !self.split || is_last(one) == is_last(other)
    }

    /// The state as text. The random back-off after a conflict does not matter, because no timer fires in the model.
    fn text(&self) -> String {
        format!("{self:?}")
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.text() == other.text()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text().hash(state);
    }
}

pub(crate) fn name(index: usize) -> String {
    format!("front-{index}")
}

pub(crate) fn index(name: &str) -> usize {
    (0..PROXIES)
        .find(|index| self::name(*index) == name)
        .expect("a proxy of the model")
}
