//! What must hold whatever is asked in whatever order.

use meadowrill_turns::cost::Kind;
use meadowrill_turns::door::{Bounds, Done, Door, Offer, Ticket, Turn, Verdict};
use meadowrill_turns::fair::Fair;
use meadowrill_turns::names::Asker;
use meadowrill_turns::plan::{Order, Plan, Tenant};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn asker(tenant: u16, client: u64) -> Asker {
    Asker { tenant, client, connection: client % 7, address: "127.0.0.1".parse().unwrap() }
}

fn plan(weights: &[f64]) -> Plan {
    let tenant =
        |(at, weight): (usize, &f64)| Tenant { name: format!("t{at}"), weight: *weight, ..Tenant::default() };
    let tenants = weights.iter().enumerate().map(tenant).collect();
    Plan { order: Order::Fair, tenants, waiting_most: 40, inside_least: 2, inside_most: 8, ..Plan::default() }
}

#[derive(Clone, Debug)]
enum Step {
    Offer { tenant: u16, client: u64, kind: usize, bytes: u32, expires: i64 },
    End(usize, bool),
    Leave(usize),
    Pass(i64),
    Renew(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (0u16..5, 0u64..60, 0usize..4, 0u32..5_000, -5_000i64..2_000_000);
    prop_oneof![
        6 => offer.prop_map(|(tenant, client, kind, bytes, expires)| Step::Offer { tenant, client, kind, bytes, expires }),
        4 => (0usize..50, any::<bool>()).prop_map(|(at, good)| Step::End(at, good)),
        1 => (0usize..50).prop_map(Step::Leave),
        3 => (-100_000i64..400_000).prop_map(Step::Pass),
        1 => (1usize..5).prop_map(Step::Renew),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each offered lookup leaves exactly once, none waits while there is room, and nothing is left over in the end.
    #[test]
    fn each_leaves_once_and_none_waits_while_there_is_room(steps in prop::collection::vec(step(), 1..400)) {
        let kinds = [(1.0, 500_000), (4.0, 100_000), (0.0, 1_000_000)];
        let kinds = kinds.map(|(worth, budget)| Kind { worth, budget, stretch: 0.5 });
        let bounds = Bounds { lookups: 60, bytes: 60_000, longest_away: 1_000_000 };
        let mut door = Door::new(plan(&[1.0, 2.0, 0.5]), &kinds, bounds, 7, 0);
        let (mut now, mut id, mut held) = (0i64, 0u32, 0usize);
        let mut waits: BTreeMap<u32, Ticket> = BTreeMap::new();
        let mut inside: BTreeMap<u32, Ticket> = BTreeMap::new();
        let mut bytes: BTreeMap<u32, u32> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Offer { tenant, client, kind, bytes: own, expires } => {
                    id += 1;
                    let (asker, expires) = (asker(tenant, client), now + expires);
                    let offer = Offer { id, asker, kind, size_kb: 0.0, bytes: own, expires };
                    match door.offer(now, offer, held + own as usize) {
                        Verdict::In(ticket) => drop(inside.insert(id, ticket)),
                        Verdict::Waits(ticket) => drop(waits.insert(id, ticket)),
                        Verdict::Away(away) => {
                            prop_assert!(away.come_back <= bounds.longest_away && away.come_back > 0);
                            continue;
                        }
                    }
                    held += own as usize;
                    bytes.insert(id, own);
                }
                Step::End(at, satisfied) => {
                    let Some((id, ticket)) = inside.iter().nth(at).map(|(i, t)| (*i, *t)) else { continue };
                    inside.remove(&id);
                    held -= bytes.remove(&id).unwrap() as usize;
                    door.ended(now, ticket, Done { satisfied, hit: true, size_kb: 3.0, left: false });
                }
                Step::Leave(at) => {
                    let Some((id, ticket)) = waits.iter().nth(at).map(|(i, t)| (*i, *t)) else { continue };
                    waits.remove(&id);
                    held -= bytes.remove(&id).unwrap() as usize;
                    prop_assert!(door.left(now, ticket));
                }
                Step::Pass(time) => now += time,
                Step::Renew(count) => door.renew(now, plan(&[1.0, 3.0, 0.2, 9.0][..count])),
            }
            let mut turns = Vec::new();
            door.turns(now, &mut turns);
            for turn in turns {
                let (Turn::In { id, .. } | Turn::Away { id, .. }) = turn;
                let ticket = waits.remove(&id);
                prop_assert!(ticket.is_some(), "{turn:?} of one that does not wait");
                if matches!(turn, Turn::In { .. }) {
                    inside.insert(id, ticket.unwrap());
                } else {
                    held -= bytes.remove(&id).unwrap() as usize;
                }
            }
            prop_assert!(waits.is_empty() || !door.room(), "{} wait while there is room", waits.len());
            prop_assert_eq!((door.waiting(), door.open()), (waits.len(), waits.len() + inside.len()));
            let report = door.report();
            let by_tenant = |of: fn(&meadowrill_turns::door::Holding) -> u32| report.tenants.iter().map(of).sum::<u32>();
            prop_assert_eq!(by_tenant(|t| t.waiting) as usize, waits.len());
            prop_assert_eq!(by_tenant(|t| t.inside) as usize, inside.len());
        }
        inside.into_values().for_each(|ticket| door.ended(now, ticket, Done::default()));
        let mut turns = Vec::new();
        // What waits goes in, or its time is over.
        while door.waiting() > 0 {
            let next = door.next();
            prop_assert!(next.is_some(), "{} wait for nothing", door.waiting());
            now = now.max(next.unwrap_or(0)) + 2_000;
            door.turns(now, &mut turns);
        }
        for turn in turns {
            let (Turn::In { id, .. } | Turn::Away { id, .. }) = turn;
            prop_assert!(waits.remove(&id).is_some());
        }
        prop_assert!(waits.is_empty());
    }

