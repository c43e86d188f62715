//! Clients that send requests during the faults. Each client sends one request after the other to one proxy, and goes
//! to another proxy when it gets no connection. Requests and responses are counted.

use meadowrill_test_servers::{frame, request_frame};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Frame kind of a response.
pub const RESPONSE_FRAME: u8 = 66;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Requests of all clients, by outcome.
#[derive(Debug, Default)]
pub struct Counts {
    pub sent: AtomicU64,
    pub satisfied: AtomicU64,
    pub rejected: AtomicU64,
    pub failed: AtomicU64,
    /// The connection ended before the response.
    pub connection_lost: AtomicU64,
    /// No complete response arrived within the client's time limit.
    pub timed_out: AtomicU64,
    /// Responses that belong to no open request, such as a second response to one.
    pub unexpected: AtomicU64,
}

/// Running clients, which stop when this is dropped.
pub struct Clients {
    pub counts: Arc<Counts>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts clients that pause after each request for half to one and a half of `mean_pause`.
    pub fn start(client_count: usize, proxies: Vec<SocketAddr>, mean_pause: Duration) -> Clients {
        let (counts, stopping) = (Arc::<Counts>::default(), Arc::new(AtomicBool::new(false)));
        let threads = (0..client_count)
            .map(|client_number| {
                let (counts, stopping, proxies) =
                    (Arc::clone(&counts), Arc::clone(&stopping), proxies.clone());
                thread::spawn(move || {
                    run_client(client_number, &proxies, mean_pause, &counts, &stopping)
                })
            })
            .collect();
        Clients {
            counts,
            stopping,
            threads,
        }
    }

    /// Stops all clients and waits for their last requests.
    pub fn stop(&mut self) {
        self.stopping.store(true, Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

fn run_client(
    client_number: usize,
    proxies: &[SocketAddr],
    mean_pause: Duration,
    counts: &Counts,
    stopping: &AtomicBool,
) {
    let mut rng = fastrand::Rng::with_seed(client_number as u64);
    let (mut stream, mut proxy) = (None::<TcpStream>, client_number % proxies.len());
    let mut request_number = 0u32;
    while !stopping.load(Relaxed) {
        let Some(connection) = stream.as_mut() else {
            match TcpStream::connect_timeout(&proxies[proxy], CONNECT_TIMEOUT) {
                Ok(mut connection) => {
                    let _ = connection.set_nodelay(true);
                    let _ = connection.set_read_timeout(Some(RESPONSE_TIMEOUT));
                    // A client uses a proxy only once it reports that it is ready: before that it may lack purges.
                    let ready = connection
                        .write_all(&frame(80, 0, &[0]))
                        .and_then(|()| read_frame(&mut connection));
                    match ready {
                        Ok((81, _, 0)) => stream = Some(connection),
                        _ => {
                            thread::sleep(Duration::from_millis(20));
                            proxy = rng.usize(0..proxies.len());
                        }
                    }
                }
                // No request was sent yet, so the client goes to another proxy.
                Err(_) => proxy = rng.usize(0..proxies.len()),
            }
            continue;
        };
        request_number += 1;
        counts.sent.fetch_add(1, Relaxed);
        let (txn, item) = (
            format!("{client_number:08x}{request_number:08x}"),
            format!("{:016x}", rng.u64(0..400)),
        );
        let request = request_frame(
            request_number,
            "map",
            &[("txn", &txn), ("item", &item), ("slice", "0")],
            b"",
        );
        let response = connection
            .write_all(&request)
            .and_then(|()| read_frame(connection));
        match response {
            Ok((kind, stream_id, code))
                if kind == RESPONSE_FRAME && stream_id == request_number =>
            {
                match code {
                    0 => counts.satisfied.fetch_add(1, Relaxed),
                    11 => counts.rejected.fetch_add(1, Relaxed),
                    _ => counts.failed.fetch_add(1, Relaxed),
                }
            }
            // The proxy is leaving, but it still answers the request that crossed its notice.
            Ok((90, ..)) => {
                let next_frame = read_frame(connection);
                let answered = matches!(next_frame, Ok((RESPONSE_FRAME, stream_id, _)) if stream_id == request_number);
                let count = if answered {
                    &counts.satisfied
                } else {
                    &counts.connection_lost
                };
                stream = None;
                proxy = rng.usize(0..proxies.len());
                count.fetch_add(1, Relaxed)
            }
            Ok(_) => counts.unexpected.fetch_add(1, Relaxed),
            Err(e) => {
                let timed_out = matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                stream = None;
                proxy = rng.usize(0..proxies.len());
                if timed_out {
                    &counts.timed_out
                } else {
                    &counts.connection_lost
                }
                .fetch_add(1, Relaxed)
            }
        };
        let next_request_at = Instant::now() + mean_pause.mul_f64(0.5 + rng.f64());
        while Instant::now() < next_request_at && !stopping.load(Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Reads the next frame and returns its kind, its stream identifier and its code.
///
/// # Errors
///
/// If the connection ends, the read times out or the length of the frame is not valid.
pub fn read_frame(stream: &mut TcpStream) -> std::io::Result<(u8, u32, u8)> {
    let mut head = [0; 9];
    stream.read_exact(&mut head)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if !(5..1 << 20).contains(&length) {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut payload = vec![0; length - 5];
    stream.read_exact(&mut payload)?;
    let stream_id = u32::from_le_bytes([head[5], head[6], head[7], head[8]]);
    Ok((
        head[4],
        stream_id,
        payload.first().copied().unwrap_or(u8::MAX),
    ))
}
