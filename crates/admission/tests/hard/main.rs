//! Overload and failure scenarios, each simulated with a model of a cache behind the controller.

mod model;

use meadowrill_admission::config::AdmissionConfig;
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::identity::ClientIdentity;
use meadowrill_admission::request::{
    AdmissionEvent, AdmissionRequest, Completion, Decision, RejectReason,
};
use std::collections::VecDeque;

use model::*;

fn repeat_client(count: usize, client: Client) -> Vec<Client> {
    vec![client; count]
}

const QUIET: Client = Client {
    tenant: 1,
    client_id: 1,
    think_time: 5 * MS,
    retry_interval: None,
};

#[test]
fn a_quiet_client_keeps_its_share_beside_one_that_retries_at_once_on_32_connections() {
    let alone = {
        let mut model = Model::new(config(&[1.0, 1.0, 1.0]), 8, 20 * MS, vec![QUIET]);
        model.run(20_000 * MS);
        model.sum(|_| true)
    };
    for connections in [32, 400] {
        let noisy = Client {
            tenant: 2,
            client_id: 2,
            think_time: 0,
            retry_interval: Some(MS),
        };
        let clients = [vec![QUIET], repeat_client(connections, noisy)].concat();
        let mut model = Model::new(config(&[1.0, 1.0, 1.0]), 8, 20 * MS, clients);
        model.run(20_000 * MS);
        let (quiet, noisy) = (model.sum(|c| c.tenant == 1), model.sum(|c| c.tenant == 2));
        // The quiet client sends one request at a time. The short queue in the cache and the wait for its turn reduce
        // its number of requests, but its requests stay within the latency budget.
        assert!(
            quiet.in_budget == quiet.requests || quiet.in_budget + 1 == quiet.requests,
            "{quiet:?}"
        );
        assert!(
            quiet.succeeded as f64 > 0.25 * alone.succeeded as f64,
            "{quiet:?} of {alone:?}"
        );
        assert!(
            (quiet.succeeded + noisy.succeeded) as f64 > 0.97 * 400.0 * 20.0,
            "{quiet:?} {noisy:?}"
        );
    }
}

#[test]
fn ignoring_retry_after_gains_nothing_and_obeying_it_mostly_gets_admitted() {
    let obedient = Client {
        tenant: 1,
        client_id: 1,
        think_time: 0,
        retry_interval: None,
    };
    let aggressive = Client {
        tenant: 2,
        client_id: 2,
        think_time: 0,
        retry_interval: Some(MS),
    };
    let clients = [repeat_client(200, obedient), repeat_client(200, aggressive)].concat();
    let mut model = Model::new(config(&[1.0, 1.0, 1.0]), 8, 20 * MS, clients);
    model.run(5_000 * MS);
    model.reset_counts();
    model.run(35_000 * MS);
    let (obedient, aggressive) = (model.sum(|c| c.tenant == 1), model.sum(|c| c.tenant == 2));
    let advantage = aggressive.succeeded as f64 / obedient.succeeded as f64;
    assert!(
        advantage <= 1.05,
        "{advantage}: {aggressive:?} {obedient:?}"
    );
    let admitted_on_return = obedient.admitted_on_return as f64 / obedient.returned as f64;
    assert!(
        obedient.returned > 500 && admitted_on_return >= 0.9,
        "{admitted_on_return} of {obedient:?} {:?}",
        model.by_reason
    );
}

#[test]
fn equal_tenants_get_equal_shares_and_weights_are_respected() {
    // Each tenant has enough clients that a request of it always waits.
    let clients = |tenants: u16| -> Vec<Client> {
        (0..tenants)
            .flat_map(|t| {
                repeat_client(
                    60 + 30 * usize::from(t),
                    Client {
                        tenant: t,
                        client_id: u64::from(t),
                        think_time: 0,
                        retry_interval: None,
                    },
                )
            })
            .collect()
    };
    let mut model = Model::new(config(&[1.0; 8]), 8, 20 * MS, clients(8));
    model.run(20_000 * MS);
    let counts: Vec<f64> = (0..8)
        .map(|t| model.sum(|c| c.tenant == t).succeeded as f64)
        .collect();
    let jain =
        counts.iter().sum::<f64>().powi(2) / (8.0 * counts.iter().map(|g| g * g).sum::<f64>());
    assert!(jain > 0.99, "{jain}: {counts:?}");
    let mut model = Model::new(config(&[1.0, 3.0]), 8, 20 * MS, clients(2));
    model.run(20_000 * MS);
    let ratio = model.sum(|c| c.tenant == 1).succeeded as f64
        / model.sum(|c| c.tenant == 0).succeeded as f64;
    assert!((2.7..=3.3).contains(&ratio), "{ratio}");
}

