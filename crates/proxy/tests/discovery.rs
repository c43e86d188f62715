//! The discovery service: updates of the endpoint list, invalidations, and the connection: silence, truncated lines,
//! gaps, and a descriptor that stays available for it whatever else is open.

use meadowrill_test_servers::*;
use serde_json::{json, Value};
use std::io::Write;
use std::time::Duration;

/// One descriptor stays available for the discovery service when idle clients and pooled connections use all others.
fn discovery_gets_a_descriptor(sockets: usize) {
    let cache = Cache::start(ok(b"fine"));
    let service = ScriptedPeer::listen();
    let mut config = config(&[("s-a", cache.address)], service.address);
    config["limits"]["sockets"] = json!(sockets);
    let program = Program::start(&config);
    let mut held: Vec<Client> = Vec::new();
    let end = std::time::Instant::now() + Duration::from_secs(10);
    let mut connections = 0;
    // For ten seconds the service closes each connection right after it is established. Meanwhile more clients connect,
    // send one request each, and stay connected.
    while std::time::Instant::now() < end {
        if let Some(mut connection) = service.accept_within(Duration::from_millis(20)) {
            assert_eq!(connection.read_line(), "tail 1\n");
            connections += 1;
        }
        if held.len() < sockets {
            let mut client = Client::new(&program);
            let slice = held.len().to_string();
            client.write(&request_frame(1, "map", &[("slice", &slice)], b""));
            held.push(client);
        }
    }
    assert!(connections > 10, "{connections} connections");
    let mut connection = service.accept();
    assert_eq!(connection.read_line(), "tail 1\n");
    let members = json!([member("s-a", "std", cache.address, "DRAINING")]);
    connection.write(&hosts_event(2, &members));
    let open = program.open_descriptors();
    assert!(open <= sockets, "{open} descriptors");
    // The first update after the outage takes effect.
    let mut client = Client::new(&program);
    let code = (1..10_000)
        .map(|stream| client.lookup(stream, "order").code())
        .find(|code| *code == 11);
    assert_eq!(code, Some(11));
}

#[test]
fn discovery_has_a_descriptor_among_64() {
    discovery_gets_a_descriptor(64);
}

#[test]
fn discovery_has_a_descriptor_among_256() {
    discovery_gets_a_descriptor(256);
}

#[test]
fn a_watch_cut_within_a_line_is_restarted_and_the_line_received_again() {
    let cache = Cache::start(ok(b"fine"));
    let service = ScriptedPeer::listen();
    let program = Program::start(&config(&[("s-a", cache.address)], service.address));
    let mut connection = service.accept();
    assert_eq!(connection.read_line(), "tail 1\n");
    let members = json!([member("s-a", "std", cache.address, "DRAINING")]);
    let line = hosts_event(2, &members);
    // The start of the line, then a byte now and then: bytes that do not complete a line count as silence.
    connection.write(&line[..40]);
    let new_connection = loop {
        if let Some(new_connection) = service.accept_within(Duration::from_millis(300)) {
            break new_connection;
        }
        let _ = connection.stream.write_all(b" ");
    };
    let mut connection = new_connection;
    assert_eq!(connection.read_line(), "tail 1\n");
    connection.write(&line);
    let mut client = Client::new(&program);
    let code = (1..10_000)
        .map(|stream| client.lookup(stream, "order").code())
        .find(|code| *code == 11);
    assert_eq!(code, Some(11));
}

