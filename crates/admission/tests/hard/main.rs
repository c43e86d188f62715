//! Hard cases, each caused on a model of a cache behind the controller.

mod model;

use meadowrill_admission::config::AdmissionConfig;
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::identity::ClientIdentity;
use meadowrill_admission::request::{
    AdmissionEvent, AdmissionRequest, Completion, Decision, RejectReason,
};
use std::collections::VecDeque;

use model::*;

fn many(count: usize, client: Client) -> Vec<Client> {
    vec![client; count]
}

const QUIET: Client = Client {
    tenant: 1,
    name: 1,
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
            name: 2,
            think_time: 0,
            retry_interval: Some(MS),
        };
        let clients = [vec![QUIET], many(connections, noisy)].concat();
        let mut model = Model::new(config(&[1.0, 1.0, 1.0]), 8, 20 * MS, clients);
        model.run(20_000 * MS);
        let (quiet, noisy) = (model.sum(|c| c.tenant == 1), model.sum(|c| c.tenant == 2));
        // It asks one at a time, so the short queue in the cache and one turn in the queue cost it requests, not time.
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
        name: 1,
        think_time: 0,
        retry_interval: None,
    };
    let aggressive = Client {
        tenant: 2,
        name: 2,
        think_time: 0,
        retry_interval: Some(MS),
    };
    let clients = [many(200, obedient), many(200, aggressive)].concat();
    let mut model = Model::new(config(&[1.0, 1.0, 1.0]), 8, 20 * MS, clients);
    model.run(5_000 * MS);
    model.reset_counts();
    model.run(35_000 * MS);
    let (obedient, aggressive) = (model.sum(|c| c.tenant == 1), model.sum(|c| c.tenant == 2));
    let more = aggressive.succeeded as f64 / obedient.succeeded as f64;
    assert!(more <= 1.05, "{more}: {aggressive:?} {obedient:?}");
    let in_time = obedient.admitted_on_return as f64 / obedient.returned as f64;
    assert!(
        obedient.returned > 500 && in_time >= 0.9,
        "{in_time} of {obedient:?} {:?}",
        model.by_reason
    );
}