#[test]
fn a_tighter_limit_downstream_does_not_drain_the_queue() {
    let noisy = Client {
        tenant: 2,
        client_id: 2,
        think_time: 0,
        retry_interval: Some(100),
    };
    let mut model = Model::new(
        config(&[1.0; 3]),
        8,
        20 * MS,
        [vec![QUIET], repeat_client(500, noisy)].concat(),
    );
    model.downstream_limit = 16;
    model.run(10_000 * MS);
    let (quiet, all) = (model.sum(|c| c.tenant == 1), model.sum(|_| true));
    // 0.56 of the quiet client's requests succeed. Without lingering permits, all requests of the noisy client would
    // pass through one permit to the downstream limit, and 0.02 would succeed.
    assert!(
        quiet.requests > 50 && quiet.succeeded as f64 > 0.45 * quiet.requests as f64,
        "{quiet:?}"
    );
    assert!(all.succeeded as f64 > 0.97 * 400.0 * 10.0, "{all:?}");
}

#[test]
fn idle_tenants_leave_all_capacity_to_an_active_one() {
    let noisy = Client {
        tenant: 9,
        client_id: 9,
        think_time: 0,
        retry_interval: None,
    };
    let mut model = Model::new(config(&[1.0; 10]), 8, 20 * MS, repeat_client(40, noisy));
    model.run(20_000 * MS);
    let counts = model.sum(|_| true);
    assert!(counts.succeeded as f64 > 0.97 * 400.0 * 20.0, "{counts:?}");
}

#[test]
fn many_requests_on_one_connection_count_as_one_client() {
    // One client has 60 concurrent requests and competes with two clients of the same tenant that have one connection
    // each.
    let concurrent = Client {
        tenant: 1,
        client_id: 1,
        think_time: 0,
        retry_interval: Some(MS),
    };
    let others = [2, 3].map(|client_id| Client {
        tenant: 1,
        client_id,
        think_time: 0,
        retry_interval: None,
    });
    let mut model = Model::new(
        config(&[1.0, 1.0]),
        2,
        20 * MS,
        [repeat_client(60, concurrent), others.to_vec()].concat(),
    );
    model.run(20_000 * MS);
    let share =
        model.sum(|c| c.client_id != 1).succeeded as f64 / model.sum(|_| true).succeeded as f64;
    // Clients with one request at a time cannot use a third of the permits each; with first come, first served they
    // would get 2 of 62.
    assert!(share > 0.12, "{share}");
    assert_eq!(model.sum(|c| c.client_id != 1).rejected, 0);
}

#[test]
fn a_quiet_client_soon_stops_sharing_a_hashed_queue_with_a_noisy_one() {
    // 3,000 clients share 32 hashed flows, so a noisy client shares its flow with many quiet ones.
    let noisy = repeat_client(
        60,
        Client {
            tenant: 1,
            client_id: 0,
            think_time: 0,
            retry_interval: Some(MS),
        },
    );
    let quiet = (1..3_000).map(|client_id| Client {
        tenant: 1,
        client_id,
        think_time: 20_000 * MS,
        retry_interval: None,
    });
    let mut model = Model::new(
        config(&[1.0, 1.0]),
        8,
        20 * MS,
        noisy.into_iter().chain(quiet).collect(),
    );
    model.run(15_000 * MS);
    model.reset_counts();
    model.run(60_000 * MS);
    let quiet = model.sum(|c| c.client_id != 0);
    let in_budget = quiet.in_budget as f64 / quiet.requests as f64;
    assert!(
        quiet.requests > 1_000 && in_budget > 0.98,
        "{in_budget} {quiet:?}"
    );
}

#[test]
fn a_simultaneous_burst_is_shared_fairly_and_served_in_time() {
    // 2,000 requests from 500 clients of five tenants arrive within 5 ms at a cache that answers 400 per second.
    // Hospital clients cause such bursts after a ward round.
    let clients: Vec<Client> = (0..2_000u32)
        .map(|n| Client {
            tenant: (n % 5) as u16,
            client_id: u64::from(n % 500),
            think_time: 1_000_000 * MS,
            retry_interval: None,
        })
        .collect();
    let mut model = Model::new(config(&[1.0; 5]), 8, 20 * MS, clients);
    model.run(12_000 * MS);
    let all = model.sum(|_| true);
    // The burst takes five seconds to serve. All requests succeed because rejected clients return after Retry-After.
    assert!(all.succeeded >= 1_980, "{all:?} {:?}", model.by_reason);
    assert!(all.in_budget as f64 > 0.9 * all.succeeded as f64, "{all:?}");
    for tenant in 0..5 {
        assert!(model.sum(|c| c.tenant == tenant).succeeded >= 390);
    }
}