#[test]
fn an_older_position_reverts_nothing() {
    let cache = Cache::start(ok(b"fine"));
    let service = ScriptedPeer::listen();
    let program = Program::start(&config(&[("s-a", cache.address)], service.address));
    let event = |pos: u64, phase: &str| {
        hosts_event(pos, &json!([member("s-a", "std", cache.address, phase)]))
    };
    let mut connection = service.accept();
    assert_eq!(connection.read_line(), "tail 1\n");
    connection.write(&format!("{}{}", event(2, "SERVING"), event(3, "DRAINING")));
    let mut client = Client::new(&program);
    let code = (1..10_000)
        .map(|stream| client.lookup(stream, "order").code())
        .find(|code| *code == 11);
    assert_eq!(code, Some(11));
    drop(connection);
    let mut connection = service.accept();
    assert_eq!(connection.read_line(), "tail 3\n");
    // The service reports a lower position and repeats an event that was already received.
    connection.write(&format!("1\n{}2\n", event(2, "SERVING")));
    // This position is ahead of the received events, so the proxy requests events again. It has read the earlier lines
    // by then.
    connection.write("9\n");
    assert_eq!(service.accept().read_line(), "tail 3\n");
    assert_eq!(client.lookup(10_001, "order").code(), 11);
}

#[test]
fn beyond_the_propagation_time_without_discovery_copies_are_bounded_until_it_has_caught_up() {
    let cache = Cache::start(ok(b"fine"));
    let service = ScriptedPeer::listen();
    let program = Program::start(&config(&[("s-a", cache.address)], service.address));
    let mut connection = service.accept();
    assert_eq!(connection.read_line(), "tail 1\n");
    connection.write(&format!(
        "{}\n2\n",
        json!({"pos": 2, "expire": {"set": 3, "stamp": now_ms() as u64}})
    ));
    let disconnected_at = now_ms();
    drop(connection);
    let mut client = Client::new(&program);
    let mut streams = 1..100_000;
    let mut oldest = || {
        assert_eq!(
            client
                .lookup(streams.next().expect("a bound"), "map")
                .code(),
            0
        );
        header(&cache.next_request().1, "Oldest-Ms").map(|ms| ms.parse::<u64>().unwrap())
    };
    let bound = loop {
        while let Some(connection) = service.accept_within(Duration::from_millis(20)) {
            drop(connection);
        }
        if let Some(bound) = oldest() {
            break bound;
        }
        assert!(
            now_ms() - disconnected_at < 12_000,
            "copies were never bounded"
        );
    };
    assert!(
        now_ms() - disconnected_at > 6_900 && (6_900..=7_000).contains(&bound),
        "{bound}"
    );
    // The connection is back, but events are outstanding: the service sends an event, and only later the line that
    // reports that there are no more.
    let mut connection = service.accept();
    assert_eq!(connection.read_line(), "tail 2\n");
    connection.write(&format!(
        "{}\n",
        json!({"pos": 3, "expire": {"set": 4, "stamp": now_ms() as u64}})
    ));
    assert!(oldest().is_some());
    connection.write("3\n");
    let end = now_ms();
    while oldest().is_some() {
        assert!(now_ms() - end < 10_000, "copies are still bounded");
    }
}

#[test]
fn invalidations_bound_the_copies_of_later_requests() {
    let cache = Cache::start(ok(b"fine"));
    let (program, journal) = Program::with_cache(&cache);
    let (hello, mut service) = journal.accept_subscriber();
    assert_eq!(hello, "tail 1\n");
    let mut client = Client::new(&program);
    assert_eq!(client.lookup(1, "map").code(), 0);
    assert_eq!(header(&cache.next_request().1, "Oldest-Ms"), None);
    let stamp = now_ms() - 5000;
    // An unreadable line, then an event; the event's line is split between two writes.
    let line =
        format!("{{bad\n{{\"pos\":2,\"expire\":{{\"name\":\"{OBJECT}\",\"stamp\":{stamp}}}}}\n2\n");
    service.write_all(&line.as_bytes()[..40]).unwrap();
    service.write_all(&line.as_bytes()[40..]).unwrap();
    let mut streams = 2..10_000;
    let mut next_bound = |below: u128| loop {
        assert_eq!(
            client
                .lookup(streams.next().expect("a bound"), "map")
                .code(),
            0
        );
        let received =
            header(&cache.next_request().1, "Oldest-Ms").map(|ms| ms.parse::<u128>().unwrap());
        if let Some(bound) = received.filter(|ms| *ms < below) {
            break bound;
        }
    };
    let bound = next_bound(u128::MAX);
    assert!((1..=now_ms() - stamp).contains(&bound));
    // After a reconnect the proxy continues after the last event, and does not apply an event that it received before.
    drop(service);
    let (hello, mut service) = journal.accept_subscriber();
    assert_eq!(hello, "tail 2\n");
    let purge = json!({"pos": 3, "expire": {"set": 17, "stamp": now_ms() as u64}});
    let old_event = json!({"pos": 2, "hosts": {"revision": 1, "complete": true, "members": []}});
    service
        .write_all(format!("{old_event}\n{purge}\n").as_bytes())
        .unwrap();
    next_bound(5000);
}

