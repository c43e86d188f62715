//! The rules of suspicion, refutation, restart and forgetting for three members, explored whole to a depth: claims are
//! told, lost, doubled and overtaken in every order. The rules themselves are those of `claim.rs`; broken ones are found.

use meadowrill_membership::claim::{refute, supersede_start, Claim, MemberState};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const MANY: usize = 3;
const DEPTH: usize = 7;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    NoRefutation,
    StaleIncarnation,
    ForgetsWhole,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Node {
    runs: bool,
    own: Claim,
    /// What it holds of each; nothing of itself.
    holds: [Option<Claim>; MANY],
    /// Starts of those that it has forgotten, and no earlier or equal one is taken in again.
    forgot: [u64; MANY],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: [Node; MANY],
    /// Claims under way: to whom, of whom. One may come never, once or often.
    told: BTreeSet<(usize, usize, Claim)>,
    /// A claim came back that was forgotten; two exchanged all they know and differ.
    back: bool,
    differ: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Suspect(usize, usize),
    Bury(usize, usize),
    Tell(usize, usize, usize),
    Hear(usize, usize, Claim),
    Exchange(usize, usize),
    Restart(usize),
    Forget(usize, usize),
}

struct Rules(Broken);

impl Rules {
    fn overrules(&self, new: &Claim, known: &Claim) -> bool {
        match self.0 {
            Broken::StaleIncarnation if new.start == known.start => new.state != known.state,
            _ => new.supersedes(known),
        }
    }

    fn refute(&self, own: Claim, heard: Claim) -> Option<Claim> {
        if self.0 == Broken::NoRefutation {
            return None;
        }
        if heard.start > own.start {
            return supersede_start(own, heard.start);
        }
        refute(own, heard)
    }

    fn hear(&self, world: &mut World, at: usize, of: usize, claim: Claim) {
        let node = &mut world.nodes[at];
        if !node.runs {
            return;
        }
        if at == of {
            if let Some(better) = self.refute(node.own, claim) {
                node.own = better;
            }
            return;
        }
        if claim.start <= node.forgot[of] {
            if self.0 != Broken::ForgetsWhole {
                return;
            }
            world.back = true;
        }
        if node.holds[of].is_none_or(|known| self.overrules(&claim, &known)) {
            node.holds[of] = Some(claim);
        }
    }

    fn says(world: &World, by: usize, of: usize) -> Option<Claim> {
        if by == of {
            Some(world.nodes[by].own)
        } else {
            world.nodes[by].holds[of]
        }
    }

    /// Digests: each hears all that the other holds, those concerned speak up, and that is heard once more.
    fn exchange(&self, world: &mut World, a: usize, b: usize) {
        for _ in 0..3 {
            for (from, to) in [(a, b), (b, a)] {
                for of in 0..MANY {
                    if let Some(claim) = Rules::says(world, from, of) {
                        self.hear(world, to, of, claim);
                    }
                }
            }
        }
        let forgot = |of: usize| world.nodes[a].forgot[of].max(world.nodes[b].forgot[of]) > 0;
        let same = (0..MANY)
            .all(|of| forgot(of) || Rules::says(world, a, of) == Rules::says(world, b, of));
        world.differ |= !same;
    }
}

impl Model for Rules {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let claim = Some(Claim::alive(1));
        let node = |at: usize| {
            let mut holds = [claim; MANY];
            holds[at] = None;
            Node {
                runs: true,
                own: Claim::alive(1),
                holds,
                forgot: [0; MANY],
            }
        };
        let nodes = [node(0), node(1), node(2)];
        vec![World {
            nodes,
            told: BTreeSet::new(),
            back: false,
            differ: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for a in (0..MANY).filter(|a| world.nodes[*a].runs) {
            for b in (0..MANY).filter(|b| *b != a) {
                match world.nodes[a].holds[b].map(|c| c.state) {
                    Some(MemberState::Alive) => steps.push(Step::Suspect(a, b)),
                    Some(MemberState::Suspected) => steps.push(Step::Bury(a, b)),
                    Some(MemberState::Dead) => steps.push(Step::Forget(a, b)),
                    _ => {}
                }
                steps.extend((0..MANY).map(|of| Step::Tell(a, b, of)));
                if a < b && world.nodes[b].runs {
                    steps.push(Step::Exchange(a, b));
                }
            }
            if world.nodes[a].own.start < 2 {
                steps.push(Step::Restart(a));
            }
        }
        steps.extend(
            world
                .told
                .iter()
                .map(|(to, of, claim)| Step::Hear(*to, *of, *claim)),
        );
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Suspect(a, b) | Step::Bury(a, b) => {
                let to = if matches!(step, Step::Bury(..)) {
                    MemberState::Dead
                } else {
                    MemberState::Suspected
                };
                next.nodes[a].holds[b] = next.nodes[a].holds[b].map(|c| c.with_state(to));
            }
            Step::Tell(a, b, of) => {
                let claim = Rules::says(&next, a, of)?;
                next.told.insert((b, of, claim));
            }
            Step::Hear(to, of, claim) => self.hear(&mut next, to, of, claim),
            Step::Exchange(a, b) => self.exchange(&mut next, a, b),
            Step::Restart(a) => {
                let start = next.nodes[a].own.start + 1;
                next.nodes[a] = Node {
                    runs: true,
                    own: Claim::alive(start),
                    holds: [None; MANY],
                    forgot: [0; MANY],
                };
            }
            Step::Forget(a, b) => {
                let claim = next.nodes[a].holds[b].take()?;
                next.nodes[a].forgot[b] = next.nodes[a].forgot[b].max(claim.start);
            }
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Rules>> {
        vec![
            Property::always(
                "a live one is not dead for ever",
                |rules: &Rules, world: &World| {
                    (0..MANY).all(|by| {
                        (0..MANY)
                            .filter(|of| *of != by && world.nodes[*of].runs)
                            .all(|of| {
                                let own = world.nodes[of].own;
                                let heard =
                                    world.nodes[by].holds[of].filter(|c| !c.state.is_present());
                                heard.is_none_or(|held| {
                                    // Once it hears of it, what it says then stands; or what it says already does.
                                    own.supersedes(&held)
                                        || rules
                                            .refute(own, held)
                                            .is_some_and(|c| c.supersedes(&held))
                                })
                            })
                    })
                },
            ),
            Property::always("no forgotten one comes back", |_: &Rules, world: &World| {
                !world.back
            }),
            Property::always(
                "two that exchange digests agree",
                |_: &Rules, world: &World| !world.differ,
            ),
        ]
    }
}

fn explore(broken: Broken) -> Vec<&'static str> {
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
fn the_rules_hold_in_every_order() {
    assert_eq!(explore(Broken::Nothing), Vec::<&str>::new());
}

#[test]
fn broken_rules_are_found() {
    assert!(explore(Broken::NoRefutation).contains(&"a live one is not dead for ever"));
    assert!(explore(Broken::ForgetsWhole).contains(&"no forgotten one comes back"));
    assert!(!explore(Broken::StaleIncarnation).is_empty());
}
