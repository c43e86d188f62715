//! The journal service: changes of the list of caches, and purges.

use super::{Key, Link, Poll};
use calloop::Readiness;
use meadowrill_routing::interface::{EndpointStatus, Micros};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;

/// The longest line: a list of some thousands of machines.
const LINE: usize = 1 << 20;
/// The service sends a line each second; without any for so long the connection is held to be lost. And how
/// long one may take to come up, and the pause before another is tried.
const SILENCE: Micros = 2_200_000;
const COMING: Micros = 600_000;
const PAUSE: Micros = 250_000;
/// How often what lies behind the same event is asked for again, before what cannot be read is passed over.
const AGAIN: u32 = 3;

/// A machine of the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Member {
    pub id: String,
    /// None where one that has gone is only named.
    pub address: Option<SocketAddr>,
    pub locality: String,
    pub flavor: String,
    pub cell: u16,
    pub standing: EndpointStatus,
    pub size: f64,
    pub up_since: Micros,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Change {
    Hosts {
        complete: bool,
        members: Vec<Member>,
    },
    Purge {
        object: Option<u64>,
        group: u32,
        stamp: Micros,
    },
}

/// A line of the journal: the number of the event, and what it brings, if anything.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Line {
    pub pos: Option<u64>,
    pub change: Option<Change>,
}

fn member(value: &Value) -> Result<Member, String> {
    let text = |name: &str| value[name].as_str().unwrap_or_default();
    let id = text("id");
    let standing = match text("phase") {
        "SERVING" => EndpointStatus::Ready,
        "DRAINING" => EndpointStatus::Draining,
        "DELETED" => EndpointStatus::Removed,
        other => return Err(format!("member {id:?}: phase {other:?}")),
    };
    let address = text("host_port").parse().ok();
    if id.is_empty() || id.bytes().any(|b| !b.is_ascii_graphic()) {
        return Err(format!("member with the id {id:?}"));
    }
    if address.is_none() && standing != EndpointStatus::Removed {
        return Err(format!("member {id}: host_port {}", value["host_port"]));
    }
    Ok(Member {
        id: id.to_string(),
        address,
        locality: text("locality").to_string(),
        flavor: text("flavor").to_string(),
        cell: value["cell"]
            .as_u64()
            .and_then(|c| u16::try_from(c).ok())
            .unwrap_or(0),
        standing,
        size: value["size"].as_f64().filter(|s| *s > 0.0).unwrap_or(1.0),
        up_since: value["up_since_ms"]
            .as_f64()
            .map_or(0, |ms| (ms * 1e3) as Micros),
    })
}

pub(crate) fn entry(value: &Value) -> Result<Line, String> {
    if let Some(pos) = value.as_u64() {
        return Ok(Line {
            pos: Some(pos),
            change: None,
        });
    }
    let pos = value["pos"].as_u64();
    if !value.is_object() {
        return Err("neither an event nor a position".into());
    }
    let change = if let Some(hosts) = value.get("hosts") {
        let members = hosts["members"].as_array().ok_or("hosts without members")?;
        let members = members.iter().map(member).collect::<Result<_, _>>()?;
        Some(Change::Hosts {
            complete: hosts["complete"].as_bool().unwrap_or(false),
            members,
        })
    } else if let Some(expire) = value.get("expire") {
        let stamp = expire["stamp"].as_f64().ok_or("purge without a stamp")?;
        let object = match expire["name"].as_str() {
            Some(name) => {
                Some(u64::from_str_radix(name, 16).map_err(|_| format!("purge of {name:?}"))?)
            }
            None => None,
        };
        let group = expire["set"].as_u64().and_then(|g| u32::try_from(g).ok());
        if object.is_none() && group.is_none() {
            return Err("purge of nothing".into());
        }
        Some(Change::Purge {
            object,
            group: group.unwrap_or(0),
            stamp: (stamp * 1e3) as Micros,
        })
    } else {
        None
    };
    Ok(Line { pos, change })
}

/// What a round with the service brought; a bad line is told with its reason.
pub(crate) type News = Result<Change, String>;

pub(crate) struct Journal {
    address: SocketAddr,
    link: Option<(Key, Link)>,
    last: u64,
    /// How often in a row something behind the last event was missing.
    missing: u32,
    /// The connection is up.
    up: bool,
    heard_at: Micros,
    tried_at: Micros,
    /// An outage is told once, not at every try.
    out: bool,
    /// Since when not all may have been told: from the last word before an outage to the first that says that there is
    /// nothing more.
    behind: Option<Micros>,
}

impl Journal {
    pub(crate) fn new(address: SocketAddr, last: u64) -> Journal {
        let tried_at = Micros::MIN / 2;
        Journal {
            address,
            link: None,
            last,
            missing: 0,
            up: false,
            heard_at: 0,
            tried_at,
            out: false,
            behind: None,
        }
    }

