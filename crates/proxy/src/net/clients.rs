//! Clients: frames in, lookups out, and never a second answer on a stream.

use super::calls::add;
use super::{Key, Link, Poll};
use crate::frame::{self, Frame, Request, Who};
use calloop::Readiness;
use meadowrill_routing::interface::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{IpAddr, TcpStream};

/// Lookups that a connection may have open, and so what its ring may have to hold.
const OPEN: usize = 32;
const MOST: (usize, usize) = (frame::ASKED, (OPEN + 1) * frame::LONGEST);
/// Frames of one connection that are dealt with in a round: whoever floods waits for the others.
const TURN: usize = 64;
/// Bodies from this size on are written at once from where they are; smaller ones are copied, to be written together.
const LARGE: usize = 16_384;
/// Requests that are kept for those to come.
const SPARE: usize = 256;
/// Faulty frames after which a connection is done with.
const FAULTS: u32 = 16;
/// How long a connection may be silent before its first whole frame or within one, and how long it is kept
/// with nothing open on it. Clients close theirs earlier; some never do.
const UNFINISHED: Micros = 2_000_000;
const IDLE: Micros = 6_000_000;
/// How long what still comes behind the shutdown of our side is read and dropped, if the peer does not end its own
/// before: a close with bytes unread is a reset, in which the answers before it may be lost.
pub(crate) const DRAIN: Micros = 1_000_000;
/// What is younger is not let go for want of room: its first bytes may still be on their way.
const YOUNG: Micros = 100_000;

/// As if the loop had told that something has come.
const COME: Readiness = Readiness {
    readable: true,
    writable: false,
    error: false,
};

pub(crate) enum Heard {
    Asked {
        lookup: u32,
        client: u64,
        from: IpAddr,
        stream: u32,
        request: Box<Request>,
    },
    /// Nobody waits any more.
    Left { lookup: u32 },
    /// The client has ended its side: nothing is begun for it any more. What is out may still find it listening.
    HalfClosed { lookup: u32 },
    /// For the log.
    Bad { client: u64, fault: frame::Fault },
}

struct Client {
    link: Link,
    from: IpAddr,
    last_stream: u32,
    /// Streams with a lookup, in order; few.
    open: Vec<(u32, u32)>,
    /// What still comes is dropped: the peer has ended its side, no frame can be found any more, or ours is shut.
    muted: bool,
    /// The peer has ended its side.
    half_closed: bool,
    /// It was told to bring nothing new.
    told: bool,
    /// Our side is shut; the connection is closed at the peer's end, or then.
    draining: Option<Micros>,
    /// A whole frame has come.
    spoke: bool,
    /// Since when a frame, or the first, is not whole.
    unfinished: Option<Micros>,
    /// When something was last asked or answered.
    used_at: Micros,
    faults: u32,
    /// Since when what is written is not taken, and how much was by then.
    stalled: Option<(Micros, u64)>,
}

impl Client {
    fn put(&mut self, head: &[u8], body: &[u8]) -> io::Result<()> {
        let full = |_| io::Error::from(io::ErrorKind::OutOfMemory);
        self.link.outbound.put(head).map_err(full)?;
        self.link.outbound.put(body).map_err(full)
    }

    fn reply(&mut self, stream: u32, code: u8) -> io::Result<()> {
        self.put(
            &frame::head(frame::ANSWER, stream, Some(code), Some(&[]), 0),
            &[],
        )
    }

    /// Once.
    fn no_more(&mut self) -> io::Result<()> {
        if std::mem::replace(&mut self.told, true) {
            return Ok(());
        }
        self.put(&frame::head(frame::NO_MORE, 0, None, None, 0), &[])
    }

    /// Tells a fault, and hears nothing more: what it would still ask it is to ask elsewhere.
    fn stop_hearing(&mut self) -> io::Result<()> {
        self.muted = true;
        self.unfinished = None;
        self.link.inbound.clear();
        self.reply(0, frame::FAILED)?;
        self.no_more()
    }

