//! Clients: frames in, lookups out, and never a second answer on a stream.

use super::{Key, Link, Poll};
use crate::frame::{self, Frame, Request};
use calloop::Readiness;
use meadowrill_core::interface::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::TcpStream;

/// Lookups that a connection may have open, and so what its ring may have to hold.
const OPEN: usize = 32;
const MOST: (usize, usize) = (frame::LONGEST, (OPEN + 1) * frame::LONGEST);

pub enum Heard {
    Asked {
        lookup: u32,
        client: u64,
        stream: u32,
        request: Request,
    },
    /// Nobody waits any more.
    Left {
        lookup: u32,
    },
    /// For the log.
    Bad {
        client: u64,
        fault: frame::Fault,
    },
}

struct Client {
    link: Link,
    last_stream: u32,
    open: BTreeMap<u32, u32>,
    /// Nothing more is read: the peer has ended its side, or no frame can be found any more.
    deaf: bool,
    /// Since when what is written is not taken, and how much was by then.
    stuck: Option<(Micros, u64)>,
}

impl Client {
    fn put(&mut self, head: &[u8], body: &[u8]) -> io::Result<()> {
        let full = |_| io::Error::from(io::ErrorKind::OutOfMemory);
        self.link.outbound.put(head).map_err(full)?;
        self.link.outbound.put(body).map_err(full)?;
        self.link.flush()
    }

    fn reply(&mut self, stream: u32, code: u8) -> io::Result<()> {
        self.put(&frame::head(frame::ANSWER, stream, Some(code), Some(&[]), 0), &[])
    }
}

pub struct Clients {
    conns: HashMap<u64, Client>,
    stuck: BTreeSet<(Micros, u64)>,
    most: usize,
    patience: Micros,
    lookups: u32,
    /// Whether the front says that it is ready.
    pub ready: bool,
    parting: bool,
    heard: Vec<Heard>,
}

impl Clients {
    pub fn new(most: usize, patience: Micros) -> Clients {
        let (conns, stuck, heard) = (HashMap::new(), BTreeSet::new(), Vec::new());
        Clients { conns, stuck, most, patience, lookups: 0, ready: true, parting: false, heard }
    }

    /// What was heard since the last call.
    pub fn heard(&mut self) -> Vec<Heard> {
        std::mem::take(&mut self.heard)
    }

    pub fn full(&self) -> bool {
        self.conns.len() >= self.most
    }

    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    pub fn accept(&mut self, stream: TcpStream, poll: &mut Poll) -> io::Result<()> {
        let number = poll.key();
        let link = poll.link(stream, Key::Client(number), MOST)?;
        let client = Client { link, last_stream: 0, open: BTreeMap::new(), deaf: false, stuck: None };
        self.conns.insert(number, client);
        Ok(())
    }

    pub fn handle(&mut self, number: u64, ready: Readiness, now: Micros, poll: &mut Poll) {
        let Some(client) = self.conns.get_mut(&number) else { return };
        client.link.heard(ready);
        let (lookups, heard) = (&mut self.lookups, &mut self.heard);
        let done = Clients::read(client, number, self.ready, lookups, heard, poll);
        let done = done.and_then(|()| client.link.flush());
        self.settle(number, done, now, poll);
    }

