//! A proxy that is up and serves nobody shows it: by its readiness, two log lines and a metric. Trouble that is short, or
//! in which endpoints still take requests, shows nothing.

use meadowrill_test_servers::journal::PublishingJournal;
use meadowrill_test_servers::*;
use serde_json::{json, Value};
use std::io::BufRead;
use std::net::{Shutdown, SocketAddr};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// How long requests have to be refused before that is an outage.
const OUTAGE: Duration = Duration::from_secs(10);
/// How long an outage without requests goes on before some are asked for again.
const PAUSE: Duration = Duration::from_secs(5);
/// How long a client may wait for an order.
const LONG_MS: u32 = 18_000;

/// Between requests that are asked one behind the other.
const PACE: Duration = Duration::from_millis(5);

/// A proxy with an operators' socket, its discovery service, and a client that asks on and on.
struct Bench {
    program: Program,
    journal: PublishingJournal,
    client: Client,
    stream: u32,
    socket: PathBuf,
    _folder: tempfile::TempDir,
}

impl Bench {
    fn start(cache: SocketAddr) -> Bench {
        let folder = tempfile::tempdir().unwrap();
        let socket = folder.path().join("operators");
        let journal = PublishingJournal::start();
        let settings = format!("operators {{ socket: \"{}\" }}", socket.display());
        let mut config = config(&[("s-a", cache)], journal.address);
        config["settings"]["classes"][1]["deadline_s"] = json!(LONG_MS / 1000);
        let program = Program::with_settings_and_log(&config, &settings);
        let client = Client::new(&program);
        Bench {
            program,
            journal,
            client,
            stream: 0,
            socket,
            _folder: folder,
        }
    }

    fn lookup(&mut self) -> u8 {
        self.ask("map", 3000);
        self.client.read_response().code()
    }

    fn ask(&mut self, verb: &str, limit_ms: u32) {
        thread::sleep(PACE);
        self.stream += 1;
        self.client.write(&request_frame(
            self.stream,
            verb,
            &[("limit", &limit_ms.to_string())],
            b"",
        ));
    }

    fn tell(&self, members: &Value) {
        self.journal
            .publish(json!({"hosts": {"revision": 2, "complete": false, "members": members}}));
    }

    /// Whether there is an outage by the metric, and since when in Unix time.
    fn metric(&self) -> (f64, f64) {
        let text = program::run_operator_command(&self.socket, &["metrics"]).expect("the metrics");
        let value = |name: &str| -> f64 {
            let line = text
                .lines()
                .find_map(|line| line.strip_prefix(&format!("{name} ")));
            line.unwrap_or_else(|| panic!("no {name} in {text}"))
                .parse()
                .unwrap()
        };
        (
            value("meadowrill_front_serves_nobody"),
            value("meadowrill_front_serves_nobody_since_seconds"),
        )
    }

    /// All requests are refused until the proxy says that it is not ready.
    fn reject_until_not_ready(&mut self) {
        let (begun, begun_ms) = (Instant::now(), now_ms());
        wait_until(HANG_TIMEOUT, "not ready", || {
            assert_eq!(self.lookup(), 11);
            self.client.readiness() != 0
        });
        assert!(begun.elapsed() >= OUTAGE, "{:?}", begun.elapsed());
        let (outage, since) = self.metric();
        let times = begun_ms as f64 / 1e3 - 0.001..=now_ms() as f64 / 1e3;
        assert!(
            outage == 1.0 && times.contains(&since),
            "{outage}, {since}, {times:?}"
        );
    }

    /// Requests are served again, and with the first of them all is as it was.
    fn recovers(&mut self) {
        wait_until(HANG_TIMEOUT, "served", || self.lookup() == 0);
        assert_eq!(self.client.readiness(), 0);
        assert_eq!(self.metric(), (0.0, 0.0));
    }

    /// How often the log said that the proxy serves nobody, and that it serves again.
    fn told(mut self) -> (usize, usize) {
        self.program.terminate();
        drop(self.client);
        let log = self.program.log.take().unwrap();
        let lines: Vec<String> = log.lines().map_while(Result::ok).collect();
        let count = |what: &str| lines.iter().filter(|line| line.contains(what)).count();
        (
            count("no endpoint has accepted a request; reporting not ready"),
            count("endpoints accept requests again; reporting ready"),
        )
    }
}

#[test]
fn with_no_endpoint_listed_it_is_not_ready_but_for_an_occasional_trial() {
    let cache = Cache::start(ok(b"fine"));
    let mut bench = Bench::start(cache.address);
    assert_eq!((bench.lookup(), bench.client.readiness()), (0, 0));
    let none = ["s-a", "s-p", "s-o"].map(|id| json!({"id": id, "phase": "DELETED"}));
    bench.tell(&json!(none));
    wait_until(HANG_TIMEOUT, "refused", || bench.lookup() == 11);
    bench.reject_until_not_ready();
    // With no requests for a while they are asked for again, and the first that is refused is enough.
    let quiet = Instant::now();
    wait_until(HANG_TIMEOUT, "ready for a trial", || {
        bench.client.readiness() == 0
    });
    assert!(
        quiet.elapsed() + Duration::from_millis(100) >= PAUSE,
        "{:?}",
        quiet.elapsed()
    );
    assert_eq!((bench.lookup(), bench.client.readiness()), (11, 1));
    assert_eq!(bench.metric().0, 1.0);
    bench.tell(&json!([member("s-b", "std", cache.address, "SERVING")]));
    bench.recovers();
    assert_eq!(bench.told(), (1, 1));
}

