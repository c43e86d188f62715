//! What must hold whatever is asked in whatever order.

use meadowrill_admission::config::{AdmissionConfig, QueueDiscipline, Tenant};
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::cost::RequestClass;
use meadowrill_admission::fair_queue::{FairQueue, QueuedRequest};
use meadowrill_admission::identity::ClientIdentity;
use meadowrill_admission::report::TenantReport;
use meadowrill_admission::request::{
    AdmissionEvent, AdmissionRequest, CapacityLimits, Completion, Decision, Ticket,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn identity(tenant: u16, client: u64) -> ClientIdentity {
    ClientIdentity {
        tenant,
        client,
        connection: client % 7,
        address: "127.0.0.1".parse().unwrap(),
    }
}

fn config(weights: &[f64]) -> AdmissionConfig {
    let tenant = |(at, weight): (usize, &f64)| Tenant {
        name: format!("t{at}"),
        weight: *weight,
        ..Tenant::default()
    };
    let tenants = weights.iter().enumerate().map(tenant).collect();
    AdmissionConfig {
        discipline: QueueDiscipline::Fair,
        tenants,
        max_waiting: 40,
        min_concurrency: 2,
        max_concurrency: 8,
        ..AdmissionConfig::default()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Request {
        tenant: u16,
        client: u64,
        kind: usize,
        bytes: u32,
        expires: i64,
    },
    End(usize, bool),
    Leave(usize),
    Pass(i64),
    Renew(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let request = (
        0u16..5,
        0u64..60,
        0usize..4,
        0u32..5_000,
        -5_000i64..2_000_000,
    );
    prop_oneof![
        6 => request.prop_map(|(tenant, client, kind, bytes, expires)| {
            Step::Request { tenant, client, kind, bytes, expires }
        }),
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
        let class = |(worth, latency_budget)| RequestClass { priority_weight: worth, latency_budget, budget_stretch: 0.5 };
        let classes = kinds.map(class);
        let bounds = CapacityLimits { open_requests: 60, bytes: 60_000, max_retry_after: 1_000_000 };
        let mut controller = AdmissionController::new(config(&[1.0, 2.0, 0.5]), &classes, bounds, 7, 0);
        let (mut now, mut id, mut held) = (0i64, 0u32, 0usize);
        let mut waits: BTreeMap<u32, Ticket> = BTreeMap::new();
        let mut inside: BTreeMap<u32, Ticket> = BTreeMap::new();
        let mut bytes: BTreeMap<u32, u32> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Request { tenant, client, kind, bytes: own, expires } => {
                    id += 1;
                    let (identity, expires) = (identity(tenant, client), now + expires);
                    let (class, size_kb) = (kind, 0.0);
                    let request = AdmissionRequest { id, identity, class, size_kb, bytes: own, expires };
                    match controller.admit(now, request, held + own as usize) {
                        Decision::Admitted(ticket) => drop(inside.insert(id, ticket)),
                        Decision::Queued(ticket) => drop(waits.insert(id, ticket)),
                        Decision::Rejected(rejection) => {
                            let retry_after = rejection.retry_after;
                            prop_assert!(retry_after <= bounds.max_retry_after && retry_after > 0);
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
                    let completion = Completion { succeeded: satisfied, cache_hit: true, size_kb: 3.0, abandoned: false };
                    controller.complete(now, ticket, completion);
                }
                Step::Leave(at) => {
                    let Some((id, ticket)) = waits.iter().nth(at).map(|(i, t)| (*i, *t)) else { continue };
                    waits.remove(&id);
                    held -= bytes.remove(&id).unwrap() as usize;
                    prop_assert!(controller.cancel(now, ticket));
                }
                Step::Pass(time) => now += time,
                Step::Renew(count) => controller.reconfigure(now, config(&[1.0, 3.0, 0.2, 9.0][..count])),
            }
            let mut events = Vec::new();
            controller.poll(now, &mut events);
            for event in events {
                let (AdmissionEvent::Admitted { id, .. } | AdmissionEvent::Rejected { id, .. }) = event;
                let ticket = waits.remove(&id);
                prop_assert!(ticket.is_some(), "{event:?} of one that does not wait");
                if matches!(event, AdmissionEvent::Admitted { .. }) {
                    inside.insert(id, ticket.unwrap());
                } else {
                    held -= bytes.remove(&id).unwrap() as usize;
                }
            }
            prop_assert!(waits.is_empty() || !controller.has_capacity(), "{} wait while there is room", waits.len());
            prop_assert_eq!(controller.waiting(), waits.len());
            prop_assert_eq!(controller.open(), waits.len() + inside.len());
            let report = controller.report();
            let by_tenant = |of: fn(&TenantReport) -> u32| report.tenants.iter().map(of).sum::<u32>();
            prop_assert_eq!(by_tenant(|t| t.waiting) as usize, waits.len());
            prop_assert_eq!(by_tenant(|t| t.in_flight) as usize, inside.len());
        }
        inside.into_values().for_each(|ticket| controller.complete(now, ticket, Completion::default()));
        let mut events = Vec::new();
        // What waits goes in, or its time is over.
        while controller.waiting() > 0 {
            let next = controller.next_deadline();
            prop_assert!(next.is_some(), "{} wait for nothing", controller.waiting());
            now = now.max(next.unwrap_or(0)) + 2_000;
            controller.poll(now, &mut events);
        }
        for event in events {
            let (AdmissionEvent::Admitted { id, .. } | AdmissionEvent::Rejected { id, .. }) = event;
            prop_assert!(waits.remove(&id).is_some());
        }
        prop_assert!(waits.is_empty());
    }

    /// The bound that docs/admission-control.md derives: of two tenants that wait throughout, what they were let in for, each over
    /// its weight, differs by no more than the largest cost of each over its weight.
    #[test]
    fn no_tenant_lags_behind_its_share_by_more_than_the_bound(
        weights in prop::collection::vec(0.1f64..20.0, 2..6),
        costs in prop::collection::vec(prop::collection::vec(100.0f64..50_000.0, 1..20), 6),
        others in prop::collection::vec((0usize..6, 0u64..5), 0..40),
    ) {
        let mut fair = FairQueue::new(&config(&weights), &[1.0], 3, 0);
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
                if fair.tenant_load(tenant).waiting > 1 && round > 0 {
                    continue;
                }
                let cost = costs[tenant][asked[tenant] as usize % costs[tenant].len()];
                asked[tenant] += 1;
                let flow = fair.flow_of(0, identity(tenant as u16, client + 100 * tenant as u64));
                fair.enqueue(item, QueuedRequest { flow, class: 0, client, cost, bytes: 0 });
                of.push((tenant, cost));
                item += 1;
            }
            let next = fair.dequeue().unwrap().item;
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