    /// The bound that docs/turns.md derives: of two tenants that wait throughout, what they were let in for, each over
    /// its weight, differs by no more than the largest cost of each over its weight.
    #[test]
    fn no_tenant_lags_behind_its_share_by_more_than_the_bound(
        weights in prop::collection::vec(0.1f64..20.0, 2..6),
        costs in prop::collection::vec(prop::collection::vec(100.0f64..50_000.0, 1..20), 6),
        others in prop::collection::vec((0usize..6, 0u64..5), 0..40),
    ) {
        let mut fair = Fair::new(&plan(&weights), &[1.0], 3, 0);
        let count = weights.len();
        let mut asked: Vec<u32> = vec![0; count];
        let mut item = 0u32;
        let mut of: Vec<(usize, f64)> = Vec::new();
        let mut others = others.into_iter();
        let mut got = vec![0.0; count];
        let most: Vec<f64> = (0..count).map(|t| costs[t].iter().copied().fold(0.0, f64::max)).collect();
        for round in 0..400 {
            // Each tenant always has one waiting, of changing clients; at times more come.
            let more = others.next().filter(|(t, _)| round % 3 == 0 && *t < count);
            let all: Vec<_> = (0..count).map(|t| (t, u64::from(asked[t]) % 3)).chain(more).collect();
            for (tenant, client) in all {
                if fair.holding(tenant).0 > 1 && round > 0 {
                    continue;
                }
                let cost = costs[tenant][asked[tenant] as usize % costs[tenant].len()];
                asked[tenant] += 1;
                let flow = fair.flow_of(0, asker(tenant as u16, client + 100 * tenant as u64));
                fair.push(item, flow, 0, client, cost, 0);
                of.push((tenant, cost));
                item += 1;
            }
            let (next, _) = fair.pop().unwrap();
            let (tenant, cost) = of[next as usize];
            got[tenant] += cost;
            let backlogged: Vec<usize> = (0..count).collect();
            for a in &backlogged {
                for b in &backlogged {
                    let lag = got[*a] / weights[*a] - got[*b] / weights[*b];
                    let bound = most[*a] / weights[*a] + most[*b] / weights[*b];
                    prop_assert!(lag <= bound * (1.0 + 1e-9), "{lag} over {bound} in round {round}");
                }
            }
        }
    }
}
