//! Reload of the configuration: changed values take effect, and nothing else is disturbed.

use meadowrill_test_servers::journal::PublishingJournal;
use meadowrill_test_servers::*;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn a_reload_changes_the_discovery_address_and_nothing_else() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let (first, second) = (Journal::start(), Journal::start());
    let mut config = config(&[("s-a", cache.address)], first.address);
    let mut program = Program::start(&config);
    let (_, mut service) = first.accept_subscriber();
    let purge = json!({"pos": 2, "expire": {"set": 3, "stamp": 1}});
    service.write_all(format!("{purge}\n").as_bytes()).unwrap();
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[], b""));
    let (number, ..) = cache.next_request();
    // An invalid configuration changes nothing, however often it is loaded.
    for _ in 0..3 {
        program.reload("{\"journal\": \"nowhere\"");
    }
    config["journal"] = json!(second.address.to_string());
    config["limits"]["sockets"] = json!(70);
    program.reload(&config.to_string());
    // The positions continue, and the open request stays open.
    assert_eq!(second.accept_subscriber().0, "tail 2\n");
    cache.set_behavior(ok(b"fine"));
    assert_eq!(client.lookup(2, "map").code(), 0);
    client.write(&frame(67, 1, &[]));
    cache.wait_until_closed(number);
    program.terminate();
    program.signal("-HUP");
    while client.readiness() == 0 {}
    program.signal("-HUP");
    assert!(program.child.wait().unwrap().success());
}

/// How long after the publication of a drain requests may still go to the endpoint: the configured time, and 50 ms for
/// the transfer on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(1000 + 50);

/// A client that requests another object each time.
struct SequentialClient {
    client: Client,
    stream: u32,
}

impl SequentialClient {
    fn send_request(&mut self) {
        self.stream += 1;
        let item = format!("{:016x}", self.stream);
        self.client
            .write(&request_frame(self.stream, "map", &[("item", &item)], b""));
        assert_eq!(self.client.read_response().code(), 0);
    }
}

/// The heads of the requests that a cache has received since the last call.
fn heads(cache: &Cache) -> Vec<String> {
    let head = |seen| match seen {
        CacheEvent::Request(_, head, _) => Some(head),
        CacheEvent::Closed(_) => None,
    };
    cache.events.try_iter().filter_map(head).collect()
}

fn names_source(heads: &[String], id: &str) -> bool {
    heads
        .iter()
        .any(|head| header(head, "Upstream") == Some(id))
}

#[test]
fn a_drain_during_a_change_of_the_discovery_address_takes_effect_in_time() {
    for published_before_reload in [true, false] {
        drain_during_a_change_of_the_discovery_address(published_before_reload);
    }
}

#[allow(
    clippy::too_many_lines,
    reason = "not yet split into shorter functions"
)]
fn drain_during_a_change_of_the_discovery_address(published_before_reload: bool) {
    let (draining, staying) = (Cache::start(ok(b"fine")), Cache::start(ok(b"fine")));
    let (previous, next) = (PublishingJournal::start(), PublishingJournal::start());
    let unreachable = "127.0.0.1:1".parse().unwrap();
    let caches = [("s-a", draining.address), ("s-b", staying.address)];
    let site = Site {
        caches: &caches,
        parent: unreachable,
        origin: unreachable,
        journal: previous.address,
    };
    let mut config = site.config();
    config["settings"]["guarantees"]["drain_grace_s"] = json!(1.0);
    let members = &mut config["known"]["entries"][0]["hosts"]["members"];
    members
        .as_array_mut()
        .unwrap()
        .push(member("s-q", "parent", unreachable, "SERVING"));
    let program = Program::start(&config);
    let mut requester = SequentialClient {
        client: Client::new(&program),
        stream: 0,
    };
    // Both endpoints are in use before the drain, as cache and as source.
    let (mut used_as_cache, mut used_as_source) = (false, false);
    wait_until(HANG_TIMEOUT, "both endpoints are in use", || {
        requester.send_request();
        let at_draining = heads(&draining);
        used_as_cache |= !at_draining.is_empty();
        used_as_source |=
            names_source(&at_draining, "s-p") || names_source(&heads(&staying), "s-p");
        used_as_cache && used_as_source
    });
    config["journal"] = json!(next.address.to_string());
    let cache = member("s-a", "std", draining.address, "DRAINING");
    let source = member("s-p", "parent", unreachable, "DRAINING");
    let drain = json!({"hosts": {"revision": 2, "complete": false, "members": [cache, source]}});
    let published_at = Instant::now();
    if published_before_reload {
        next.publish(drain);
        program.reload(&config.to_string());
    } else {
        program.reload(&config.to_string());
        next.publish(drain);
    }
    while published_at.elapsed() < DRAIN_GRACE {
        requester.send_request();
    }
    // Discards the requests so far. All of them have arrived, because each has been answered.
    heads(&draining);
    heads(&staying);
    (0..500).for_each(|_| requester.send_request());
    let late = heads(&draining);
    assert!(
        late.is_empty(),
        "published before the reload: {published_before_reload}: {} requests, first {}",
        late.len(),
        late[0]
    );
    let at_staying = heads(&staying);
    assert!(
        !names_source(&at_staying, "s-p"),
        "published before the reload: {published_before_reload}"
    );
    assert!(names_source(&at_staying, "s-q"));
}

/// Writes one byte at a time. The proxy has read each byte before the next is written, because another client was
/// answered in between.
fn write_in_pieces(client: &mut Client, other: &mut Client, bytes: &[u8]) {
    for byte in bytes {
        client.write(&[*byte]);
        assert_eq!(other.readiness(), 0);
    }
}

#[test]
fn a_request_in_pieces_across_a_reload_is_answered_exactly_once() {
    let cache = Cache::start(ok(b"whole"));
    let (mut current, mut next) = (Journal::start(), Journal::start());
    let mut config = config(&[("s-a", cache.address)], current.address);
    let program = Program::start(&config);
    current.accept_subscriber();
    let mut other = Client::new(&program);
    let length = request_frame(1, "order", &[], b"body").len();
    // Within the length field, after the head, within the fields, and before the last byte. Each request has a new id.
    for (id, cut) in (1u32..).zip([2, 9, length / 2, length - 1]) {
        let request_id = format!("{id:016x}");
        let request = request_frame(1, "order", &[("txn", &request_id)], b"body");
        let mut client = Client::new(&program);
        write_in_pieces(&mut client, &mut other, &request[..cut]);
        config["journal"] = json!(next.address.to_string());
        program.reload(&config.to_string());
        // The reload has been applied once the proxy subscribes at the new address.
        next.accept_subscriber();
        write_in_pieces(&mut client, &mut other, &request[cut..]);
        let response = client.read_response();
        assert_eq!(
            (response.kind, response.stream, response.code()),
            (66, 1, 0),
            "cut at {cut}"
        );
        assert_eq!(response.fields_and_body().1, b"whole");
        // Nothing follows the response except the answers to the next queries.
        assert_eq!((client.readiness(), client.readiness()), (0, 0));
        let (_, head, body) = cache.next_request();
        assert!(
            header(&head, "X-Req") == Some(&request_id) && body == b"body",
            "{head}"
        );
        assert!(!cache.received_request(id), "forwarded again, cut at {cut}");
        std::mem::swap(&mut current, &mut next);
    }
}
