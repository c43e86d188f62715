//! Recorded bytes of each codec: what is read from them, and what is written, stays as it was recorded, byte for byte.
//!
//! An input stands on a line of its own, in hex where it is not a text; the file `.read.txt` beside it holds what the
//! codec reads from each, in the same order.

use crate::frame::{self, Frame, Who};
use crate::http::{self, Ask};
use crate::net::journal::{entry, Change, Line, Member};
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
        kind,
        stream,
        payload,
    } = match frame::next(&bytes) {
        Ok(None) => return "incomplete".into(),
        Ok(Some(frame)) => frame,
        Err(fault) => return format!("fault: {fault}"),
    };
    let mut text = format!("{kind} {stream} {}", payload.len());
    let who = Who {
        tenant: Some("team".into()),
        desk: Some("desk".into()),
    };
    if kind != frame::ASK {
        return text;
    }
    let request = match frame::request(payload, &who) {
        Ok(request) => request,
        Err(fault) => return format!("{text} fault: {fault}"),
    };
    write!(
        text,
        " {} {} {} {} {:?} {} {} {} {} {:?} {} {} {:?} {:?}",
        request.verb,
        request.txn,
        request.id,
        request.limit_ms,
        request.unique,
        request.item,
        request.object,
        request.slice,
        request.set,
        request.seen,
        request.size_kb,
        hex(&request.body),
        request.tenant,
        request.desk,
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
        let Ok(Some(read)) = frame::next(&bytes) else {
            continue;
        };
        let Ok((fields, body)) = frame::fields(read.payload) else {
            continue;
        };
        let head = frame::head(read.kind, read.stream, None, Some(&fields), body.len());
        assert_eq!(hex(&[&head, body].concat()), input);
        rewritten += 1;
    }
    assert_eq!(rewritten, 46);
}

#[test]
fn frames_to_clients_are_written_as_recorded() {
    let written = |kind, stream, code, fields: Option<&[(&str, &str)]>, body| {
        hex(&frame::head(kind, stream, code, fields, body))
    };
    let (answer, none) = (frame::ANSWER, Some(&[] as &[_]));
    assert_eq!(
        [
            written(
                answer,
                7,
                Some(frame::SATISFIED),
                Some(&[("current", "1")]),
                5
            ),
            written(answer, 7, Some(frame::NACKED), Some(&[("later", "250")]), 0),
            written(answer, u32::MAX, Some(frame::FAILED), none, 240_000),
            written(frame::IS_READY, 1, Some(1), Some(&[("caught_up", "0")]), 0),
            written(frame::IS_READY, 1, Some(0), none, 0),
            written(frame::NO_MORE, 0, None, None, 0),
        ]
        .join("\n"),
        include_str!("recorded/answers.written.txt").trim_end()
    );
}

#[test]
fn requests_to_caches_are_written_as_recorded() {
    let least = Ask {
        host: "127.0.0.9:80",
        verb: "segment",
        item: "7f3a9c21e0b4d655",
        slice: 0,
        txn: "9b1f03aa5c7e2d41",
        wait_ms: 1,
        unique: None,
        upstream: None,
        retain: 0,
        oldest_ms: 0,
        ride: false,
        have_only: false,
        update: false,
        known: None,
        body: b"",
    };
    let all = Ask {
        slice: u32::MAX,
        wait_ms: 1500,
        unique: Some("5c0f"),
        upstream: Some("s-00c41f7a"),
        retain: 3,
        oldest_ms: 7000,
        ride: true,
        have_only: true,
        update: true,
        known: Some("W/\"a1\""),
        body: b"xyz",
        ..least
    };
    let (ride, have_only, update) = (
        Ask {
            ride: true,
            ..least
        },
        Ask {
            have_only: true,
            ..least
        },
        Ask {
            update: true,
            ..least
        },
    );
    let mut written = Vec::new();
    for ask in [least, all, ride, have_only, update] {
        ask.write(&mut written);
    }
    assert_eq!(
        String::from_utf8(written).unwrap(),
        include_str!("recorded/requests.written.txt").replace('\n', "\r\n")
    );
}

fn response(input: &str) -> String {
    match http::answer(&bytes(input)) {
        Ok(None) => "incomplete".into(),
        Err(fault) => format!("fault: {fault}"),
        Ok(Some(head)) => format!(
            "{} {} {} {:?} {:?} {:?} {} {} {} {}",
            head.status,
            head.not_run,
            head.note,
            head.source_ms,
            head.version,
            head.load,
            head.head,
            head.body,
            head.last,
            head.interim(),
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
    let Line { pos, change } = match entry(&serde_json::from_str(input).unwrap()) {
        Ok(line) => line,
        Err(fault) => return format!("fault: {fault}"),
    };
    let mut text = format!("{pos:?}");
    match change {
        None => {}
        Some(Change::Purge {
            object,
            group,
            stamp,
        }) => write!(text, " purge {object:?} {group} {stamp}").unwrap(),
        Some(Change::Hosts { complete, members }) => {
            write!(text, " list {complete}").unwrap();
            for m in members {
                let Member {
                    id,
                    address,
                    locality,
                    flavor,
                    cell,
                    standing,
                    size,
                    up_since,
                } = m;
                write!(
                    text,
                    "; {id} {address:?} {locality:?} {flavor:?} {cell} {standing:?} {size} {up_since}"
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