#[test]
fn equal_tenants_get_equal_shares_and_weights_are_respected() {
    // Enough of each that there is always one that waits.
    let clients = |tenants: u16| -> Vec<Client> {
        (0..tenants)
            .flat_map(|t| {
                many(
                    60 + 30 * usize::from(t),
                    Client {
                        tenant: t,
                        name: u64::from(t),
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
        name: 2,
        think_time: 0,
        retry_interval: Some(100),
    };
    let mut model = Model::new(
        config(&[1.0; 3]),
        8,
        20 * MS,
        [vec![QUIET], many(500, noisy)].concat(),
    );
    model.downstream_limit = 16;
    model.run(10_000 * MS);
    let (quiet, all) = (model.sum(|c| c.tenant == 1), model.sum(|_| true));
    // 0.56 of its requests; without lingering permits all that the noisy one sends passes through one permit to the
    // downstream limit, and 0.02 are served.
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
        name: 9,
        think_time: 0,
        retry_interval: None,
    };
    let mut model = Model::new(config(&[1.0; 10]), 8, 20 * MS, many(40, noisy));
    model.run(20_000 * MS);
    let counts = model.sum(|_| true);
    assert!(counts.succeeded as f64 > 0.97 * 400.0 * 20.0, "{counts:?}");
}

#[test]
fn many_requests_on_one_connection_count_as_one_client() {
    // The same client's 60 requests at a time, against two clients of its tenant with one connection each.
    let one = Client {
        tenant: 1,
        name: 1,
        think_time: 0,
        retry_interval: Some(MS),
    };
    let others = [2, 3].map(|name| Client {
        tenant: 1,
        name,
        think_time: 0,
        retry_interval: None,
    });
    let mut model = Model::new(
        config(&[1.0, 1.0]),
        2,
        20 * MS,
        [many(60, one), others.to_vec()].concat(),
    );
    model.run(20_000 * MS);
    let share = model.sum(|c| c.name != 1).succeeded as f64 / model.sum(|_| true).succeeded as f64;
    // One request at a time cannot fill a third of the places; first come, first served would leave them 2 of 62.
    assert!(share > 0.12, "{share}");
    assert_eq!(model.sum(|c| c.name != 1).rejected, 0);
}

#[test]
fn a_quiet_client_soon_stops_sharing_a_hashed_queue_with_a_noisy_one() {
    // 3,000 names among 32 hashed queues: each noisy name meets many quiet ones.
    let noisy = many(
        60,
        Client {
            tenant: 1,
            name: 0,
            think_time: 0,
            retry_interval: Some(MS),
        },
    );
    let quiet = (1..3_000).map(|name| Client {
        tenant: 1,
        name,
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
    let quiet = model.sum(|c| c.name != 0);
    let good = quiet.in_budget as f64 / quiet.requests as f64;
    assert!(quiet.requests > 1_000 && good > 0.98, "{good} {quiet:?}");
}

#[test]
fn a_simultaneous_burst_is_shared_fairly_and_served_in_time() {
    // After a ward round: 2,000 requests of 500 clients of five tenants within 5 ms, for a cache of 400 a second.
    let clients: Vec<Client> = (0..2_000u32)
        .map(|n| Client {
            tenant: (n % 5) as u16,
            name: u64::from(n % 500),
            think_time: 1_000_000 * MS,
            retry_interval: None,
        })
        .collect();
    let mut model = Model::new(config(&[1.0; 5]), 8, 20 * MS, clients);
    model.run(12_000 * MS);
    let all = model.sum(|_| true);
    // Five seconds of work: all of it is done, as rejected clients return after Retry-After.
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
        name: 1,
        think_time: 0,
        retry_interval: None,
    };
    let mut model = Model::new(
        config(&[1.0, 1.0, 1.0]),
        8,
        20 * MS,
        [many(100, noisy), vec![Client { tenant: 2, ..QUIET }]].concat(),
    );
    model.run(5_000 * MS);
    model.work = 80 * MS;
    model.run(8_000 * MS);
    model.reset_counts();
    model.most_queued = 0;
    model.run(20_000 * MS);
    let all = model.sum(|_| true);
    assert!(all.succeeded as f64 > 0.95 * 100.0 * 12.0, "{all:?}");
    assert!(
        all.in_budget as f64 > 0.97 * all.succeeded as f64,
        "{all:?}"
    );
    assert!(
        model.most_queued < 24,
        "{} stood in the cache",
        model.most_queued
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
    // The cache stalls: nothing ends. Each is rejected when its budget can no longer be met, none later.
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
    let entered = events
        .iter()
        .filter(|t| matches!(t, AdmissionEvent::Admitted { .. }))
        .count();
    assert_eq!(rejected + entered, waiting);
    // Those that stall give their permits back, but no more of them than the limit allows.
    assert!(entered <= 64 && now <= BUDGET, "{entered} {now}");
}

#[test]
fn memory_does_not_depend_on_the_number_of_clients() {
    let size = |names: u64| {
        // So few may wait and be inside that both runs reach the bounds.
        let config = AdmissionConfig {
            max_waiting: 256,
            max_concurrency: 64,
            ..config(&[1.0, 1.0])
        };
        let mut controller = AdmissionController::new(config, &[CLASS], LIMITS, 1, 0);
        let (mut events, mut open) = (Vec::new(), VecDeque::new());
        for name in 0..names {
            let now = name as i64 * 60;
            let identity = ClientIdentity {
                tenant: (name % 2) as u16,
                client: name,
                connection: name,
                address: "127.0.0.1".parse().unwrap(),
            };
            let request = AdmissionRequest {
                id: name as u32,
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
            // 8,000 a second of which a third fit.
            while open
                .front()
                .is_some_and(|(at, _)| at + 20 * MS < now && name % 3 == 0)
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
    let (few, many) = (size(10_000), size(1_000_000));
    assert_eq!(few, many);
    assert!(many < 4_000_000, "{many}");
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
    // Back by an hour, then ahead by a year.
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
        many(
            40,
            Client {
                tenant: t,
                name: u64::from(t),
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
    // Clients of the removed tenant are the default tenant's from now on; the host resolves them so.
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
    let good = config(&[1.0, 1.0]);
    let with = |change: fn(&mut AdmissionConfig)| {
        let mut config = good.clone();
        config.tenants[1].networks = vec!["10.0.0.0/8".parse().unwrap()];
        change(&mut config);
        config.validate().map_err(|f| f.key)
    };
    assert_eq!(with(|_| {}), Ok(()));
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300] {
        let mut config = good.clone();
        config.tenants[0].weight = weight;
        assert_eq!(
            config.validate().unwrap_err().key,
            "turns.default_weight",
            "{weight}"
        );
    }
    type Change = fn(&mut AdmissionConfig);
    let bad: [(Change, &str); 7] = [
        (|p| p.max_waiting = 0, "turns.waiting_most"),
        (|p| p.min_concurrency = 0, "turns.inside_least"),
        (|p| p.max_concurrency = 1, "turns.inside_most"),
        (|p| p.cost_per_kb = -1, "turns.us_per_kb"),
        (|p| p.bucket_rate = f64::NAN, "turns.bucket_per_s"),
        (|p| p.bucket_burst = 0.0, "turns.bucket_burst"),
        (|p| p.tenants[1].networks.clear(), "turns.tenant[0].network"),
    ];
    for (change, key) in bad {
        assert_eq!(with(change), Err(key.to_string()));
    }
}
