use super::*;

#[test]
fn a_request_is_written_in_protocol_order() {
    let request = Request {
        host: "127.0.0.9:80",
        class: "segment",
        object_id: "7f3a9c21e0b4d655",
        part: 3,
        request_id: "9b1f03aa5c7e2d41",
        timeout_ms: 900,
        idempotency_key: None,
        source: Some("s-00c41f7a"),
        retention: 2,
        max_age_ms: 0,
        join_fill: true,
        cached_only: false,
        revalidate: true,
        known_version: None,
        body: b"",
    };
    let expected = "GET /data/segment/7f3a9c21e0b4d655/3 HTTP/1.1\r\nHost: 127.0.0.9:80\r\n\
        X-Req: 9b1f03aa5c7e2d41\r\nX-Wait-Ms: 900\r\nUpstream: s-00c41f7a\r\nRetain: 2\r\n\
        Modes: ride+update\r\n\r\n";
    let text = |request: &Request<'_>| {
        let mut out = Vec::new();
        request.write(&mut out);
        String::from_utf8(out).unwrap()
    };
    assert_eq!(text(&request), expected);
    let write = Request {
        body: b"xyz",
        idempotency_key: Some("5c0f"),
        max_age_ms: 7,
        ..request
    };
    let text = text(&write);
    assert!(text.starts_with("GET ") && text.ends_with("Content-Length: 3\r\n\r\nxyz"));
    assert!(text.contains("Idempotency-Key: 5c0f\r\n") && text.contains("Oldest-Ms: 7\r\n"));
}

#[test]
fn a_response_is_parsed_once_its_head_is_complete() {
    let head =
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Cache: TCP_MISS_ROOT\r\nSource-Ms: 41.5\r\n\
        X-Load: inflight:7;util:0.61\r\n\r\n";
    for cut in 0..head.len() {
        assert_eq!(parse_response(&head[..cut]), Ok(None));
    }
    let got = parse_response(head).unwrap().unwrap();
    assert_eq!(
        (
            got.status,
            got.cache_status,
            got.body_length,
            got.head_length
        ),
        (200, 3, 5, head.len())
    );
    assert_eq!(
        (got.first_byte_ms, got.load_report[1].1, got.closes),
        (Some(41.5), 0.61, false)
    );
}

#[test]
fn invalid_heads_have_distinct_errors() {
    let error = |rest: &str| {
        parse_response(format!("HTTP/1.1 200 OK\r\n{rest}\r\n").as_bytes()).unwrap_err()
    };
    assert_eq!(
        parse_response(b"SSH-2.0-x\r\n\r\n"),
        Err(ResponseError::MalformedHead)
    );
    assert_eq!(error(""), ResponseError::MissingLength);
    assert_eq!(
        error("Transfer-Encoding: chunked\r\n"),
        ResponseError::MissingLength
    );
    assert_eq!(
        error("Content-Length: 5\r\nContent-Length: 6\r\n"),
        ResponseError::InvalidLength
    );
    assert_eq!(
        error("Content-Length: +5\r\n"),
        ResponseError::InvalidLength
    );
    assert_eq!(
        error("Content-Length: 240001\r\n"),
        ResponseError::Oversized
    );
    assert_eq!(
        parse_response(&[b"HTTP/1.1 200 OK\r\nA: ", &[b'a'; MAX_HEAD][..]].concat()),
        Err(ResponseError::Oversized)
    );
}
