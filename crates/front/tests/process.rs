//! The program as a process: how it starts, follows one that was killed, logs and ends.

use meadowrill_standins::*;
use serde_json::json;
use std::io::Write;

#[test]
fn a_faulty_configuration_ends_with_the_name_of_the_key() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let mut config = config(&[], nowhere);
    config["limits"]["sockets"] = json!("many");
    let (mut command, _path) = Program::command(&config);
    let output = command.output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(text.contains("limits.sockets: ") && !text.contains("listening"), "{text}");
}

#[test]
fn a_signal_to_end_leaves_nothing_unanswered() {
    let cache = Cache::start(Does::Nothing);
    let (mut program, _journal) = Program::simple(&cache);
    let mut client = Client::new(&program);
    client.write(&ask(1, "map", &[("limit", "2000")], b""));
    cache.request();
    cache.does(ok(b"late"));
    program.terminate();
    while client.ready() == 0 {}
    // Connections and lookups go on coming for a while.
    assert_eq!(Client::new(&program).lookup(1, "map").code(), 0);
    assert_eq!(client.lookup(2, "map").code(), 0);
    let mut rest: Vec<(u8, u32)> = std::iter::from_fn(|| client.hear()).map(|f| (f.kind, f.stream)).collect();
    rest.sort_unstable();
    assert_eq!(rest, [(66, 1), (90, 0)]);
    assert!(program.child.wait().unwrap().success());
}

#[test]
fn a_log_that_nobody_reads_stops_nothing() {
    for closed in [true, false] {
        let cache = Cache::start(ok(b"fine"));
        let journal = Journal::start();
        let mut program = Program::unread(&config(&[("s-a", cache.address)], journal.address));
        if closed {
            program.log = None;
        }
        // More lines than a pipe and the queue before it hold.
        let (_, mut service) = journal.greeting();
        let purge = json!({"pos": 2, "expire": {"set": 17, "stamp": now_ms() as u64}});
        service.write_all(format!("{}{purge}\n", "{bad\n".repeat(3000)).as_bytes()).unwrap();
        let mut client = Client::new(&program);
        let mut told = (1..10_000).map(|stream| {
            assert_eq!(client.lookup(stream, "map").code(), 0);
            header(&cache.request().1, "Oldest-Ms").is_some()
        });
        assert!(told.any(|told| told));
        program.terminate();
        assert!(program.child.wait().unwrap().success());
    }
}
