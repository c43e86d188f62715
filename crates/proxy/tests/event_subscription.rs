//! Purges that relays distribute, with real processes: a publisher, relays and proxies, with test servers for caches
//! and the discovery service. The tests of the protocol itself are in `meadowrill-event-distribution`.

use meadowrill_test_servers::journal::PublishingJournal;
use meadowrill_test_servers::program::{
    proxy_binary, run_operator_command, unique_loopback_address,
};
use meadowrill_test_servers::*;
use serde_json::{json, Value};
use std::io::BufRead;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An object that no purge in these tests names.
const OTHER_OBJECT: &str = "00000000000000aa";
/// The default value in the settings.
const COPY_AGE_MS: u64 = 2_000;
/// Position of the event that is part of the initial configuration.
const INITIAL_POSITION: u64 = 1;
/// The relay that publishes.
const PUBLISHER: usize = 0;
/// How long to wait for a connection before the condition is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A free address that no other test uses, for datagrams or for streams.
fn unused_address() -> SocketAddr {
    UdpSocket::bind((unique_loopback_address(), 0))
        .and_then(|socket| socket.local_addr())
        .unwrap()
}

/// The output of a command on an operator socket; empty if the command fails.
fn operator_output(socket: &Path, arguments: &[&str]) -> String {
    run_operator_command(socket, arguments).unwrap_or_default()
}

/// The output of `fleet SOCKET events --json`; null if the command fails.
fn event_status(socket: &Path) -> Value {
    serde_json::from_str(&operator_output(socket, &["fleet", "events", "--json"]))
        .unwrap_or_default()
}

fn purge_of(item: &str) -> Value {
    json!({"expire": {"name": item, "stamp": now_ms() as u64}})
}

/// Relays and their environment. One of them publishes the events of a discovery service.
struct Site {
    folder: tempfile::TempDir,
    service: PublishingJournal,
    service_address: SocketAddr,
    /// The discovery service of the proxies; it sends no events.
    silent_service: Journal,
    relays: Vec<SocketAddr>,
}

impl Site {
    fn new(relays: usize) -> Site {
        let service = PublishingJournal::start();
        Site {
            folder: tempfile::tempdir().unwrap(),
            service_address: service.address,
            service,
            silent_service: Journal::start(),
            relays: (0..relays).map(|_| unused_address()).collect(),
        }
    }

    fn socket(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.sock"))
    }

    /// The part of the settings that all processes share.
    fn events_settings(&self) -> String {
        let relay = |(n, address): (usize, &SocketAddr)| {
            let publishes = n == PUBLISHER;
            format!("relay {{ name: \"r{n}\" address: \"{address}\" publishes: {publishes} }}")
        };
        let relays: Vec<String> = self.relays.iter().enumerate().map(relay).collect();
        format!("events {{ {} }}", relays.join("\n"))
    }

    fn relay_settings(&self, n: usize) -> String {
        let publish = format!(
            "publish {{ journal: \"{}\" after: {INITIAL_POSITION} }}",
            self.service_address
        );
        let publish = if n == PUBLISHER {
            publish
        } else {
            String::new()
        };
        format!(
            "operators {{ socket: \"{}\" }}\nfleet {{ listen: \"{}\"\n{}\nrelay {{ name: \"r{n}\" {publish} }} }}",
            self.socket(&format!("r{n}")).display(),
            self.relays[n],
            self.events_settings(),
        )
    }

    fn relay(&self, n: usize) -> Program {
        Program::relay(&self.relay_settings(n))
    }

    fn all_relays(&self) -> Vec<Program> {
        (0..self.relays.len()).map(|n| self.relay(n)).collect()
    }

    /// A proxy that receives purges only from relays.
    fn proxy(&self, name: &str) -> TestProxy {
        let fleet = format!(
            "listen: \"{}\" {}",
            unused_address(),
            self.events_settings()
        );
        TestProxy::start(name, self.socket(name), &fleet, self.silent_service.address)
    }

    /// A proxy that holds a lease.
    fn proxy_with_lease(&self, name: &str) -> TestProxy {
        let proxy = self.proxy(name);
        wait_until(HANG_TIMEOUT, "a lease", || proxy.has_lease());
        proxy
    }

    /// The number of purges that are in force everywhere, as the publisher reports it.
    fn in_force(&self) -> u64 {
        event_status(&self.socket("r0"))["in_force"]
            .as_u64()
            .unwrap_or(0)
    }
}

