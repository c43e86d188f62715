//! Clients that close their connection or cancel a request: no further attempt begins for them, whatever the state of
//! the request is. The tests control the peers step by step, so that interleavings are deterministic.

use meadowrill_test_servers::*;
use serde_json::json;
use std::net::Shutdown;
use std::time::Duration;

const ESTABLISHED: &str = "01";
const FIN_WAIT2: &str = "05";

/// Local port, remote port and state of the TCP connections of this host, as the kernel lists them.
fn connections() -> impl Iterator<Item = (u16, u16, String)> {
    let text = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = |at: &str| u16::from_str_radix(at.rsplit(':').next().unwrap(), 16).unwrap();
    let line = move |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        (port(words[1]), port(words[2]), words[3].to_string())
    };
    text.lines()
        .skip(1)
        .map(line)
        .collect::<Vec<_>>()
        .into_iter()
}

/// Shuts down the client's sending direction, and waits until this is acknowledged, because the kernel may deliver it
/// late.
fn shut_down_sending(client: &Client) {
    client.0.shutdown(Shutdown::Write).unwrap();
    let port = client.0.local_addr().unwrap().port();
    let acknowledged =
        || connections().any(|(local, _, state)| local == port && state == FIN_WAIT2);
    wait_until(HANG_TIMEOUT, "the shutdown is acknowledged", acknowledged);
}

#[test]
fn no_further_attempt_begins_for_a_client_that_has_closed() {
    // Also for a client whose framing was lost, so that nothing more was read from it.
    for framing_lost in [false, true] {
        check_closed_client(framing_lost);
    }
}

fn check_closed_client(framing_lost: bool) {
    let (first, second) = (ScriptedPeer::listen(), ScriptedPeer::listen());
    let journal = Journal::start();
    let program = Program::start(&config(
        &[("s-a", first.address), ("s-b", second.address)],
        journal.address,
    ));
    let (mut client, mut other) = (Client::new(&program), Client::new(&program));
    client.write(&request_frame(1, "map", &[], b""));
    let (mut connection, next) = match first.accept_within(HANG_TIMEOUT / 100) {
        Some(connection) => (connection, &second),
        None => (second.accept(), &first),
    };
    assert!(connection
        .read_request()
        .contains("X-Req: 0000000000000001"));
    if framing_lost {
        client.write(&[255, 255, 255, 255]);
        // The client reads all that was sent to it, so that its close is not a reset.
        assert_eq!(
            (client.read_response().kind, client.read_response().kind),
            (66, 90)
        );
    }
    shut_down_sending(&client);
    // The proxy has read the end of the client's stream once these queries are answered.
    assert_eq!((other.readiness(), other.readiness()), (0, 0));
    let port = connection.stream.local_addr().unwrap().port();
    connection.reset();
    let is_reset =
        || connections().all(|(_, remote, state)| remote != port || state != ESTABLISHED);
    wait_until(HANG_TIMEOUT, "the connection is reset", is_reset);
    // The round of the event loop that read the reset is over once the second query is answered.
    assert_eq!((other.readiness(), other.readiness()), (0, 0));
    assert!(
        next.accept_within(Duration::ZERO).is_none(),
        "a further attempt began"
    );
    // A client that stays connected gets a further attempt.
    check_connected_client(&program, &first, &second);
}

fn check_connected_client(program: &Program, first: &ScriptedPeer, second: &ScriptedPeer) {
    let mut client = Client::new(program);
    client.write(&request_frame(2, "map", &[], b""));
    let (mut connection, next) = match first.accept_within(HANG_TIMEOUT / 100) {
        Some(connection) => (connection, second),
        None => (second.accept(), first),
    };
    assert!(connection
        .read_request()
        .contains("X-Req: 0000000000000002"));
    connection.reset();
    let mut connection = next.accept();
    assert!(connection
        .read_request()
        .contains("X-Req: 0000000000000002"));
    connection.respond_ok("fine");
    assert_eq!(client.read_response().code(), 0);
}

#[test]
fn a_half_closed_client_receives_what_was_in_flight_and_no_further_attempt_begins() {
    let peer = ScriptedPeer::listen();
    let journal = Journal::start();
    let program = Program::start(&config(&[("s-a", peer.address)], journal.address));
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[], b""));
    let mut connection = peer.accept();
    connection.read_request();
    client.0.shutdown(Shutdown::Write).unwrap();
    // The client is notified at once that nothing more is read from it. A client that has closed both directions
    // answers this with a reset.
    assert_eq!(client.read_response().kind, 90);
    connection.respond_ok("fine");
    let response = client.read_response();
    assert_eq!(
        (response.kind, response.stream, response.code()),
        (66, 1, 0)
    );
    assert_eq!(client.read_frame(), None);
}