#[test]
fn with_no_endpoint_that_accepts_connections_it_is_not_ready() {
    let mut bench = Bench::start("127.0.0.1:1".parse().unwrap());
    assert_eq!(bench.client.readiness(), 0);
    bench.reject_until_not_ready();
    let cache = Cache::start(ok(b"fine"));
    bench.tell(&json!([member("s-b", "std", cache.address, "SERVING")]));
    bench.recovers();
    assert_eq!(bench.told(), (1, 1));
}

#[test]
fn with_no_endpoint_that_accepts_requests_it_is_not_ready() {
    let cache = Cache::start(http_response("503 Full", "X-Not-Run: 1\r\n", b""));
    let mut bench = Bench::start(cache.address);
    bench.reject_until_not_ready();
    cache.set_behavior(ok(b"fine"));
    bench.recovers();
    assert_eq!(bench.told(), (1, 1));
}

/// Nothing is served for longer than an outage takes, but endpoints take requests.
fn stays_ready(does: CacheBehavior) {
    let cache = Cache::start(does);
    let mut bench = Bench::start(cache.address);
    let begun = Instant::now();
    while begun.elapsed() < OUTAGE + Duration::from_secs(2) {
        bench.ask("map", 200);
        assert_ne!(bench.client.read_response().code(), 0);
        assert_eq!(bench.client.readiness(), 0, "after {:?}", begun.elapsed());
    }
    assert_eq!(bench.metric(), (0.0, 0.0));
    assert_eq!(bench.told(), (0, 0));
}

#[test]
fn with_endpoints_that_accept_requests_and_stay_silent_it_is_ready() {
    stays_ready(CacheBehavior::Ignore);
}

#[test]
fn with_endpoints_that_miss_all_it_is_ready() {
    stays_ready(http_response("404 Not Found", "", b""));
}

#[test]
fn with_a_request_accepted_and_still_in_flight_it_is_ready() {
    let full = || http_response("503 Full", "X-Not-Run: 1\r\n", b"");
    let cache = Cache::start(full());
    let mut bench = Bench::start(cache.address);
    let begun = Instant::now();
    assert_eq!(bench.lookup(), 11);
    cache.set_behavior(CacheBehavior::Ignore);
    // One that is let through stays open for longer than an outage takes.
    bench.ask("order", LONG_MS);
    wait_until(HANG_TIMEOUT, "taken", || {
        cache.next_request().1.contains("/data/order/")
    });
    cache.set_behavior(full());
    while begun.elapsed() < OUTAGE + Duration::from_secs(2) {
        assert_eq!(bench.lookup(), 11);
        assert_eq!(bench.client.readiness(), 0, "after {:?}", begun.elapsed());
    }
    assert_eq!(bench.told(), (0, 0));
}

#[test]
fn requests_rejected_because_of_their_client_are_no_outage() {
    let mut peer = ScriptedPeer::listen();
    peer.fill_accept_queue();
    let mut bench = Bench::start(peer.address);
    let begun = Instant::now();
    while begun.elapsed() < OUTAGE + Duration::from_secs(2) {
        thread::sleep(10 * PACE);
        let mut client = Client::new(&bench.program);
        assert_eq!(client.lookup(1, "nobodys").code(), 5);
        // Its client ends its side before the connection to the endpoint is up.
        client.write(&request_frame(2, "order", &[], b""));
        assert_eq!((client.readiness(), client.readiness()), (0, 0));
        client.0.shutdown(Shutdown::Write).unwrap();
        let rest: Vec<Frame> = std::iter::from_fn(|| client.read_frame())
            .filter(|f| f.kind == 66)
            .collect();
        assert_eq!(
            rest.iter()
                .map(|f| (f.stream, f.code()))
                .collect::<Vec<_>>(),
            [(2, 11)]
        );
        assert_eq!(bench.client.readiness(), 0, "after {:?}", begun.elapsed());
    }
    assert_eq!(bench.metric(), (0.0, 0.0));
    assert_eq!(bench.told(), (0, 0));
}

#[test]
fn an_interruption_shorter_than_an_outage_is_none() {
    let cache = Cache::start(http_response("503 Full", "X-Not-Run: 1\r\n", b""));
    let mut bench = Bench::start(cache.address);
    for _ in 0..2 {
        cache.set_behavior(http_response("503 Full", "X-Not-Run: 1\r\n", b""));
        wait_until(HANG_TIMEOUT, "refused", || bench.lookup() == 11);
        let begun = Instant::now();
        while begun.elapsed() < OUTAGE - Duration::from_secs(2) {
            bench.lookup();
            assert_eq!(bench.client.readiness(), 0);
        }
        cache.set_behavior(ok(b"fine"));
        bench.recovers();
    }
    assert_eq!(bench.told(), (0, 0));
}