/// A proxy with one cache and one client. The client connects with its first request, because proxies close idle
/// connections.
struct TestProxy {
    program: Program,
    socket: PathBuf,
    cache: Rc<Cache>,
    client: Option<Client>,
    streams: std::ops::RangeFrom<u32>,
}

impl TestProxy {
    fn start(name: &str, socket: PathBuf, fleet: &str, journal: SocketAddr) -> TestProxy {
        TestProxy::with_cache(
            Rc::new(Cache::start(ok(b"fine"))),
            name,
            socket,
            fleet,
            journal,
        )
    }

    fn with_cache(
        cache: Rc<Cache>,
        name: &str,
        socket: PathBuf,
        fleet: &str,
        journal: SocketAddr,
    ) -> TestProxy {
        let mut config = config(&[("s-a", cache.address)], journal);
        config["name"] = name.into();
        let settings = format!(
            "operators {{ socket: \"{}\" }}\nfleet {{ {fleet} }}",
            socket.display()
        );
        let program = Program::with_settings(&config, &settings);
        TestProxy {
            program,
            socket,
            cache,
            client: None,
            streams: 1..,
        }
    }

    fn has_lease(&self) -> bool {
        event_status(&self.socket)["lease_left_us"].is_i64()
    }

    /// Writes a request without waiting for its response.
    fn send_request(&mut self, item: &str) {
        let stream = self.streams.next().expect("a stream");
        let client = self
            .client
            .get_or_insert_with(|| Client::new(&self.program));
        client.write(&request_frame(stream, "map", &[("item", item)], b""));
    }

    /// The maximum age of a copy that the cache received with the last request.
    fn next_age_bound(&mut self) -> Option<u64> {
        let client = self.client.as_mut().expect("a client");
        assert_eq!(client.read_response().code(), 0);
        header(&self.cache.next_request().1, "Oldest-Ms").map(|ms| ms.parse().unwrap())
    }

    fn age_bound(&mut self, item: &str) -> Option<u64> {
        self.send_request(item);
        self.next_age_bound()
    }
}

#[test]
#[allow(clippy::too_many_lines, reason = "one sequence of steps")]
fn an_invalidation_that_the_publisher_reports_done_bounds_copies_at_both_proxies() {
    let site = Site::new(3);
    let _relays = site.all_relays();
    let mut proxies = [site.proxy_with_lease("n1"), site.proxy_with_lease("n2")];
    for proxy in &mut proxies {
        assert_eq!(proxy.age_bound(OBJECT), None);
    }
    let purged = now_ms();
    // An event with both an object and a group applies to the object only. The other object is also in the group.
    site.service
        .publish(json!({"expire": {"name": OBJECT, "set": 17, "stamp": purged as u64}}));
    wait_until(HANG_TIMEOUT, "done", || site.in_force() == 1);
    // From the first request after the publisher reports the purge as in force, no copy may be older than the purge.
    for proxy in &mut proxies {
        let bound = proxy.age_bound(OBJECT).expect("a bound");
        let since = (now_ms() - purged) as u64;
        assert!(bound <= since, "{bound} ms, purged {since} ms ago");
        assert!(proxy.has_lease());
        assert_eq!(proxy.age_bound(OTHER_OBJECT), None);
        let status = event_status(&proxy.socket);
        assert_eq!(
            (&status["role"], &status["lag"]),
            (&json!("front"), &json!(0))
        );
        assert_eq!(status["watermark"]["position"], 1);
        let metrics = operator_output(&proxy.socket, &["metrics"]);
        for line in [
            "meadowrill_events_lease_held 1.0",
            "meadowrill_events_watermark 1.0",
        ] {
            assert!(
                metrics.contains(line),
                "{line} is not in the metrics:\n{metrics}"
            );
        }
        assert_eq!(metrics.matches("# EOF").count(), 1);
    }
    // A purge of a group applies to all objects in it.
    site.service
        .publish(json!({"expire": {"set": 17, "stamp": now_ms() as u64}}));
    wait_until(HANG_TIMEOUT, "done", || site.in_force() == 2);
    for proxy in &mut proxies {
        assert!(proxy.age_bound(OTHER_OBJECT).is_some());
    }
    let publisher = site.socket("r0");
    let status = event_status(&publisher);
    assert_eq!(
        (&status["role"], &status["name"]),
        (&json!("publisher"), &json!("r0"))
    );
    assert_eq!(status["done"], status["head"]);
    assert_eq!(status["done_age_us"], 0);
    assert!(status["behind_us"].is_null(), "{status}");
    // A subscriber that has switched to another relay is listed as late for some seconds.
    wait_until(HANG_TIMEOUT, "no subscriber is late", || {
        event_status(&publisher)["late"] == json!([])
    });
    assert!(operator_output(&publisher, &["fleet", "events"]).contains("done          2 of epoch"));
    let metrics = operator_output(&publisher, &["metrics"]);
    for line in [
        "meadowrill_events_done 2.0",
        "meadowrill_events_in_force_seconds_count 2",
    ] {
        assert!(
            metrics.contains(line),
            "{line} is not in the metrics:\n{metrics}"
        );
    }
    // A relay follows the publisher, or for some seconds the other relay.
    wait_until(HANG_TIMEOUT, "the relay has received all events", || {
        let relay = event_status(&site.socket("r1"));
        assert_eq!(relay["role"], "relay");
        assert!(
            relay["done"].is_null() && relay["upstream"]["relay"] != "r1",
            "{relay}"
        );
        relay["upstream"]["watermark"] == status["head"]
    });
}