#[test]
fn a_silent_discovery_service_is_reconnected_and_requests_go_on() {
    let cache = Cache::start(ok(b"fine"));
    let (program, journal) = Program::with_cache(&cache);
    let (_, _open_connection) = journal.accept_subscriber();
    assert_eq!(Client::new(&program).lookup(1, "map").code(), 0);
    assert_eq!(journal.accept_subscriber().0, "tail 1\n");
}

// Guards against a slow discovery service that is never heard, because each connection is given up before its answer.
#[test]
fn a_discovery_service_that_answers_late_is_heard() {
    let cache = Cache::start(ok(b"fine"));
    let service = ScriptedPeer::listen();
    let program = Program::start(&config(&[("s-a", cache.address)], service.address));
    // The service answers nothing while the proxy opens connections beside the first. Their number is bounded: the
    // fifth replaces the fourth.
    let mut connections: Vec<PeerConnection> = (0..5).map(|_| service.accept()).collect();
    for connection in &mut connections {
        assert_eq!(connection.read_line(), "tail 1\n");
    }
    assert_eq!(connections.remove(3).read_line(), "");
    let mut first = connections.remove(0);
    let members = json!([member("s-a", "std", cache.address, "DRAINING")]);
    first.write(&hosts_event(2, &members));
    // Once one connection delivers events, the others are closed.
    for connection in &mut connections {
        assert_eq!(connection.read_line(), "");
    }
    let mut client = Client::new(&program);
    assert_eq!(client.lookup(1, "order").code(), 11);
}

// Guards against requests that reach a new process under the name of the one that had its address before.
#[test]
fn an_endpoint_whose_address_a_later_process_has_taken_gets_no_more_requests() {
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let program = Program::start(&config(&[("s-a", cache.address)], journal.address));
    let (_, mut service) = journal.accept_subscriber();
    let mut client = Client::new(&program);
    assert_eq!(client.lookup(1, "map").code(), 0);
    // The new process drains. That the former one has gone is not reported yet.
    let started_at = now_ms() as u64;
    for (pos, phase) in [(2, "SERVING"), (3, "DRAINING")] {
        let mut new_process = member("s-c", "std", cache.address, phase);
        new_process["up_since_ms"] = json!(started_at);
        service
            .write_all(hosts_event(pos, &json!([new_process])).as_bytes())
            .unwrap();
    }
    let is_rejected = |stream: u32| client.lookup(stream, "map").code() == 11;
    assert!((2..2_000).any(is_rejected), "the drain took no effect");
    // A later list of the former process changes nothing.
    let former = member("s-a", "std", cache.address, "SERVING");
    service
        .write_all(hosts_event(4, &json!([former])).as_bytes())
        .unwrap();
    service.write_all(b"4\n").unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(client.lookup(3_000, "map").code(), 11);
}

