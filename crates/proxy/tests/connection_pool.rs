//! Connections to caches: events while a connection is being established, is idle, or is reading a response.

use meadowrill_test_servers::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

fn config_with_long_timeouts(caches: &[(&str, SocketAddr)], journal: &Journal) -> Value {
    let mut config = config(caches, journal.address);
    // Longer than the interval at which the kernel retries to establish a connection.
    config["settings"]["limits"]["connect_timeout_s"] = json!(5.0);
    config
}

fn publish_members(service: &mut TcpStream, pos: u64, members: Value) {
    service
        .write_all(hosts_event(pos, &members).as_bytes())
        .unwrap();
}

/// Sends a line with the position of the last event.
fn publish_position(service: &mut TcpStream, pos: u64) {
    service.write_all(format!("{pos}\n").as_bytes()).unwrap();
}

#[test]
fn an_attempt_that_waits_for_its_connection_is_not_written_to_an_endpoint_draining_by_then() {
    let (mut first, second) = (ScriptedPeer::listen(), ScriptedPeer::listen());
    let journal = Journal::start();
    let program = Program::start(&config_with_long_timeouts(
        &[("s-a", first.address)],
        &journal,
    ));
    let (_, mut service) = journal.accept_subscriber();
    first.fill_accept_queue();
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "order", &[], b""));
    assert_eq!((client.readiness(), client.readiness()), (0, 0));
    let next = member("s-b", "std", second.address, "SERVING");
    publish_members(
        &mut service,
        2,
        json!([member("s-a", "std", first.address, "DRAINING"), next]),
    );
    publish_position(&mut service, 2);
    // Once another request goes to the new endpoint, the proxy has applied the change of the endpoint list.
    let mut other = Client::new(&program);
    let mut stream = 10;
    let mut connection = loop {
        other.write(&request_frame(
            stream,
            "map",
            &[("slice", &stream.to_string())],
            b"",
        ));
        if let Some(connection) = second.accept_within(Duration::from_millis(100)) {
            break connection;
        }
        stream += 1;
        assert!(
            stream < 40,
            "the proxy did not apply the change of the endpoint list"
        );
    };
    assert!(connection.read_request().contains("GET /data/map/"));
    first.clear_accept_queue();
    // The connection is established, but nothing is written on it: the request goes to the other endpoint.
    assert_eq!(first.accept().read_request(), "");
    let mut head = connection
        .stream
        .peer_addr()
        .map(|_| second.accept().read_request())
        .unwrap();
    while !head.contains("X-Req: 0000000000000001") {
        assert!(!head.is_empty());
        head = second.accept().read_request();
    }
}

#[test]
fn an_attempt_that_waits_for_its_connection_has_the_maximum_age_of_a_purge_received_meanwhile() {
    let mut peer = ScriptedPeer::listen();
    let journal = Journal::start();
    let program = Program::start(&config_with_long_timeouts(
        &[("s-a", peer.address)],
        &journal,
    ));
    let (_, mut service) = journal.accept_subscriber();
    peer.fill_accept_queue();
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[], b""));
    assert_eq!((client.readiness(), client.readiness()), (0, 0));
    let stamp = now_ms() as u64;
    let purge = json!({"pos": 2, "expire": {"name": OBJECT, "stamp": stamp}});
    // A position beyond the received events makes the proxy subscribe again; by then it has read the purge.
    service
        .write_all(format!("{purge}\n9\n").as_bytes())
        .unwrap();
    assert_eq!(journal.accept_subscriber().0, "tail 2\n");
    peer.clear_accept_queue();
    let mut connection = peer.accept();
    let mut head = connection.read_request();
    if head.is_empty() {
        head = peer.accept().read_request();
    }
    let oldest: u64 = header(&head, "Oldest-Ms")
        .expect("a maximum age")
        .parse()
        .unwrap();
    assert!((1..=now_ms() as u64 - stamp).contains(&oldest), "{head}");
}

#[test]
fn a_retry_whose_window_ends_before_its_connection_is_up_is_not_written() {
    let (mut first, mut second) = (ScriptedPeer::listen(), ScriptedPeer::listen());
    let journal = Journal::start();
    let mut config =
        config_with_long_timeouts(&[("s-a", first.address), ("s-b", second.address)], &journal);
    config["settings"]["classes"][2]["key_ttl_s"] = json!(0.4);
    let program = Program::start(&config);
    let mut client = Client::new(&program);
    client.write(&request_frame(
        1,
        "book",
        &[("unique", "5c0f6e1a2b3d4c59")],
        b"",
    ));
    let (connection, next) = match first.accept_within(Duration::from_millis(200)) {
        Some(connection) => (connection, &mut second),
        None => (second.accept(), &mut first),
    };
    let mut connection = connection;
    assert!(connection.read_request().contains("Idempotency-Key"));
    next.fill_accept_queue();
    // The first attempt may have run. Its retry waits for a connection that is established a second later.
    connection.reset();
    // Once the second query is answered, the round of the event loop that read the reset has begun to connect.
    assert_eq!((client.readiness(), client.readiness()), (0, 0));
    next.clear_accept_queue();
    if let Some(mut connection) = next.accept_within(Duration::from_secs(3)) {
        assert_eq!(connection.read_request(), "");
    }
    // Within the deduplication window the idempotency key makes a further try by the client safe, so the
    // response is a rejection.
    let response = client.read_response();
    assert_eq!((response.stream, response.code()), (1, 11));
}

