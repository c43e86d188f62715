//! Two views, and a third process that sends one of them rumors about members that do not exist, and about the death of
//! the other view. The traces show which limits hold, which claims are accepted, and which forgotten members return.

use crate::trace;
use meadowrill_membership::settings::FleetSettings;
use meadowrill_membership::view::{Action, MemberIdentity, View};
use meadowrill_membership::wire::{encode, Body, Packet, Record};
use meadowrill_recorded_traces::Random;
use prost::Message;
use std::fmt::Write;
use std::net::SocketAddr;

const SECOND: i64 = 1_000_000;
const STEP: i64 = SECOND / 50;
const START: u64 = 50;
/// By this time the two views have joined, and the third process starts to send.
const JOINED_BY: i64 = 1_006 * SECOND;

pub(crate) struct FabricatedMembers {
    pub(crate) seed: u64,
    pub(crate) max_members: usize,
    /// Number of records in each message of the third process.
    pub(crate) records: u64,
    /// Average number of messages that the third process sends per second.
    pub(crate) messages_per_second: u64,
    /// Number of names from which the third process chooses the members in its records.
    pub(crate) names: u64,
    /// Number of messages per thousand that claim the death of the other view.
    pub(crate) deaths_per_mille: u64,
    pub(crate) duration: i64,
}

fn address(node: usize) -> SocketAddr {
    format!("127.0.2.{}:7000", node + 1)
        .parse()
        .expect("a valid address")
}

impl FabricatedMembers {
    pub(crate) fn run(self) -> String {
        let mut random = Random::new(self.seed);
        let mut views: Vec<View> = (0..2).map(|node| self.view(node)).collect();
        let mut trace = String::new();
        let mut hashes = [0xcbf2_9ce4_8422_2325u64; 2];
        for step in 0..self.duration / STEP {
            let now = 1_000 * SECOND + step * STEP;
            let mut arrivals: Vec<(usize, Vec<u8>)> = Vec::new();
            if now >= JOINED_BY && random.below(50) < self.messages_per_second {
                arrivals.push((0, self.message(step as u64, &mut random)));
            }
            for (node, view) in views.iter_mut().enumerate() {
                let mut actions = Vec::new();
                if view.next_timeout() <= now {
                    view.handle_timeout(now, &mut actions);
                }
                let sent = record_actions(&mut trace, now, node, actions, &mut hashes[node]);
                arrivals.extend(sent);
            }
            // Replies are delivered within the same step, for up to six rounds.
            for _ in 0..6 {
                for (node, bytes) in std::mem::take(&mut arrivals) {
                    let mut actions = Vec::new();
                    views[node].receive(now, &bytes, &mut actions);
                    arrivals.extend(record_actions(
                        &mut trace,
                        now,
                        node,
                        actions,
                        &mut hashes[node],
                    ));
                }
            }
            if step % 50 == 0 {
                for (node, view) in views.iter().enumerate() {
                    let (present, hash) = (view.present_count(), hashes[node]);
                    let (known, digest) = (view.members().count(), view.digest());
                    writeln!(
                        trace,
                        "{now} {node} S {present} {known} {digest:016x} {hash:016x}"
                    )
                    .expect("writing to a string does not fail");
                }
            }
        }
        for view in &views {
            writeln!(trace, "{}", trace::counters_text(view))
                .expect("writing to a string does not fail");
        }
        trace
    }

    fn view(&self, node: usize) -> View {
        let mut settings = FleetSettings::new(address(node));
        settings.contacts = vec![address(1 - node)];
        settings.max_members = self.max_members;
        settings.bytes_per_second = 200_000;
        settings.departed_retention = 10 * SECOND;
        settings.use_streams = false;
        settings.validate().expect("valid settings");
        let identity = MemberIdentity {
            name: format!("front-{node}"),
            version: "0.1.0".into(),
            start: START,
        };
        View::new(settings, identity, 1_000 * SECOND, self.seed)
    }

    fn message(&self, step: u64, random: &mut Random) -> Vec<u8> {
        let mut records: Vec<Record> = (0..self.records).map(|_| self.record(random)).collect();
        if random.per_mille(self.deaths_per_mille) {
            records = vec![Record {
                name: "front-1".into(),
                start: START,
                incarnation: random.below(8) + step / 100,
                state: 2,
                accuser: "front-9".into(),
                ..Record::default()
            }];
        }
        let packet = Packet {
            fleet: FleetSettings::new(address(0)).fleet_id(),
            sender: "front-9".into(),
            start: START,
            // The third process does not respond to probes, so it raises its incarnation in advance to refute
            // suspicions.
            incarnation: step,
            nonce: 77,
            address: "127.0.2.99:7000".into(),
            revision: 1,
            receiver_claim: None,
            payload: None,
            records,
        };
        let mut bytes = Vec::new();
        encode(&packet, &mut bytes);
        bytes
    }

    fn record(&self, random: &mut Random) -> Record {
        let number = random.below(self.names);
        let body = Body {
            address: format!("127.1.{}.{}:7000", number / 250, number % 250 + 1),
            nonce: number,
            ..Body::default()
        };
        let start = 1 + random.below(4);
        Record {
            name: format!("made-up-member-with-a-rather-long-name-{number:024}"),
            start,
            incarnation: random.below(2),
            state: random.below(4) as u32,
            accuser: "front-8".into(),
            revision: start,
            body: body.encode_to_vec(),
        }
    }
}

/// Writes the changes that a view reports to the trace, adds its sent messages to its hash, and returns the messages to
/// the two views.
fn record_actions(
    trace: &mut String,
    now: i64,
    node: usize,
    actions: Vec<Action>,
    hash: &mut u64,
) -> Vec<(usize, Vec<u8>)> {
    let mut sent = Vec::new();
    for action in actions {
        match action {
            Action::SendDatagram { to, bytes } | Action::SendStream { to, bytes } => {
                *hash = trace::hash(*hash, to.to_string().as_bytes());
                *hash = trace::hash(*hash, &bytes);
                sent.extend(
                    (0..2)
                        .find(|node| address(*node) == to)
                        .map(|to| (to, bytes)),
                );
            }
            Action::Notify(change) => {
                let change = trace::change(&change);
                // Changes of members that do not exist are only added to the hash.
                *hash = trace::hash(*hash, change.as_bytes());
                if !change.contains("made-up") {
                    writeln!(trace, "{now} {node} C {change}")
                        .expect("writing to a string does not fail");
                }
            }
        }
    }
    sent
}
