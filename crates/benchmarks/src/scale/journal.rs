//! The list of caches and the purges from the journal service: what a front takes in, and what serving many watchers
//! costs a stand-in of that service. The real service is not ours; its work is at least what the stand-in's sockets need.

use super::fit::Point;
use super::meter::thread_time;
use super::process::{listed, Front, Setup};
use super::results::{Budget, Method, Role, Slope};
use super::target;
use meadowrill_test_servers::journal::Speaking;
use serde_json::{json, Value};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const RATES: [u64; 5] = [30, 60, 120, 240, 480];
const SPAN: Duration = Duration::from_secs(2);
const SETTLE: Duration = Duration::from_millis(500);
/// Purges are told in steps of this length.
const STEP: Duration = Duration::from_millis(50);
const BACKLOGS: [u64; 5] = [20_000, 40_000, 60_000, 80_000, 100_000];
const LISTS: [usize; 6] = [100, 300, 660, 1_000, 2_000, 4_000];
/// Whole lists told one after the other, as one takes less than a tick of the processor's account.
const LISTS_TOLD: u32 = 30;
const WATCHERS: [usize; 5] = [64, 128, 256, 512, 1024];
const WATCHED: Duration = Duration::from_secs(2);
/// The stand-in needs some time before it begins to send a long backlog.
const BACKLOG_BEGINS: Duration = Duration::from_secs(2);
/// A watcher whose outage lasted so long lacks this many purges.
const OUTAGE_S: f64 = 300.0;
/// A line of the journal is no longer: the bound in the front's `net/journal.rs`.
const LINE_MOST: f64 = (1 << 20) as f64;

fn purge(n: u64) -> Value {
    let name = format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    json!({"expire": {"name": name, "stamp": meadowrill_test_servers::now_ms() as u64}, "pos": n})
}

fn line(event: &Value) -> String {
    format!("{event}\n")
}

/// Bytes a second that a front is sent for so many purges a second.
fn purges(per_second: u64) -> f64 {
    let front = Front::start(Setup::default());
    sleep(SETTLE);
    let begun = Instant::now();
    let (mut told, mut bytes) = (0, 0);
    while begun.elapsed() < SPAN {
        while told < (begun.elapsed().as_secs_f64() * per_second as f64) as u64 {
            told += 1;
            let event = purge(told);
            bytes += line(&event).len();
            front.journal.tell(event);
        }
        sleep(STEP);
    }
    bytes as f64 / begun.elapsed().as_secs_f64()
}

/// Processor seconds and further resident bytes of a front that starts behind so many purges.
fn behind(backlog: u64) -> (f64, f64) {
    let empty = Front::start(Setup::default());
    let (cpu, resident) = (empty.cpu_when_idle(), empty.resident());
    drop(empty);
    let journal = Speaking::start();
    (1..=backlog).for_each(|n| journal.tell(purge(n)));
    let front = Front::start_with(Setup::default(), journal);
    sleep(BACKLOG_BEGINS);
    (
        (front.cpu_when_idle() - cpu) / 1e6,
        front.resident() - resident,
    )
}

/// Bytes of a whole list in one line, and processor seconds of a front for taking it.
fn list(count: usize) -> (f64, f64) {
    let whole = || json!({"hosts": {"complete": true, "members": listed(count)}, "pos": 2});
    let front = Front::start(Setup::default());
    let before = front.cpu_when_idle();
    (0..LISTS_TOLD).for_each(|_| front.journal.tell(whole()));
    let spent = front.cpu_when_idle() - before;
    (
        line(&whole()).len() as f64,
        spent / 1e6 / f64::from(LISTS_TOLD),
    )
}

/// Watchers that read and drop what they are told.
fn watch(address: SocketAddr, count: usize, over: &AtomicBool) -> io::Result<()> {
    let connect = |_| -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(b"tail 1\n")?;
        stream.set_nonblocking(true)?;
        Ok(stream)
    };
    let mut streams = (0..count).map(connect).collect::<io::Result<Vec<_>>>()?;
    let mut bytes = [0; 65_536];
    while !over.load(Ordering::Relaxed) {
        for stream in &mut streams {
            while matches!(stream.read(&mut bytes), Ok(n) if n > 0) {}
        }
        sleep(STEP);
    }
    Ok(())
}

