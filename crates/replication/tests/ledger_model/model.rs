//! The steps and the properties of the model.

use super::world::{index, name, Message, Node, World, LATER_INCARNATION, PROXIES};
use meadowrill_replication::ledger::{
    Decision, Ledger, RequestOutcome, RequestTerms, StepInput, StepOutput, Vote, Voters,
};
use meadowrill_replication::record::{Entry, Key};
use meadowrill_replication::record_type::Tree;
use meadowrill_replication::wire::{ClaimReply, ClaimRequest, Record};
use meadowrill_replication::{Micros, SEC};
use stateright::{Model, Property};

const KEY: &[u8] = b"order-1";
const NOW: Micros = 1000 * SEC;
/// Number of clients, each of which sends a request to one of the first two proxies.
const CLIENTS: u32 = 2;

pub(crate) const RUNS_AT_MOST_ONCE: &str = "runs at most once";
pub(crate) const RUNS: &str = "runs";

/// The fault that is injected into the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// An owner grants a claim although another conflicts.
    GrantsAll,
    /// A key has one owner.
    SingleOwner,
    /// A proxy votes after a restart before it has compared its claims with the others.
    VotesBeforeComparing,
    /// A request that ran is recorded as not run.
    ForgetsOutcome,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// A client sends a request to this proxy.
    Request(usize),
    Deliver(usize),
    Lose(usize),
    /// The attempt of an admitted request runs at the origin, and its response arrives or is lost.
    Run {
        admitted: usize,
        answered: bool,
    },
    Crash(usize),
    Restart(usize),
    /// A proxy compares its claims with all others.
    Compare(usize),
    Split,
    Heal,
}

pub(crate) struct LedgerModel(pub(crate) Fault);

impl LedgerModel {
    /// The voters in this proxy's view.
    fn voters(world: &World, node: usize) -> Voters {
        let incarnation = |other: usize| {
            let is_reached = world.nodes[other].alive && world.reaches(node, other);
            is_reached.then_some(world.nodes[other].incarnation)
        };
        let all = 0..PROXIES;
        let compared = if world.nodes[node].can_vote {
            all.clone().map(name).collect()
        } else {
            Default::default()
        };
        Voters {
            members: all.map(|other| (name(other), incarnation(other))).collect(),
            membership_agreed: true,
            compared_with: compared,
        }
    }

    /// Runs one step of a proxy's ledger. Its vote requests are added to the messages in flight.
    fn step(
        world: &mut World,
        node: usize,
        step: impl FnOnce(&mut Ledger, &mut StepInput, &mut StepOutput),
    ) {
        let voters = LedgerModel::voters(world, node);
        let Node { ledger, map, .. } = &mut world.nodes[node];
        let mut input = StepInput {
            now: NOW,
            map,
            voters: &voters,
        };
        let mut out = StepOutput::default();
        step(ledger, &mut input, &mut out);
        for request in out.requests {
            let message = Message::Request(request.request);
            world.in_flight.push((node, index(&request.to), message));
        }
        for decision in out.decisions {
            if let Decision::Admit { token, .. } = decision {
                world.admitted.push((node, token));
            }
        }
    }

    fn request(world: &mut World, node: usize) {
        world.requests += 1;
        let token = u64::from(world.requests);
        let terms = RequestTerms {
            deadline: NOW + 2 * SEC,
            latency_budget: SEC,
            dedup_window: 0,
        };
        LedgerModel::step(world, node, |ledger, input, out| {
            ledger.begin_request(token, KEY, terms, input, out);
        });
    }

    fn deliver(&self, world: &mut World, message: usize) -> Option<()> {
        let (from, to, message) = world.in_flight.remove(message);
        if !world.nodes[to].alive || !world.reaches(from, to) {
            return None;
        }
        match message {
            Message::Request(request) => {
                let reply = self.vote(world, to, &request)?;
                world.in_flight.push((to, from, Message::Reply(reply)));
            }
            Message::Reply(reply) => LedgerModel::step(world, to, |ledger, input, out| {
                ledger.receive_vote(&name(from), reply, input, out);
            }),
        }
        Some(())
    }