#[test]
fn no_late_answers_remain_after_a_cache_slows_down_fourfold_under_a_full_queue() {
    let noisy = Client {
        tenant: 1,
        client_id: 1,
        think_time: 0,
        retry_interval: None,
    };
    let mut model = Model::new(
        config(&[1.0, 1.0, 1.0]),
        8,
        20 * MS,
        [
            repeat_client(100, noisy),
            vec![Client { tenant: 2, ..QUIET }],
        ]
        .concat(),
    );
    model.run(5_000 * MS);
    model.service_time = 80 * MS;
    model.run(8_000 * MS);
    model.reset_counts();
    model.max_queued = 0;
    model.run(20_000 * MS);
    let all = model.sum(|_| true);
    assert!(all.succeeded as f64 > 0.95 * 100.0 * 12.0, "{all:?}");
    assert!(
        all.in_budget as f64 > 0.97 * all.succeeded as f64,
        "{all:?}"
    );
    assert!(
        model.max_queued < 24,
        "{} requests were queued in the cache",
        model.max_queued
    );
    let quiet = model.sum(|c| c.tenant == 2);
    assert!(
        quiet.in_budget as f64 > 0.95 * quiet.requests as f64,
        "{quiet:?}"
    );
}

#[test]
fn waiting_requests_are_rejected_once_their_deadline_cannot_be_met() {
    let mut controller = AdmissionController::new(config(&[1.0]), &[CLASS], LIMITS, 1, 0);
    let identity = |client| ClientIdentity {
        tenant: 0,
        client,
        connection: client,
        address: "127.0.0.1".parse().unwrap(),
    };
    let mut waiting = 0;
    for id in 0..2_000u32 {
        let request = AdmissionRequest {
            id,
            identity: identity(u64::from(id)),
            class: 0,
            size_kb: 0.0,
            bytes: 0,
            expires: 3_000 * MS,
        };
        waiting += usize::from(matches!(
            controller.admit(0, request, 0),
            Decision::Queued(_)
        ));
    }
    assert!(waiting > 100);
    // The cache stalls and no request ends. Each waiting request is rejected as soon as it cannot meet its budget.
    let (mut events, mut now) = (Vec::new(), 0);
    while let Some(next) = controller
        .next_deadline()
        .filter(|_| controller.waiting() > 0)
    {
        now = next;
        controller.poll(now, &mut events);
    }
    let missed = |event: &&AdmissionEvent| match event {
        AdmissionEvent::Rejected { rejection, .. } => {
            rejection.reason == RejectReason::DeadlineMissed
        }
        AdmissionEvent::Admitted { .. } => false,
    };
    let rejected = events.iter().filter(missed).count();
    let admitted = events
        .iter()
        .filter(|t| matches!(t, AdmissionEvent::Admitted { .. }))
        .count();
    assert_eq!(rejected + admitted, waiting);
    // Stalled requests release their permits when they are overdue, but only as many as the limit allows.
    assert!(admitted <= 64 && now <= BUDGET, "{admitted} {now}");
}

#[test]
fn memory_does_not_depend_on_the_number_of_clients() {
    let memory_after = |clients: u64| {
        // The bounds are low enough that both runs reach them.
        let config = AdmissionConfig {
            max_waiting: 256,
            max_concurrency: 64,
            ..config(&[1.0, 1.0])
        };
        let mut controller = AdmissionController::new(config, &[CLASS], LIMITS, 1, 0);
        let (mut events, mut open) = (Vec::new(), VecDeque::new());
        for client in 0..clients {
            let now = client as i64 * 60;
            let identity = ClientIdentity {
                tenant: (client % 2) as u16,
                client,
                connection: client,
                address: "127.0.0.1".parse().unwrap(),
            };
            let request = AdmissionRequest {
                id: client as u32,
                identity,
                class: 0,
                size_kb: 0.0,
                bytes: 0,
                expires: now + 3_000 * MS,
            };
            match controller.admit(now, request, 0) {
                Decision::Admitted(ticket) | Decision::Queued(ticket) => {
                    open.push_back((now, ticket))
                }
                Decision::Rejected(_) => {}
            }
            // 8,000 requests per second arrive, and there is capacity for a third of them.
            while open
                .front()
                .is_some_and(|(at, _)| at + 20 * MS < now && client % 3 == 0)
            {
                let Some((_, ticket)) = open.pop_front() else {
                    break;
                };
                controller.complete(
                    now,
                    ticket,
                    Completion {
                        succeeded: true,
                        cache_hit: true,
                        size_kb: 1.0,
                        abandoned: false,
                    },
                );
            }
            events.clear();
            controller.poll(now, &mut events);
        }
        controller.memory_bytes()
    };
    let (few_clients, many_clients) = (memory_after(10_000), memory_after(1_000_000));
    assert_eq!(few_clients, many_clients);
    assert!(many_clients < 4_000_000, "{many_clients}");
}

