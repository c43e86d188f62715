//! An outage, during which no endpoint accepts any request, is reported by the readiness answer, by a log line at its
//! start and its end, and by a metric. Nothing is reported for short interruptions, or while endpoints accept requests.

use meadowrill_test_servers::journal::PublishingJournal;
use meadowrill_test_servers::*;
use serde_json::{json, Value};
use std::io::BufRead;
use std::net::{Shutdown, SocketAddr};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// How long all requests have to be refused before that is an outage.
const OUTAGE_AFTER: Duration = Duration::from_secs(10);
/// How long no request may arrive during an outage before the proxy reports that it is ready, to receive some again.
const QUIET_PERIOD: Duration = Duration::from_secs(5);
/// Time limit of requests of the class `order`, in milliseconds.
const ORDER_LIMIT_MS: u32 = 18_000;

/// Pause before each request of the client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// A proxy with an operator socket, its discovery service, and a client that sends requests continuously.
struct Fixture {
    program: Program,
    journal: PublishingJournal,
    client: Client,
    stream: u32,
    socket: PathBuf,
    _folder: tempfile::TempDir,
}

impl Fixture {
    fn start(cache: SocketAddr) -> Fixture {
        let folder = tempfile::tempdir().unwrap();
        let socket = folder.path().join("operators");
        let journal = PublishingJournal::start();
        let settings = format!("operators {{ socket: \"{}\" }}", socket.display());
        let mut config = config(&[("s-a", cache)], journal.address);
        config["settings"]["classes"][1]["deadline_s"] = json!(ORDER_LIMIT_MS / 1000);
        let program = Program::with_settings_and_log(&config, &settings);
        let client = Client::new(&program);
        Fixture {
            program,
            journal,
            client,
            stream: 0,
            socket,
            _folder: folder,
        }
    }

    fn lookup(&mut self) -> u8 {
        self.send_request("map", 3000);
        self.client.read_response().code()
    }

    fn send_request(&mut self, verb: &str, limit_ms: u32) {
        thread::sleep(REQUEST_INTERVAL);
        self.stream += 1;
        self.client.write(&request_frame(
            self.stream,
            verb,
            &[("limit", &limit_ms.to_string())],
            b"",
        ));
    }

    fn publish_members(&self, members: &Value) {
        self.journal
            .publish(json!({"hosts": {"revision": 2, "complete": false, "members": members}}));
    }

