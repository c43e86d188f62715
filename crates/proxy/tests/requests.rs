//! Requests that are served: requests reach the cache unchanged, and responses reach the client unchanged.

use meadowrill_test_servers::*;
use std::thread;
use std::time::Duration;

#[test]
fn a_response_has_its_bytes_unchanged_however_frames_are_cut() {
    let body: Vec<u8> = (0..240_000u32).map(|i| (i * 7 % 251) as u8).collect();
    let cache = Cache::start(ok(&body));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    assert_eq!(client.readiness(), 0);
    for byte in request_frame(1, "map", &[], b"") {
        client.write(&[byte]);
    }
    let response = client.read_response();
    assert_eq!(
        (response.kind, response.stream, response.code()),
        (66, 1, 0)
    );
    assert!(response.fields_and_body().1 == body);
    let (first, head, _) = cache.next_request();
    assert!(head.starts_with(&format!("GET /data/map/{OBJECT}/3 HTTP/1.1\r\n")));
    assert_eq!(header(&head, "X-Req"), Some("0000000000000001"));
    assert_eq!(header(&head, "Upstream"), Some("s-p"));
    assert!((1..=60_000).contains(&header(&head, "X-Wait-Ms").unwrap().parse().unwrap()));
    // Two requests in one write. The idle connection serves one of them, once it has been idle long enough for reuse.
    thread::sleep(Duration::from_millis(50));
    let both = [
        request_frame(2, "map", &[], b""),
        request_frame(3, "map", &[], b""),
    ]
    .concat();
    client.write(&both);
    let mut streams =
        [client.read_response(), client.read_response()].map(|a| (a.stream, a.code()));
    streams.sort_unstable();
    assert_eq!(streams, [(2, 0), (3, 0)]);
    assert!([cache.next_request().0, cache.next_request().0].contains(&first));
}

#[test]
fn a_copy_that_the_client_has_cached_is_confirmed_as_current() {
    let cache = Cache::start(CacheBehavior::Respond(
        "HTTP/1.1 304 Same\r\nVersion: abc\r\n\r\n".into(),
        Vec::new(),
    ));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[("seen", "abc")], b""));
    let response = client.read_response();
    assert_eq!(response.code(), 0);
    assert_eq!(
        response.fields_and_body(),
        (vec![("current".into(), "1".into())], &b""[..])
    );
    assert_eq!(
        header(&cache.next_request().1, "Known-Version"),
        Some("abc")
    );
}

#[test]
fn idempotency_key_and_body_are_forwarded_unchanged() {
    let cache = Cache::start(ok(b"done"));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    let body: Vec<u8> = (0..48_000u32).map(|i| (i % 256) as u8).collect();
    client.write(&request_frame(
        1,
        "order",
        &[("unique", "5c0f6e1a2b3d4c59")],
        &body,
    ));
    assert_eq!(client.read_response().code(), 0);
    let (_, head, received_body) = cache.next_request();
    assert!(received_body == body);
    assert_eq!(header(&head, "Idempotency-Key"), Some("5c0f6e1a2b3d4c59"));
    assert_eq!(header(&head, "Upstream"), Some("s-o"));
}