#[test]
fn a_proxy_stopped_beyond_its_lease_bounds_copies_in_its_first_request() {
    let site = Site::new(2);
    let relays = site.all_relays();
    let mut proxy = site.proxy_with_lease("n1");
    assert_eq!(proxy.age_bound(OBJECT), None);
    proxy.program.pause();
    wait_until(
        HANG_TIMEOUT,
        "the relay of the paused proxy reports that its lease has expired, and no other relay has granted one",
        || {
            let statuses: Vec<Value> = (0..relays.len())
                .map(|n| event_status(&site.socket(&format!("r{n}"))))
                .collect();
            let has_expired =
                |late: &Value| late["name"] == "n1" && late["lease_left_us"].is_null();
            let is_late = |status: &Value| {
                status["late"]
                    .as_array()
                    .is_some_and(|late| late.iter().any(has_expired))
            };
            // The second relay holds a lease from the publisher.
            statuses[PUBLISHER]["leased"] == 1
                && statuses[1]["leased"] == 0
                && statuses.iter().any(is_late)
        },
    );
    // No relay answers the proxy before it has received the request.
    relays.iter().for_each(Program::pause);
    proxy.send_request(OBJECT);
    proxy.program.resume();
    let bound = proxy.next_age_bound().expect("a bound");
    assert!(bound <= COPY_AGE_MS, "{bound}");
    relays.iter().for_each(Program::resume);
    wait_until(HANG_TIMEOUT, "no bound", || {
        proxy.age_bound(OBJECT).is_none()
    });
}

#[test]
fn a_proxy_that_has_just_started_gets_all_invalidations_in_force() {
    let site = Site::new(3);
    let _relays = site.all_relays();
    let purged = now_ms();
    site.service.publish(purge_of(OBJECT));
    wait_until(HANG_TIMEOUT, "done", || site.in_force() == 1);
    // The age bound of the purge must differ from the bound without a lease.
    wait_until(HANG_TIMEOUT, "some time after the purge", || {
        now_ms() - purged > 2 * u128::from(COPY_AGE_MS)
    });
    let mut proxy = site.proxy_with_lease("n1");
    assert_eq!(proxy.age_bound(OTHER_OBJECT), None);
    let bound = proxy.age_bound(OBJECT).expect("a bound");
    assert!(
        bound > COPY_AGE_MS && u128::from(bound) <= now_ms() - purged,
        "{bound}"
    );
}

#[test]
fn without_any_relay_requests_go_on_with_bounded_copies() {
    let site = Site::new(3);
    // Copies are bounded from the first request on, before any lease was granted.
    let mut proxy = site.proxy("n1");
    assert!(proxy
        .age_bound(OBJECT)
        .is_some_and(|bound| bound <= COPY_AGE_MS));
    let relays = site.all_relays();
    wait_until(HANG_TIMEOUT, "no bound", || {
        proxy.age_bound(OBJECT).is_none()
    });
    drop(relays);
    wait_until(HANG_TIMEOUT, "a bound", || {
        proxy
            .age_bound(OBJECT)
            .is_some_and(|bound| bound <= COPY_AGE_MS)
    });
    assert!(operator_output(&proxy.socket, &["fleet", "events"]).contains("lease         none"));
    assert!(proxy.age_bound(OBJECT).is_some());
    let _relays = site.all_relays();
    wait_until(HANG_TIMEOUT, "no bound", || {
        proxy.age_bound(OBJECT).is_none()
    });
    let metrics = operator_output(&proxy.socket, &["metrics"]);
    let lapses = "meadowrill_events_lapses_total{side=\"upstream\"} 1";
    assert!(metrics.contains(lapses), "{metrics}");
}

