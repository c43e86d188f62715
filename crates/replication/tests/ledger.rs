//! The ledger's own code with three fronts, all of them owners, explored whole to a depth: two clients ask for one mark at two
//! fronts, letters come in any order or not at all, one front crashes and starts again knowing nothing, links are cut
//! once. The mark runs once at the most. Broken ones are found.

use meadowrill_replication::ledger::{
    Decision, Ledger, OwnerRequest, RequestOutcome, RequestTerms, StepInput, StepOutput, Vote,
    Voters,
};
use meadowrill_replication::map::{Map, MapLimits};
use meadowrill_replication::record::{Entry, Key};
use meadowrill_replication::record_type::{RecordType, Tree};
use meadowrill_replication::records::{self, ClaimState};
use meadowrill_replication::settings::LedgerSettings;
use meadowrill_replication::wire::{ClaimReply, ClaimRequest, Record};
use meadowrill_replication::{Micros, SEC};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const MANY: usize = 3;
const KEY: &[u8] = b"order-1";
const NOW: Micros = 1000 * SEC;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// An owner grants a claim though another is in the way.
    GrantsAll,
    /// One copy is enough.
    OneCopy,
    /// One that starts anew vouches before it has compared.
    VouchesAtOnce,
    /// What ran is written down as not run.
    ForgetsOutcome,
}

#[derive(Clone, Debug)]
struct Node {
    ledger: Ledger,
    map: Map,
    vouches: bool,
    runs: bool,
    anew: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Mail {
    Ask(ClaimRequest),
    Reply(ClaimReply),
}

#[derive(Clone, Debug)]
struct World {
    nodes: Vec<Node>,
    mail: Vec<(usize, usize, Mail)>,
    /// Lookups that were let go: the front, and the token.
    out: Vec<(usize, u64)>,
    ran: u32,
    crashes: u32,
    starts: u32,
    cut: bool,
    cuts: u32,
    asks: u32,
}

impl World {
    fn text(&self) -> String {
        // Drawn times of a clash do not matter here: nothing is due by itself.
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

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Ask(usize),
    Deliver(usize),
    Lose(usize),
    /// The send of one that was let go runs at the origin, and its answer comes back (or not).
    Run(usize, bool),
    Crash(usize),
    Restart(usize),
    /// All that run and reach each other hold the same.
    Compare(usize),
    Cut,
    Heal,
}

struct Rules(Broken);

fn plan(broken: Broken) -> LedgerSettings {
    LedgerSettings {
        owners_per_key: if broken == Broken::OneCopy { 1 } else { 3 },
        ..LedgerSettings::default()
    }
}

fn node(n: usize, start: u64, vouches: bool, broken: Broken) -> Node {
    Node {
        ledger: Ledger::new(plan(broken), &format!("front-{n}"), start, 7),
        map: Map::new(MapLimits {
            entries: 100,
            bytes: 1_000_000,
        }),
        vouches,
        runs: true,
        anew: start > 100,
    }
}

/// The first two are cut off from the third.
fn side(n: usize) -> bool {
    n == 2
}

impl Rules {
    fn step(
        &self,
        world: &mut World,
        n: usize,
        step: impl FnOnce(
            &mut Ledger,
            &mut StepInput,
            &mut StepOutput,
            Broken,
        ) -> Option<(usize, ClaimReply)>,
    ) {
        let here = |m: usize| world.nodes[m].runs && (!world.cut || side(m) == side(n));
        let start = |m: usize| here(m).then_some(if world.nodes[m].anew { 200 } else { 100 });
        let all = (0..MANY)
            .map(|m| (format!("front-{m}"), start(m)))
            .collect();
        let Node {
            ledger,
            map,
            vouches,
            ..
        } = &mut world.nodes[n];
        let names = |m: usize| format!("front-{m}");
        let compared = if *vouches {
            (0..MANY).map(names).collect()
        } else {
            Default::default()
        };
        let voters = Voters {
            members: all,
            membership_agreed: true,
            compared_with: compared,
        };
        let mut out = StepOutput::default();
        let reply = step(
            ledger,
            &mut StepInput {
                now: NOW,
                map,
                voters: &voters,
            },
            &mut out,
            self.0,
        );
        if let Some((to, reply)) = reply {
            world.mail.push((n, to, Mail::Reply(reply)));
        }
        for OwnerRequest { to, request } in out.requests {
            let to = to
                .strip_prefix("front-")
                .and_then(|m| m.parse().ok())
                .expect("a front");
            world.mail.push((n, to, Mail::Ask(request)));
        }
        for word in out.decisions {
            if let Decision::Admit { token, .. } = word {
                world.out.push((n, token));
            }
        }
    }