    fn vote(&self, world: &mut World, node: usize, request: &ClaimRequest) -> Option<ClaimReply> {
        let mut cast = (Vote::NotReady, Vec::new());
        LedgerModel::step(world, node, |ledger, input, _| {
            cast = ledger.vote(request, input);
        });
        if self.0 == Fault::GrantsAll && cast.0 == Vote::Conflict {
            merge(world, node, request.claim.as_ref()?);
            cast = (Vote::Granted, Vec::new());
        }
        let (vote, conflicting_claims) = cast;
        Some(ClaimReply {
            number: request.number,
            vote: vote as u32,
            conflicting_claims,
        })
    }

    fn run(&self, world: &mut World, admitted: usize, answered: bool) {
        let (node, token) = world.admitted.remove(admitted);
        world.runs += 1;
        let outcome = match (answered, self.0) {
            (_, Fault::ForgetsOutcome) => RequestOutcome::NotRun,
            (true, _) => RequestOutcome::Ran {
                current: false,
                body: Vec::new(),
            },
            (false, _) => RequestOutcome::MayHaveRun,
        };
        // A proxy that has crashed in the meantime records nothing, but its attempt was already in flight.
        if world.nodes[node].alive {
            LedgerModel::step(world, node, |ledger, input, out| {
                ledger.finish_request(token, outcome, input, out);
            });
        }
    }

    /// Compares a proxy's claims with those of all other proxies. Not possible while one of them is down or
    /// unreachable.
    fn compare(world: &mut World, node: usize) -> Option<()> {
        let others: Vec<usize> = (0..PROXIES)
            .filter(|other| *other != node && world.nodes[*other].alive)
            .collect();
        let reaches_all = others.iter().all(|other| world.reaches(*other, node));
        if others.len() + 1 < PROXIES || !reaches_all {
            return None;
        }
        for other in others {
            let claims = world.nodes[other].map.records_after(Tree::Claims, None);
            for record in claims.collect::<Vec<_>>() {
                merge(world, node, &record);
            }
        }
        world.nodes[node].can_vote = true;
        Some(())
    }
}

fn merge(world: &mut World, node: usize, record: &Record) {
    let map = &mut world.nodes[node].map;
    map.merge(Key::from_wire(record), Entry::from_wire(record), NOW);
}

impl Model for LedgerModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self.0)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let alive = |node: &usize| world.nodes[*node].alive;
        let (nodes, messages) = (0..PROXIES, 0..world.in_flight.len());
        if world.requests < CLIENTS {
            steps.extend((0..2).filter(alive).map(Step::Request));
        }
        steps.extend(messages.clone().map(Step::Deliver));
        if world.crashes + world.splits == 0 {
            // Messages are lost separately only before the first crash or split, because those lose messages as well.
            steps.extend(messages.take(2).map(Step::Lose));
        }
        for admitted in 0..world.admitted.len() {
            let run = |answered| Step::Run { admitted, answered };
            steps.extend([run(true), run(false)]);
        }
        if world.crashes == 0 {
            steps.extend(nodes.clone().map(Step::Crash));
        }
        steps.extend(nodes.clone().filter(|node| !alive(node)).map(Step::Restart));
        let may_compare = |node: &usize| alive(node) && !world.nodes[*node].can_vote;
        steps.extend(nodes.filter(may_compare).map(Step::Compare));
        if world.split {
            steps.push(Step::Heal);
        } else if world.splits == 0 {
            steps.push(Step::Split);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Request(node) => LedgerModel::request(&mut world, node),
            Step::Deliver(message) => self.deliver(&mut world, message)?,
            Step::Lose(message) => drop(world.in_flight.remove(message)),
            Step::Run { admitted, answered } => self.run(&mut world, admitted, answered),
            Step::Crash(node) => {
                world.crashes += 1;
                world.nodes[node].alive = false;
                world.in_flight.retain(|(_, to, _)| *to != node);
            }
            Step::Restart(node) => {
                let can_vote = self.0 == Fault::VotesBeforeComparing;
                world.nodes[node] = Node::new(node, LATER_INCARNATION, can_vote, self.0);
            }
            Step::Compare(node) => LedgerModel::compare(&mut world, node)?,
            Step::Split => (world.split, world.splits) = (true, 1),
            Step::Heal => world.split = false,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(RUNS_AT_MOST_ONCE, |_, world: &World| world.runs <= 1),
            Property::sometimes(RUNS, |_, world: &World| world.runs == 1),
        ]
    }
}
