//! Graceful close of client connections: the proxy sends a going-away notice, writes all output, shuts down its sending
//! direction and reads until the peer closes its side. Otherwise a byte that crosses the close would cause a reset, and
//! the client could lose a written response. Also the shutdown and the restart of the process.

use meadowrill_test_servers::*;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

const GOING_AWAY: u8 = 90;

/// Waits until `bytes` bytes can be read, and leaves them unread.
fn wait_for_unread(client: &Client, bytes: usize) {
    let mut seen = vec![0; bytes + 1];
    let end = std::time::Instant::now() + HANG_TIMEOUT;
    while client.0.peek(&mut seen).unwrap() < bytes {
        assert!(std::time::Instant::now() < end, "the bytes did not arrive");
        thread::yield_now();
    }
}

/// Writes after the proxy's close. The proxy must read it: the client reads the end of the stream, not a reset.
fn write_after_close(client: &mut Client, stream: u32) {
    client
        .0
        .write_all(&request_frame(stream, "map", &[], b""))
        .unwrap();
    client.0.shutdown(Shutdown::Write).unwrap();
    match client.0.read(&mut [0; 64]) {
        Ok(0) => {}
        Err(e) if e.kind() == ErrorKind::ConnectionReset => panic!("reset"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_request_on_an_idle_connection_that_the_shutdown_closes_is_neither_reset_nor_forwarded() {
    let cache = Cache::start(ok(b"fine"));
    let (mut program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    assert_eq!(client.lookup(1, "map").code(), 0);
    program.terminate();
    // The connection is idle until the proxy closes it.
    assert_eq!(client.read_response().kind, GOING_AWAY);
    assert_eq!(client.read_frame(), None);
    write_after_close(&mut client, 77);
    assert!(program.exits_within(HANG_TIMEOUT));
    assert!(!cache.received_request(77));
}

#[test]
fn an_unread_response_survives_a_request_that_crosses_the_close() {
    let cache = Cache::start(ok(b"fine"));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    assert_eq!(client.readiness(), 0);
    program.terminate();
    client.write(&request_frame(1, "map", &[], b""));
    // Head, code, field count and four bytes of body; then the going-away frame, which has no payload.
    wait_for_unread(&client, 9 + 2 + 4 + 9);
    client.write(&request_frame(77, "map", &[], b""));
    let response = client.read_response();
    assert_eq!(
        (
            response.stream,
            response.code(),
            response.fields_and_body().1
        ),
        (1, 0, &b"fine"[..])
    );
    assert_eq!(client.read_response().kind, GOING_AWAY);
    assert_eq!(client.read_frame(), None);
    write_after_close(&mut client, 78);
    assert!(!cache.received_request(77));
}

#[test]
fn a_connection_closed_at_the_connection_limit_is_not_reset() {
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let mut config = config(&[("s-a", cache.address)], journal.address);
    config["limits"]["sockets"] = json!(64);
    let program = Program::start(&config);
    let mut first = Client::new(&program);
    assert_eq!(first.lookup(1, "map").code(), 0);
    // The other connections are in use, so the first one is closed to make room.
    let mut others: Vec<Client> = Vec::new();
    let notice_head = loop {
        let mut other = Client::new(&program);
        other.write(&frame(80, 0, &[0]));
        others.push(other);
        assert!(others.len() < 64, "no connection was closed at the limit");
        first
            .0
            .set_read_timeout(Some(Duration::from_millis(200)))
            .unwrap();
        let mut head = [0; 9];
        match first.0.read(&mut head) {
            Ok(9) => break head,
            Ok(n) => panic!("{n} bytes"),
            Err(_) => others
                .iter_mut()
                .for_each(|other| other.write(&frame(80, 0, &[0]))),
        }
    };
    assert_eq!(notice_head[4], GOING_AWAY);
    first.0.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    assert_eq!(first.read_frame(), None);
    write_after_close(&mut first, 77);
    assert!(!cache.received_request(77));
    let open = program.open_descriptors();
    assert!(open <= 64, "{open} descriptors");
}

#[test]
fn clients_that_never_close_their_side_delay_the_exit_for_a_bounded_time() {
    let cache = Cache::start(ok(b"fine"));
    let (mut program, _journal) = Program::with_cache(&cache);
    let mut clients: Vec<Client> = (0..8).map(|_| Client::new(&program)).collect();
    for client in &mut clients {
        assert_eq!(client.lookup(1, "map").code(), 0);
    }
    program.terminate();
    // All are notified, none closes its side, and all try to continue writing.
    for client in &mut clients {
        assert_eq!(client.read_response().kind, GOING_AWAY);
        assert_eq!(client.read_frame(), None);
        let _ = client.0.write_all(&frame(80, 0, &[0]).repeat(50));
    }
    assert!(program.exits_within(Duration::from_secs(5)));
}

#[test]
fn a_request_after_the_going_away_frame_is_rejected_once() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let (mut program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[("limit", "2500")], b""));
    cache.next_request();
    program.terminate();
    assert_eq!(client.read_response().kind, GOING_AWAY);
    cache.set_behavior(ok(b"late"));
    // The connection stays open, because a response is pending on it. A new request on it is rejected.
    let response = client.lookup(2, "map");
    assert_eq!((response.stream, response.code()), (2, 11));
    assert!(!cache.received_request(2));
    let last = client.read_response();
    assert_eq!((last.stream, last.code()), (1, 11));
    assert_eq!(client.read_frame(), None);
    drop(client);
    assert!(program.exits_within(HANG_TIMEOUT));
}

#[test]
fn shutdown_completes_whatever_hangs_and_however_often_it_is_signalled() {
    let cache = Cache::start(ok(&vec![9; 240_000]));
    // The discovery service is unreachable throughout.
    let unreachable = ScriptedPeer::listen().address;
    let mut program = Program::start(&config(&[("s-a", cache.address)], unreachable));
    let mut non_reading = Client::with_small_receive_buffer(&program);
    for stream in 1..=8 {
        non_reading.write(&request_frame(stream, "map", &[], b""));
        cache.next_request();
    }
    cache.set_behavior(CacheBehavior::Ignore);
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[("limit", "1500")], b""));
    client.write(&request_frame(2, "order", &[("limit", "1500")], b""));
    cache.next_request();
    cache.next_request();
    // SIGHUP and SIGTERM in one round, then SIGTERM again.
    program.pause();
    program.signal("-HUP");
    program.terminate();
    program.resume();
    program.terminate();
    let mut codes: Vec<_> = std::iter::from_fn(|| client.read_frame())
        .filter(|f| f.kind == 66)
        .map(|f| (f.stream, f.code()))
        .collect();
    codes.sort_unstable();
    assert_eq!(codes, [(1, 11), (2, 5)]);
    drop(client);
    // A client that never reads delays the exit by a bounded time.
    assert!(program.exits_within(Duration::from_secs(8)));
    drop(non_reading);
}

#[test]
fn a_restart_is_ready_at_once_even_with_many_endpoints_and_no_discovery_service() {
    let cache = Cache::start(ok(b"fine"));
    let unreachable = ScriptedPeer::listen().address;
    let names: Vec<String> = (0..200).map(|n| format!("s-{n:03}")).collect();
    let caches: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), cache.address))
        .collect();
    let config = config(&caches, unreachable);
    for round in 0..10 {
        let start = now_ms();
        let mut program = Program::start(&config);
        let mut client = Client::new(&program);
        assert_eq!(client.readiness(), 0);
        assert!(now_ms() - start < 5000, "start {round}");
        assert_eq!(client.lookup(1, "map").code(), 0);
        if round % 2 == 0 {
            program.terminate();
            drop(client);
            assert!(program.exits_within(HANG_TIMEOUT));
        }
    }
}
