//! Property tests: invariants that hold for any requests in any order.

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
    let tenant = |(index, weight): (usize, &f64)| Tenant {
        name: format!("t{index}"),
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
        class_number: usize,
        bytes: u32,
        expires: i64,
    },
    Complete(usize, bool),
    Cancel(usize),
    Wait(i64),
    Reconfigure(usize),
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
        6 => request.prop_map(|(tenant, client, class_number, bytes, expires)| {
            Step::Request { tenant, client, class_number, bytes, expires }
        }),
        4 => (0usize..50, any::<bool>()).prop_map(|(index, succeeded)| Step::Complete(index, succeeded)),
        1 => (0usize..50).prop_map(Step::Cancel),
        3 => (-100_000i64..400_000).prop_map(Step::Wait),
        1 => (1usize..5).prop_map(Step::Reconfigure),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each request leaves the controller exactly once, none waits while there is capacity, and none remains in the
    /// end.
    #[test]
    fn each_request_leaves_once_and_none_waits_while_there_is_capacity(steps in prop::collection::vec(step(), 1..400)) {
        let class_parameters = [(1.0, 500_000), (4.0, 100_000), (0.0, 1_000_000)];
        let class = |(priority_weight, latency_budget)| RequestClass {
            priority_weight,
            latency_budget,
            budget_stretch: 0.5,
        };
        let classes = class_parameters.map(class);
        let limits = CapacityLimits { open_requests: 60, bytes: 60_000, max_retry_after: 1_000_000 };
        let mut controller = AdmissionController::new(config(&[1.0, 2.0, 0.5]), &classes, limits, 7, 0);
        let (mut now, mut id, mut bytes_in_use) = (0i64, 0u32, 0usize);
        let mut waiting: BTreeMap<u32, Ticket> = BTreeMap::new();
        let mut in_flight: BTreeMap<u32, Ticket> = BTreeMap::new();
        let mut bytes: BTreeMap<u32, u32> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Request { tenant, client, class_number, bytes: request_bytes, expires } => {
                    id += 1;
                    let (identity, expires) = (identity(tenant, client), now + expires);
                    let (class, size_kb) = (class_number, 0.0);
                    let request = AdmissionRequest { id, identity, class, size_kb, bytes: request_bytes, expires };
                    match controller.admit(now, request, bytes_in_use + request_bytes as usize) {
                        Decision::Admitted(ticket) => drop(in_flight.insert(id, ticket)),
                        Decision::Queued(ticket) => drop(waiting.insert(id, ticket)),
                        Decision::Rejected(rejection) => {
                            let retry_after = rejection.retry_after;
                            prop_assert!(retry_after <= limits.max_retry_after && retry_after > 0);
                            continue;
                        }
                    }
                    bytes_in_use += request_bytes as usize;
                    bytes.insert(id, request_bytes);
                }
                Step::Complete(index, succeeded) => {
                    let Some((id, ticket)) = in_flight.iter().nth(index).map(|(i, t)| (*i, *t)) else { continue };
                    in_flight.remove(&id);
                    bytes_in_use -= bytes.remove(&id).unwrap() as usize;
                    let completion = Completion { succeeded, cache_hit: true, size_kb: 3.0, abandoned: false };
                    controller.complete(now, ticket, completion);
                }
                Step::Cancel(index) => {
                    let Some((id, ticket)) = waiting.iter().nth(index).map(|(i, t)| (*i, *t)) else { continue };
                    waiting.remove(&id);
                    bytes_in_use -= bytes.remove(&id).unwrap() as usize;
                    prop_assert!(controller.cancel(now, ticket));
                }
                Step::Wait(time) => now += time,
                Step::Reconfigure(count) => controller.reconfigure(now, config(&[1.0, 3.0, 0.2, 9.0][..count])),
            }
            let mut events = Vec::new();
            controller.poll(now, &mut events);
            for event in events {
                let (AdmissionEvent::Admitted { id, .. } | AdmissionEvent::Rejected { id, .. }) = event;
                let ticket = waiting.remove(&id);
                prop_assert!(ticket.is_some(), "{event:?} for a request that does not wait");
                if matches!(event, AdmissionEvent::Admitted { .. }) {
                    in_flight.insert(id, ticket.unwrap());
                } else {
                    bytes_in_use -= bytes.remove(&id).unwrap() as usize;
                }
            }
            prop_assert!(
                waiting.is_empty() || !controller.has_capacity(),
                "{} requests wait while there is capacity",
                waiting.len()
            );
            prop_assert_eq!(controller.waiting(), waiting.len());
            prop_assert_eq!(controller.open(), waiting.len() + in_flight.len());
            let report = controller.report();
            let sum_of_tenants = |count: fn(&TenantReport) -> u32| report.tenants.iter().map(count).sum::<u32>();
            prop_assert_eq!(sum_of_tenants(|t| t.waiting) as usize, waiting.len());
            prop_assert_eq!(sum_of_tenants(|t| t.in_flight) as usize, in_flight.len());
        }
        in_flight.into_values().for_each(|ticket| controller.complete(now, ticket, Completion::default()));
        let mut events = Vec::new();
        // Each waiting request is admitted, or is rejected at its deadline.
        while controller.waiting() > 0 {
            let next = controller.next_deadline();
            prop_assert!(next.is_some(), "{} requests wait without a deadline", controller.waiting());
            now = now.max(next.unwrap_or(0)) + 2_000;
            controller.poll(now, &mut events);
        }
        for event in events {
            let (AdmissionEvent::Admitted { id, .. } | AdmissionEvent::Rejected { id, .. }) = event;
            prop_assert!(waiting.remove(&id).is_some());
        }
        prop_assert!(waiting.is_empty());
    }

    /// The fairness bound that docs/admission-control.md derives: while two tenants are both backlogged, their admitted
    /// costs, each divided by the tenant's weight, differ by at most the sum of each tenant's largest cost divided by
    /// its weight.
    #[test]
    fn no_tenant_lags_behind_its_share_by_more_than_the_bound(
        weights in prop::collection::vec(0.1f64..20.0, 2..6),
        costs in prop::collection::vec(prop::collection::vec(100.0f64..50_000.0, 1..20), 6),
        others in prop::collection::vec((0usize..6, 0u64..5), 0..40),
    ) {
        let mut queue = FairQueue::new(&config(&weights), &[1.0], 3, 0);
        let count = weights.len();
        let mut requested: Vec<u32> = vec![0; count];
        let mut item = 0u32;
        let mut items: Vec<(usize, f64)> = Vec::new();
        let mut others = others.into_iter();
        let mut admitted_cost = vec![0.0; count];
        let max_cost: Vec<f64> = (0..count).map(|t| costs[t].iter().copied().fold(0.0, f64::max)).collect();
        for round in 0..400 {
            // Each tenant always has a waiting request, from changing clients. Some rounds add further requests.
            let extra = others.next().filter(|(t, _)| round % 3 == 0 && *t < count);
            let arrivals: Vec<_> = (0..count).map(|t| (t, u64::from(requested[t]) % 3)).chain(extra).collect();
            for (tenant, client) in arrivals {
                if queue.tenant_load(tenant).waiting > 1 && round > 0 {
                    continue;
                }
                let cost = costs[tenant][requested[tenant] as usize % costs[tenant].len()];
                requested[tenant] += 1;
                let flow = queue.classify(0, identity(tenant as u16, client + 100 * tenant as u64));
                queue.enqueue(item, QueuedRequest { flow, class: 0, client, cost, bytes: 0 });
                items.push((tenant, cost));
                item += 1;
            }
            let next = queue.dequeue().unwrap().item;
            let (tenant, cost) = items[next as usize];
            admitted_cost[tenant] += cost;
            let backlogged: Vec<usize> = (0..count).collect();
            for a in &backlogged {
                for b in &backlogged {
                    let lag = admitted_cost[*a] / weights[*a] - admitted_cost[*b] / weights[*b];
                    let bound = max_cost[*a] / weights[*a] + max_cost[*b] / weights[*b];
                    prop_assert!(lag <= bound * (1.0 + 1e-9), "lag {lag} exceeds the bound {bound} in round {round}");
                }
            }
        }
    }
}
