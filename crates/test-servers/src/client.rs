//! A client that speaks the frames of the protocol page.

use crate::{Program, HANG, OBJECT};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

#[derive(Debug, PartialEq)]
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

impl Frame {
    pub fn code(&self) -> u8 {
        self.payload[0]
    }

    /// Fields and body of an answer.
    pub fn parts(&self) -> (Vec<(String, String)>, &[u8]) {
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

pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32 + 5).to_le_bytes();
    [&length[..], &[kind], &stream.to_le_bytes(), payload].concat()
}

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

pub fn ask(stream: u32, verb: &str, more: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let txn = format!("{stream:016x}");
    let usual = [
        ("verb", verb),
        ("txn", &txn),
        ("limit", "3000"),
        ("item", OBJECT),
        ("slice", "3"),
        ("set", "17"),
    ];
    let told = |name| more.iter().any(|f| f.0 == name);
    let all: Vec<_> = more
        .iter()
        .copied()
        .chain(usual.into_iter().filter(|f| !told(f.0)))
        .collect();
    frame(65, stream, &[fields(&all), body.to_vec()].concat())
}

pub struct Client(pub TcpStream);

impl Client {
    pub fn new(program: &Program) -> Client {
        let stream = TcpStream::connect_timeout(&program.address, HANG).unwrap();
        stream.set_read_timeout(Some(HANG)).unwrap();
        stream.set_nodelay(true).unwrap();
        Client(stream)
    }

    /// One for which the kernel takes little, so that what it does not read stays with the front.
    pub fn slow(program: &Program) -> Client {
        let client = Client::new(program);
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.0, 131_072).unwrap();
        client
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// The next frame; none once the front has closed.
    #[track_caller]
    pub fn hear(&mut self) -> Option<Frame> {
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
            other => other.expect("a frame in time"),
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

    #[track_caller]
    pub fn answer(&mut self) -> Frame {
        self.hear().expect("an answer")
    }

    #[track_caller]
    pub fn lookup(&mut self, stream: u32, verb: &str) -> Frame {
        self.write(&ask(stream, verb, &[], b""));
        self.answer()
    }

    /// Whatever was written before has been dealt with once this is answered.
    pub fn ready(&mut self) -> u8 {
        self.write(&frame(80, 0, &[0]));
        let answer = self.answer();
        assert_eq!((answer.kind, answer.stream), (81, 0));
        answer.code()
    }
}
