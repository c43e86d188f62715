//! The connection to the journal service: silence, half a line, gaps, and a descriptor for it whatever else is open.

use meadowrill_standins::*;
use serde_json::json;
use std::time::Duration;

/// Descriptors full of idle clients and kept connections leave one for the journal service.
fn finds_a_descriptor(sockets: usize) {
    let cache = Cache::start(ok(b"fine"));
    let service = Peer::listen();
    let mut config = config(&[("s-a", cache.address)], service.address);
    config["limits"]["sockets"] = json!(sockets);
    let program = Program::start(&config);
    let mut held: Vec<Client> = Vec::new();
    let end = std::time::Instant::now() + Duration::from_secs(10);
    let mut tries = 0;
    // Down for ten seconds: each try is let in and ended. All the while more clients come, ask once, and stay.
    while std::time::Instant::now() < end {
        if let Some(mut talk) = service.accept_within(Duration::from_millis(20)) {
            assert_eq!(talk.line(), "tail 1\n");
            tries += 1;
        }
        if held.len() < sockets {
            let mut client = Client::new(&program);
            let slice = held.len().to_string();
            client.write(&ask(1, "map", &[("slice", &slice)], b""));
            held.push(client);
        }
    }
    assert!(tries > 10, "{tries} tries");
    let mut talk = service.accept();
    assert_eq!(talk.line(), "tail 1\n");
    let members = json!([member("s-a", "std", cache.address, "DRAINING")]);
    talk.write(&format!(
        "{}\n",
        json!({"pos": 2, "hosts": {"revision": 2, "complete": false, "members": members}})
    ));
    let open = program.descriptors();
    assert!(open <= sockets, "{open} descriptors");
    // What was told first after the return holds from then on.
    let mut client = Client::new(&program);
    let served = (1..10_000).map(|stream| client.lookup(stream, "order").code()).find(|code| *code == 11);
    assert_eq!(served, Some(11));
}

#[test]
fn there_is_a_descriptor_for_the_journal_service_among_64() {
    finds_a_descriptor(64);
}

#[test]
fn there_is_a_descriptor_for_the_journal_service_among_256() {
    finds_a_descriptor(256);
}

#[test]
fn a_watch_that_stops_within_a_line_is_begun_anew_and_the_line_is_told_again() {
    let cache = Cache::start(ok(b"fine"));
    let service = Peer::listen();
    let program = Program::start(&config(&[("s-a", cache.address)], service.address));
    let mut talk = service.accept();
    assert_eq!(talk.line(), "tail 1\n");
    let members = json!([member("s-a", "std", cache.address, "DRAINING")]);
    let line = json!({"pos": 2, "hosts": {"revision": 2, "complete": false, "members": members}}).to_string();
    // Half of it, then a byte now and then: bytes that make no line are silence.
    talk.write(&line[..40]);
    let again = loop {
        if let Some(again) = service.accept_within(Duration::from_millis(300)) {
            break again;
        }
        let _ = std::io::Write::write_all(&mut talk.stream, b" ");
    };
    let mut talk = again;
    assert_eq!(talk.line(), "tail 1\n");
    talk.write(&format!("{line}\n"));
    let mut client = Client::new(&program);
    let refused = (1..10_000).map(|stream| client.lookup(stream, "order").code()).find(|code| *code == 11);
    assert_eq!(refused, Some(11));
}

#[test]
fn an_older_position_puts_nothing_back() {
    let cache = Cache::start(ok(b"fine"));
    let service = Peer::listen();
    let program = Program::start(&config(&[("s-a", cache.address)], service.address));
    let event = |pos: u64, phase: &str| {
        let members = json!([member("s-a", "std", cache.address, phase)]);
        format!(
            "{}\n",
            json!({"pos": pos, "hosts": {"revision": pos, "complete": false, "members": members}})
        )
    };
    let mut talk = service.accept();
    assert_eq!(talk.line(), "tail 1\n");
    talk.write(&format!("{}{}", event(2, "SERVING"), event(3, "DRAINING")));
    let mut client = Client::new(&program);
    let refused = (1..10_000).map(|stream| client.lookup(stream, "order").code()).find(|code| *code == 11);
    assert_eq!(refused, Some(11));
    drop(talk);
    let mut talk = service.accept();
    assert_eq!(talk.line(), "tail 3\n");
    // It stands behind, and tells again what was had.
    talk.write(&format!("1\n{}2\n", event(2, "SERVING")));
    // The purge behind it has been read once a further word is asked for.
    talk.write("9\n");
    assert_eq!(service.accept().line(), "tail 3\n");
    assert_eq!(client.lookup(10_001, "order").code(), 11);
}

#[test]
fn out_of_touch_for_longer_than_news_takes_copies_are_bounded_until_all_is_told_again() {
    let cache = Cache::start(ok(b"fine"));
    let service = Peer::listen();
    let program = Program::start(&config(&[("s-a", cache.address)], service.address));
    let mut talk = service.accept();
    assert_eq!(talk.line(), "tail 1\n");
    talk.write(&format!("{}\n2\n", json!({"pos": 2, "expire": {"set": 3, "stamp": now_ms() as u64}})));
    let gone = now_ms();
    drop(talk);
    let mut client = Client::new(&program);
    let mut streams = 1..100_000;
    let mut oldest = || {
        assert_eq!(client.lookup(streams.next().expect("a bound"), "map").code(), 0);
        header(&cache.request().1, "Oldest-Ms").map(|ms| ms.parse::<u64>().unwrap())
    };
    let bound = loop {
        while let Some(talk) = service.accept_within(Duration::from_millis(20)) {
            drop(talk);
        }
        if let Some(bound) = oldest() {
            break bound;
        }
        assert!(now_ms() - gone < 12_000, "never bounded");
    };
    assert!(now_ms() - gone > 6_900 && (6_900..=7_000).contains(&bound), "{bound}");
    // In touch again, but not all told yet: an event, and only then the word that there is nothing more.
    let mut talk = service.accept();
    assert_eq!(talk.line(), "tail 2\n");
    talk.write(&format!("{}\n", json!({"pos": 3, "expire": {"set": 4, "stamp": now_ms() as u64}})));
    assert!(oldest().is_some());
    talk.write("3\n");
    let end = now_ms();
    while oldest().is_some() {
        assert!(now_ms() - end < 10_000, "still bounded");
    }
}
