//! Clients beside the faults: each asks one lookup after the other at some front, and goes to another where it gets no
//! connection. What each asked and got is counted.

use meadowrill_test_servers::{ask, frame};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const ANSWER: u8 = 66;
const PATIENCE: Duration = Duration::from_secs(4);
const CONNECT: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
pub struct Counts {
    pub asked: AtomicU64,
    pub satisfied: AtomicU64,
    pub nacked: AtomicU64,
    pub failed: AtomicU64,
    /// The connection ended before the answer, and how many of these were at a front that was then brought down.
    pub lost: AtomicU64,
    /// No whole answer within the client's time.
    pub late: AtomicU64,
    /// A second answer to one lookup, or one to none.
    pub twice: AtomicU64,
}

pub struct Clients {
    pub counts: Arc<Counts>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(many: usize, doors: Vec<SocketAddr>, each: Duration) -> Clients {
        let (counts, over) = (Arc::<Counts>::default(), Arc::new(AtomicBool::new(false)));
        let threads = (0..many)
            .map(|n| {
                let (counts, over, doors) = (Arc::clone(&counts), Arc::clone(&over), doors.clone());
                thread::spawn(move || client(n, &doors, each, &counts, &over))
            })
            .collect();
        Clients {
            counts,
            over,
            threads,
        }
    }

    pub fn end(&mut self) {
        self.over.store(true, Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.end();
    }
}

fn client(n: usize, doors: &[SocketAddr], each: Duration, counts: &Counts, over: &AtomicBool) {
    let mut rng = fastrand::Rng::with_seed(n as u64);
    let (mut stream, mut at) = (None::<TcpStream>, n % doors.len());
    let mut number = 0u32;
    while !over.load(Relaxed) {
        let Some(open) = stream.as_mut() else {
            match TcpStream::connect_timeout(&doors[at], CONNECT) {
                Ok(mut open) => {
                    let _ = open.set_nodelay(true);
                    let _ = open.set_read_timeout(Some(PATIENCE));
                    // Clients take in a front once it says that it is ready: before that it may not know of purges.
                    let ready = open
                        .write_all(&frame(80, 0, &[0]))
                        .and_then(|()| answer(&mut open));
                    match ready {
                        Ok((81, _, 0)) => stream = Some(open),
                        _ => {
                            thread::sleep(Duration::from_millis(20));
                            at = rng.usize(0..doors.len());
                        }
                    }
                }
                // Nothing was asked yet: the client goes to another front.
                Err(_) => at = rng.usize(0..doors.len()),
            }
            continue;
        };
        number += 1;
        counts.asked.fetch_add(1, Relaxed);
        let (txn, item) = (
            format!("{n:08x}{number:08x}"),
            format!("{:016x}", rng.u64(0..400)),
        );
        let request = ask(
            number,
            "map",
            &[("txn", &txn), ("item", &item), ("slice", "0")],
            b"",
        );
        let got = open.write_all(&request).and_then(|()| answer(open));
        match got {
            Ok((kind, of, code)) if kind == ANSWER && of == number => match code {
                0 => counts.satisfied.fetch_add(1, Relaxed),
                11 => counts.nacked.fetch_add(1, Relaxed),
                _ => counts.failed.fetch_add(1, Relaxed),
            },
            // The front parts; what was asked meanwhile is still answered.
            Ok((90, ..)) => {
                let rest = answer(open);
                let good = matches!(rest, Ok((ANSWER, of, _)) if of == number);
                let count = if good {
                    &counts.satisfied
                } else {
                    &counts.lost
                };
                stream = None;
                at = rng.usize(0..doors.len());
                count.fetch_add(1, Relaxed)
            }
            Ok(_) => counts.twice.fetch_add(1, Relaxed),
            Err(e) => {
                let late = matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                stream = None;
                at = rng.usize(0..doors.len());
                if late { &counts.late } else { &counts.lost }.fetch_add(1, Relaxed)
            }
        };
        let until = Instant::now() + each.mul_f64(0.5 + rng.f64());
        while Instant::now() < until && !over.load(Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Kind, stream and code of the next frame.
pub fn answer(stream: &mut TcpStream) -> std::io::Result<(u8, u32, u8)> {
    let mut head = [0; 9];
    stream.read_exact(&mut head)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if !(5..1 << 20).contains(&length) {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut payload = vec![0; length - 5];
    stream.read_exact(&mut payload)?;
    let of = u32::from_le_bytes([head[5], head[6], head[7], head[8]]);
    Ok((head[4], of, payload.first().copied().unwrap_or(u8::MAX)))
}
