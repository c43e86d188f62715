//! Attempts that fail: what their end proves, and which response the client receives.

use meadowrill_test_servers::*;
use serde_json::json;
use std::net::TcpListener;
use std::thread;

#[test]
fn an_attempt_that_must_not_run_twice_is_retried_only_with_proof_that_it_did_not_run() {
    // Proof that the request did not run: the client receives a rejection, and no second attempt is needed. The
    // endpoint that refuses connections has gone.
    for proof in [
        "503 Full\r\nX-Not-Run: 1",
        "504 Over\r\nX-Not-Run: 1",
        "404 Not Found",
    ] {
        let cache = Cache::start(http_response(proof, "", b""));
        let (program, _journal) = Program::with_cache(&cache);
        assert_eq!(
            Client::new(&program).lookup(1, "order").code(),
            11,
            "{proof}"
        );
    }
    let closed_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let journal = Journal::start();
    let program = Program::start(&config(&[("s-a", closed_address)], journal.address));
    assert_eq!(Client::new(&program).lookup(1, "order").code(), 11);
    // No proof: the request fails after one attempt.
    let truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec();
    let unproven = [
        http_response("500 Error", "", b""),
        http_response("503 Full", "", b""),
        http_response("418 Other", "", b""),
        CacheBehavior::WriteAndClose(Vec::new()),
        CacheBehavior::WriteAndClose(truncated),
    ];
    for behavior in unproven {
        let cache = Cache::start(behavior);
        let (program, _journal) = Program::with_cache(&cache);
        assert_eq!(Client::new(&program).lookup(1, "order").code(), 5);
        cache.next_request();
        assert!(!cache
            .events
            .try_iter()
            .any(|seen| matches!(seen, CacheEvent::Request(..))));
    }
}

#[test]
fn an_idle_connection_that_closes_under_an_attempt_proves_nothing() {
    let cache = Cache::start(ok(b"one"));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    assert_eq!(client.lookup(1, "order").code(), 0);
    cache.set_behavior(CacheBehavior::WriteAndClose(Vec::new()));
    assert_eq!(client.lookup(2, "order").code(), 5);
}

#[test]
fn a_silent_endpoint_ends_in_a_response_before_the_deadline() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    let start = now_ms();
    client.write(&request_frame(1, "map", &[("limit", "400")], b""));
    assert_eq!(client.read_response().code(), 11);
    assert!((400..2000).contains(&(now_ms() - start)));
    cache.wait_until_closed(cache.next_request().0);
    client.write(&request_frame(2, "order", &[("limit", "400")], b""));
    assert_eq!(client.read_response().code(), 5);
}

// Guards against endpoints that count as unreachable because clients give their requests too little time to connect.
#[test]
fn requests_with_little_time_left_do_not_count_against_an_endpoint() {
    let mut peer = ScriptedPeer::listen();
    let journal = Journal::start();
    let mut config = config(&[("s-a", peer.address)], journal.address);
    config["settings"]["limits"]["connect_timeout_s"] = json!(5.0);
    peer.fill_accept_queue();
    let program = Program::start(&config);
    let (mut hasty, mut other) = (Client::new(&program), Client::new(&program));
    for stream in 1..=8 {
        hasty.write(&request_frame(stream, "map", &[("limit", "30")], b""));
        assert_ne!(hasty.read_response().code(), 0);
    }
    peer.clear_accept_queue();
    // A request of another client is sent to the endpoint at once.
    other.write(&request_frame(1, "map", &[], b""));
    let response = thread::spawn(move || other.read_response());
    let mut connection = loop {
        // The connections of the hasty requests are closed without a request.
        let mut connection = peer.accept();
        if !connection.read_request().is_empty() {
            break connection;
        }
    };
    connection.respond_ok("fine");
    assert_eq!(response.join().expect("a response").code(), 0);
}