    fn deliver(&self, world: &mut World, at: usize) -> Option<()> {
        let (from, to, mail) = world.mail.remove(at);
        if !world.nodes[to].runs || (world.cut && side(from) != side(to)) {
            return None;
        }
        match mail {
            Mail::Ask(ask) => self.step(world, to, |ledger, on, _, broken| {
                let (mut verdict, mut claims) = ledger.vote(&ask, on);
                if broken == Broken::GrantsAll && verdict as u32 == 1 {
                    let record = ask.claim.clone()?;
                    let key = Key {
                        record_type: record.record_type,
                        name: record.name.clone(),
                    };
                    on.map.merge(key, Entry::from_wire(&record), on.now);
                    (verdict, claims) = (Vote::Granted, Vec::new());
                }
                Some((
                    from,
                    ClaimReply {
                        number: ask.number,
                        vote: verdict as u32,
                        conflicting_claims: claims,
                    },
                ))
            }),
            Mail::Reply(reply) => self.step(world, to, |ledger, on, out, _| {
                ledger.receive_vote(&format!("front-{from}"), reply, on, out);
                None
            }),
        }
        Some(())
    }
}

impl Model for Rules {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let nodes = (0..MANY).map(|n| node(n, 100, true, self.0)).collect();
        let (mail, out) = (Vec::new(), Vec::new());
        vec![World {
            nodes,
            mail,
            out,
            ran: 0,
            crashes: 0,
            starts: 0,
            cut: false,
            cuts: 0,
            asks: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.asks < 2 {
            steps.extend((0..2).filter(|n| world.nodes[*n].runs).map(Step::Ask));
        }
        steps.extend((0..world.mail.len()).map(Step::Deliver));
        if world.crashes + world.cuts == 0 {
            // A letter that a crash or a cut loses is lost already.
            steps.extend((0..world.mail.len().min(2)).map(Step::Lose));
        }
        steps.extend(
            (0..world.out.len()).flat_map(|at| [Step::Run(at, true), Step::Run(at, false)]),
        );
        if world.crashes == 0 {
            steps.extend((0..MANY).map(Step::Crash));
        }
        steps.extend(
            (0..MANY)
                .filter(|n| !world.nodes[*n].runs)
                .map(Step::Restart),
        );
        steps.extend(
            (0..MANY)
                .filter(|n| world.nodes[*n].runs && !world.nodes[*n].vouches)
                .map(Step::Compare),
        );
        if world.cut {
            steps.push(Step::Heal);
        } else if world.cuts == 0 {
            steps.push(Step::Cut);
        }
    }

    #[allow(
        clippy::too_many_lines,
        reason = "not reached yet by the pass over tests"
    )]
    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Ask(n) => {
                world.asks += 1;
                let token = u64::from(world.asks);
                self.step(&mut world, n, |ledger, on, out, _| {
                    let terms = RequestTerms {
                        deadline: NOW + 2 * SEC,
                        latency_budget: SEC,
                        dedup_window: 0,
                    };
                    ledger.begin_request(token, KEY, terms, on, out);
                    None
                });
            }
            Step::Deliver(at) => self.deliver(&mut world, at)?,
            Step::Lose(at) => drop(world.mail.remove(at)),
            Step::Run(at, answered) => {
                let (n, token) = world.out.remove(at);
                world.ran += 1;
                let end = match (answered, self.0) {
                    (_, Broken::ForgetsOutcome) => RequestOutcome::NotRun,
                    (true, _) => RequestOutcome::Ran {
                        current: false,
                        body: Vec::new(),
                    },
                    (false, _) => RequestOutcome::MayHaveRun,
                };
                // One that crashed meanwhile says nothing; its send was on its way all the same.
                if world.nodes[n].runs {
                    self.step(&mut world, n, |ledger, on, out, _| {
                        ledger.finish_request(token, end, on, out);
                        None
                    });
                }
            }
            Step::Crash(n) => {
                world.crashes += 1;
                world.nodes[n].runs = false;
                world.mail.retain(|(_, to, _)| *to != n);
            }
            Step::Restart(n) => {
                world.starts += 1;
                world.nodes[n] = node(n, 200, self.0 == Broken::VouchesAtOnce, self.0);
            }
            Step::Compare(n) => {
                // With all that may hold anything; those that are gone have been for so long that the rest hold it.
                let others: Vec<usize> = (0..MANY)
                    .filter(|m| *m != n && world.nodes[*m].runs)
                    .collect();
                if others.len() + 1 < MANY
                    || (world.cut && others.iter().any(|m| side(*m) != side(n)))
                {
                    return None;
                }
                for m in others {
                    let records: Vec<Record> = world.nodes[m]
                        .map
                        .records_after(Tree::Claims, None)
                        .collect();
                    for record in records {
                        let key = Key {
                            record_type: record.record_type,
                            name: record.name.clone(),
                        };
                        world.nodes[n]
                            .map
                            .merge(key, Entry::from_wire(&record), NOW);
                    }
                }
                world.nodes[n].vouches = true;
            }
            Step::Cut => (world.cut, world.cuts) = (true, 1),
            Step::Heal => world.cut = false,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("runs once at the most", |_, world: &World| world.ran <= 1),
            Property::sometimes("runs", |_, world: &World| world.ran == 1),
        ]
    }
}

