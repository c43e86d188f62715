//! The proxy as a process: its start, the replacement of a killed process, its log and its exit.

use meadowrill_test_servers::program::unique_loopback_address;
use meadowrill_test_servers::*;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn an_invalid_configuration_fails_the_start_and_its_key_is_reported() {
    let unreachable = "127.0.0.1:1".parse().unwrap();
    let mut config = config(&[], unreachable);
    config["limits"]["sockets"] = json!("many");
    let (mut command, _path) = Program::command(&config);
    let output = command.output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(
        text.contains("limits.sockets: ") && !text.contains("listening"),
        "{text}"
    );
}

#[test]
fn a_shutdown_leaves_no_request_unanswered() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let (mut program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[("limit", "2000")], b""));
    cache.next_request();
    cache.set_behavior(ok(b"late"));
    program.terminate();
    while client.readiness() == 0 {}
    // Connections and requests are still accepted for a while.
    assert_eq!(Client::new(&program).lookup(1, "map").code(), 0);
    assert_eq!(client.lookup(2, "map").code(), 0);
    let mut rest: Vec<(u8, u32)> = std::iter::from_fn(|| client.read_frame())
        .map(|f| (f.kind, f.stream))
        .collect();
    rest.sort_unstable();
    assert_eq!(rest, [(66, 1), (90, 0)]);
    assert!(program.child.wait().unwrap().success());
}

#[test]
fn a_log_without_a_reader_blocks_nothing() {
    for closed in [true, false] {
        let cache = Cache::start(ok(b"fine"));
        let journal = Journal::start();
        let mut program =
            Program::start_with_log(&config(&[("s-a", cache.address)], journal.address));
        if closed {
            program.log = None;
        }
        // More lines than the pipe and the queue before it can hold.
        let (_, mut service) = journal.accept_subscriber();
        let purge = json!({"pos": 2, "expire": {"set": 17, "stamp": now_ms() as u64}});
        service
            .write_all(format!("{}{purge}\n", "{bad\n".repeat(3000)).as_bytes())
            .unwrap();
        let mut client = Client::new(&program);
        let mut has_max_age = (1..10_000).map(|stream| {
            assert_eq!(client.lookup(stream, "map").code(), 0);
            header(&cache.next_request().1, "Oldest-Ms").is_some()
        });
        assert!(has_max_age.any(|found| found));
        program.terminate();
        assert!(program.child.wait().unwrap().success());
    }
}

/// How soon the platform requires a proxy to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);

#[test]
fn a_process_killed_after_an_accept_is_replaced_at_its_address_in_time() {
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let folder = tempfile::tempdir().unwrap();
    let settings = format!(
        "operators {{ socket: \"{}\" }}",
        folder.path().join("operators").display()
    );
    let mut config = config(&[("s-a", cache.address)], journal.address);
    config["listen"] = json!(format!("{}:0", unique_loopback_address()));
    let mut killed = Program::with_settings(&config, &settings);
    config["listen"] = json!(killed.address.to_string());
    journal.accept_subscriber();
    assert_eq!(Client::new(&killed).lookup(1, "map").code(), 0);
    let mut client_of_killed = Client::new(&killed);
    // The connection has been accepted once the query is answered. Then part of a request is written, and the proxy is
    // killed.
    assert_eq!(client_of_killed.readiness(), 0);
    client_of_killed.write(&request_frame(1, "map", &[], b"")[..20]);
    killed.kill();
    let start = Instant::now();
    let successor = Program::with_settings(&config, &settings);
    assert_eq!(successor.address, killed.address);
    let mut client = Client::new(&successor);
    assert_eq!(client.readiness(), 0);
    assert_eq!(client.lookup(1, "map").code(), 0);
    assert!(start.elapsed() < READY_WITHIN, "{:?}", start.elapsed());
    assert_eq!(journal.accept_subscriber().0, "tail 1\n");
    // The client of the killed process has kept its side of the connection open until here, and reads its end.
    assert_eq!(client_of_killed.read_frame(), None);
}
