//! The limits on descriptors and memory, with clients that are numerous, slow, silent, or keep their connections open.

use meadowrill_test_servers::*;
use serde_json::json;
use std::io::Write;
use std::thread;
use std::time::Duration;

#[test]
fn at_the_descriptor_limit_all_requests_are_answered() {
    let caches = [(); 3].map(|()| Cache::start(CacheBehavior::Ignore));
    let journal = Journal::start();
    let endpoints: Vec<_> = ["s-a", "s-b", "s-c"]
        .into_iter()
        .zip(caches.iter().map(|c| c.address))
        .collect();
    let mut config = config(&endpoints, journal.address);
    config["limits"]["sockets"] = json!(64);
    let mut program = Program::start(&config);
    // More connections than clients may have, and more attempts than there are descriptors for.
    let mut clients: Vec<Client> = (0..60).map(|_| Client::new(&program)).collect();
    for (ix, client) in clients.iter_mut().enumerate() {
        for stream in 1..=4 {
            let slice = (ix as u32 * 4 + stream).to_string();
            client.write(&request_frame(
                stream,
                "map",
                &[("limit", "1000"), ("slice", &slice)],
                b"",
            ));
        }
    }
    for (ix, mut client) in clients.into_iter().enumerate() {
        let mut streams: Vec<u32> = (0..4).map(|_| client.read_response().stream).collect();
        streams.sort_unstable();
        assert_eq!(streams, [1, 2, 3, 4]);
        if ix == 0 {
            caches
                .iter()
                .for_each(|cache| cache.set_behavior(ok(b"fine")));
        }
        let open = program.open_descriptors();
        assert!(open <= 64, "{open} descriptors");
    }
    assert!(program.is_running());
    assert_eq!(Client::new(&program).lookup(1, "map").code(), 0);
}

#[test]
fn idle_or_silent_clients_block_no_other_client() {
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let mut config = config(&[("s-a", cache.address)], journal.address);
    config["limits"]["sockets"] = json!(64);
    let program = Program::start(&config);
    // More than the limit on client connections: each sends one request and stays, or sends part of a frame, or sends
    // nothing.
    let mut clients: Vec<Client> = Vec::new();
    for round in 0..60 {
        let mut client = Client::new(&program);
        match round % 3 {
            0 => assert_eq!(client.lookup(1, "map").code(), 0),
            1 => client.write(&[9, 0, 0]),
            _ => {}
        }
        clients.push(client);
    }
    let mut last = Client::new(&program);
    assert_eq!(last.lookup(1, "map").code(), 0);
    // A client that does not complete its frame is notified and disconnected in time.
    let start = now_ms();
    let mut incomplete = Client::new(&program);
    incomplete.write(&[9, 0, 0]);
    while incomplete.read_frame().is_some() {}
    assert!(now_ms() - start < 3000);
    assert_eq!(last.lookup(2, "map").code(), 0);
}

#[test]
fn a_client_that_never_reads_is_cut_off() {
    let cache = Cache::start(ok(&vec![9; 240_000]));
    let journal = Journal::start();
    let mut config = config(&[("s-a", cache.address)], journal.address);
    config["settings"]["classes"][0]["deadline_s"] = json!(0.2);
    config["settings"]["classes"][1]["deadline_s"] = json!(0.2);
    let program = Program::start(&config);
    let mut client = Client::with_small_receive_buffer(&program);
    for stream in 1..=32 {
        client.write(&request_frame(stream, "map", &[("limit", "200")], b""));
        cache.next_request();
    }
    let start = now_ms();
    while client.0.write_all(&frame(80, 0, &[0])).is_ok() {
        assert!(
            now_ms() - start < HANG_TIMEOUT.as_millis(),
            "still connected"
        );
        thread::sleep(Duration::from_millis(20));
    }
    let mut other = Client::new(&program);
    other.write(&request_frame(1, "map", &[("limit", "200")], b""));
    assert_eq!(other.read_response().code(), 0);
}

/// Starts a proxy with a memory limit of 32 MB and a cache that answers at once.
fn start_small_proxy() -> (Program, Cache, Journal) {
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let mut config = config(&[("s-a", cache.address)], journal.address);
    config["limits"]["memory_mb"] = json!(32);
    (Program::start(&config), cache, journal)
}

/// Checks that a proxy with a memory limit of 32 MB is running and has never exceeded the limit.
fn assert_within_memory_limit(program: &mut Program) {
    let peak = program.peak_memory_kb();
    assert!(peak < 32_000, "{peak} kB");
    assert!(program.is_running());
}