#[test]
fn clock_jumps_reject_nothing_twice_and_leave_nothing_waiting() {
    let mut controller =
        AdmissionController::new(config(&[1.0]), &[CLASS], LIMITS, 1, 1_000_000 * MS);
    let identity = ClientIdentity {
        tenant: 0,
        client: 1,
        connection: 1,
        address: "127.0.0.1".parse().unwrap(),
    };
    let mut open = Vec::new();
    let mut request = |controller: &mut AdmissionController, now: i64, id: u32| {
        let request = AdmissionRequest {
            id,
            identity,
            class: 0,
            size_kb: 0.0,
            bytes: 0,
            expires: now + 3_000 * MS,
        };
        if let Decision::Admitted(ticket) | Decision::Queued(ticket) =
            controller.admit(now, request, 0)
        {
            open.push(ticket);
        }
    };
    (0..60).for_each(|id| request(&mut controller, 1_000_000 * MS, id));
    // The clock jumps back by an hour, and then ahead by a year.
    let (mut events, year) = (Vec::new(), 365 * 86_400_000 * MS);
    controller.poll(1_000_000 * MS - 3_600_000 * MS, &mut events);
    assert!(events.is_empty());
    controller.poll(1_000_000 * MS + year, &mut events);
    assert_eq!(
        (controller.waiting(), events.len()),
        (0, controller.report().tenants[0].counters.waited as usize)
    );
    (100..110).for_each(|id| request(&mut controller, 1_000_000 * MS + year, id));
    for ticket in open {
        controller.complete(
            1_000_000 * MS + year + MS,
            ticket,
            Completion {
                succeeded: true,
                cache_hit: true,
                size_kb: 0.0,
                abandoned: false,
            },
        );
    }
    assert_eq!(controller.open(), 0);
}

#[test]
fn removing_a_tenant_under_load_loses_no_request_and_weights_apply_at_once() {
    let clients = (0..3u16).flat_map(|t| {
        repeat_client(
            40,
            Client {
                tenant: t,
                client_id: u64::from(t),
                think_time: 0,
                retry_interval: None,
            },
        )
    });
    let mut model = Model::new(config(&[1.0, 1.0, 1.0]), 8, 20 * MS, clients.collect());
    model.run(5_000 * MS);
    let (waiting, open) = (model.controller.waiting(), model.controller.open());
    assert!(waiting > 50);
    model.controller.reconfigure(model.now, config(&[1.0, 4.0]));
    assert_eq!(
        (model.controller.waiting(), model.controller.open()),
        (waiting, open)
    );
    // Clients of the removed tenant belong to the default tenant from now on, as the host's resolver would assign them.
    model
        .clients
        .iter_mut()
        .filter(|c| c.tenant == 2)
        .for_each(|c| c.tenant = 0);
    model.reset_counts();
    model.run(15_000 * MS);
    let (default, heavy) = (model.sum(|c| c.tenant == 0), model.sum(|c| c.tenant == 1));
    let ratio = heavy.succeeded as f64 / default.succeeded as f64;
    assert!((3.0..=5.0).contains(&ratio), "{ratio}");
    assert!((default.succeeded + heavy.succeeded) as f64 > 0.96 * 4_000.0);
}

#[test]
fn invalid_settings_are_reported_by_key() {
    let valid = config(&[1.0, 1.0]);
    let with = |change: fn(&mut AdmissionConfig)| {
        let mut config = valid.clone();
        config.tenants[1].networks = vec!["10.0.0.0/8".parse().unwrap()];
        change(&mut config);
        config.validate().map_err(|error| error.key)
    };
    assert_eq!(with(|_| {}), Ok(()));
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300] {
        let mut config = valid.clone();
        config.tenants[0].weight = weight;
        assert_eq!(
            config.validate().unwrap_err().key,
            "turns.default_weight",
            "{weight}"
        );
    }
    type Change = fn(&mut AdmissionConfig);
    let invalid: [(Change, &str); 7] = [
        (|config| config.max_waiting = 0, "turns.waiting_most"),
        (|config| config.min_concurrency = 0, "turns.inside_least"),
        (|config| config.max_concurrency = 1, "turns.inside_most"),
        (|config| config.cost_per_kb = -1, "turns.us_per_kb"),
        (|config| config.bucket_rate = f64::NAN, "turns.bucket_per_s"),
        (|config| config.bucket_burst = 0.0, "turns.bucket_burst"),
        (
            |config| config.tenants[1].networks.clear(),
            "turns.tenant[0].network",
        ),
    ];
    for (change, key) in invalid {
        assert_eq!(with(change), Err(key.to_string()));
    }
}
