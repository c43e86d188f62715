//! Invalid frames from clients: each is answered once, and affects no other client.

use meadowrill_test_servers::*;
use std::io::Write;
use std::thread;

#[test]
fn bad_frames_are_answered_once_and_affect_no_other_client() {
    let cache = Cache::start(ok(b"fine"));
    let (program, _journal) = Program::with_cache(&cache);
    let (mut client, mut other) = (Client::new(&program), Client::new(&program));
    let code = |answer: Frame| (answer.kind, answer.stream, answer.code());
    assert_eq!(client.lookup(1, "map").code(), 0);
    // A stream that was used before, stream 0, and an unknown frame type: the response goes to stream 0.
    assert_eq!(code(client.lookup(1, "map")), (66, 0, 5));
    assert_eq!(code(client.lookup(0, "map")), (66, 0, 5));
    client.write(&frame(99, 7, &[]));
    assert_eq!(code(client.read_response()), (66, 0, 5));
    // An invalid request on a new stream is answered on that stream.
    assert_eq!(code(client.lookup(2, "unknown-verb")), (66, 2, 5));
    client.write(&frame(65, 3, &fields(&[("verb", "map")])));
    assert_eq!(code(client.read_response()), (66, 3, 5));
    client.write(&frame(65, 4, &[7, 200, 1]));
    assert_eq!(code(client.read_response()), (66, 4, 5));
    assert_eq!(client.lookup(5, "map").code(), 0);
    // More than 32 open requests, in one write so that none of them has been answered before the last one is read.
    cache.set_behavior(CacheBehavior::Ignore);
    client.write(
        &(6..=38)
            .flat_map(|stream| request_frame(stream, "map", &[], b""))
            .collect::<Vec<u8>>(),
    );
    assert_eq!(code(client.read_response()), (66, 38, 5));
    assert_eq!(other.readiness(), 0);
    // The frame boundary is lost: the open request is still answered, then the connection is closed.
    let cache = Cache::start(ok(b"fine"));
    let (program, _journal) = Program::with_cache(&cache);
    let mut other = Client::new(&program);
    other.write(&request_frame(1, "map", &[], b""));
    other.write(&[255, 255, 255, 255]);
    let mut rest: Vec<(u8, u32)> = std::iter::from_fn(|| other.read_frame())
        .map(|f| (f.kind, f.stream))
        .collect();
    rest.sort_unstable();
    assert_eq!(rest, [(66, 0), (66, 1), (90, 0)]);
    assert_eq!(Client::new(&program).lookup(1, "map").code(), 0);
}

#[test]
fn floods_of_invalid_requests_are_answered_and_cut_off() {
    let cache = Cache::start(ok(b"fine"));
    let (program, _journal) = Program::with_cache(&cache);
    let mut well_behaved = Client::new(&program);
    // The response arrives before the close, although the client continues to write.
    let mut flooding = Client::new(&program);
    flooding.write(&[255; 4]);
    let mut writer = flooding.0.try_clone().unwrap();
    let flood = thread::spawn(move || while writer.write_all(&[255; 65_536]).is_ok() {});
    let response = flooding.read_response();
    assert_eq!(
        (response.kind, response.stream, response.code()),
        (66, 0, 5)
    );
    assert_eq!(well_behaved.lookup(1, "map").code(), 0);
    drop(flooding);
    flood.join().unwrap();
    // Requests that the settings do not allow fail without an attempt, and finally their connection is closed.
    let mut bad = Client::new(&program);
    cache.next_request();
    let invalid_fields = [
        ("limit", "3002"),
        ("limit", "NaN"),
        ("set", "256"),
        ("slice", "4294967295"),
        ("item", "x"),
    ];
    for (stream, field) in (1..).zip(invalid_fields) {
        bad.write(&request_frame(stream, "map", &[field], b""));
        assert_eq!(bad.read_response().code(), 5, "{field:?}");
    }
    while bad
        .0
        .write_all(&request_frame(99, "unknown", &[], b""))
        .is_ok()
    {}
    assert!(cache.events.try_iter().next().is_none());
    // A request with the id of an open request, but another object.
    cache.set_behavior(CacheBehavior::Ignore);
    well_behaved.write(&request_frame(2, "map", &[], b""));
    cache.next_request();
    let mut other = Client::new(&program);
    let id = format!("{:016x}", 2);
    other.write(&request_frame(
        1,
        "map",
        &[("txn", &id), ("item", "00000000000000aa")],
        b"",
    ));
    assert_eq!(other.read_response().code(), 5);
    assert!(cache.events.try_iter().next().is_none());
}
