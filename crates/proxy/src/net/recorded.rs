//! Recordings of each codec: decoded values and encoded bytes must equal the recording, byte for byte.
//!
//! Each line of an input file is one input, in hex if it is not text. The file `.read.txt` with the same name holds the
//! decoded value of each input, in the same order.

use crate::frame::{self, Frame, IdentityFields};
use crate::http::{self, Request};
use crate::net::discovery::codec::{parse_entry, EndpointRecord, Line, Update};
use std::fmt::Write;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex
        .chars()
        .map(|digit| digit.to_digit(16).unwrap() as u8)
        .collect();
    digits
        .chunks(2)
        .map(|pair| pair[0] << 4 | pair[1])
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn assert_unchanged(inputs: &str, recorded: &str, read: impl Fn(&str) -> String) {
    let inputs: Vec<&str> = inputs.lines().collect();
    let recorded: Vec<&str> = recorded.lines().collect();
    assert_eq!(inputs.len(), recorded.len());
    for (input, recorded) in inputs.into_iter().zip(recorded) {
        assert_eq!(read(input), recorded, "{input}");
    }
}

fn client_frame(input: &str) -> String {
    let bytes = bytes(input);
    let Frame {
        frame_type,
        stream,
        payload,
    } = match frame::parse_frame(&bytes) {
        Ok(None) => return "incomplete".into(),
        Ok(Some(frame)) => frame,
        Err(fault) => return format!("fault: {fault}"),
    };
    let mut text = format!("{frame_type} {stream} {}", payload.len());
    let identity = IdentityFields {
        tenant: Some("team".into()),
        client: Some("desk".into()),
    };
    if frame_type != frame::REQUEST {
        return text;
    }
    let request = match frame::parse_request(payload, &identity) {
        Ok(request) => request,
        Err(fault) => return format!("{text} fault: {fault}"),
    };
    write!(
        text,
        " {} {} {} {} {:?} {} {} {} {} {:?} {} {} {:?} {:?}",
        request.class,
        request.request_id,
        request.id,
        request.timeout_ms,
        request.idempotency_key,
        request.object_id,
        request.object,
        request.part,
        request.group,
        request.known_version,
        request.size_kb,
        hex(&request.body),
        request.tenant,
        request.client_id,
    )
    .unwrap();
    text
}

#[test]
fn client_frames_are_read_as_recorded() {
    assert_unchanged(
        include_str!("recorded/client_frames.txt"),
        include_str!("recorded/client_frames.read.txt"),
        client_frame,
    );
}

#[test]
fn frames_are_written_as_they_were_read() {
    let mut rewritten = 0;
    for input in include_str!("recorded/client_frames.txt").lines() {
        let bytes = bytes(input);
        let Ok(Some(read)) = frame::parse_frame(&bytes) else {
            continue;
        };
        let Ok((fields, body)) = frame::parse_fields(read.payload) else {
            continue;
        };
        let head = frame::encode_head(
            read.frame_type,
            read.stream,
            None,
            Some(&fields),
            body.len(),
        );
        assert_eq!(hex(&[&head, body].concat()), input);
        rewritten += 1;
    }
    assert_eq!(rewritten, 46);
}

#[test]
fn frames_to_clients_are_written_as_recorded() {
    let written = |kind, stream, code, fields: Option<&[(&str, &str)]>, body| {
        hex(&frame::encode_head(kind, stream, code, fields, body))
    };
    let (answer, none) = (frame::RESPONSE, Some(&[] as &[_]));
    assert_eq!(
        [
            written(
                answer,
                7,
                Some(frame::SUCCESS),
                Some(&[("current", "1")]),
                5
            ),
            written(
                answer,
                7,
                Some(frame::REJECTED),
                Some(&[("later", "250")]),
                0
            ),
            written(answer, u32::MAX, Some(frame::FAILED), none, 240_000),
            written(frame::READINESS, 1, Some(1), Some(&[("caught_up", "0")]), 0),
            written(frame::READINESS, 1, Some(0), none, 0),
            written(frame::GOING_AWAY, 0, None, None, 0),
        ]
        .join("\n"),
        include_str!("recorded/answers.written.txt").trim_end()
    );
}

#[test]
fn requests_to_caches_are_written_as_recorded() {
    let minimal = Request {
        host: "127.0.0.9:80",
        class: "segment",
        object_id: "7f3a9c21e0b4d655",
        part: 0,
        request_id: "9b1f03aa5c7e2d41",
        timeout_ms: 1,
        idempotency_key: None,
        source: None,
        retention: 0,
        max_age_ms: 0,
        join_fill: false,
        cached_only: false,
        revalidate: false,
        known_version: None,
        body: b"",
    };
    let full = Request {
        part: u32::MAX,
        timeout_ms: 1500,
        idempotency_key: Some("5c0f"),
        source: Some("s-00c41f7a"),
        retention: 3,
        max_age_ms: 7000,
        join_fill: true,
        cached_only: true,
        revalidate: true,
        known_version: Some("W/\"a1\""),
        body: b"xyz",
        ..minimal
    };
    let (join_fill, cached_only, revalidate) = (
        Request {
            join_fill: true,
            ..minimal
        },
        Request {
            cached_only: true,
            ..minimal
        },
        Request {
            revalidate: true,
            ..minimal
        },
    );
    let mut written = Vec::new();
    for request in [minimal, full, join_fill, cached_only, revalidate] {
        request.write(&mut written);
    }
    assert_eq!(
        String::from_utf8(written).unwrap(),
        include_str!("recorded/requests.written.txt").replace('\n', "\r\n")
    );
}

fn response(input: &str) -> String {
    match http::parse_response(&bytes(input)) {
        Ok(None) => "incomplete".into(),
        Err(fault) => format!("fault: {fault}"),
        Ok(Some(head)) => format!(
            "{} {} {} {:?} {:?} {:?} {} {} {} {}",
            head.status,
            head.not_run,
            head.cache_status,
            head.first_byte_ms,
            head.version,
            head.load_report,
            head.head_length,
            head.body_length,
            head.closes,
            head.is_interim(),
        ),
    }
}

#[test]
fn responses_are_read_as_recorded() {
    assert_unchanged(
        include_str!("recorded/responses.txt"),
        include_str!("recorded/responses.read.txt"),
        response,
    );
}

fn discovery_line(input: &str) -> String {
    let Line { position, update } = match parse_entry(&serde_json::from_str(input).unwrap()) {
        Ok(line) => line,
        Err(fault) => return format!("fault: {fault}"),
    };
    let mut text = format!("{position:?}");
    match update {
        None => {}
        Some(Update::Invalidation {
            object,
            group,
            issued_at,
        }) => write!(text, " purge {object:?} {group} {issued_at}").unwrap(),
        Some(Update::Endpoints {
            complete,
            endpoints,
        }) => {
            write!(text, " list {complete}").unwrap();
            for endpoint in endpoints {
                let EndpointRecord {
                    id,
                    address,
                    zone,
                    endpoint_kind,
                    cell,
                    status,
                    weight,
                    started_at,
                } = endpoint;
                write!(
                    text,
                    "; {id} {address:?} {zone:?} {endpoint_kind:?} {cell} {status:?} {weight} {started_at}"
                )
                .unwrap();
            }
        }
    }
    text
}

#[test]
fn discovery_lines_are_read_as_recorded() {
    assert_unchanged(
        include_str!("recorded/discovery_lines.txt"),
        include_str!("recorded/discovery_lines.read.txt"),
        discovery_line,
    );
}