/// Writes all of it to each; those that take no more are left out.
fn tell_all(streams: &mut [TcpStream], text: &[u8]) {
    for stream in streams {
        let mut left = text;
        while !left.is_empty() {
            match stream.write(left) {
                Ok(n) => left = &left[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::yield_now(),
                Err(_) => break,
            }
        }
    }
}

/// Share of a core of a stand-in that tells 120 purges a second to so many, and processor seconds for one whole list of
/// 660 caches to all of them.
fn service(watchers: usize) -> io::Result<(f64, f64)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let watching = scope.spawn(|| watch(address, watchers, &over));
        let accept = |_| -> io::Result<TcpStream> {
            let (stream, _) = listener.accept()?;
            stream.set_nonblocking(true)?;
            Ok(stream)
        };
        let mut streams = (0..watchers).map(accept).collect::<io::Result<Vec<_>>>()?;
        let (begun, cpu) = (Instant::now(), thread_time());
        let mut told = 0;
        while begun.elapsed() < WATCHED {
            let due = (begun.elapsed().as_secs_f64() * target::PURGES_PER_S) as u64;
            let text: String = (told..due).map(|n| line(&purge(n))).collect();
            told = due;
            tell_all(&mut streams, text.as_bytes());
            sleep(STEP);
        }
        let core = (thread_time() - cpu).as_secs_f64() / begun.elapsed().as_secs_f64();
        let whole = line(
            &json!({"hosts": {"complete": true, "members": listed(target::CACHES as usize)}, "pos": 2}),
        );
        let cpu = thread_time();
        tell_all(&mut streams, whole.as_bytes());
        let list = (thread_time() - cpu).as_secs_f64();
        over.store(true, Ordering::Relaxed);
        drop(streams);
        watching
            .join()
            .map_err(|_| io::Error::other("a watcher panicked"))??;
        Ok((core, list))
    })
}

fn base(name: &'static str, cost: &'static str, unit: &'static str, points: Vec<Point>) -> Slope {
    Slope {
        name,
        role: Role::Front,
        cost,
        unit,
        driver: "purges/s",
        method: Method::Processes,
        points,
        target: target::PURGES_PER_S,
        budget: Budget::None,
    }
}

/// All slopes of the journal service and its watchers.
pub(super) fn measure() -> Vec<Slope> {
    let mut slopes = Vec::new();
    let points = |seen: &[(f64, (f64, f64))], first: bool| {
        let value = |seen: (f64, f64)| if first { seen.0 } else { seen.1 };
        seen.iter()
            .map(|(x, seen)| Point {
                x: *x,
                y: value(*seen),
            })
            .collect::<Vec<_>>()
    };
    let seen = RATES
        .map(|rate| Point {
            x: rate as f64,
            y: purges(rate),
        })
        .to_vec();
    let bytes = base(
        "journal-bytes",
        "purges from the journal service, received",
        "bytes/s",
        seen,
    );
    slopes.push(Slope {
        budget: Budget::AtMost(target::BYTES_PER_S),
        ..bytes
    });

    let seen = BACKLOGS.map(|backlog| (backlog as f64, behind(backlog)));
    let of_backlog = |slope: Slope| Slope {
        driver: "purges behind (target: an outage of 300 s)",
        target: target::PURGES_PER_S * OUTAGE_S,
        ..slope
    };
    let cpu = base(
        "behind-core",
        "a start far behind, processor",
        "s",
        points(&seen, true),
    );
    let memory = base(
        "behind-memory",
        "a start far behind, resident memory",
        "bytes",
        points(&seen, false),
    );
    slopes.push(of_backlog(cpu));
    slopes.push(Slope {
        budget: Budget::AtMost(target::MEMORY_BYTES),
        ..of_backlog(memory)
    });

    let seen = LISTS.map(|count| (count as f64, list(count)));
    let of_list = |slope: Slope| Slope {
        driver: "caches",
        target: target::CACHES,
        ..slope
    };
    let bytes = base(
        "list-bytes",
        "the whole list in one line",
        "bytes",
        points(&seen, true),
    );
    slopes.push(Slope {
        budget: Budget::AtMost(LINE_MOST),
        ..of_list(bytes)
    });
    slopes.push(of_list(base(
        "list-core",
        "the whole list taken, processor",
        "s",
        points(&seen, false),
    )));

    let mut seen = Vec::new();
    for watchers in WATCHERS {
        match service(watchers) {
            Ok(figures) => seen.push((watchers as f64, figures)),
            Err(error) => println!("journal service, {watchers} watchers: not measured: {error}"),
        }
    }
    let of_watchers = |slope: Slope| Slope {
        role: Role::Journal,
        driver: "watchers",
        method: Method::StandIn,
        target: target::FRONTS,
        ..slope
    };
    let core = base(
        "service-core",
        "120 purges/s to all watchers, processor",
        "cores",
        points(&seen, true),
    );
    let list = base(
        "service-list",
        "one whole list of 660 to all, processor",
        "s",
        points(&seen, false),
    );
    slopes.push(of_watchers(core));
    slopes.push(of_watchers(list));
    slopes
}
