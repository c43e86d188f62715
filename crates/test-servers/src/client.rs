//! A client of the framed client protocol.

use crate::{Program, HANG_TIMEOUT, OBJECT};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// One frame of the client protocol.
#[derive(Debug, PartialEq)]
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

impl Frame {
    /// The first byte of the payload: the status code of a response, or the readiness.
    pub fn code(&self) -> u8 {
        self.payload[0]
    }

    /// The fields and the body of a response.
    pub fn fields_and_body(&self) -> (Vec<(String, String)>, &[u8]) {
        let (mut rest, mut fields) = (&self.payload[2..], Vec::new());
        for _ in 0..self.payload[1] {
            let (name, after) = rest[1..].split_at(usize::from(rest[0]));
            let size = usize::from(u16::from_le_bytes([after[0], after[1]]));
            let (value, after) = after[2..].split_at(size);
            fields.push((
                String::from_utf8_lossy(name).into(),
                String::from_utf8_lossy(value).into(),
            ));
            rest = after;
        }
        (fields, rest)
    }
}

/// Encodes a frame.
pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32 + 5).to_le_bytes();
    [&length[..], &[kind], &stream.to_le_bytes(), payload].concat()
}

/// Encodes a list of fields.
pub fn fields(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = vec![fields.len() as u8];
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend(name.as_bytes());
        out.extend((value.len() as u16).to_le_bytes());
        out.extend(value.as_bytes());
    }
    out
}

/// Encodes a request; `extra_fields` adds to the default fields and replaces those of the same name.
pub fn request_frame(
    stream: u32,
    verb: &str,
    extra_fields: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let txn = format!("{stream:016x}");
    let defaults = [
        ("verb", verb),
        ("txn", &txn),
        ("limit", "3000"),
        ("item", OBJECT),
        ("slice", "3"),
        ("set", "17"),
    ];
    let overridden = |name| extra_fields.iter().any(|f| f.0 == name);
    let all: Vec<_> = extra_fields
        .iter()
        .copied()
        .chain(defaults.into_iter().filter(|f| !overridden(f.0)))
        .collect();
    frame(65, stream, &[fields(&all), body.to_vec()].concat())
}

/// A client connection; reads fail after [`HANG_TIMEOUT`].
pub struct Client(pub TcpStream);

impl Client {
    pub fn new(program: &Program) -> Client {
        let stream = TcpStream::connect_timeout(&program.address, HANG_TIMEOUT).unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Client(stream)
    }

    /// A client with a small kernel receive buffer, so that data that it does not read stays buffered in the proxy.
    pub fn with_small_receive_buffer(program: &Program) -> Client {
        let client = Client::new(program);
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.0, 131_072).unwrap();
        client
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// The next frame, or `None` after the proxy has closed the connection.
    #[track_caller]
    pub fn read_frame(&mut self) -> Option<Frame> {
        let mut head = [0; 9];
        match self.0.read_exact(&mut head) {
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset
                ) =>
            {
                return None
            }
            other => other.expect("a frame before the read timeout"),
        }
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut payload = vec![0; length - 5];
        self.0.read_exact(&mut payload).unwrap();
        let stream = u32::from_le_bytes([head[5], head[6], head[7], head[8]]);
        Some(Frame {
            kind: head[4],
            stream,
            payload,
        })
    }

    /// The next frame; panics if the connection is closed.
    #[track_caller]
    pub fn read_response(&mut self) -> Frame {
        self.read_frame().expect("a response")
    }

    /// Sends a request and reads the next frame.
    #[track_caller]
    pub fn lookup(&mut self, stream: u32, verb: &str) -> Frame {
        self.write(&request_frame(stream, verb, &[], b""));
        self.read_response()
    }

    /// Requests the readiness; once the response arrives, the proxy has handled everything that was written before.
    pub fn readiness(&mut self) -> u8 {
        self.write(&frame(80, 0, &[0]));
        let response = self.read_response();
        assert_eq!((response.kind, response.stream), (81, 0));
        response.code()
    }
}
