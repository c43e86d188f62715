//! Endpoint lists and purges from the journal service: the cost for a proxy that receives them, and the cost for a test
//! server that sends them to many watchers. The real service is not part of this project; it needs at least as much
//! processor time as the test server needs for its sockets.

use super::fit::Point;
use super::meter::thread_time;
use super::process::{list_members, ProxyProcess, ProxySetup};
use super::results::{Budget, Method, Role, Slope};
use super::target;
use meadowrill_test_servers::journal::PublishingJournal;
use serde_json::{json, Value};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const PURGE_RATES: [u64; 5] = [30, 60, 120, 240, 480];
const MEASURE_TIME: Duration = Duration::from_secs(2);
const WARM_UP: Duration = Duration::from_millis(500);
/// Time between two batches of purges, and between two reads of a watcher.
const STEP: Duration = Duration::from_millis(50);
const BACKLOGS: [u64; 5] = [20_000, 40_000, 60_000, 80_000, 100_000];
const LIST_SIZES: [usize; 6] = [100, 300, 660, 1_000, 2_000, 4_000];
/// Number of complete lists that are sent one after the other, because one takes less than a tick of processor time.
const LISTS_SENT: u32 = 30;
const WATCHERS: [usize; 5] = [64, 128, 256, 512, 1024];
const SERVICE_TIME: Duration = Duration::from_secs(2);
/// The time that the test server may need before it begins to send a long backlog.
const BACKLOG_DELAY: Duration = Duration::from_secs(2);
/// Length of an outage after which a watcher lacks the purges of that time.
const OUTAGE_S: f64 = 300.0;
/// The longest line that a proxy accepts from the journal service, as in its `net/discovery.rs`.
const MAX_LINE_BYTES: f64 = (1 << 20) as f64;

fn purge(n: u64) -> Value {
    let name = format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    json!({"expire": {"name": name, "stamp": meadowrill_test_servers::now_ms() as u64}, "pos": n})
}

fn line(event: &Value) -> String {
    format!("{event}\n")
}

/// Bytes a second that are sent to a proxy for a rate of purges.
fn bytes_per_s(purges_per_s: u64) -> f64 {
    let proxy = ProxyProcess::start(ProxySetup::default());
    sleep(WARM_UP);
    let started_at = Instant::now();
    let (mut sent, mut bytes) = (0, 0);
    while started_at.elapsed() < MEASURE_TIME {
        while sent < (started_at.elapsed().as_secs_f64() * purges_per_s as f64) as u64 {
            sent += 1;
            let event = purge(sent);
            bytes += line(&event).len();
            proxy.journal.publish(event);
        }
        sleep(STEP);
    }
    bytes as f64 / started_at.elapsed().as_secs_f64()
}

/// Processor seconds and additional resident bytes of a proxy that starts with a backlog of purges.
fn catch_up_costs(backlog: u64) -> (f64, f64) {
    let without_backlog = ProxyProcess::start(ProxySetup::default());
    let (cpu, resident) = (
        without_backlog.cpu_us_when_idle(),
        without_backlog.resident_bytes(),
    );
    drop(without_backlog);
    let journal = PublishingJournal::start();
    (1..=backlog).for_each(|n| journal.publish(purge(n)));
    let proxy = ProxyProcess::start_with(ProxySetup::default(), journal);
    sleep(BACKLOG_DELAY);
    (
        (proxy.cpu_us_when_idle() - cpu) / 1e6,
        proxy.resident_bytes() - resident,
    )
}

/// Bytes of the line of a complete list, and processor seconds of a proxy to apply it.
fn list_costs(count: usize) -> (f64, f64) {
    let list_event =
        || json!({"hosts": {"complete": true, "members": list_members(count)}, "pos": 2});
    let proxy = ProxyProcess::start(ProxySetup::default());
    let before = proxy.cpu_us_when_idle();
    (0..LISTS_SENT).for_each(|_| proxy.journal.publish(list_event()));
    let cpu_us = proxy.cpu_us_when_idle() - before;
    (
        line(&list_event()).len() as f64,
        cpu_us / 1e6 / f64::from(LISTS_SENT),
    )
}

/// Connects `count` watchers, which read and discard all events until `stop` is set.
fn watch(address: SocketAddr, count: usize, stop: &AtomicBool) -> io::Result<()> {
    let connect = |_| -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(b"tail 1\n")?;
        stream.set_nonblocking(true)?;
        Ok(stream)
    };
    let mut streams = (0..count).map(connect).collect::<io::Result<Vec<_>>>()?;
    let mut bytes = [0; 65_536];
    while !stop.load(Ordering::Relaxed) {
        for stream in &mut streams {
            while matches!(stream.read(&mut bytes), Ok(n) if n > 0) {}
        }
        sleep(STEP);
    }
    Ok(())
}