// Guards against requests that are written to the former address of an endpoint, where another process may be by now.
#[test]
fn a_request_that_waits_for_its_connection_follows_its_endpoint_to_another_address() {
    let (mut former, current) = (ScriptedPeer::listen(), ScriptedPeer::listen());
    let journal = Journal::start();
    let mut config = config(&[("s-a", former.address)], journal.address);
    config["settings"]["limits"]["connect_timeout_s"] = json!(5.0);
    former.fill_accept_queue();
    let program = Program::start(&config);
    let (_, mut service) = journal.accept_subscriber();
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[("limit", "3000")], b""));
    // The proxy has begun to connect once the second query is answered.
    assert_eq!((client.readiness(), client.readiness()), (0, 0));
    let moved = member("s-a", "std", current.address, "SERVING");
    service
        .write_all(hosts_event(2, &json!([moved])).as_bytes())
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    former.clear_accept_queue();
    assert_eq!(former.accept().read_request(), "");
    let mut connection = current.accept();
    assert!(connection
        .read_request()
        .contains("X-Req: 0000000000000001"));
    connection.respond_ok("fine");
    assert_eq!(client.read_response().code(), 0);
}

#[test]
fn endpoint_list_changes_take_effect_and_an_address_may_pass_to_another_endpoint() {
    let (first, second) = (Cache::start(ok(b"first")), Cache::start(ok(b"second")));
    let journal = Journal::start();
    let caches = [("s-a", first.address), ("s-b", second.address)];
    let program = Program::start(&config(&caches, journal.address));
    let (_, mut service) = journal.accept_subscriber();
    let mut client = Client::new(&program);
    let body = |response: Frame| String::from_utf8_lossy(response.fields_and_body().1).into_owned();
    let before = body(client.lookup(1, "map"));
    let (drained, id, left) = if before == "first" {
        (&first, "s-a", &second)
    } else {
        (&second, "s-b", &first)
    };
    let mut send_update = |pos: u64, member: Value| {
        service
            .write_all(hosts_event(pos, &json!([member])).as_bytes())
            .unwrap();
    };
    let mut stream = 2;
    let mut until = |wanted: &dyn Fn(&str) -> bool| {
        while !wanted(&body(client.lookup(stream, "map"))) {
            stream += 1;
            assert!(stream < 10_000, "no change took effect");
        }
        stream += 1;
    };
    let (number, ..) = drained.next_request();
    send_update(2, member(id, "std", drained.address, "DRAINING"));
    until(&|body| body != before);
    // Pooled connections to a draining endpoint are closed, so an endpoint that takes over its address starts with
    // connections of its own.
    drained.wait_until_closed(number);
    send_update(3, member(id, "std", drained.address, "DELETED"));
    send_update(4, member("s-c", "std", drained.address, "SERVING"));
    send_update(
        5,
        member(
            if id == "s-a" { "s-b" } else { "s-a" },
            "std",
            left.address,
            "DELETED",
        ),
    );
    until(&|body| body == before);
    assert!(drained.next_request().0 > number);
    // An endpoint that moves is no longer reached at its old address.
    send_update(6, member("s-c", "std", left.address, "SERVING"));
    until(&|body| body != before);
}

#[test]
fn missing_or_unreadable_updates_are_requested_again() {
    let cache = Cache::start(ok(b"fine"));
    let (program, journal) = Program::with_cache(&cache);
    let purge = |pos: u64| json!({"pos": pos, "expire": {"set": 1, "stamp": 1}});
    // A position ahead of the received events; an event after an unreadable one; a truncated event.
    let broken = [
        "2\n".to_string(),
        format!("{{bad\n{}\n", purge(3)),
        "{\"pos\":2,\"exp".to_string(),
    ];
    for text in broken {
        let (hello, mut service) = journal.accept_subscriber();
        assert_eq!(hello, "tail 1\n", "before {text}");
        service.write_all(text.as_bytes()).unwrap();
    }
    let (_, mut service) = journal.accept_subscriber();
    // An event that is received twice is applied once, and the events after it are applied, too.
    service
        .write_all(format!("{0}\n{0}\n{1}\n{0}\n3\n", purge(2), purge(3)).as_bytes())
        .unwrap();
    drop(service);
    assert_eq!(journal.accept_subscriber().0, "tail 3\n");
    assert_eq!(Client::new(&program).lookup(1, "map").code(), 0);
}

