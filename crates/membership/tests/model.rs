//! Model checking of the rules of suspicion, refutation, restart and forgetting with three members. All states up to a
//! depth are explored, in which claims are sent, lost, duplicated and reordered. The rules are those of `claim.rs`, and
//! further tests check that broken rules are detected.

use meadowrill_membership::claim::{refute, supersede_start, Claim, MemberState};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const NODES: usize = 3;
const DEPTH: usize = 7;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenRule {
    None,
    NoRefutation,
    StaleIncarnation,
    NoTombstones,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Node {
    is_running: bool,
    own: Claim,
    /// This node's claims about the others; `None` for itself and for forgotten members.
    known: [Option<Claim>; NODES],
    /// Latest forgotten start of each member; claims with an earlier or equal start are ignored.
    forgotten_starts: [u64; NODES],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: [Node; NODES],
    /// Claims in transit, with their recipient and subject. A claim may be delivered never, once or repeatedly.
    in_transit: BTreeSet<(usize, usize, Claim)>,
    /// Whether a claim about a forgotten process was accepted again.
    revived: bool,
    /// Whether two nodes still differed after they had exchanged all their claims.
    disagrees: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Suspect(usize, usize),
    DeclareDead(usize, usize),
    Send(usize, usize, usize),
    Receive(usize, usize, Claim),
    Exchange(usize, usize),
    Restart(usize),
    Forget(usize, usize),
}

struct Rules(BrokenRule);

impl Rules {
    fn supersedes(&self, new: &Claim, known: &Claim) -> bool {
        match self.0 {
            BrokenRule::StaleIncarnation if new.start == known.start => new.state != known.state,
            _ => new.supersedes(known),
        }
    }

    fn refute(&self, own: Claim, received: Claim) -> Option<Claim> {
        if self.0 == BrokenRule::NoRefutation {
            return None;
        }
        if received.start > own.start {
            return supersede_start(own, received.start);
        }
        refute(own, received)
    }

    fn receive(&self, world: &mut World, receiver: usize, subject: usize, claim: Claim) {
        let node = &mut world.nodes[receiver];
        if !node.is_running {
            return;
        }
        if receiver == subject {
            if let Some(refutation) = self.refute(node.own, claim) {
                node.own = refutation;
            }
            return;
        }
        if claim.start <= node.forgotten_starts[subject] {
            if self.0 != BrokenRule::NoTombstones {
                return;
            }
            world.revived = true;
        }
        if node.known[subject].is_none_or(|known| self.supersedes(&claim, &known)) {
            node.known[subject] = Some(claim);
        }
    }

    fn claim_of(world: &World, observer: usize, subject: usize) -> Option<Claim> {
        if observer == subject {
            Some(world.nodes[observer].own)
        } else {
            world.nodes[observer].known[subject]
        }
    }

    /// Anti-entropy: each node receives all claims of the other. The nodes concerned refute wrong claims, and the
    /// refutations are exchanged as well.
    fn exchange(&self, world: &mut World, a: usize, b: usize) {
        for _ in 0..3 {
            for (from, to) in [(a, b), (b, a)] {
                for subject in 0..NODES {
                    if let Some(claim) = Rules::claim_of(world, from, subject) {
                        self.receive(world, to, subject, claim);
                    }
                }
            }
        }
        let is_forgotten = |subject: usize| {
            world.nodes[a].forgotten_starts[subject].max(world.nodes[b].forgotten_starts[subject])
                > 0
        };
        let is_equal = (0..NODES).all(|subject| {
            is_forgotten(subject)
                || Rules::claim_of(world, a, subject) == Rules::claim_of(world, b, subject)
        });
        world.disagrees |= !is_equal;
    }
}

impl Model for Rules {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let claim = Some(Claim::alive(1));
        let node = |index: usize| {
            let mut known = [claim; NODES];
            known[index] = None;
            Node {
                is_running: true,
                own: Claim::alive(1),
                known,
                forgotten_starts: [0; NODES],
            }
        };
        let nodes = [node(0), node(1), node(2)];
        vec![World {
            nodes,
            in_transit: BTreeSet::new(),
            revived: false,
            disagrees: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for a in (0..NODES).filter(|a| world.nodes[*a].is_running) {
            for b in (0..NODES).filter(|b| *b != a) {
                match world.nodes[a].known[b].map(|c| c.state) {
                    Some(MemberState::Alive) => steps.push(Step::Suspect(a, b)),
                    Some(MemberState::Suspected) => steps.push(Step::DeclareDead(a, b)),
                    Some(MemberState::Dead) => steps.push(Step::Forget(a, b)),
                    _ => {}
                }
                steps.extend((0..NODES).map(|subject| Step::Send(a, b, subject)));
                if a < b && world.nodes[b].is_running {
                    steps.push(Step::Exchange(a, b));
                }
            }
            if world.nodes[a].own.start < 2 {
                steps.push(Step::Restart(a));
            }
        }
        steps.extend(
            world
                .in_transit
                .iter()
                .map(|(to, subject, claim)| Step::Receive(*to, *subject, *claim)),
        );
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Suspect(a, b) | Step::DeclareDead(a, b) => {
                let to = if matches!(step, Step::DeclareDead(..)) {
                    MemberState::Dead
                } else {
                    MemberState::Suspected
                };
                next.nodes[a].known[b] = next.nodes[a].known[b].map(|c| c.with_state(to));
            }
            Step::Send(a, b, subject) => {
                let claim = Rules::claim_of(&next, a, subject)?;
                next.in_transit.insert((b, subject, claim));
            }
            Step::Receive(to, subject, claim) => self.receive(&mut next, to, subject, claim),
            Step::Exchange(a, b) => self.exchange(&mut next, a, b),
            Step::Restart(a) => {
                let start = next.nodes[a].own.start + 1;
                next.nodes[a] = Node {
                    is_running: true,
                    own: Claim::alive(start),
                    known: [None; NODES],
                    forgotten_starts: [0; NODES],
                };
            }
            Step::Forget(a, b) => {
                let claim = next.nodes[a].known[b].take()?;
                next.nodes[a].forgotten_starts[b] =
                    next.nodes[a].forgotten_starts[b].max(claim.start);
            }
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Rules>> {
        vec![
            Property::always(
                "a live member is not considered dead forever",
                |rules: &Rules, world: &World| {
                    (0..NODES).all(|observer| {
                        (0..NODES)
                            .filter(|subject| {
                                *subject != observer && world.nodes[*subject].is_running
                            })
                            .all(|subject| {
                                let own = world.nodes[subject].own;
                                let received = world.nodes[observer].known[subject]
                                    .filter(|c| !c.state.is_present());
                                received.is_none_or(|known| {
                                    // The member's own claim supersedes the known one, or will do so after the
                                    // member has received and refuted it.
                                    own.supersedes(&known)
                                        || rules
                                            .refute(own, known)
                                            .is_some_and(|c| c.supersedes(&known))
                                })
                            })
                    })
                },
            ),
            Property::always(
                "no forgotten process returns",
                |_: &Rules, world: &World| !world.revived,
            ),
            Property::always(
                "two nodes agree after an exchange",
                |_: &Rules, world: &World| !world.disagrees,
            ),
        ]
    }
}

fn explore(broken: BrokenRule) -> Vec<&'static str> {
    let checker = Rules(broken)
        .checker()
        .target_max_depth(DEPTH)
        .threads(4)
        .spawn_bfs()
        .join();
    println!("{broken:?}: {} states", checker.unique_state_count());
    checker.discoveries().into_keys().collect()
}

#[test]
fn the_rules_hold_in_every_order_of_messages() {
    assert_eq!(explore(BrokenRule::None), Vec::<&str>::new());
}

#[test]
fn broken_rules_are_detected() {
    assert!(
        explore(BrokenRule::NoRefutation).contains(&"a live member is not considered dead forever")
    );
    assert!(explore(BrokenRule::NoTombstones).contains(&"no forgotten process returns"));
    assert!(!explore(BrokenRule::StaleIncarnation).is_empty());
}
