//! Admission control and fair queueing, tested with the program on loopback sockets and its own settings.

use meadowrill_test_servers::load::{retry_after, Counts, Load, RetryBehavior};
use meadowrill_test_servers::service::{Directory, Service};
use meadowrill_test_servers::*;
use serde_json::json;
use std::io::{BufRead, Read, Write};
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

const TENANTS: &str = r#"
  tenant { name: "quiet" network: "127.0.2.0/24" }
  tenant { name: "loud" network: "127.0.3.0/24" }
"#;

fn fair_settings(extra: &str) -> String {
    format!("turns {{ order: FAIR {TENANTS} {extra} }}")
}

fn load_from(address: &str, connections: usize, retry_behavior: RetryBehavior) -> Load {
    Load {
        from: address.parse().unwrap(),
        connections,
        retry_behavior,
        ..Load::default()
    }
}

/// Starts a cache that holds all objects and serves 400 requests per second, and a proxy with these settings.
fn start_proxy(settings: &str) -> (Program, Service, Journal) {
    let cache = Service::start(
        8,
        Duration::from_millis(20),
        1_000,
        false,
        &Directory::default(),
    );
    let journal = Journal::start();
    let config = config(&[("s-a", cache.address)], journal.address);
    (Program::with_settings(&config, settings), cache, journal)
}

#[test]
fn a_quiet_tenant_is_served_beside_one_that_floods() {
    let (program, cache, _journal) = start_proxy(&fair_settings(""));
    let loud = Load {
        pipelined: 16,
        ..load_from("127.0.3.1", 32, RetryBehavior::RetriesImmediately)
    }
    .start(program.address);
    thread::sleep(Duration::from_millis(1_500));
    let before = cache.responses();
    let quiet = Load {
        think_time: Duration::from_millis(20),
        ..load_from("127.0.2.1", 1, RetryBehavior::HonorsRetryAfter)
    };
    let quiet = quiet.start(program.address);
    thread::sleep(Duration::from_millis(2_500));
    let served = cache.responses() - before;
    let (quiet, _) = quiet.finish();
    loud.finish();
    let (requests, within_budget) = (
        Counts::value(&quiet.requests),
        Counts::value(&quiet.within_budget),
    );
    assert!(requests >= 10 && within_budget + 2 >= requests, "{quiet:?}");
    // The cache is not kept idle for the quiet tenant.
    assert!(served > 850, "{served} of 1000");
}

#[test]
fn a_rejected_client_is_given_a_retry_after_and_mostly_admitted_then() {
    let (program, _cache, _journal) = start_proxy(&fair_settings(""));
    let load = load_from("127.0.3.1", 320, RetryBehavior::HonorsRetryAfter).start(program.address);
    thread::sleep(Duration::from_secs(4));
    let (counts, _) = load.finish();
    let (retries, successful) = (
        Counts::value(&counts.advised_retries),
        Counts::value(&counts.successful_retries),
    );
    assert!(
        retries > 100 && successful as f64 > 0.8 * retries as f64,
        "{counts:?}"
    );
    assert_eq!(Counts::value(&counts.without_retry_after), 0, "{counts:?}");
    assert_eq!(Counts::value(&counts.failed), 0, "{counts:?}");
}

#[test]
fn a_queued_client_may_leave_and_what_was_never_sent_may_be_rejected() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let journal = Journal::start();
    let mut config = config(&[("s-a", cache.address)], journal.address);
    // The first request has a long latency budget, so that the budgets of the others run out first.
    config["settings"]["classes"][0]["goal_time_s"] = json!(2.5);
    let program = Program::with_settings(&config, &fair_settings("inside_least: 1 inside_most: 1"));
    let mut client = Client::new(&program);
    client.write(&request_frame(1, "map", &[("slice", "1")], b""));
    cache.next_request();
    // The second request is queued and cancelled, the third has a side effect and is rejected after its time in the
    // queue, and the fourth is admitted once the first has ended.
    client.write(&request_frame(2, "map", &[("slice", "2")], b""));
    client.write(&request_frame(
        3,
        "order",
        &[("slice", "3"), ("limit", "3000")],
        b"",
    ));
    let sent_at = Instant::now();
    client.write(&frame(67, 2, &[]));
    let rejection = client.read_response();
    assert_eq!((rejection.stream, rejection.code()), (3, 11));
    // Its latency budget is half a second plus the permitted growth; its client would have waited three seconds.
    assert!(
        sent_at.elapsed() < Duration::from_millis(2_000),
        "{:?}",
        sent_at.elapsed()
    );
    assert!(retry_after(&rejection).is_some_and(|delay| delay <= Duration::from_secs(1)));
    cache.set_behavior(ok(b"fine"));
    client.write(&frame(67, 1, &[]));
    assert_eq!(client.lookup(4, "map").code(), 0);
    let heads: Vec<String> = cache
        .events
        .try_iter()
        .filter_map(|event| {
            if let CacheEvent::Request(_, head, _) = event {
                Some(head)
            } else {
                None
            }
        })
        .collect();
    assert!(
        heads
            .iter()
            .all(|head| !head.contains("/2 HTTP") && !head.contains("/order/")),
        "{heads:?}"
    );
}

