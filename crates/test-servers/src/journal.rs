//! The journal service: whoever greets it is handed to the test.

use crate::HANG;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The line of an event that tells what has changed in the list of caches.
pub fn hosts(pos: u64, members: &Value) -> String {
    let hosts = json!({"revision": pos, "complete": false, "members": members});
    format!("{}\n", json!({"pos": pos, "hosts": hosts}))
}

pub struct Journal {
    pub address: SocketAddr,
    greeted: Receiver<(String, TcpStream)>,
}

impl Journal {
    pub fn start() -> Journal {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, greeted) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                let _ = tell.send((line, stream));
            }
        });
        Journal { address, greeted }
    }

    pub fn greeting(&self) -> (String, TcpStream) {
        self.greeted.recv_timeout(HANG).expect("a greeting")
    }
}

/// One that speaks: all who follow it hear each event, and a line with the last number each second. Clones tell the same.
#[derive(Clone)]
pub struct Speaking {
    pub address: SocketAddr,
    /// Events behind the one that fronts know from their start.
    events: Arc<Mutex<Vec<Value>>>,
}

const KNOWN: u64 = 1;
const LOOK: Duration = Duration::from_millis(5);
const LOOKS_A_SECOND: u32 = 200;

impl Speaking {
    pub fn start() -> Speaking {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let events = Arc::<Mutex<Vec<Value>>>::default();
        let all = Arc::clone(&events);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = Arc::clone(&all);
                thread::spawn(move || follow(stream, &events));
            }
        });
        Speaking { address, events }
    }

    /// `event` without its number.
    pub fn tell(&self, mut event: Value) {
        let mut events = self.events.lock().unwrap();
        event["pos"] = (KNOWN + 1 + events.len() as u64).into();
        events.push(event);
    }
}

fn follow(mut stream: TcpStream, events: &Mutex<Vec<Value>>) {
    let mut line = String::new();
    let Ok(read) = stream.try_clone() else { return };
    if BufReader::new(read).read_line(&mut line).is_err() {
        return;
    }
    let mut last: u64 = line
        .trim()
        .strip_prefix("tail ")
        .and_then(|n| n.parse().ok())
        .unwrap_or(KNOWN);
    for look in 0u32.. {
        let more: Vec<Value> = events
            .lock()
            .unwrap()
            .iter()
            .skip((last - KNOWN) as usize)
            .cloned()
            .collect();
        let mut text: String = more.iter().map(|event| format!("{event}\n")).collect();
        last += more.len() as u64;
        if look % LOOKS_A_SECOND == 0 {
            text += &format!("{last}\n");
        }
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        thread::sleep(LOOK);
    }
}