    fn blame(&mut self) -> io::Result<()> {
        self.faults += 1;
        if self.faults < FAULTS || self.muted {
            return Ok(());
        }
        self.stop_hearing()
    }

    /// The lookup of a stream that is done with.
    fn done(&mut self, stream: u32) -> Option<u32> {
        let at = self.open.iter().position(|open| open.0 == stream)?;
        Some(self.open.remove(at).1)
    }

    fn idle(&self) -> bool {
        self.open.is_empty() && self.link.outbound.is_empty()
    }

    /// How little is lost with it: the least first. None for what has something open, or may be about to.
    fn use_of(&self, now: Micros) -> Option<(u8, Micros)> {
        let old = |since: Micros| since + YOUNG <= now;
        match self.unfinished {
            _ if !self.idle() || self.draining.is_some() => None,
            Some(since) => old(since).then_some((u8::from(self.spoke), since)),
            None => old(self.used_at).then_some((2, self.used_at)),
        }
    }
}

/// Places of requests that are over, for those to come.
#[derive(Default)]
struct Spare(VecDeque<Box<Request>>);

impl Spare {
    fn give(&mut self, request: Box<Request>) {
        if self.0.len() < SPARE {
            self.0.push_back(request);
        }
    }

    fn place(&mut self, request: Request) -> Box<Request> {
        match self.0.pop_back() {
            Some(mut place) => {
                *place = request;
                place
            }
            None => Box::new(request),
        }
    }
}

/// What a connection is read with.
struct Says<'a> {
    number: u64,
    ready: bool,
    ready_fields: &'a [(&'a str, &'a str)],
    who: &'a Who,
    lookups: &'a mut u32,
    spare: &'a mut Spare,
    heard: &'a mut Vec<Heard>,
}

pub(crate) struct Clients {
    conns: BTreeMap<u64, Client>,
    /// Those with more to read than a round takes.
    more: BTreeSet<u64>,
    /// Those that drain, by when that ends.
    draining: BTreeSet<(Micros, u64)>,
    /// Ceilings: those that are served, and those that drain.
    most: usize,
    most_draining: usize,
    patience: Micros,
    lookups: u32,
    /// Whether the front says that it is ready, unless it serves nobody.
    pub ready: bool,
    pub available: bool,
    /// Where state is shared: whether it was there when the front became ready.
    pub caught_up: Option<bool>,
    /// The front is ending: nothing new is taken.
    closing: bool,
    /// Fields that tell who asks.
    pub who: Who,
    heard: Vec<Heard>,
    /// Those with answers that were not written yet.
    unwritten: Vec<u64>,
    /// Requests that are over, for those to come.
    spare: Spare,
}

impl Clients {
    /// For so many connections that are served, and so many more that drain.
    pub(crate) fn new(most: usize, most_draining: usize, patience: Micros) -> Clients {
        let (conns, more, heard) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        Clients {
            conns,
            more,
            draining: BTreeSet::new(),
            most,
            most_draining,
            patience,
            lookups: 0,
            ready: true,
            available: true,
            caught_up: None,
            closing: false,
            who: Who::default(),
            heard,
            unwritten: Vec::new(),
            spare: Spare::default(),
        }
    }

    /// What was heard since the last call.
    pub(crate) fn heard(&mut self, into: &mut Vec<Heard>) {
        into.append(&mut self.heard);
    }

    /// A request that is over.
    pub(crate) fn give_back(&mut self, request: Box<Request>) {
        self.spare.give(request);
    }

    /// Writes the answers of this round.
    pub(crate) fn flush(&mut self, now: Micros, poll: &Poll) {
        let mut unwritten = std::mem::take(&mut self.unwritten);
        // One write for all answers of a client.
        unwritten.sort_unstable();
        unwritten.dedup();
        unwritten
            .drain(..)
            .for_each(|number| self.settle(number, Ok(()), now, poll));
        self.unwritten = unwritten;
    }