#[test]
fn a_shutdown_answers_queued_requests_too() {
    let (mut program, _cache, _journal) =
        start_proxy(&fair_settings("inside_least: 2 inside_most: 2"));
    let mut clients: Vec<Client> = (0..8).map(|_| Client::new(&program)).collect();
    for client in &mut clients {
        assert_eq!(client.readiness(), 0);
        client.write(
            &[
                request_frame(1, "map", &[], b""),
                request_frame(2, "map", &[("txn", "00000000000000aa")], b""),
            ]
            .concat(),
        );
    }
    program.terminate();
    for mut client in clients {
        let mut frames: Vec<(u8, u32)> = std::iter::from_fn(|| client.read_frame())
            .map(|frame| (frame.kind, frame.stream))
            .collect();
        frames.sort_unstable();
        assert_eq!(frames, [(66, 1), (66, 2), (90, 0)]);
    }
    assert!(program.child.wait().unwrap().success());
}

#[test]
fn weights_change_under_load_and_a_faulty_file_changes_nothing() {
    let (mut program, _cache, _journal) = start_proxy(&fair_settings(""));
    let loads = ["127.0.2.1", "127.0.3.1"].map(|address| {
        load_from(address, 120, RetryBehavior::HonorsRetryAfter).start(program.address)
    });
    let served = |loads: &[load::RunningLoad; 2]| {
        [0, 1].map(|index| Counts::value(&loads[index].counts.successful))
    };
    thread::sleep(Duration::from_millis(1_500));
    // The file is faulty, so the settings in effect stay unchanged.
    program.reload_settings(&fair_settings("").replace(
        "network: \"127.0.2.0/24\"",
        "network: \"127.0.2.0/24\" weight: -4",
    ));
    thread::sleep(Duration::from_millis(1_500));
    let first = served(&loads);
    let ratio = first[0] as f64 / first[1] as f64;
    assert!((0.8..1.25).contains(&ratio), "{first:?}");
    program.reload_settings(&fair_settings("").replace(
        "network: \"127.0.2.0/24\"",
        "network: \"127.0.2.0/24\" weight: 4",
    ));
    thread::sleep(Duration::from_millis(1_000));
    let before = served(&loads);
    thread::sleep(Duration::from_millis(2_500));
    let after = served(&loads);
    let increase = [0, 1].map(|index| (after[index] - before[index]) as f64);
    assert!(increase[0] / increase[1] > 2.0, "{increase:?}");
    // When tenants are removed from the settings, none of their requests is lost.
    program.reload_settings("turns { order: FAIR }");
    thread::sleep(Duration::from_millis(500));
    for load in loads {
        let (counts, _) = load.finish();
        assert_eq!(
            (Counts::value(&counts.failed), Counts::value(&counts.closed)),
            (0, 0),
            "{counts:?}"
        );
    }
    assert!(program.is_running());
}

