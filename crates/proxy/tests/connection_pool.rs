//! Connections to caches: what comes, ends or changes while one is coming up, kept, or in the middle of an answer.

use meadowrill_test_servers::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

fn config_with_long_timeouts(caches: &[(&str, SocketAddr)], journal: &Journal) -> Value {
    let mut config = config(caches, journal.address);
    // Longer than the kernel takes to try again to bring a connection up.
    config["settings"]["limits"]["connect_timeout_s"] = json!(5.0);
    config
}

fn tell(service: &mut TcpStream, pos: u64, members: Value) {
    service
        .write_all(hosts_event(pos, &members).as_bytes())
        .unwrap();
}

/// What was told has been taken in once a purge behind it shows in a request at an endpoint of its own.
fn wait_until_applied(service: &mut TcpStream, pos: u64) {
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
    tell(
        &mut service,
        2,
        json!([member("s-a", "std", first.address, "DRAINING"), next]),
    );
    wait_until_applied(&mut service, 2);
    // Once another request goes to the new endpoint, the list has been taken in.
    let mut other = Client::new(&program);
    let mut stream = 10;
    let mut talk = loop {
        other.write(&request_frame(
            stream,
            "map",
            &[("slice", &stream.to_string())],
            b"",
        ));
        if let Some(talk) = second.accept_within(Duration::from_millis(100)) {
            break talk;
        }
        stream += 1;
        assert!(stream < 40, "the list is not followed");
    };
    assert!(talk.read_request().contains("GET /data/map/"));
    first.clear_accept_queue();
    // It comes up, and nothing is written on it: the request goes where it may.
    assert_eq!(first.accept().read_request(), "");
    let mut head = talk
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
fn an_attempt_that_waits_for_its_connection_has_the_bound_of_an_invalidation_meanwhile() {
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
    // A number that runs ahead makes the proxy ask again: by then it has read the purge.
    service
        .write_all(format!("{purge}\n9\n").as_bytes())
        .unwrap();
    assert_eq!(journal.accept_subscriber().0, "tail 2\n");
    peer.clear_accept_queue();
    let mut talk = peer.accept();
    let mut head = talk.read_request();
    if head.is_empty() {
        head = peer.accept().read_request();
    }
    let oldest: u64 = header(&head, "Oldest-Ms")
        .expect("a bound")
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
    let (talk, next) = match first.accept_within(Duration::from_millis(200)) {
        Some(talk) => (talk, &mut second),
        None => (second.accept(), &mut first),
    };
    let mut talk = talk;
    assert!(talk.read_request().contains("Idempotency-Key"));
    next.fill_accept_queue();
    // It may have run; the repeat waits for a connection that comes up a second later.
    talk.reset();
    // The round that saw the reset has begun its connection once the second of these is answered.
    assert_eq!((client.readiness(), client.readiness()), (0, 0));
    next.clear_accept_queue();
    if let Some(mut talk) = next.accept_within(Duration::from_secs(3)) {
        assert_eq!(talk.read_request(), "");
    }
    // Within its window its own marks make a further try of the client harmless.
    let answer = client.read_response();
    assert_eq!((answer.stream, answer.code()), (1, 11));
}

#[test]
fn half_a_line_at_the_moment_of_reuse_is_no_requests_response() {
    let peer = ScriptedPeer::listen();
    let journal = Journal::start();
    let program = Program::start(&config_with_long_timeouts(
        &[("s-a", peer.address)],
        &journal,
    ));
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "order", &[], b""));
    let mut talk = peer.accept();
    talk.read_request();
    talk.respond_ok("one");
    assert_eq!(client.read_response().code(), 0);
    // Half a line and the next request are found in one round.
    program.pause();
    talk.write("HTTP/1.1 200 O");
    client.write(&request_frame(2, "order", &[], b""));
    program.resume();
    // Not on that connection: it is not clean.
    let mut next = peer.accept();
    assert!(next.read_request().contains("X-Req: 0000000000000002"));
    next.respond_ok("two");
    let answer = client.read_response();
    assert_eq!(
        (answer.code(), answer.fields_and_body().1),
        (0, &b"two"[..])
    );
    assert_eq!(talk.read_request(), "");
}

#[test]
fn a_close_at_the_moment_of_reuse_sends_the_next_request_elsewhere() {
    let peer = ScriptedPeer::listen();
    let journal = Journal::start();
    let program = Program::start(&config_with_long_timeouts(
        &[("s-a", peer.address)],
        &journal,
    ));
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "order", &[], b""));
    let mut talk = peer.accept();
    talk.read_request();
    talk.respond_ok("one");
    assert_eq!(client.read_response().code(), 0);
    program.pause();
    drop(talk);
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
    let mut talk = peer.accept();
    talk.read_request();
    talk.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
    // Far fewer in its time than were announced.
    let trickle = std::thread::spawn(move || {
        while talk.stream.write_all(b"x").is_ok() {
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    // The other is served meanwhile.
    other.write(&request_frame(2, "map", &[], b""));
    let mut next = peer.accept();
    next.read_request();
    next.respond_ok("fine");
    assert_eq!(other.read_response().code(), 0);
    assert_eq!(client.read_response().code(), 5);
    // The proxy has closed it.
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
    let mut talk = peer.accept();
    talk.read_request();
    talk.reset();
    assert_eq!(client.read_response().code(), 5);
}

#[test]
fn a_copy_is_confirmed_as_current_only_by_a_cache_that_names_it() {
    let current =
        |tag: &str| CacheBehavior::Respond(format!("HTTP/1.1 304 Same\r\n{tag}\r\n"), Vec::new());
    let cache = Cache::start(current("Version: abc\r\n"));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    let mut told = |stream, does: CacheBehavior, seen: &[(&str, &str)]| {
        cache.set_behavior(does);
        client.write(&request_frame(stream, "map", seen, b""));
        client.read_response().code()
    };
    assert_eq!(told(1, current("Version: abc\r\n"), &[("seen", "abc")]), 0);
    assert_eq!(
        told(2, current("Version: \"abc\"\r\n"), &[("seen", "abc")]),
        0
    );
    // Another's, none, or to somebody who holds nothing.
    assert_ne!(told(3, current("Version: abd\r\n"), &[("seen", "abc")]), 0);
    assert_ne!(told(4, current(""), &[("seen", "abc")]), 0);
    assert_ne!(told(5, current("Version: abc\r\n"), &[]), 0);
}