#[test]
fn a_client_that_has_closed_both_sides_ends_its_attempts() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[("limit", "3000")], b""));
    let (number, ..) = cache.next_request();
    let start = now_ms();
    drop(client);
    cache.wait_until_closed(number);
    assert!(
        now_ms() - start < 2000,
        "the attempt ended only at its deadline"
    );
}

#[test]
fn an_attempt_that_waits_for_its_connection_ends_with_its_client() {
    for cancels in [true, false] {
        let mut peer = ScriptedPeer::listen();
        let journal = Journal::start();
        let mut config = config(&[("s-a", peer.address)], journal.address);
        config["settings"]["limits"]["connect_timeout_s"] = json!(5.0);
        // Also if the settings forbid cancelling attempts that were written: this one has not been written yet.
        config["settings"]["limits"]["cancel"] = json!(false);
        peer.fill_accept_queue();
        let program = Program::start(&config);
        let (mut client, mut other) = (Client::new(&program), Client::new(&program));
        client.write(&request_frame(1, "order", &[], b""));
        // The proxy has begun to connect once the second query is answered.
        assert_eq!((client.readiness(), client.readiness()), (0, 0));
        if cancels {
            client.write(&frame(67, 1, &[]));
            assert_eq!(client.readiness(), 0);
        } else {
            client.0.shutdown(Shutdown::Write).unwrap();
            assert_eq!(client.read_response().kind, 90);
            // The request did not run, so a retry is safe: the response arrives at once.
            let response = client.read_response();
            assert_eq!(
                (response.kind, response.stream, response.code()),
                (66, 1, 11)
            );
        }
        other.write(&request_frame(2, "map", &[], b""));
        peer.clear_accept_queue();
        // Whichever connection is established, only the other client's request is written.
        let mut connection = peer.accept();
        let head = connection.read_request();
        let head = if head.is_empty() {
            peer.accept().read_request()
        } else {
            head
        };
        assert!(head.contains("X-Req: 0000000000000002"), "{head}");
    }
}

#[test]
fn queued_requests_are_not_begun_for_a_client_that_has_ended_its_side() {
    let cache = Cache::start(ok(b"fine"));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    assert_eq!(client.readiness(), 0);
    // More frames than are handled in a round, then a request, then the end of the stream, all received at once.
    program.pause();
    client.write(&frame(80, 0, &[0]).repeat(200));
    client.write(&request_frame(1, "map", &[], b""));
    shut_down_sending(&client);
    program.resume();
    let responses: Vec<Frame> = std::iter::from_fn(|| client.read_frame()).collect();
    assert_eq!(responses.iter().filter(|a| a.kind == 81).count(), 200);
    let lookups: Vec<_> = responses
        .iter()
        .filter(|a| a.kind == 66)
        .map(|a| (a.stream, a.code()))
        .collect();
    assert_eq!(lookups, [(1, 11)]);
    assert!(!cache.received_request(1));
}

// Guards against requests that are begun for a client that has gone, because the end of its stream is behind them.
#[test]
fn requests_that_were_unread_when_their_client_closed_are_not_begun() {
    let cache = Cache::start(ok(b"fine"));
    let (program, _journal) = Program::with_cache(&cache);
    let (mut client, mut other) = (Client::new(&program), Client::new(&program));
    assert_eq!((client.readiness(), other.lookup(1, "map").code()), (0, 0));
    assert!(cache.received_request(1));
    // The kernel grows its receive buffer for a client that sends much.
    let body = [9; 20_000];
    for stream in 101..=300 {
        client.write(&request_frame(stream, "map", &[], &body));
        assert_eq!(client.read_response().code(), 0);
    }
    while cache.events.try_recv().is_ok() {}
    // More than the proxy's own buffer holds, all received by the kernel with the end of the stream.
    program.pause();
    for stream in 1001..=1008 {
        client.write(&request_frame(stream, "map", &[], &body));
    }
    shut_down_sending(&client);
    program.resume();
    let mut responses: Vec<_> = std::iter::from_fn(|| client.read_frame())
        .filter(|frame| frame.kind == 66)
        .map(|frame| (frame.stream, frame.code()))
        .collect();
    responses.sort_unstable();
    let rejected: Vec<_> = (1001..=1008).map(|stream| (stream, 11)).collect();
    assert_eq!(responses, rejected);
    assert_eq!(other.lookup(2, "map").code(), 0);
    let next = cache.next_request().1;
    assert!(next.contains("X-Req: 0000000000000002"), "{next}");
}