#[test]
fn half_a_line_at_the_moment_of_reuse_is_not_part_of_a_response() {
    let peer = ScriptedPeer::listen();
    let journal = Journal::start();
    let program = Program::start(&config_with_long_timeouts(
        &[("s-a", peer.address)],
        &journal,
    ));
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "order", &[], b""));
    let mut connection = peer.accept();
    connection.read_request();
    connection.respond_ok("one");
    assert_eq!(client.read_response().code(), 0);
    // The proxy finds half a line and the next request in one round of its event loop.
    program.pause();
    connection.write("HTTP/1.1 200 O");
    client.write(&request_frame(2, "order", &[], b""));
    program.resume();
    // The request is not written on that connection, because unexpected bytes have arrived on it.
    let mut next = peer.accept();
    assert!(next.read_request().contains("X-Req: 0000000000000002"));
    next.respond_ok("two");
    let response = client.read_response();
    assert_eq!(
        (response.code(), response.fields_and_body().1),
        (0, &b"two"[..])
    );
    assert_eq!(connection.read_request(), "");
}

#[test]
fn a_close_at_the_moment_of_reuse_moves_the_next_request_to_a_new_connection() {
    let peer = ScriptedPeer::listen();
    let journal = Journal::start();
    let program = Program::start(&config_with_long_timeouts(
        &[("s-a", peer.address)],
        &journal,
    ));
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "order", &[], b""));
    let mut connection = peer.accept();
    connection.read_request();
    connection.respond_ok("one");
    assert_eq!(client.read_response().code(), 0);
    program.pause();
    drop(connection);
    client.write(&request_frame(2, "order", &[], b""));
    program.resume();
    let mut next = peer.accept();
    next.read_request();
    next.respond_ok("two");
    assert_eq!(client.read_response().code(), 0);
}

#[test]
fn a_response_that_trickles_or_never_ends_fails_that_attempt_alone() {
    let peer = ScriptedPeer::listen();
    let journal = Journal::start();
    let program = Program::start(&config_with_long_timeouts(
        &[("s-a", peer.address)],
        &journal,
    ));
    let (mut client, mut other) = (Client::new(&program), Client::new(&program));
    client.write(&request_frame(1, "order", &[("limit", "600")], b""));
    let mut connection = peer.accept();
    connection.read_request();
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
    // Far fewer bytes than announced arrive within the time limit of the request.
    let trickle = std::thread::spawn(move || {
        while connection.stream.write_all(b"x").is_ok() {
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    // The other client is served meanwhile.
    other.write(&request_frame(2, "map", &[], b""));
    let mut next = peer.accept();
    next.read_request();
    next.respond_ok("fine");
    assert_eq!(other.read_response().code(), 0);
    assert_eq!(client.read_response().code(), 5);
    // The thread ends because the proxy has closed the connection.
    trickle.join().unwrap();
}

#[test]
fn a_reset_after_the_complete_request_proves_nothing() {
    let peer = ScriptedPeer::listen();
    let journal = Journal::start();
    let program = Program::start(&config_with_long_timeouts(
        &[("s-a", peer.address)],
        &journal,
    ));
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "order", &[], b""));
    let mut connection = peer.accept();
    connection.read_request();
    connection.reset();
    assert_eq!(client.read_response().code(), 5);
}

#[test]
fn a_copy_is_confirmed_as_current_only_by_a_cache_that_names_it() {
    let current =
        |tag: &str| CacheBehavior::Respond(format!("HTTP/1.1 304 Same\r\n{tag}\r\n"), Vec::new());
    let cache = Cache::start(current("Version: abc\r\n"));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    let mut response_code = |stream, behavior: CacheBehavior, seen: &[(&str, &str)]| {
        cache.set_behavior(behavior);
        client.write(&request_frame(stream, "map", seen, b""));
        client.read_response().code()
    };
    assert_eq!(
        response_code(1, current("Version: abc\r\n"), &[("seen", "abc")]),
        0
    );
    assert_eq!(
        response_code(2, current("Version: \"abc\"\r\n"), &[("seen", "abc")]),
        0
    );
    // The version of another copy, no version, or a client without a copy.
    assert_ne!(
        response_code(3, current("Version: abd\r\n"), &[("seen", "abc")]),
        0
    );
    assert_ne!(response_code(4, current(""), &[("seen", "abc")]), 0);
    assert_ne!(response_code(5, current("Version: abc\r\n"), &[]), 0);
}
