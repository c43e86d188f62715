//! Shared state of two proxies, as operators and clients observe it. Faults between proxies are tested by the
//! fault-injection tool.

use meadowrill_test_servers::program::{run_operator_command, unique_loopback_address};
use meadowrill_test_servers::{
    config, frame, ok, request_frame, wait_until, Cache, CacheEvent, Client, Journal, Program,
};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

/// How soon proxies have to agree.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// An address that no other test uses, for datagrams or for streams.
fn unused_address() -> SocketAddr {
    UdpSocket::bind((unique_loopback_address(), 0))
        .and_then(|socket| socket.local_addr())
        .unwrap()
}

/// The settings of proxy `n` of two; `replica_settings` is added to the settings of its replica.
fn settings(folder: &Path, n: usize, addresses: [SocketAddr; 2], replica_settings: &str) -> String {
    format!(
        "operators {{ socket: \"{}\" }}\nfleet {{ listen: \"{}\" contact: \"{}\" period_ms: 100\n replica {{ period_ms: 100 {replica_settings} ledger {{ }} }} }}",
        folder.join(format!("{n}.sock")).display(),
        addresses[n],
        addresses[1 - n]
    )
}

/// The output of an operator command at proxy `n`; empty if the command fails.
fn operator_output(folder: &Path, n: usize, arguments: &[&str]) -> String {
    run_operator_command(&folder.join(format!("{n}.sock")), arguments).unwrap_or_default()
}

/// The number of requests with this idempotency key that a cache has received since the last call.
fn count_received(cache: &Cache, key: &str) -> usize {
    let has_key =
        |seen: &CacheEvent| matches!(seen, CacheEvent::Request(_, head, _) if head.contains(key));
    cache.events.try_iter().filter(has_key).count()
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "not yet split into shorter functions"
)]
fn two_proxies_share_state_and_report_it_to_operators() {
    let folder = tempfile::tempdir().unwrap();
    let (addresses, journal) = ([unused_address(), unused_address()], Journal::start());
    let cache = Cache::start(ok(b"run"));
    let start = |n: usize, replica_settings: &str| {
        let mut config = config(&[("s-a", cache.address)], journal.address);
        config["name"] = format!("n{n}").into();
        Program::with_settings(
            &config,
            &settings(folder.path(), n, addresses, replica_settings),
        )
    };
    let invalid_snapshot = folder.path().join("snapshot");
    std::fs::write(&invalid_snapshot, b"no snapshot").unwrap();
    let (one, two) = (
        start(0, ""),
        start(1, &format!("snapshot: \"{}\"", invalid_snapshot.display())),
    );
    for n in 0..2 {
        wait_until(AGREEMENT_TIMEOUT, "the proxy may vote", || {
            operator_output(folder.path(), n, &["fleet", "state"]).contains("vouches yes")
        });
    }
    // The proxy is ready once it has received the urgent record types, and its response reports this.
    let mut client = Client::new(&two);
    client.write(&frame(80, 1, &[0]));
    let response = client.read_response();
    assert_eq!((response.kind, response.code()), (81, 0));
    assert_eq!(
        response.fields_and_body().0,
        [("caught_up".to_string(), "1".to_string())]
    );
    // A request that ran at one proxy is answered by the other, and is not forwarded again.
    let send_book_request = |program: &Program| {
        let mut client = Client::new(program);
        client.write(&request_frame(
            1,
            "book",
            &[("unique", "5c0f6e1a2b3d4c59")],
            b"",
        ));
        client.read_response()
    };
    let (first, second) = (send_book_request(&one), send_book_request(&two));
    assert_eq!((first.code(), second.code()), (0, 0));
    assert_eq!(first.fields_and_body().1, second.fields_and_body().1);
    assert_eq!(count_received(&cache, "5c0f6e1a2b3d4c59"), 1);
    let ledger_output = operator_output(
        folder.path(),
        1,
        &["fleet", "ledger", "5c0f6e1a2b3d4c59", "book"],
    );
    assert!(
        ledger_output.contains("ran: n0") && ledger_output.contains("now: it ran"),
        "{ledger_output}"
    );
    let state = operator_output(folder.path(), 0, &["fleet", "state"]);
    assert!(state.contains("effect"), "{state}");
    let other = folder.path().join("1.sock");
    wait_until(AGREEMENT_TIMEOUT, "the replicas do not differ", || {
        let diff = operator_output(
            folder.path(),
            0,
            &["fleet", "diff", &other.display().to_string()],
        );
        diff.lines().count() == 1
    });
    let metrics = operator_output(folder.path(), 1, &["metrics"]);
    for line in [
        "meadowrill_shared_vouches 1",
        "meadowrill_shared_ledger_total{word=\"answered\"} 1",
    ] {
        assert!(metrics.contains(line), "{line} is not in\n{metrics}");
    }
    assert_eq!(metrics.matches("# EOF").count(), 1);
}

/// A proxy that knows fewer proxies than required forwards no request with a side effect, and rejects it at once.
#[test]
fn a_proxy_that_is_cut_off_rejects_effects_that_it_cannot_record() {
    let folder = tempfile::tempdir().unwrap();
    let journal = Journal::start();
    let cache = Cache::start(ok(b"run"));
    let config = config(&[("s-a", cache.address)], journal.address);
    let addresses = [unused_address(), unused_address()];
    let program = Program::with_settings(
        &config,
        &settings(folder.path(), 0, addresses, "ready_after_ms: 100"),
    );
    let mut client = Client::new(&program);
    let begun = Instant::now();
    client.write(&request_frame(
        1,
        "book",
        &[("unique", "1111111111111111")],
        b"",
    ));
    let response = client.read_response();
    assert_eq!(response.code(), 11);
    assert!(
        begun.elapsed() < Duration::from_millis(400),
        "{:?}",
        begun.elapsed()
    );
    assert_eq!(count_received(&cache, "1111111111111111"), 0);
    // Requests without a side effect are still served.
    client.write(&request_frame(2, "map", &[], b""));
    assert_eq!(client.read_response().code(), 0);
}

// Guards against a snapshot that is written to another file than the log reports: a changed path takes effect at the
// next start.
#[test]
fn a_changed_snapshot_path_waits_for_the_next_start() {
    let folder = tempfile::tempdir().unwrap();
    let (addresses, journal) = ([unused_address(), unused_address()], Journal::start());
    let cache = Cache::start(ok(b"run"));
    let config = config(&[("s-a", cache.address)], journal.address);
    let with_snapshot = |file: &Path| {
        let replica_settings = format!("snapshot: \"{}\" snapshot_every_s: 1", file.display());
        settings(folder.path(), 0, addresses, &replica_settings)
    };
    let (first, changed) = (folder.path().join("first"), folder.path().join("changed"));
    let program = Program::with_settings(&config, &with_snapshot(&first));
    wait_until(AGREEMENT_TIMEOUT, "the first snapshot is written", || {
        first.exists()
    });
    program.reload_settings(&with_snapshot(&changed));
    // After the reload the snapshot is written again, to the same file.
    for _ in 0..2 {
        std::fs::remove_file(&first).unwrap();
        wait_until(AGREEMENT_TIMEOUT, "another snapshot is written", || {
            first.exists()
        });
    }
    assert!(!changed.exists());
}