#[test]
fn a_request_that_arrives_with_the_end_of_its_stream_is_rejected_and_not_begun() {
    let cache = Cache::start(ok(b"fine"));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    assert_eq!(client.readiness(), 0);
    program.pause();
    client.write(
        &[
            request_frame(1, "map", &[], b""),
            request_frame(2, "order", &[], b""),
        ]
        .concat(),
    );
    shut_down_sending(&client);
    program.resume();
    let rest: Vec<_> = std::iter::from_fn(|| client.read_frame())
        .filter(|f| f.kind == 66)
        .collect();
    assert_eq!(
        rest.iter()
            .map(|a| (a.stream, a.code()))
            .collect::<Vec<_>>(),
        [(1, 11), (2, 11)]
    );
    assert!(!cache.received_request(1));
}

#[test]
fn clients_that_flood_and_disconnect_affect_no_other_client() {
    let cache = Cache::start(ok(b"fine"));
    let (mut program, _journal) = Program::with_cache(&cache);
    let mut other = Client::new(&program);
    for _ in 0..20 {
        let mut client = Client::new(&program);
        // Cancellations of unknown requests, and half a frame. The client may close before the proxy has read them all.
        let _ = std::io::Write::write_all(
            &mut client.0,
            &[frame(67, 9, &[]).repeat(2000), vec![9, 0]].concat(),
        );
        drop(client);
    }
    assert_eq!(other.lookup(1, "map").code(), 0);
    assert!(program.is_running());
}

#[test]
fn a_cancel_ends_the_request_and_its_attempt() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[], b""));
    let (number, ..) = cache.next_request();
    client.write(&frame(67, 1, &[]));
    cache.wait_until_closed(number);
    cache.set_behavior(ok(b"next"));
    let response = client.lookup(2, "map");
    assert_eq!((response.stream, response.code()), (2, 0));
    // Cancelling a request that was answered, or never sent, has no effect.
    client.write(&[frame(67, 2, &[]), frame(67, 9, &[])].concat());
    assert_eq!(client.readiness(), 0);
}

#[test]
fn a_client_that_disconnects_ends_its_attempts() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[], b""));
    let (number, ..) = cache.next_request();
    // Unread bytes make the kernel reset the connection at the close.
    client.write(&frame(80, 0, &[0]));
    client.0.peek(&mut [0]).unwrap();
    drop(client);
    cache.wait_until_closed(number);
}

// Guards against effects that happen twice, because a request comes again after its client has left.
#[test]
fn a_request_with_an_effect_that_comes_again_after_its_client_left_is_not_sent_again() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let (program, _journal) = Program::with_cache(&cache);
    for (id, closes) in [(101, true), (102, false)] {
        let request_id = format!("{id:016x}");
        let order = request_frame(1, "order", &[("txn", &request_id)], b"");
        let mut client = Client::new(&program);
        client.write(&order);
        let (number, head, _) = cache.next_request();
        assert_eq!(header(&head, "X-Req"), Some(request_id.as_str()));
        // The second client repeats the request after the first has left, or while it still waits.
        let first = (!closes).then_some(client);
        if closes {
            cache.wait_until_closed(number);
        }
        let mut second = Client::new(&program);
        second.write(&order);
        assert_eq!(second.read_response().code(), 5);
        assert!(!cache.received_request(id));
        drop(first);
    }
    // Another request, and one that may be repeated, are sent.
    for class in ["order", "map"] {
        let mut client = Client::new(&program);
        client.write(&request_frame(7, class, &[], b""));
        while header(&cache.next_request().1, "X-Req") != Some("0000000000000007") {}
    }
}

// Guards against a deduplicated effect that happens twice: the endpoints forget its key some time after the first send.
#[test]
fn a_key_that_comes_again_is_sent_only_within_the_window_of_its_first_send() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    let key = ("unique", "5c0f6e1a2b3d4c59");
    let mut book = |stream: u32| {
        let fields = [key, ("limit", "300")];
        client.write(&request_frame(stream, "book", &fields, b""));
        client.read_response();
    };
    let start = std::time::Instant::now();
    book(1);
    assert!(cache.received_request(1));
    book(2);
    assert!(start.elapsed() < program::KEY_TTL);
    assert!(cache.received_request(2));
    std::thread::sleep(
        program::KEY_TTL.saturating_sub(start.elapsed()) + Duration::from_millis(10),
    );
    book(3);
    assert!(!cache.received_request(3));
}

#[test]
fn requests_cancelled_at_once_do_not_stay_in_flight() {
    let cache = Cache::start(ok(b"fine"));
    let (program, _journal) = Program::with_cache(&cache);
    // Each request is sent and cancelled in one write, so that the proxy reads both in one round. If the router still
    // counted them as in flight, they would use up its limit for the cache.
    for _ in 0..20 {
        let mut client = Client::new(&program);
        let frames = (1..=32).flat_map(|stream| {
            [
                request_frame(stream, "map", &[], b""),
                frame(67, stream, &[]),
            ]
            .concat()
        });
        client.write(&frames.collect::<Vec<u8>>());
        assert_eq!(client.readiness(), 0);
    }
    assert_eq!(Client::new(&program).lookup(1, "map").code(), 0);
}
