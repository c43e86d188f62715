//! Feeds arbitrary bytes to a publisher, a relay and a subscriber: once unchanged, and once in datagrams with a valid
//! header and fleet id, so that the code after the checksum is reached. They must not panic, exceed their bounds or
//! send datagrams that cannot be decoded.

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
const MAX_SUBSCRIBERS: usize = 8;
/// The encoded field `fleet`, the first field of each message.
const FLEET_FIELD: [u8; 5] = [0x0d, FLEET as u8, 0, 0, 0];

fn address(node: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, node], 7100))
}

fn settings(relays: u8) -> DistributionSettings {
    let addresses = (0..relays).map(|node| RelayAddress {
        name: format!("relay-{node}"),
        address: address(node),
        region: String::new(),
        zone: String::new(),
        publishes: node == 0,
    });
    DistributionSettings::new(FLEET, addresses.collect())
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

/// A datagram with a valid header and fleet id before these bytes.
fn datagram(part: &[u8]) -> Vec<u8> {
    let message = [&FLEET_FIELD[..], part].concat();
    let mut datagram = vec![b'e', b'v', wire::VERSION];
    datagram.extend(crc32fast::hash(&message).to_le_bytes());
    datagram.extend(message);
    datagram
}

fn datagrams(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut datagrams = vec![bytes.to_vec()];
    // The first byte is the length of the parts into which the rest is split.
    if let Some((length, rest)) = bytes.split_first() {
        datagrams.extend(rest.chunks(usize::from(*length).max(8)).map(datagram));
    }
    datagrams
}

fn check_outputs(outputs: &mut Vec<Output>) {
    for output in outputs.drain(..) {
        if let Output::Send { bytes, .. } = output {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            assert!(wire::decode(FLEET, &bytes).is_ok());
        }
    }
}

fuzz_target!(|bytes: &[u8]| {
    let limits = RelayLimits {
        max_subscribers: MAX_SUBSCRIBERS,
        window_bytes: 10_000,
        ..RelayLimits::default()
    };
    let mut publisher = Publisher::new(settings(1), limits.clone(), identity("relay-0", 0), START, 1);
    let mut relay = Relay::new(settings(3), limits, identity("relay-1", 1), START, 1);
    let mut subscriber = Subscriber::new(settings(3), identity("front-3", 3), START, 1);
    let mut outputs = Vec::new();
    let mut now = START;
    for datagram in datagrams(bytes) {
        publisher.tick(now, &mut outputs);
        relay.tick(now, &mut outputs);
        subscriber.tick(now, &mut outputs);
        publisher.receive(now, &datagram, &mut outputs);
        relay.receive(now, &datagram, &mut outputs);
        subscriber.receive(now, &datagram, &mut outputs);
        check_outputs(&mut outputs);
        now += SECOND / 20;
    }
    assert!(publisher.status(now).subscribers <= MAX_SUBSCRIBERS);
    assert!(relay.status(now).subscribers <= MAX_SUBSCRIBERS);
});