    /// One that is behind from the start on, until the service has said that there is nothing more.
    pub(crate) fn unheard(address: SocketAddr, last: u64, since: Micros) -> Journal {
        Journal {
            behind: Some(since),
            ..Journal::new(address, last)
        }
    }

    /// Goes on at another address, from the last event had.
    pub(crate) fn move_to(
        &mut self,
        address: SocketAddr,
        now: Micros,
        poll: &mut Poll,
        news: &mut Vec<News>,
    ) {
        if address != self.address {
            self.address = address;
            self.lose("moved", poll, news);
            self.tried_at = Micros::MIN / 2;
            self.keep_up(now, poll, news);
        }
    }

    /// Since when not all may have been told, if so.
    pub(crate) fn behind(&self) -> Option<Micros> {
        self.behind
    }

    /// Connects where there is no connection, and drops one that is silent. To be called now and then.
    pub(crate) fn keep_up(&mut self, now: Micros, poll: &mut Poll, news: &mut Vec<News>) {
        let patience = if self.up { SILENCE } else { COMING };
        if self.link.is_some() && now >= self.heard_at + patience {
            self.lose("silent", poll, news);
        }
        if self.link.is_some() || now < self.tried_at + PAUSE {
            return;
        }
        (self.tried_at, self.heard_at, self.up) = (now, now, false);
        let key = Key::Journal(poll.key());
        match poll.connect(self.address, key, (LINE, 64)) {
            Ok(mut link) => {
                let hello = link
                    .outbound
                    .put(format!("tail {}\n", self.last).as_bytes());
                debug_assert!(hello.is_ok());
                self.link = Some((key, link));
            }
            Err(e) => self.lose(&e.to_string(), poll, news),
        }
    }

    pub(crate) fn lose(&mut self, why: &str, poll: &Poll, news: &mut Vec<News>) {
        if let Some((_, link)) = self.link.take() {
            link.close(poll);
        }
        // Not from when it was noticed: what fell silent may have kept back all since its last word.
        self.behind = self.behind.or(Some(self.heard_at));
        if !std::mem::replace(&mut self.out, true) {
            news.push(Err(format!("out of touch: {why}")));
        }
    }

    pub(crate) fn handle(
        &mut self,
        key: Key,
        ready: Readiness,
        now: Micros,
        poll: &mut Poll,
        news: &mut Vec<News>,
    ) {
        let Some((_, mut link)) = self.link.take_if(|(k, _)| *k == key) else {
            return;
        };
        link.heard(ready);
        let alive = self.read(&mut link, now, poll, news);
        self.link = Some((key, link));
        match alive {
            Err(e) => {
                self.lose(&e.to_string(), poll, news);
                self.keep_up(now, poll, news);
            }
            Ok(()) if self.out && self.heard_at > self.tried_at => {
                self.out = false;
                news.push(Err("in touch again".into()));
            }
            Ok(()) => {}
        }
    }

    fn read(
        &mut self,
        link: &mut Link,
        now: Micros,
        poll: &mut Poll,
        news: &mut Vec<News>,
    ) -> io::Result<()> {
        if !link.arrived()? {
            return Ok(());
        }
        if !std::mem::replace(&mut self.up, true) {
            self.heard_at = now;
        }
        link.flush()?;
        loop {
            let ended = poll.fill(link)?;
            while let Some(end) = link.inbound.whole().iter().position(|b| *b == b'\n') {
                let text = &link.inbound.whole()[..end];
                let line = (!text.trim_ascii().is_empty())
                    .then(|| serde_json::from_slice(text).map_err(|e| e.to_string()))
                    .map(|line| line.and_then(|value| entry(&value)));
                link.inbound.drop_front(end + 1);
                self.heard_at = now;
                if let Some(line) = line {
                    self.line(line, news)?;
                }
            }
            if ended {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if link.inbound.room() == 0 {
                return Err(io::Error::other("line too long"));
            }
            if !link.readable {
                return Ok(());
            }
        }
    }

    /// Events are numbered without gaps, so a number that is not the next one tells that something was missed
    /// or could not be read: it is asked for again. Moving on would skip a purge for good. Only what stays
    /// unreadable is passed over in the end, lest nothing behind it is ever had.
    fn line(&mut self, line: Result<Line, String>, news: &mut Vec<News>) -> io::Result<()> {
        let Line { pos, change } = match line {
            Ok(line) => line,
            Err(what) => {
                news.push(Err(format!("unreadable: {what}")));
                return Ok(());
            }
        };
        let missed = pos.is_some_and(|pos| pos > self.last + u64::from(change.is_some()));
        if missed && self.missing < AGAIN {
            self.missing += 1;
            return Err(io::Error::other(format!(
                "something behind {} is missing",
                self.last
            )));
        }
        if change.is_none() && pos == Some(self.last) {
            self.behind = None;
        }
        // Had before; told again it would put a list back.
        if pos.is_none_or(|pos| pos > self.last) {
            self.last = pos.unwrap_or(self.last);
            self.missing = 0;
            news.extend(change.map(Ok));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