/// Writes `text` to each stream, and waits where a buffer is full. A stream that fails is skipped.
fn send_to_all(streams: &mut [TcpStream], text: &[u8]) {
    for stream in streams {
        let mut remaining = text;
        while !remaining.is_empty() {
            match stream.write(remaining) {
                Ok(n) => remaining = &remaining[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::yield_now(),
                Err(_) => break,
            }
        }
    }
}

/// Share of a core of a test server that sends 120 purges a second to `watchers` watchers, and its processor seconds to
/// send one complete list of 660 caches to all of them.
fn service_costs(watchers: usize) -> io::Result<(f64, f64)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let watcher_thread = scope.spawn(|| watch(address, watchers, &stop));
        let accept = |_| -> io::Result<TcpStream> {
            let (stream, _) = listener.accept()?;
            stream.set_nonblocking(true)?;
            Ok(stream)
        };
        let mut streams = (0..watchers).map(accept).collect::<io::Result<Vec<_>>>()?;
        let (started_at, cpu) = (Instant::now(), thread_time());
        let mut sent = 0;
        while started_at.elapsed() < SERVICE_TIME {
            let due = (started_at.elapsed().as_secs_f64() * target::PURGES_PER_S) as u64;
            let text: String = (sent..due).map(|n| line(&purge(n))).collect();
            sent = due;
            send_to_all(&mut streams, text.as_bytes());
            sleep(STEP);
        }
        let core = (thread_time() - cpu).as_secs_f64() / started_at.elapsed().as_secs_f64();
        let list = line(
            &json!({"hosts": {"complete": true, "members": list_members(target::CACHES as usize)}, "pos": 2}),
        );
        let cpu = thread_time();
        send_to_all(&mut streams, list.as_bytes());
        let list_s = (thread_time() - cpu).as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        drop(streams);
        watcher_thread
            .join()
            .map_err(|_| io::Error::other("a watcher panicked"))??;
        Ok((core, list_s))
    })
}

fn base_slope(
    name: &'static str,
    cost: &'static str,
    unit: &'static str,
    points: Vec<Point>,
) -> Slope {
    Slope {
        name,
        role: Role::Proxy,
        cost,
        unit,
        driver: "purges/s",
        method: Method::Processes,
        points,
        target: target::PURGES_PER_S,
        budget: Budget::None,
    }
}

/// The slopes of the journal service and its watchers.
pub(super) fn measure() -> Vec<Slope> {
    let mut slopes = Vec::new();
    let points = |measured: &[(f64, (f64, f64))], first: bool| {
        let value = |pair: (f64, f64)| if first { pair.0 } else { pair.1 };
        measured
            .iter()
            .map(|(x, pair)| Point {
                x: *x,
                y: value(*pair),
            })
            .collect::<Vec<_>>()
    };
    let measured = PURGE_RATES
        .map(|rate| Point {
            x: rate as f64,
            y: bytes_per_s(rate),
        })
        .to_vec();
    let bytes = base_slope(
        "journal-bytes",
        "purges from the journal service, received",
        "bytes/s",
        measured,
    );
    slopes.push(Slope {
        budget: Budget::AtMost(target::BYTES_PER_S),
        ..bytes
    });

    let measured = BACKLOGS.map(|backlog| (backlog as f64, catch_up_costs(backlog)));
    let of_backlog = |slope: Slope| Slope {
        driver: "purges behind (target: an outage of 300 s)",
        target: target::PURGES_PER_S * OUTAGE_S,
        ..slope
    };
    let cpu = base_slope(
        "behind-core",
        "a start far behind, processor",
        "s",
        points(&measured, true),
    );
    let memory = base_slope(
        "behind-memory",
        "a start far behind, resident memory",
        "bytes",
        points(&measured, false),
    );
    slopes.push(of_backlog(cpu));
    slopes.push(Slope {
        budget: Budget::AtMost(target::MEMORY_BYTES),
        ..of_backlog(memory)
    });

    let measured = LIST_SIZES.map(|count| (count as f64, list_costs(count)));
    let of_list = |slope: Slope| Slope {
        driver: "caches",
        target: target::CACHES,
        ..slope
    };
    let bytes = base_slope(
        "list-bytes",
        "the whole list in one line",
        "bytes",
        points(&measured, true),
    );
    slopes.push(Slope {
        budget: Budget::AtMost(MAX_LINE_BYTES),
        ..of_list(bytes)
    });
    slopes.push(of_list(base_slope(
        "list-core",
        "the whole list taken, processor",
        "s",
        points(&measured, false),
    )));

    let mut measured = Vec::new();
    for watchers in WATCHERS {
        match service_costs(watchers) {
            Ok(costs) => measured.push((watchers as f64, costs)),
            Err(error) => println!("journal service, {watchers} watchers: not measured: {error}"),
        }
    }
    let of_watchers = |slope: Slope| Slope {
        role: Role::Journal,
        driver: "watchers",
        method: Method::TestServer,
        target: target::PROXIES,
        ..slope
    };
    let core = base_slope(
        "service-core",
        "120 purges/s to all watchers, processor",
        "cores",
        points(&measured, true),
    );
    let list = base_slope(
        "service-list",
        "one whole list of 660 to all, processor",
        "s",
        points(&measured, false),
    );
    slopes.push(of_watchers(core));
    slopes.push(of_watchers(list));
    slopes
}