/// The discovery service of the proxy is silent during the whole test. Without relays, copies would be bounded 7 s
/// after its last line.
#[test]
fn a_lease_makes_up_for_a_silent_discovery_service() {
    let site = Site::new(1);
    let _relays = site.all_relays();
    let mut proxy = site.proxy_with_lease("n1");
    site.service.publish(purge_of(OBJECT));
    wait_until(HANG_TIMEOUT, "a bound", || {
        proxy.age_bound(OBJECT).is_some()
    });
    let begun = Instant::now();
    wait_until(HANG_TIMEOUT, "over 8 s", || {
        if proxy.age_bound(OTHER_OBJECT).is_some() {
            assert!(!proxy.has_lease(), "copies are bounded despite a lease");
        }
        begun.elapsed() > Duration::from_secs(8)
    });
}

#[test]
fn a_publisher_grants_leases_only_while_its_discovery_service_is_complete() {
    let mut site = Site::new(2);
    let service = ScriptedPeer::listen();
    site.service_address = service.address;
    let _relays = site.all_relays();
    let mut proxy = site.proxy("n1");
    // The proxy receives many messages but no lease, because the discovery service has not yet reported that there are
    // no more events.
    wait_until(HANG_TIMEOUT, "messages without a lease", || {
        let status = event_status(&proxy.socket);
        assert!(status["lease_left_us"].is_null(), "{status}");
        status["watermark"].is_object() && status["counters"]["received"].as_u64() > Some(10)
    });
    assert!(proxy
        .age_bound(OBJECT)
        .is_some_and(|bound| bound <= COPY_AGE_MS));
    assert!(event_status(&site.socket("r0"))["behind_us"].is_i64());
    let mut connections = Vec::new();
    wait_until(HANG_TIMEOUT, "a lease", || {
        while let Some(mut connection) = service.accept_within(POLL_INTERVAL) {
            connection.write(&format!("{INITIAL_POSITION}\n"));
            connections.push(connection);
        }
        proxy.has_lease()
    });
    assert_eq!(proxy.age_bound(OBJECT), None);
    // The discovery service sends nothing more. The publisher grants leases only for a limited time after its last
    // line.
    wait_until(HANG_TIMEOUT, "no lease", || !proxy.has_lease());
    assert!(proxy
        .age_bound(OBJECT)
        .is_some_and(|bound| bound <= COPY_AGE_MS));
}