/// The maximum age of a copy for a request that is sent now, in milliseconds; `None` if only the class limits it.
fn oldest_copy_ms(cache: &Cache, client: &mut Client, stream: u32) -> Option<u128> {
    assert_eq!(client.lookup(stream, "map").code(), 0);
    header(&cache.next_request().1, "Oldest-Ms").map(|ms| ms.parse().unwrap())
}

/// Checks that lookups after `since` do not accept copies from before that moment, and that the metric counts the
/// missed events once.
fn assert_copies_bounded_since(observed: &ObservedProxy, cache: &Cache, since: u128) {
    let missed = "meadowrill_front_discovery_events_missed_total";
    wait_until(HANG_TIMEOUT, "missed events are counted", || {
        observed.metric(missed) > 0.0
    });
    let mut client = Client::new(&observed.program);
    let oldest = oldest_copy_ms(cache, &mut client, 1).expect("a bound on all copies");
    assert!(oldest <= now_ms() - since, "{oldest} ms");
    assert_eq!(observed.metric(missed), 1.0);
}

// Guards against copies that are served as fresh although an invalidation was never received: an event that stays
// missing is skipped.
#[test]
fn an_event_that_stays_missing_bounds_all_copies() {
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let observed = ObservedProxy::start(&config(&[("s-a", cache.address)], journal.address));
    let mut client = Client::new(&observed.program);
    assert_eq!(oldest_copy_ms(&cache, &mut client, 1), None);
    let since = now_ms();
    let next_event = json!({"pos": 3, "expire": {"set": 99, "stamp": 1}});
    // The second event is unreadable, however often it is requested.
    let mut open_connections = Vec::new();
    for _ in 0..4 {
        let (hello, mut service) = journal.accept_subscriber();
        assert_eq!(hello, "tail 1\n");
        service
            .write_all(format!("{{bad\n{next_event}\n3\n").as_bytes())
            .unwrap();
        open_connections.push(service);
    }
    assert_copies_bounded_since(&observed, &cache, since);
}

// Guards against the same fault when only the last event is missing: it is skipped when the service reports its
// position.
#[test]
fn a_last_event_that_stays_missing_bounds_all_copies() {
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let observed = ObservedProxy::start(&config(&[("s-a", cache.address)], journal.address));
    let since = now_ms();
    let mut open_connections = Vec::new();
    for _ in 0..4 {
        let (_, mut service) = journal.accept_subscriber();
        service.write_all(b"{bad\n2\n").unwrap();
        open_connections.push(service);
    }
    assert_copies_bounded_since(&observed, &cache, since);
}

// Guards against lost invalidations when a service renumbers its events: the new events have positions that were
// already received.
#[test]
fn renumbered_events_bound_all_copies() {
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let observed = ObservedProxy::start(&config(&[("s-a", cache.address)], journal.address));
    let purge = |pos: u64| json!({"pos": pos, "expire": {"set": 99, "stamp": 1}});
    let (_, mut service) = journal.accept_subscriber();
    service
        .write_all(format!("{}\n{}\n3\n", purge(2), purge(3)).as_bytes())
        .unwrap();
    drop(service);
    let since = now_ms();
    let (hello, mut service) = journal.accept_subscriber();
    assert_eq!(hello, "tail 3\n");
    service.write_all(b"1\n2\n3\n").unwrap();
    assert_copies_bounded_since(&observed, &cache, since);
}

// Guards against the same fault when an event that the configuration lists is unreadable.
#[test]
fn an_unreadable_entry_of_the_configuration_bounds_all_copies() {
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let mut config = config(&[("s-a", cache.address)], journal.address);
    let since = now_ms();
    let entries = config["known"]["entries"].as_array_mut().unwrap();
    entries.push(json!({"pos": 2, "expire": {"name": "no object"}}));
    config["known"]["pos"] = json!(2);
    let observed = ObservedProxy::start(&config);
    assert_copies_bounded_since(&observed, &cache, since);
}
