//! Publisher, relay and front hear anything: bytes as they come, and behind a good head and fleet, so that what lies behind
//! the checksum is reached. They may not panic, grow past their bounds or send what cannot be read.

#![no_main]

use libfuzzer_sys::fuzz_target;
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::settings::{DistributionSettings, Identity, RelayAddress, RelayLimits, SECOND};
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::relay::Relay;
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::wire::{self, MAX_DATAGRAM_BYTES};
use meadowrill_event_distribution::Micros;
use std::net::SocketAddr;

const FLEET: u64 = 7;
const START: Micros = 1_700_000_000 * SECOND;
const SUBSCRIBERS_MOST: usize = 8;
/// `fleet`, the first field of each packet.
const FLEET_FIELD: [u8; 5] = [0x0d, FLEET as u8, 0, 0, 0];

fn address(node: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, node], 7100))
}

fn plan(relays: u8) -> DistributionSettings {
    let listed = (0..relays).map(|node| RelayAddress {
        name: format!("relay-{node}"),
        address: address(node),
        region: String::new(),
        zone: String::new(),
        publishes: node == 0,
    });
    DistributionSettings::new(FLEET, listed.collect())
}

fn identity(name: &str, node: u8) -> Identity {
    let (region, zone) = (String::new(), String::new());
    Identity {
        name: name.into(),
        incarnation: 1,
        address: address(node),
        region,
        zone,
    }
}

/// Behind a good head.
fn sealed(part: &[u8]) -> Vec<u8> {
    let message = [&FLEET_FIELD[..], part].concat();
    let mut whole = vec![b'e', b'v', wire::VERSION];
    whole.extend(crc32fast::hash(&message).to_le_bytes());
    whole.extend(message);
    whole
}

fn datagrams(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut datagrams = vec![bytes.to_vec()];
    // The first byte tells how the rest is cut into messages.
    if let Some((cut, rest)) = bytes.split_first() {
        datagrams.extend(rest.chunks(usize::from(*cut).max(8)).map(sealed));
    }
    datagrams
}

fn check(out: &mut Vec<Output>) {
    for output in out.drain(..) {
        if let Output::Send { bytes, .. } = output {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            assert!(wire::decode(FLEET, &bytes).is_ok());
        }
    }
}

fuzz_target!(|bytes: &[u8]| {
    let bounds = RelayLimits {
        max_subscribers: SUBSCRIBERS_MOST,
        window_bytes: 10_000,
        ..RelayLimits::default()
    };
    let mut publisher = Publisher::new(plan(1), bounds.clone(), identity("relay-0", 0), START, 1);
    let mut relay = Relay::new(plan(3), bounds, identity("relay-1", 1), START, 1);
    let mut front = Subscriber::new(plan(3), identity("front-3", 3), START, 1);
    let mut out = Vec::new();
    let mut now = START;
    for datagram in datagrams(bytes) {
        publisher.tick(now, &mut out);
        relay.tick(now, &mut out);
        front.tick(now, &mut out);
        publisher.receive(now, &datagram, &mut out);
        relay.receive(now, &datagram, &mut out);
        front.receive(now, &datagram, &mut out);
        check(&mut out);
        now += SECOND / 20;
    }
    assert!(publisher.status(now).subscribers <= SUBSCRIBERS_MOST);
    assert!(relay.status(now).subscribers <= SUBSCRIBERS_MOST);
});
