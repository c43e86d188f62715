//! Frames of clients that cannot be used: each is answered once, and hurts nobody else.

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
    // A stream that was used, zero, a type that is none: nothing is said on the stream again.
    assert_eq!(code(client.lookup(1, "map")), (66, 0, 5));
    assert_eq!(code(client.lookup(0, "map")), (66, 0, 5));
    client.write(&frame(99, 7, &[]));
    assert_eq!(code(client.read_response()), (66, 0, 5));
    // On a new stream that stream is told.
    assert_eq!(code(client.lookup(2, "nothing-of-the-kind")), (66, 2, 5));
    client.write(&frame(65, 3, &fields(&[("verb", "map")])));
    assert_eq!(code(client.read_response()), (66, 3, 5));
    client.write(&frame(65, 4, &[7, 200, 1]));
    assert_eq!(code(client.read_response()), (66, 4, 5));
    assert_eq!(client.lookup(5, "map").code(), 0);
    // More than 32 open; in one write, so that none of them has been answered by then.
    cache.set_behavior(CacheBehavior::Ignore);
    client.write(
        &(6..=38)
            .flat_map(|stream| request_frame(stream, "map", &[], b""))
            .collect::<Vec<u8>>(),
    );
    assert_eq!(code(client.read_response()), (66, 38, 5));
    assert_eq!(other.readiness(), 0);
    // Framing lost: what is owed is still answered, then the connection ends.
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
    let mut usual = Client::new(&program);
    // The answer is there before the close, though the peer goes on writing.
    let mut endless = Client::new(&program);
    endless.write(&[255; 4]);
    let mut writer = endless.0.try_clone().unwrap();
    let flood = thread::spawn(move || while writer.write_all(&[255; 65_536]).is_ok() {});
    let told = endless.read_response();
    assert_eq!((told.kind, told.stream, told.code()), (66, 0, 5));
    assert_eq!(usual.lookup(1, "map").code(), 0);
    drop(endless);
    flood.join().unwrap();
    // What the settings don't allow is failed without a send, and its connection is cut in the end.
    let mut bad = Client::new(&program);
    cache.next_request();
    let out = [
        ("limit", "3002"),
        ("limit", "NaN"),
        ("set", "256"),
        ("slice", "4294967295"),
        ("item", "x"),
    ];
    for (stream, field) in (1..).zip(out) {
        bad.write(&request_frame(stream, "map", &[field], b""));
        assert_eq!(bad.read_response().code(), 5, "{field:?}");
    }
    while bad
        .0
        .write_all(&request_frame(99, "none", &[], b""))
        .is_ok()
    {}
    assert!(cache.events.try_iter().next().is_none());
    // The id of an open request with another object.
    cache.set_behavior(CacheBehavior::Ignore);
    usual.write(&request_frame(2, "map", &[], b""));
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