    /// Whether the metrics report an outage, and its start in Unix time.
    fn outage_metrics(&self) -> (f64, f64) {
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

    /// Sends requests, which must all be refused, until the proxy reports that it is not ready.
    fn reject_until_not_ready(&mut self) {
        let (begun, begun_ms) = (Instant::now(), now_ms());
        wait_until(HANG_TIMEOUT, "the proxy is not ready", || {
            assert_eq!(self.lookup(), 11);
            self.client.readiness() != 0
        });
        assert!(begun.elapsed() >= OUTAGE_AFTER, "{:?}", begun.elapsed());
        let (outage, since) = self.outage_metrics();
        let times = begun_ms as f64 / 1e3 - 0.001..=now_ms() as f64 / 1e3;
        assert!(
            outage == 1.0 && times.contains(&since),
            "{outage}, {since}, {times:?}"
        );
    }

    /// Waits until a request is served. The first one ends the outage: the proxy is ready, and the metrics are reset.
    fn assert_recovery(&mut self) {
        wait_until(HANG_TIMEOUT, "a request is served", || self.lookup() == 0);
        assert_eq!(self.client.readiness(), 0);
        assert_eq!(self.outage_metrics(), (0.0, 0.0));
    }

    /// Stops the proxy and returns how often its log reported the start and the end of an outage.
    fn into_outage_log_counts(mut self) -> (usize, usize) {
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
fn with_no_endpoint_listed_it_is_not_ready_except_after_a_quiet_period() {
    let cache = Cache::start(ok(b"fine"));
    let mut fixture = Fixture::start(cache.address);
    assert_eq!((fixture.lookup(), fixture.client.readiness()), (0, 0));
    let deleted = ["s-a", "s-p", "s-o"].map(|id| json!({"id": id, "phase": "DELETED"}));
    fixture.publish_members(&json!(deleted));
    wait_until(HANG_TIMEOUT, "a request is refused", || {
        fixture.lookup() == 11
    });
    fixture.reject_until_not_ready();
    // After a pause without requests the proxy is ready again, until the first request is refused.
    let quiet_since = Instant::now();
    wait_until(HANG_TIMEOUT, "the proxy is ready after a pause", || {
        fixture.client.readiness() == 0
    });
    assert!(
        quiet_since.elapsed() + Duration::from_millis(100) >= QUIET_PERIOD,
        "{:?}",
        quiet_since.elapsed()
    );
    assert_eq!((fixture.lookup(), fixture.client.readiness()), (11, 1));
    assert_eq!(fixture.outage_metrics().0, 1.0);
    fixture.publish_members(&json!([member("s-b", "std", cache.address, "SERVING")]));
    fixture.assert_recovery();
    assert_eq!(fixture.into_outage_log_counts(), (1, 1));
}

#[test]
fn with_no_endpoint_that_accepts_connections_it_is_not_ready() {
    let mut fixture = Fixture::start("127.0.0.1:1".parse().unwrap());
    assert_eq!(fixture.client.readiness(), 0);
    fixture.reject_until_not_ready();
    let cache = Cache::start(ok(b"fine"));
    fixture.publish_members(&json!([member("s-b", "std", cache.address, "SERVING")]));
    fixture.assert_recovery();
    assert_eq!(fixture.into_outage_log_counts(), (1, 1));
}

#[test]
fn with_no_endpoint_that_accepts_requests_it_is_not_ready() {
    let cache = Cache::start(http_response("503 Full", "X-Not-Run: 1\r\n", b""));
    let mut fixture = Fixture::start(cache.address);
    fixture.reject_until_not_ready();
    cache.set_behavior(ok(b"fine"));
    fixture.assert_recovery();
    assert_eq!(fixture.into_outage_log_counts(), (1, 1));
}

/// No request is served for longer than [`OUTAGE_AFTER`], but endpoints accept requests.
fn stays_ready(behavior: CacheBehavior) {
    let cache = Cache::start(behavior);
    let mut fixture = Fixture::start(cache.address);
    let begun = Instant::now();
    while begun.elapsed() < OUTAGE_AFTER + Duration::from_secs(2) {
        fixture.send_request("map", 200);
        assert_ne!(fixture.client.read_response().code(), 0);
        assert_eq!(fixture.client.readiness(), 0, "after {:?}", begun.elapsed());
    }
    assert_eq!(fixture.outage_metrics(), (0.0, 0.0));
    assert_eq!(fixture.into_outage_log_counts(), (0, 0));
}

#[test]
fn with_endpoints_that_accept_requests_and_stay_silent_it_is_ready() {
    stays_ready(CacheBehavior::Ignore);
}

#[test]
fn with_endpoints_that_answer_not_found_it_is_ready() {
    stays_ready(http_response("404 Not Found", "", b""));
}

#[test]
fn with_a_request_accepted_and_still_in_flight_it_is_ready() {
    let full = || http_response("503 Full", "X-Not-Run: 1\r\n", b"");
    let cache = Cache::start(full());
    let mut fixture = Fixture::start(cache.address);
    let begun = Instant::now();
    assert_eq!(fixture.lookup(), 11);
    cache.set_behavior(CacheBehavior::Ignore);
    // The endpoint accepts this request, which stays open for longer than `OUTAGE_AFTER`.
    fixture.send_request("order", ORDER_LIMIT_MS);
    wait_until(HANG_TIMEOUT, "the endpoint received the order", || {
        cache.next_request().1.contains("/data/order/")
    });
    cache.set_behavior(full());
    while begun.elapsed() < OUTAGE_AFTER + Duration::from_secs(2) {
        assert_eq!(fixture.lookup(), 11);
        assert_eq!(fixture.client.readiness(), 0, "after {:?}", begun.elapsed());
    }
    assert_eq!(fixture.into_outage_log_counts(), (0, 0));
}

#[test]
fn requests_rejected_because_of_their_client_are_no_outage() {
    let mut peer = ScriptedPeer::listen();
    peer.fill_accept_queue();
    let mut fixture = Fixture::start(peer.address);
    let begun = Instant::now();
    while begun.elapsed() < OUTAGE_AFTER + Duration::from_secs(2) {
        thread::sleep(10 * REQUEST_INTERVAL);
        let mut client = Client::new(&fixture.program);
        assert_eq!(client.lookup(1, "unknown").code(), 5);
        // The client shuts down its sending direction before the connection to the endpoint is established.
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
        assert_eq!(fixture.client.readiness(), 0, "after {:?}", begun.elapsed());
    }
    assert_eq!(fixture.outage_metrics(), (0.0, 0.0));
    assert_eq!(fixture.into_outage_log_counts(), (0, 0));
}

#[test]
fn an_interruption_shorter_than_the_outage_threshold_is_not_reported() {
    let cache = Cache::start(http_response("503 Full", "X-Not-Run: 1\r\n", b""));
    let mut fixture = Fixture::start(cache.address);
    for _ in 0..2 {
        cache.set_behavior(http_response("503 Full", "X-Not-Run: 1\r\n", b""));
        wait_until(HANG_TIMEOUT, "a request is refused", || {
            fixture.lookup() == 11
        });
        let begun = Instant::now();
        while begun.elapsed() < OUTAGE_AFTER - Duration::from_secs(2) {
            fixture.lookup();
            assert_eq!(fixture.client.readiness(), 0);
        }
        cache.set_behavior(ok(b"fine"));
        fixture.assert_recovery();
    }
    assert_eq!(fixture.into_outage_log_counts(), (0, 0));
}
