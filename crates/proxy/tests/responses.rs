//! Unusual responses of caches: invalid, in pieces, after interim responses, or late bytes after another response.

use meadowrill_test_servers::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

#[test]
fn bad_responses_never_reach_the_client_as_success() {
    let bad: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfour",
        b"HTTP/1.1 200 OK\r\nContent-Length: 240001\r\n\r\nlong",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfour",
        b"220 mail\r\n\r\n",
    ];
    for bytes in bad {
        let cache = Cache::start(CacheBehavior::WriteAndClose(bytes.to_vec()));
        let (program, _journal) = Program::with_cache(&cache);
        let mut client = Client::new(&program);
        assert_ne!(
            client.lookup(1, "map").code(),
            0,
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    // A connection on which bytes follow the response is not reused.
    let cache = Cache::start(CacheBehavior::Respond(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfourextra".into(),
        vec![],
    ));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    let response = client.lookup(1, "map");
    assert_eq!(
        (response.code(), response.fields_and_body().1),
        (0, &b"four"[..])
    );
    cache.wait_until_closed(cache.next_request().0);
}

#[test]
fn interim_responses_are_skipped_even_in_pieces_but_not_without_bound() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    let cache = Cache::start(CacheBehavior::Respond(
        format!("{interim}{good}"),
        b"fine".to_vec(),
    ));
    let (program, _journal) = Program::with_cache(&cache);
    let mut client = Client::new(&program);
    for stream in 1..=3 {
        let response = client.lookup(stream, "map");
        assert_eq!(
            (response.code(), response.fields_and_body().1),
            (0, &b"fine"[..])
        );
    }
    cache.set_behavior(CacheBehavior::Respond(
        format!("{}{good}", interim.repeat(50)),
        b"late".to_vec(),
    ));
    assert_ne!(client.lookup(4, "map").code(), 0);
}

#[test]
fn late_bytes_after_a_response_are_never_the_next_response() {
    // The response arrives a second time, separately, after the first has been forwarded.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let journal = Journal::start();
    let program = Program::start(&config(&[("s-a", address)], journal.address));
    let (send_copy, copy_requested) = channel::<()>();
    let service = thread::spawn(move || {
        for (number, mut stream) in listener.incoming().flatten().take(2).enumerate() {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut line = String::new();
            while matches!(reader.read_line(&mut line), Ok(n) if n > 2) {
                line.clear();
            }
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nno {number}");
            stream.write_all(response.as_bytes()).unwrap();
            copy_requested.recv().unwrap();
            stream.write_all(response.as_bytes()).unwrap();
        }
    });
    let mut client = Client::new(&program);
    for stream in [1, 2] {
        let response = client.lookup(stream, "map");
        assert_eq!(
            (response.code(), response.fields_and_body().1),
            (0, format!("no {}", stream - 1).as_bytes())
        );
        send_copy.send(()).unwrap();
        // Long enough for an idle connection to be reused if no bytes had arrived on it.
        thread::sleep(Duration::from_millis(50));
    }
    service.join().unwrap();
}