    /// Those that are to be dealt with again although nothing new came.
    pub(crate) fn more(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.more)
    }

    pub(crate) fn waits(&self) -> bool {
        !self.more.is_empty()
    }

    /// Whether another connection may be taken in. At the ceiling the one of least use is let go, lest those who
    /// say nothing, or have asked once and hold on, keep everybody else out.
    pub(crate) fn room(&mut self, now: Micros, poll: &mut Poll) -> bool {
        while self.conns.len() - self.draining.len() >= self.most {
            let of = |(number, c): (&u64, &Client)| c.use_of(now).map(|least| (least, *number));
            let Some((_, number)) = self.conns.iter().filter_map(of).min() else {
                return false;
            };
            self.close_idle(number, now, poll);
        }
        // Of those that drain the first has had the most time.
        while self.conns.len() >= self.most + self.most_draining {
            let Some((_, first)) = self.draining.first().copied() else {
                return false;
            };
            self.drop(first, poll);
        }
        true
    }

    /// Closes a connection with nothing open, unless something has come on it that was not read yet.
    fn close_idle(&mut self, number: u64, now: Micros, poll: &mut Poll) {
        let Some(client) = self.conns.get(&number) else {
            return;
        };
        let before = (client.used_at, client.link.inbound.len());
        // What has come by now counts, its end too, also where the loop was not told yet.
        self.handle(number, COME, now, poll);
        let Some(client) = self
            .conns
            .get_mut(&number)
            .filter(|client| client.draining.is_none())
        else {
            return;
        };
        if !client.idle() || (client.used_at, client.link.inbound.len()) != before {
            client.used_at = now;
            client.unfinished = client.unfinished.map(|_| now);
            return;
        }
        client.muted = true;
        let done = client.no_more();
        self.settle(number, done, now, poll);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    pub(crate) fn accept(
        &mut self,
        stream: TcpStream,
        from: IpAddr,
        now: Micros,
        poll: &mut Poll,
    ) -> io::Result<()> {
        let number = poll.key();
        let link = poll.link(stream, Key::Client(number), MOST)?;
        let client = Client {
            link,
            from,
            last_stream: 0,
            open: Vec::new(),
            muted: false,
            half_closed: false,
            told: false,
            draining: None,
            spoke: false,
            unfinished: Some(now),
            used_at: now,
            faults: 0,
            stalled: None,
        };
        self.conns.insert(number, client);
        Ok(())
    }

    pub(crate) fn handle(&mut self, number: u64, ready: Readiness, now: Micros, poll: &mut Poll) {
        let Some(client) = self.conns.get_mut(&number) else {
            return;
        };
        client.link.heard(ready);
        let (lookups, spare, heard) = (&mut self.lookups, &mut self.spare, &mut self.heard);
        let ready_fields: &[(&str, &str)] = match self.caught_up {
            Some(true) => &[("caught_up", "1")],
            Some(false) => &[("caught_up", "0")],
            None => &[],
        };
        let ready = self.ready && self.available;
        let says = Says {
            number,
            ready,
            ready_fields,
            who: &self.who,
            lookups,
            spare,
            heard,
        };
        let done = Clients::read(client, says, now, poll);
        if matches!(done, Ok(true)) {
            self.more.insert(number);
        }
        self.settle(number, done.map(|_| ()), now, poll);
    }

    /// Takes one turn at what has come; true where there is more.
    fn read(
        client: &mut Client,
        Says {
            number,
            ready,
            ready_fields,
            who,
            lookups,
            spare,
            heard,
        }: Says<'_>,
        now: Micros,
        poll: &mut Poll,
    ) -> io::Result<bool> {
        // Behind the end of its stream a reset shows in no read.
        if client.half_closed && !client.link.arrived()? {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let ended = if client.muted {
            poll.discard(&mut client.link)?
        } else {
            poll.fill(&mut client.link)?
        };
        if ended && !client.half_closed {
            // Whoever has closed has gone; whoever only ended its side hears what is out. One that has closed answers
            // the word that nothing more is taken with a reset, and its sends end with it.
            client.half_closed = true;
            heard.extend(
                client
                    .open
                    .iter()
                    .map(|(_, lookup)| Heard::HalfClosed { lookup: *lookup }),
            );
            if !client.open.is_empty() {
                client.no_more()?;
            }
        }
        if client.muted {
            return Ok(client.link.readable && !client.half_closed);
        }
        for _ in 0..TURN {
            let read = match frame::next(client.link.inbound.whole()) {
                Ok(None) => {
                    let part = !client.spoke || !client.link.inbound.is_empty();
                    client.unfinished = if part {
                        client.unfinished.or(Some(now))
                    } else {
                        None
                    };
                    client.muted |= client.half_closed;
                    return Ok(client.link.readable && !client.half_closed);
                }
                Ok(Some(frame)) => frame,
                Err(fault) => {
                    heard.push(Heard::Bad {
                        client: number,
                        fault,
                    });
                    client.stop_hearing()?;
                    return Ok(client.link.readable);
                }
            };
            let Frame {
                kind,
                stream,
                payload,
            } = read;
            let size = frame::HEAD + payload.len();
            let new = stream > client.last_stream;
            let bad = match kind {
                // Of no use to whoever has gone, and crossing the word that nothing new is taken: the one answer, at once.
                frame::ASK if new && (client.half_closed || client.told) => {
                    client.reply(stream, frame::NACKED)?;
                    None
                }
                frame::ASK if new && client.open.len() < OPEN => match frame::request(payload, who)
                {
                    Ok(request) => {
                        *lookups = lookups.wrapping_add(1).max(1);
                        client.open.push((stream, *lookups));
                        let from = client.from;
                        let request = spare.place(request);
                        heard.push(Heard::Asked {
                            lookup: *lookups,
                            client: number,
                            from,
                            stream,
                            request,
                        });
                        None
                    }
                    Err(fault) => Some(fault),
                },
                frame::ASK => Some(frame::Fault::Unreadable("stream")),
                frame::LEAVE => {
                    heard.extend(client.done(stream).map(|lookup| Heard::Left { lookup }));
                    None
                }
                frame::READY => {
                    let (code, fields) = (u8::from(!ready), ready_fields);
                    client.put(
                        &frame::head(frame::IS_READY, stream, Some(code), Some(fields), 0),
                        &[],
                    )?;
                    None
                }
                _ => Some(frame::Fault::Unreadable("type")),
            };
            client.link.inbound.drop_front(size);
            (client.spoke, client.unfinished, client.used_at) = (true, None, now);
            let asked = kind == frame::ASK;
            client.last_stream = if asked {
                client.last_stream.max(stream)
            } else {
                client.last_stream
            };
            if let Some(fault) = bad {
                heard.push(Heard::Bad {
                    client: number,
                    fault,
                });
                // A stream that had or will have its answer gets no other.
                client.reply(if asked && new { stream } else { 0 }, frame::FAILED)?;
                client.blame()?;
                if client.muted {
                    return Ok(client.link.readable);
                }
            }
        }
        Ok(true)
    }

    /// The one answer of a lookup, if one is still owed.
    pub(crate) fn answer(
        &mut self,
        (number, stream, lookup): (u64, u32, u32),
        (code, fields, body): (u8, &[(&str, &str)], &[u8]),
        now: Micros,
        poll: &Poll,
    ) {
        let Some(client) = self.conns.get_mut(&number) else {
            return;
        };
        if client.open.iter().all(|open| *open != (stream, lookup)) {
            return;
        }
        client.done(stream);
        client.used_at = now;
        let head = frame::head(frame::ANSWER, stream, Some(code), Some(fields), body.len());
        if body.len() < LARGE {
            add(&poll.calls.copied, body.len() as u64);
            if client.put(&head, body).is_ok() {
                // Written at the end of the round, with what else there is for this client by then.
                self.unwritten.push(number);
                return;
            }
        }
        let done = client.link.send(&head, body);
        self.settle(number, done, now, poll);
    }

    /// Counts a lookup that could not be used against its connection.
    pub(crate) fn blame(&mut self, number: u64, now: Micros, poll: &Poll) {
        let Some(client) = self.conns.get_mut(&number) else {
            return;
        };
        let done = client.blame();
        self.settle(number, done, now, poll);
    }

    /// After each step with a connection: the one place that ends one in good order, once all is written, and that
    /// notes whether one is stalled. Our side is shut first, and what still comes is dropped to the peer's end.
    fn settle(&mut self, number: u64, done: io::Result<()>, now: Micros, poll: &Poll) {
        let Some(client) = self.conns.get_mut(&number) else {
            return;
        };
        if done.and_then(|()| client.link.flush()).is_err() {
            return self.drop(number, poll);
        }
        if (client.muted || self.closing) && client.idle() {
            if client.draining.is_none() {
                client.muted = true;
                client.unfinished = None;
                client.link.inbound.clear();
                client.link.shut();
                client.draining = Some(now + DRAIN);
                self.draining.insert((now + DRAIN, number));
            }
            if client.half_closed {
                self.drop(number, poll);
            }
            return;
        }
        client.stalled = match client.stalled {
            _ if client.link.outbound.is_empty() => None,
            None => Some((now, client.link.written)),
            stalled => stalled,
        };
    }

    /// Closes a connection; what it still had open has left.
    pub(crate) fn drop(&mut self, number: u64, poll: &Poll) {
        let Some(client) = self.conns.remove(&number) else {
            return;
        };
        if let Some(until) = client.draining {
            self.draining.remove(&(until, number));
        }
        self.heard.extend(
            client
                .open
                .iter()
                .map(|(_, lookup)| Heard::Left { lookup: *lookup }),
        );
        client.link.close(poll);
    }

    /// Ends connections that take nothing of what is written for longer than any client waits: whoever reads
    /// so slowly has lost its answers, and what they fill is wanted by others. Ends too what does not come to the
    /// end of a frame, and what nothing has been asked on for long.
    pub(crate) fn sweep(&mut self, now: Micros, poll: &mut Poll) {
        let numbers: Vec<u64> = self.conns.keys().copied().collect();
        for number in numbers {
            let Some(client) = self.conns.get_mut(&number) else {
                continue;
            };
            if client.draining.is_some_and(|until| until <= now) {
                self.drop(number, poll);
            } else if let Some((_, before)) = client.stalled.filter(|s| s.0 + self.patience <= now)
            {
                let written = client.link.written;
                client.stalled = Some((now, written));
                if before == written {
                    self.drop(number, poll);
                }
            } else if client.muted {
                continue;
            } else if client
                .unfinished
                .is_some_and(|since| since + UNFINISHED <= now)
            {
                self.heard.push(Heard::Bad {
                    client: number,
                    fault: frame::Fault::Unfinished,
                });
                let done = client.stop_hearing();
                self.settle(number, done, now, poll);
            } else if client.idle() && client.used_at + IDLE <= now {
                self.close_idle(number, now, poll);
            }
        }
    }

    /// The front is ending: takes up what has come so far, asks for no more, and ends what has nothing open; the others end
    /// with their last answer.
    pub(crate) fn shut_down(&mut self, now: Micros, poll: &mut Poll) {
        let numbers: Vec<u64> = self.conns.keys().copied().collect();
        for &number in &numbers {
            // Asked before the word that nothing more is taken: owed an answer, also where the loop was not told yet.
            self.handle(number, COME, now, poll);
        }
        self.closing = true;
        for number in numbers {
            let Some(client) = self.conns.get_mut(&number) else {
                continue;
            };
            let done = if client.muted {
                Ok(())
            } else {
                client.no_more()
            };
            self.settle(number, done, now, poll);
        }
    }
}
