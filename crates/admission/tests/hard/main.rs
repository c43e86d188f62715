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
    think: 5 * MS,
    hammers: None,
};

#[test]
fn a_quiet_client_keeps_its_share_beside_one_that_hammers_from_32_connections() {
    let alone = {
        let mut model = Model::new(config(&[1.0, 1.0, 1.0]), 8, 20 * MS, vec![QUIET]);
        model.run(20_000 * MS);
        model.sum(|_| true)
    };
    for connections in [32, 400] {
        let loud = Client {
            tenant: 2,
            name: 2,
            think: 0,
            hammers: Some(MS),
        };
        let clients = [vec![QUIET], many(connections, loud)].concat();
        let mut model = Model::new(config(&[1.0, 1.0, 1.0]), 8, 20 * MS, clients);
        model.run(20_000 * MS);
        let (quiet, loud) = (model.sum(|c| c.tenant == 1), model.sum(|c| c.tenant == 2));
        // It asks one at a time, so the short queue in the cache and one turn in the queue cost it lookups, not time.
        assert!(
            quiet.in_budget == quiet.asked || quiet.in_budget + 1 == quiet.asked,
            "{quiet:?}"
        );
        assert!(
            quiet.satisfied as f64 > 0.25 * alone.satisfied as f64,
            "{quiet:?} of {alone:?}"
        );
        assert!(
            (quiet.satisfied + loud.satisfied) as f64 > 0.97 * 400.0 * 20.0,
            "{quiet:?} {loud:?}"
        );
    }
}

#[test]
fn who_hammers_gets_no_more_than_who_returns_when_told_and_those_mostly_get_in() {
    let obedient = Client {
        tenant: 1,
        name: 1,
        think: 0,
        hammers: None,
    };
    let hammers = Client {
        tenant: 2,
        name: 2,
        think: 0,
        hammers: Some(MS),
    };
    let clients = [many(200, obedient), many(200, hammers)].concat();
    let mut model = Model::new(config(&[1.0, 1.0, 1.0]), 8, 20 * MS, clients);
    model.run(5_000 * MS);
    model.forget();
    model.run(35_000 * MS);
    let (obedient, hammers) = (model.sum(|c| c.tenant == 1), model.sum(|c| c.tenant == 2));
    let more = hammers.satisfied as f64 / obedient.satisfied as f64;
    assert!(more <= 1.05, "{more}: {hammers:?} {obedient:?}");
    let in_time = obedient.got_in as f64 / obedient.returned as f64;
    assert!(
        obedient.returned > 500 && in_time >= 0.9,
        "{in_time} of {obedient:?} {:?}",
        model.by_reason
    );
}

#[test]
fn eight_equal_tenants_get_the_same_and_weights_tell() {
    // Enough of each that there is always one that waits.
    let clients = |tenants: u16| -> Vec<Client> {
        (0..tenants)
            .flat_map(|t| {
                many(
                    60 + 30 * usize::from(t),
                    Client {
                        tenant: t,
                        name: u64::from(t),
                        think: 0,
                        hammers: None,
                    },
                )
            })
            .collect()
    };
    let mut model = Model::new(config(&[1.0; 8]), 8, 20 * MS, clients(8));
    model.run(20_000 * MS);
    let got: Vec<f64> = (0..8)
        .map(|t| model.sum(|c| c.tenant == t).satisfied as f64)
        .collect();
    let jain = got.iter().sum::<f64>().powi(2) / (8.0 * got.iter().map(|g| g * g).sum::<f64>());
    assert!(jain > 0.99, "{jain}: {got:?}");
    let mut model = Model::new(config(&[1.0, 3.0]), 8, 20 * MS, clients(2));
    model.run(20_000 * MS);
    let ratio = model.sum(|c| c.tenant == 1).satisfied as f64
        / model.sum(|c| c.tenant == 0).satisfied as f64;
    assert!((2.7..=3.3).contains(&ratio), "{ratio}");
}

#[test]
fn a_gate_of_the_module_that_is_closer_than_the_door_does_not_empty_the_queue() {
    let loud = Client {
        tenant: 2,
        name: 2,
        think: 0,
        hammers: Some(100),
    };
    let mut model = Model::new(
        config(&[1.0; 3]),
        8,
        20 * MS,
        [vec![QUIET], many(500, loud)].concat(),
    );
    model.gate = 16;
    model.run(10_000 * MS);
    let (quiet, all) = (model.sum(|c| c.tenant == 1), model.sum(|_| true));
    // 0.56 of what it asks; without places that cool, all that the loud one asks goes through one place to the gate,
    // and 0.02 are served.
    assert!(
        quiet.asked > 50 && quiet.satisfied as f64 > 0.45 * quiet.asked as f64,
        "{quiet:?}"
    );
    assert!(all.satisfied as f64 > 0.97 * 400.0 * 10.0, "{all:?}");
}

#[test]
fn nine_silent_tenants_leave_all_the_room_to_the_tenth() {
    let loud = Client {
        tenant: 9,
        name: 9,
        think: 0,
        hammers: None,
    };
    let mut model = Model::new(config(&[1.0; 10]), 8, 20 * MS, many(40, loud));
    model.run(20_000 * MS);
    let got = model.sum(|_| true);
    assert!(got.satisfied as f64 > 0.97 * 400.0 * 20.0, "{got:?}");
}