/// One proxy has events and shares state. The other shares state only, because it runs an earlier build or its settings
/// have not been changed yet.
#[test]
fn a_mixed_fleet_receives_every_invalidation() {
    let site = Site::new(2);
    let _relays = site.all_relays();
    let (own, other) = (PublishingJournal::start(), PublishingJournal::start());
    let addresses = [unused_address(), unused_address()];
    let fleet = |n: usize| {
        let (listen, contact) = (addresses[n], addresses[1 - n]);
        format!("listen: \"{listen}\" contact: \"{contact}\" period_ms: 100 replica {{ period_ms: 100 }}")
    };
    let with_events = format!("{} {}", fleet(0), site.events_settings());
    // Proxies that share state know each other's caches; here both use the same cache.
    let cache = Rc::new(Cache::start(ok(b"fine")));
    let mut with = TestProxy::with_cache(
        Rc::clone(&cache),
        "n1",
        site.socket("n1"),
        &with_events,
        own.address,
    );
    let mut without =
        TestProxy::with_cache(cache, "n2", site.socket("n2"), &fleet(1), other.address);
    wait_until(HANG_TIMEOUT, "a lease", || with.has_lease());
    for proxy in [&with, &without] {
        wait_until(HANG_TIMEOUT, "both proxies are alive", || {
            operator_output(&proxy.socket, &["fleet"])
                .matches("  alive  ")
                .count()
                == 2
        });
    }
    // Discovery services send the purge to the publisher and to the proxy without events. The proxy with events
    // receives it through a relay.
    let purge = purge_of(OBJECT);
    site.service.publish(purge.clone());
    other.publish(purge);
    wait_until(HANG_TIMEOUT, "a bound at the proxy with events", || {
        with.age_bound(OBJECT).is_some()
    });
    wait_until(HANG_TIMEOUT, "a bound at the proxy without events", || {
        without.age_bound(OBJECT).is_some()
    });
    // The proxy with events receives a purge from the other proxy if only that one has it from its discovery service.
    let shared_object = "00000000000000ab";
    assert_eq!(with.age_bound(shared_object), None);
    other.publish(purge_of(shared_object));
    wait_until(HANG_TIMEOUT, "a bound from the other proxy's purge", || {
        with.age_bound(shared_object).is_some()
    });
    // A purge from its own discovery service takes effect at the proxy with events at once, and is not replicated to
    // other proxies.
    let own_object = "00000000000000ac";
    let purges = |proxy: &TestProxy| {
        let state: Value = serde_json::from_str(&operator_output(
            &proxy.socket,
            &["fleet", "state", "--json"],
        ))
        .unwrap();
        state["kinds"]["purge"]["records"].as_u64().unwrap_or(0)
    };
    let before = purges(&with);
    assert!(before >= 1);
    own.publish(purge_of(own_object));
    wait_until(HANG_TIMEOUT, "a bound from its own service", || {
        with.age_bound(own_object).is_some()
    });
    assert_eq!(purges(&with), before);
}

#[test]
fn a_faulty_settings_file_ends_the_start_with_its_key() {
    let site = Site::new(2);
    let startup_error = |settings: &str| {
        let file = site.folder.path().join("faulty");
        std::fs::write(&file, settings).unwrap();
        let mut command = Command::new(proxy_binary());
        let output = command
            .arg("relay")
            .arg("--settings")
            .arg(&file)
            .output()
            .unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    };
    let good = site.relay_settings(1);
    let faulty = good.replace("relay { name: \"r1\"  }", "relay { name: \"r9\" }");
    assert!(
        startup_error(&faulty).contains("fleet.relay.name"),
        "{}",
        startup_error(&faulty)
    );
    let faulty = good.replace("events {", "events { lease_ms: 1");
    assert!(
        startup_error(&faulty).contains("fleet.events.lease_ms"),
        "{}",
        startup_error(&faulty)
    );
    let listen = site.relays[1];
    let error = startup_error(&format!("fleet {{ listen: \"{listen}\" }}"));
    assert!(
        error.contains("fleet.events: ") && error.contains("is missing"),
        "{error}"
    );
    let error = startup_error("log { form: TEXT }");
    assert!(
        error.contains("fleet: ") && error.contains("is missing"),
        "{error}"
    );
}

#[test]
fn a_relay_names_settings_that_need_a_restart_and_ends_on_sigterm() {
    let site = Site::new(2);
    let mut relay = Program::relay_with_log(&site.relay_settings(1));
    let mut log = relay.log.take().unwrap();
    let mut next_with = |text: &str| {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the log ended before {text}"
            );
        }
        line
    };
    relay.reload("fleet { listen: \"nowhere\" }");
    assert!(next_with("new settings rejected").contains("fleet.listen"));
    relay.reload(
        &site
            .relay_settings(1)
            .replace("events {", "events { keep_s: 60"),
    );
    assert!(next_with("takes effect at the next start only").contains("fleet.events"));
    relay.signal("-USR1");
    assert!(next_with("event distribution report, ").contains("subscribers: 0"));
    assert!(site.socket("r1").exists());
    relay.terminate();
    assert!(relay.exits_within(HANG_TIMEOUT));
    assert!(!site.socket("r1").exists());
}

#[test]
fn without_the_settings_there_is_no_subscription() {
    let site = Site::new(1);
    let fleet = format!("listen: \"{}\"", unused_address());
    let mut proxy = TestProxy::start("n1", site.socket("n1"), &fleet, site.silent_service.address);
    assert_eq!(proxy.age_bound(OBJECT), None);
    assert_eq!(
        operator_output(&proxy.socket, &["fleet", "events"]),
        "no fleet { events { } } in the settings\n"
    );
    assert!(!operator_output(&proxy.socket, &["metrics"]).contains("meadowrill_events"));
}
