//! The journal service: [`Journal`] hands its connections to the test, [`PublishingJournal`] serves them itself.

use crate::HANG_TIMEOUT;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Encodes an event with changes of the endpoint list as a line.
pub fn hosts_event(pos: u64, members: &Value) -> String {
    let hosts = json!({"revision": pos, "complete": false, "members": members});
    format!("{}\n", json!({"pos": pos, "hosts": hosts}))
}

/// A journal service that reads the first line of each subscriber and leaves the rest to the test.
pub struct Journal {
    pub address: SocketAddr,
    subscribers: Receiver<(String, TcpStream)>,
}

impl Journal {
    pub fn start() -> Journal {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, subscribers) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                let _ = sender.send((line, stream));
            }
        });
        Journal {
            address,
            subscribers,
        }
    }

    /// The next subscriber: its first line and its connection.
    pub fn accept_subscriber(&self) -> (String, TcpStream) {
        self.subscribers
            .recv_timeout(HANG_TIMEOUT)
            .expect("a subscriber")
    }
}

/// A journal service that sends every event to all subscribers, and a line with its position each second. Clones
/// share the events.
#[derive(Clone)]
pub struct PublishingJournal {
    pub address: SocketAddr,
    /// Events after [`INITIAL_POSITION`].
    events: Arc<Mutex<Vec<Value>>>,
}

/// Position of the event that is part of the initial configuration of proxies.
const INITIAL_POSITION: u64 = 1;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const POLLS_PER_SECOND: u32 = 200;

impl PublishingJournal {
    pub fn start() -> PublishingJournal {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let events = Arc::<Mutex<Vec<Value>>>::default();
        let shared_events = Arc::clone(&events);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = Arc::clone(&shared_events);
                thread::spawn(move || serve_subscriber(stream, &events));
            }
        });
        PublishingJournal { address, events }
    }

    /// Publishes `event`, which has no position yet.
    pub fn publish(&self, mut event: Value) {
        let mut events = self.events.lock().unwrap();
        event["pos"] = (INITIAL_POSITION + 1 + events.len() as u64).into();
        events.push(event);
    }
}

fn serve_subscriber(mut stream: TcpStream, events: &Mutex<Vec<Value>>) {
    let mut line = String::new();
    let Ok(read) = stream.try_clone() else { return };
    if BufReader::new(read).read_line(&mut line).is_err() {
        return;
    }
    let mut position: u64 = line
        .trim()
        .strip_prefix("tail ")
        .and_then(|n| n.parse().ok())
        .unwrap_or(INITIAL_POSITION);
    for poll in 0u32.. {
        let new_events: Vec<Value> = events
            .lock()
            .unwrap()
            .iter()
            .skip((position - INITIAL_POSITION) as usize)
            .cloned()
            .collect();
        let mut text: String = new_events
            .iter()
            .map(|event| format!("{event}\n"))
            .collect();
        position += new_events.len() as u64;
        if poll % POLLS_PER_SECOND == 0 {
            text += &format!("{position}\n");
        }
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}