#[test]
fn operators_are_shown_who_uses_the_capacity() {
    let folder = tempfile::tempdir().unwrap();
    let socket = folder.path().join("operators");
    let settings = format!(
        "operators {{ socket: \"{}\" }} log {{ form: JSON }} {}",
        socket.display(),
        fair_settings("")
    );
    let cache = Cache::start(ok(b"fine"));
    let journal = Journal::start();
    let config = config(&[("s-a", cache.address)], journal.address);
    let mut program = Program::with_settings_and_log(&config, &settings);
    let mut client = Client::new(&program);
    (1..=20).for_each(|stream| assert_eq!(client.lookup(stream, "map").code(), 0));
    let operator_output =
        |command: &str| program::run_operator_command(&socket, &[command]).expect("a response");
    let table = operator_output("turns");
    let row = table.lines().find(|l| l.starts_with("default ")).unwrap();
    assert!(
        row.split_whitespace().nth(4) == Some("20") && table.contains("127.0.0.1"),
        "{table}"
    );
    let metrics = operator_output("metrics");
    assert!(
        metrics.contains("meadowrill_door_offered_total{tenant=\"default\"} 20"),
        "{metrics}"
    );
    assert!(metrics.contains("meadowrill_door_limit "), "{metrics}");
    // Connections that send nothing, or too much without a valid command, do not delay other operators.
    let _silent = UnixStream::connect(&socket).unwrap();
    let mut long = UnixStream::connect(&socket).unwrap();
    long.write_all(&[b'x'; 500]).unwrap();
    let mut rest = String::new();
    let _ = long.read_to_string(&mut rest);
    assert!(operator_output("turns").contains("tenant"));
    // SIGUSR1 writes the same report to the log, with one JSON object per line.
    program.signal("-USR1");
    let mut lines = program.log.take().unwrap().lines();
    let line = lines
        .find_map(|l| {
            l.ok()
                .filter(|l| l.contains("\"admission control report\""))
        })
        .unwrap();
    let line: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(
        (&line["msg"], &line["order"]),
        (&json!("admission control report"), &json!("Fair"))
    );
    program.terminate();
    lines.for_each(drop);
    assert!(program.child.wait().unwrap().success());
    assert!(!socket.exists());
}

#[test]
fn the_check_command_finds_faulty_files() {
    let folder = tempfile::tempdir().unwrap();
    let check = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        let output = Command::new(program::proxy_binary())
            .arg("check")
            .arg(&path)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    assert_eq!(check("good", &fair_settings("")).0, Some(0));
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let mut config = config(&[], nowhere);
    assert_eq!(check("config", &config.to_string()).0, Some(0));
    config["limits"]["sockets"] = json!("many");
    let (code, text) = check("config", &config.to_string());
    assert!(code == Some(1) && text.contains("limits.sockets"), "{text}");
    for (extra, key) in [
        ("waiting_most: 0", "turns.waiting_most"),
        ("waiting_most: -1", "turns.waiting_most"),
        ("bucket_per_s: nan", "turns.bucket_per_s"),
        ("inside_most: 99999999999", "turns.inside_most"),
        ("nonsense: 1", "turns.nonsense"),
    ] {
        let (code, text) = check("bad", &fair_settings(extra));
        assert!(
            code == Some(1) && text.contains(key) && text.contains("line 4"),
            "{extra}: {text}"
        );
    }
    // With a faulty file, the program exits with an error that names the key, before it listens.
    let path = folder.path().join("bad");
    let (mut command, _config) = Program::command(&crate::config(&[], nowhere));
    let output = command
        .args(["serve", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && text.contains("turns.nonsense") && !text.contains("listening"),
        "{text}"
    );
}

#[test]
fn without_settings_nothing_is_queued_and_no_other_socket_listens() {
    let cache = Cache::start(CacheBehavior::Ignore);
    let journal = Journal::start();
    let config = config(&[("s-a", cache.address)], journal.address);
    let program = Program::start(&config);
    let mut client = Client::new(&program);
    for stream in 1..=3 {
        client.write(&request_frame(
            stream,
            "map",
            &[("slice", "1"), ("limit", "3000")],
            b"",
        ));
        cache.next_request();
    }
    let sockets = std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap();
    let sockets = sockets.filter_map(|e| std::fs::read_link(e.unwrap().path()).ok());
    let unix = std::fs::read_to_string(format!("/proc/{}/net/unix", program.child.id())).unwrap();
    let inodes: Vec<String> = sockets
        .filter_map(|l| l.to_str()?.strip_prefix("socket:[").map(str::to_string))
        .collect();
    let listening = unix.lines().filter(|l| {
        inodes
            .iter()
            .any(|inode| l.contains(inode.trim_end_matches(']')))
    });
    assert_eq!(listening.filter(|l| l.contains(" 00010000 ")).count(), 0);
}