// Guards against unfinished requests that use up the memory of the buffers, so that the requests of others are rejected.
#[test]
fn unfinished_requests_block_no_other_client() {
    let (mut program, _cache, _journal) = start_small_proxy();
    let mut other = Client::new(&program);
    let body = [9; 48_000];
    let unfinished = request_frame(1, "map", &[], &body);
    let unfinished = &unfinished[..unfinished.len() - 1000];
    let mut streams = 1..;
    // New clients replace those that were cut off. A client may be cut off while it writes.
    for _ in 0..3 {
        let mut clients: Vec<Client> = (0..300).map(|_| Client::new(&program)).collect();
        for client in &mut clients {
            let _ = client.0.write_all(unfinished);
            let stream = streams.next().expect("a stream");
            assert_eq!(other.lookup(stream, "map").code(), 0);
        }
        // A complete request with a large body also gets its response.
        let stream = streams.next().expect("a stream");
        other.write(&request_frame(stream, "order", &[], &body));
        assert_eq!(other.read_response().code(), 0);
    }
    assert_within_memory_limit(&mut program);
}

// Guards against responses that pile up for clients that send at full speed and read nothing.
#[test]
fn clients_that_send_and_never_read_use_little_memory() {
    let (mut program, _cache, _journal) = start_small_proxy();
    let mut other = Client::new(&program);
    let end = std::time::Instant::now() + Duration::from_secs(3);
    thread::scope(|scope| {
        for _ in 0..6 {
            let mut client = Client::with_small_receive_buffer(&program);
            let timeout = Some(Duration::from_millis(100));
            client.0.set_write_timeout(timeout).unwrap();
            scope.spawn(move || {
                let query = frame(80, 0, &[0]);
                let queries = query.repeat(5000);
                let mut written = 0;
                while std::time::Instant::now() < end {
                    // A write may end within a query.
                    let rest = &queries[written % query.len()..];
                    written += client.0.write(rest).unwrap_or(0);
                }
            });
        }
        for stream in (1..).take_while(|_| std::time::Instant::now() < end) {
            assert_eq!(other.lookup(stream, "map").code(), 0);
        }
    });
    assert_within_memory_limit(&mut program);
}

/// Whether buffers use all the memory that they may, except the part that is left for reservations (a sixteenth).
fn has_full_buffers(observed: &ObservedProxy) -> bool {
    let limit = observed.metric("meadowrill_front_buffer_limit_bytes");
    observed.metric("meadowrill_front_buffer_bytes") > limit * 15.0 / 16.0
}

// Guards against buffers of slow readers that exceed the memory limit, and against requests that wait for buffer memory
// in vain.
#[test]
fn slow_readers_use_no_more_than_the_buffer_memory() {
    let body = vec![9; 240_000];
    let cache = Cache::start(ok(&body));
    let journal = Journal::start();
    let mut config = config(&[("s-a", cache.address)], journal.address);
    config["limits"]["memory_mb"] = json!(32);
    config["settings"]["classes"][0]["deadline_s"] = json!(60.0);
    let mut observed = ObservedProxy::start(&config);
    let program = &observed.program;
    let mut slow: Vec<Client> = (0..8)
        .map(|_| Client::with_small_receive_buffer(program))
        .collect();
    let mut other = Client::new(program);
    let mut requests_per_client = 0;
    // The other client is rejected at the latest when the buffers are full. An earlier rejection is caused by the limit
    // on requests in flight to one cache: on a busy host the cache may not have sent all responses of the previous
    // iteration yet.
    let full = (1..=32).any(|stream| {
        for client in &mut slow {
            client.write(&request_frame(stream, "map", &[("limit", "60000")], b""));
        }
        requests_per_client = stream;
        other.write(&request_frame(stream, "map", &[("limit", "1000")], b""));
        other.read_response().code() == 11 && has_full_buffers(&observed)
    });
    assert!(
        full,
        "the buffers are not full after {requests_per_client} requests of each client"
    );
    // From then on requests are rejected at once, whatever their time limit. The kernel may accept a little of a buffer
    // occasionally, and then one more request is admitted.
    let codes: Vec<u8> = (1..=4)
        .map(|more| other.lookup(requests_per_client + more, "map").code())
        .collect();
    assert!(
        codes.iter().filter(|code| **code == 11).count() >= 2,
        "{codes:?}"
    );
    assert!(has_full_buffers(&observed));
    let peak = observed.program.peak_memory_kb();
    assert!(peak < 32_000, "{peak} kB");
    // All responses finally arrive, and complete, including those that had to wait at the caches. Then the buffers have
    // room again.
    thread::scope(|scope| {
        for client in &mut slow {
            let body = &body;
            scope.spawn(move || {
                for _ in 1..=requests_per_client {
                    let response = client.read_response();
                    assert!(response.code() == 11 || response.fields_and_body().1 == body);
                }
            });
        }
    });
    assert!((requests_per_client + 5..10_000).any(|stream| other.lookup(stream, "map").code() == 0));
    assert!(!has_full_buffers(&observed));
    assert!(observed.program.is_running());
}