fn explore(broken: Broken, depth: usize) -> (bool, usize) {
    let checker = Rules(broken)
        .checker()
        .threads(4)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    let found = checker.discovery("runs once at the most");
    if let Some(path) = &found {
        println!("{broken:?}: {:?}", path.clone().into_actions());
    }
    assert!(
        checker.discovery("runs").is_some(),
        "{broken:?}: nothing ever runs"
    );
    (found.is_some(), checker.unique_state_count())
}

#[test]
fn a_mark_runs_once_whatever_crashes_or_is_cut() {
    let (found, states) = explore(Broken::Nothing, 11);
    println!("{states} states");
    assert!(!found);
    assert!(states > 5_000, "{states}");
}

#[test]
fn broken_ledgers_are_found() {
    for broken in [
        Broken::GrantsAll,
        Broken::OneCopy,
        Broken::VouchesAtOnce,
        Broken::ForgetsOutcome,
    ] {
        assert!(explore(broken, 12).0, "{broken:?} not found");
    }
}

#[test]
fn the_states_of_a_claim_only_move_on() {
    let mut map = Map::new(MapLimits {
        entries: 10,
        bytes: 1_000_000,
    });
    let claim = records::Claim {
        holder: "front-1".into(),
        ..records::Claim::default()
    };
    let put = |map: &mut Map, ran: ClaimState| {
        let (key, entry) = records::claim_record(KEY, (1, 1), ran, &claim, NOW + SEC);
        map.merge(key, entry, NOW);
        map.of_type(RecordType::Claim)
            .next()
            .and_then(|(_, e)| records::decode_claim(e))
            .map(|(ran, _)| ran)
    };
    assert_eq!(
        put(&mut map, ClaimState::MayHaveRun),
        Some(ClaimState::MayHaveRun)
    );
    assert_eq!(
        put(&mut map, ClaimState::Requested),
        Some(ClaimState::MayHaveRun)
    );
    assert_eq!(
        put(&mut map, ClaimState::Completed),
        Some(ClaimState::Completed)
    );
    assert_eq!(
        put(&mut map, ClaimState::NotRun),
        Some(ClaimState::Completed)
    );
}
