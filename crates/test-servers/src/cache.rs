//! A scripted cache, parent or origin: it responds as configured and records the requests that it receives.

use crate::HANG_TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// How a [`Cache`] handles a request.
#[derive(Clone)]
pub enum CacheBehavior {
    /// Writes this head and body, and keeps the connection open.
    Respond(String, Vec<u8>),
    /// Writes these bytes unchanged, then closes the connection.
    WriteAndClose(Vec<u8>),
    /// Writes no response.
    Ignore,
}

/// A response with this status line, these header lines and a matching `Content-Length`.
pub fn http_response(status: &str, headers: &str, body: &[u8]) -> CacheBehavior {
    CacheBehavior::Respond(
        format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        ),
        body.to_vec(),
    )
}

/// A cache hit with version 1.
pub fn ok(body: &[u8]) -> CacheBehavior {
    http_response(
        "200 OK",
        "X-Cache: TCP_HIT\r\nVersion: 1\r\nIssued-At: 1\r\n",
        body,
    )
}

/// An event that a [`Cache`] recorded.
#[derive(Debug, PartialEq)]
pub enum CacheEvent {
    /// A request: connection number, head and body.
    Request(usize, String, Vec<u8>),
    /// The peer closed the connection with this number, or a write to it failed.
    Closed(usize),
}

/// A cache, parent or origin on loopback, with one thread per connection.
pub struct Cache {
    pub address: SocketAddr,
    behavior: Arc<Mutex<CacheBehavior>>,
    pub events: Receiver<CacheEvent>,
}

impl Cache {
    pub fn start(behavior: CacheBehavior) -> Cache {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let behavior = Arc::new(Mutex::new(behavior));
        let (sender, events) = channel();
        let shared_behavior = Arc::clone(&behavior);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (behavior, sender) = (Arc::clone(&shared_behavior), sender.clone());
                thread::spawn(move || Cache::serve(number, stream, &behavior, &sender));
            }
        });
        Cache {
            address,
            behavior,
            events,
        }
    }

    fn serve(
        number: usize,
        mut stream: TcpStream,
        behavior: &Mutex<CacheBehavior>,
        sender: &Sender<CacheEvent>,
    ) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let (mut head, mut line) = (String::new(), String::new());
            while matches!(reader.read_line(&mut line), Ok(n) if n > 2) {
                head.push_str(&line);
                line.clear();
            }
            if head.is_empty() {
                let _ = sender.send(CacheEvent::Closed(number));
                return;
            }
            let length = header(&head, "Content-Length").map_or(0, |n| n.parse().unwrap());
            let mut body = vec![0; length];
            reader.read_exact(&mut body).unwrap();
            let behavior = behavior.lock().unwrap().clone();
            let _ = sender.send(CacheEvent::Request(number, head, body));
            let written = match behavior {
                CacheBehavior::Respond(head, body) => {
                    stream.write_all(&[head.as_bytes(), &body[..]].concat())
                }
                CacheBehavior::WriteAndClose(bytes) => {
                    let _ = stream.write_all(&bytes);
                    return;
                }
                CacheBehavior::Ignore => Ok(()),
            };
            if written.is_err() {
                let _ = sender.send(CacheEvent::Closed(number));
                return;
            }
        }
    }

    /// Replaces the behavior for the following requests.
    pub fn set_behavior(&self, behavior: CacheBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// The next request; skips closed connections.
    pub fn next_request(&self) -> (usize, String, Vec<u8>) {
        match self.events.recv_timeout(HANG_TIMEOUT).expect("a request") {
            CacheEvent::Request(number, head, body) => (number, head, body),
            CacheEvent::Closed(_) => self.next_request(),
        }
    }

    /// Whether a request with this id is among the recorded events; consumes the events up to it.
    pub fn received_request(&self, id: u32) -> bool {
        let id = format!("X-Req: {id:016x}");
        self.events
            .try_iter()
            .any(|event| matches!(event, CacheEvent::Request(_, head, _) if head.contains(&id)))
    }

    /// Waits until the connection with this number is closed; discards the events before.
    pub fn wait_until_closed(&self, number: usize) {
        while self
            .events
            .recv_timeout(HANG_TIMEOUT)
            .expect("the end of a connection")
            != CacheEvent::Closed(number)
        {}
    }
}

/// The value of the header field `name`, spelled exactly so.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .filter_map(|l| l.split_once(": "))
        .find(|(n, _)| *n == name)
        .map(|(_, v)| v.trim())
}