    fn read(
        client: &mut Client,
        number: u64,
        ready: bool,
        lookups: &mut u32,
        heard: &mut Vec<Heard>,
        poll: &mut Poll,
    ) -> io::Result<()> {
        while !client.deaf {
            client.deaf = poll.fill(&mut client.link)?;
            while let Some(read) = frame::next(client.link.inbound.whole()).transpose() {
                let Frame { kind, stream, payload } = match read {
                    Ok(frame) => frame,
                    Err(fault) => {
                        heard.push(Heard::Bad { client: number, fault });
                        client.deaf = true;
                        client.reply(0, frame::FAILED)?;
                        // What it would still ask could not be found: it is to ask elsewhere.
                        client.put(&frame::head(frame::NO_MORE, 0, None, None, 0), &[])?;
                        break;
                    }
                };
                let size = frame::HEAD + payload.len();
                let new = stream > client.last_stream;
                let bad = match kind {
                    frame::ASK if new && client.open.len() < OPEN => match frame::request(payload) {
                        Ok(request) => {
                            *lookups = lookups.wrapping_add(1).max(1);
                            client.open.insert(stream, *lookups);
                            heard.push(Heard::Asked { lookup: *lookups, client: number, stream, request });
                            None
                        }
                        Err(fault) => Some(fault),
                    },
                    frame::ASK => Some(frame::Fault::Unreadable("stream")),
                    frame::LEAVE => {
                        heard.extend(client.open.remove(&stream).map(|lookup| Heard::Left { lookup }));
                        None
                    }
                    frame::READY => {
                        let code = u8::from(!ready);
                        client.put(&frame::head(frame::IS_READY, stream, Some(code), Some(&[]), 0), &[])?;
                        None
                    }
                    _ => Some(frame::Fault::Unreadable("type")),
                };
                let asked = kind == frame::ASK;
                client.last_stream = if asked { client.last_stream.max(stream) } else { client.last_stream };
                if let Some(fault) = bad {
                    heard.push(Heard::Bad { client: number, fault });
                    // A stream that had or will have its answer gets no other.
                    client.reply(if asked && new { stream } else { 0 }, frame::FAILED)?;
                }
                client.link.inbound.drop_front(size);
            }
            if !client.link.readable {
                break;
            }
        }
        Ok(())
    }

    /// The one answer of a lookup, if one is still owed.
    pub fn answer(
        &mut self,
        (number, stream, lookup): (u64, u32, u32),
        (code, fields, body): (u8, &[(&str, &str)], &[u8]),
        now: Micros,
        poll: &Poll,
    ) {
        let Some(client) = self.conns.get_mut(&number) else { return };
        if client.open.get(&stream) != Some(&lookup) {
            return;
        }
        client.open.remove(&stream);
        let done =
            client.put(&frame::head(frame::ANSWER, stream, Some(code), Some(fields), body.len()), body);
        self.settle(number, done, now, poll);
    }

    /// After each step with a connection: ends it if it failed or is done, and notes whether it is stuck.
    fn settle(&mut self, number: u64, done: io::Result<()>, now: Micros, poll: &Poll) {
        let Some(client) = self.conns.get_mut(&number) else { return };
        let over = (client.deaf || self.parting) && client.open.is_empty() && client.link.outbound.is_empty();
        if done.is_err() || over {
            return self.drop(number, poll);
        }
        match client.stuck {
            None if !client.link.outbound.is_empty() => {
                client.stuck = Some((now, client.link.written));
                self.stuck.insert((now, number));
            }
            Some((since, _)) if client.link.outbound.is_empty() => {
                client.stuck = None;
                self.stuck.remove(&(since, number));
            }
            _ => {}
        }
    }

    /// Ends a connection; what it still had open has left.
    pub fn drop(&mut self, number: u64, poll: &Poll) {
        let Some(client) = self.conns.remove(&number) else { return };
        if let Some((since, _)) = client.stuck {
            self.stuck.remove(&(since, number));
        }
        self.heard.extend(client.open.into_values().map(|lookup| Heard::Left { lookup }));
        client.link.close(poll);
    }

    /// Ends connections that take nothing of what is written for longer than any client waits: whoever reads
    /// so slowly has lost its answers, and what they fill is wanted by others.
    pub fn sweep(&mut self, now: Micros, poll: &Poll) {
        while let Some(&(since, number)) = self.stuck.first().filter(|s| s.0 + self.patience <= now) {
            self.stuck.remove(&(since, number));
            let Some(client) = self.conns.get_mut(&number) else { continue };
            let written = client.link.written;
            if client.stuck.is_some_and(|(_, before)| before == written) {
                self.drop(number, poll);
            } else {
                client.stuck = Some((now, written));
                self.stuck.insert((now, number));
            }
        }
    }

    /// Asks for no new lookups, and ends what has none open; the others end with their last answer.
    pub fn part(&mut self, now: Micros, poll: &Poll) {
        self.parting = true;
        let mut numbers: Vec<u64> = self.conns.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            let Some(client) = self.conns.get_mut(&number) else { continue };
            let done = client.put(&frame::head(frame::NO_MORE, 0, None, None, 0), &[]);
            self.settle(number, done, now, poll);
        }
    }
}