#[test]
fn one_connection_with_many_lookups_is_one_client_like_many_connections_with_one() {
    // The same client's 60 lookups at a time, against two clients of its tenant with one connection each.
    let one = Client {
        tenant: 1,
        name: 1,
        think: 0,
        hammers: Some(MS),
    };
    let others = [2, 3].map(|name| Client {
        tenant: 1,
        name,
        think: 0,
        hammers: None,
    });
    let mut model = Model::new(
        config(&[1.0, 1.0]),
        2,
        20 * MS,
        [many(60, one), others.to_vec()].concat(),
    );
    model.run(20_000 * MS);
    let share = model.sum(|c| c.name != 1).satisfied as f64 / model.sum(|_| true).satisfied as f64;
    // One lookup at a time cannot fill a third of the places; first come, first served would leave them 2 of 62.
    assert!(share > 0.12, "{share}");
    assert_eq!(model.sum(|c| c.name != 1).rejected, 0);
}

#[test]
fn a_quiet_client_that_shares_a_hashed_queue_with_a_loud_one_is_soon_rid_of_it() {
    // 3,000 names among 32 hashed queues: each loud name meets many quiet ones.
    let loud = many(
        60,
        Client {
            tenant: 1,
            name: 0,
            think: 0,
            hammers: Some(MS),
        },
    );
    let quiet = (1..3_000).map(|name| Client {
        tenant: 1,
        name,
        think: 20_000 * MS,
        hammers: None,
    });
    let mut model = Model::new(
        config(&[1.0, 1.0]),
        8,
        20 * MS,
        loud.into_iter().chain(quiet).collect(),
    );
    model.run(15_000 * MS);
    model.forget();
    model.run(60_000 * MS);
    let quiet = model.sum(|c| c.name != 0);
    let good = quiet.in_budget as f64 / quiet.asked as f64;
    assert!(quiet.asked > 1_000 && good > 0.98, "{good} {quiet:?}");
}

#[test]
fn a_burst_from_all_at_once_is_shared_and_answered_at_once() {
    // After a ward round: 2,000 lookups of 500 clients of five tenants within 5 ms, for a cache of 400 a second.
    let clients: Vec<Client> = (0..2_000u32)
        .map(|n| Client {
            tenant: (n % 5) as u16,
            name: u64::from(n % 500),
            think: 1_000_000 * MS,
            hammers: None,
        })
        .collect();
    let mut model = Model::new(config(&[1.0; 5]), 8, 20 * MS, clients);
    model.run(12_000 * MS);
    let all = model.sum(|_| true);
    // Five seconds of work: all of it is done, whoever was turned away came back when told.
    assert!(all.satisfied >= 1_980, "{all:?} {:?}", model.by_reason);
    assert!(all.in_budget as f64 > 0.9 * all.satisfied as f64, "{all:?}");
    for tenant in 0..5 {
        assert!(model.sum(|c| c.tenant == tenant).satisfied >= 390);
    }
}

#[test]
fn a_cache_that_slows_down_fourfold_under_a_full_queue_leaves_no_late_answers_behind() {
    let loud = Client {
        tenant: 1,
        name: 1,
        think: 0,
        hammers: None,
    };
    let mut model = Model::new(
        config(&[1.0, 1.0, 1.0]),
        8,
        20 * MS,
        [many(100, loud), vec![Client { tenant: 2, ..QUIET }]].concat(),
    );
    model.run(5_000 * MS);
    model.work = 80 * MS;
    model.run(8_000 * MS);
    model.forget();
    model.most_queued = 0;
    model.run(20_000 * MS);
    let all = model.sum(|_| true);
    assert!(all.satisfied as f64 > 0.95 * 100.0 * 12.0, "{all:?}");
    assert!(
        all.in_budget as f64 > 0.97 * all.satisfied as f64,
        "{all:?}"
    );
    assert!(
        model.most_queued < 24,
        "{} stood in the cache",
        model.most_queued
    );
    let quiet = model.sum(|c| c.tenant == 2);
    assert!(
        quiet.in_budget as f64 > 0.95 * quiet.asked as f64,
        "{quiet:?}"
    );
}

#[test]
fn lookups_whose_time_passes_while_they_wait_are_all_given_up_at_once() {
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
    // The cache hangs: nothing ends. Each is given up when its budget can no longer be met, none later.
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
    // Those that hang give their places back, but no more of them than the limit allows.
    assert!(entered <= 64 && now <= BUDGET, "{entered} {now}");
}

#[test]
fn a_million_names_cost_what_ten_thousand_do() {
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
fn a_clock_that_jumps_gives_up_nothing_twice_and_waits_for_nothing() {
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
fn a_tenant_that_vanishes_under_load_loses_nothing_and_weights_change_at_once() {
    let clients = (0..3u16).flat_map(|t| {
        many(
            40,
            Client {
                tenant: t,
                name: u64::from(t),
                think: 0,
                hammers: None,
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
    // Clients of the tenant that went are the default tenant's from now on; the host tells them so.
    model
        .clients
        .iter_mut()
        .filter(|c| c.tenant == 2)
        .for_each(|c| c.tenant = 0);
    model.forget();
    model.run(15_000 * MS);
    let (default, heavy) = (model.sum(|c| c.tenant == 0), model.sum(|c| c.tenant == 1));
    let ratio = heavy.satisfied as f64 / default.satisfied as f64;
    assert!((3.0..=5.0).contains(&ratio), "{ratio}");
    assert!((default.satisfied + heavy.satisfied) as f64 > 0.96 * 4_000.0);
}

#[test]
fn settings_that_make_no_sense_are_named() {
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
