//! Conflicts between two processes with the same name, and numbers at their limits, in received messages.

use meadowrill_membership::settings::{FleetSettings, SECOND};
use meadowrill_membership::view::{Action, Change, MemberIdentity, View};
use meadowrill_membership::wire::{
    decode, encode, Body, Packet, Payload, Ping, ReceiverClaim, Record, RootDigest,
};
use meadowrill_membership::Micros;
use prost::Message;

const NAME: &str = "front-2";
const START: u64 = 50;

fn settings() -> FleetSettings {
    FleetSettings::new("127.0.0.2:7000".parse().unwrap())
}

fn view() -> View {
    View::new(
        settings(),
        MemberIdentity {
            name: NAME.into(),
            version: "0.1.0".into(),
            start: START,
        },
        SECOND,
        1,
    )
}

fn packet(from: &str, start: u64, payload: Payload) -> Packet {
    Packet {
        fleet: settings().fleet_id(),
        sender: from.into(),
        start,
        incarnation: 0,
        nonce: 77,
        address: "127.0.0.9:7000".into(),
        revision: 0,
        receiver_claim: None,
        payload: Some(payload),
        records: Vec::new(),
    }
}

fn receive(view: &mut View, now: Micros, packet: &Packet) -> Vec<Action> {
    let (mut bytes, mut actions) = (Vec::new(), Vec::new());
    encode(packet, &mut bytes);
    view.receive(now, &bytes, &mut actions);
    actions
}

fn ping() -> Payload {
    Payload::Ping(Ping {
        sequence: 1,
        target: String::new(),
    })
}

/// Guards against a withdrawn proxy whose pending timers stay due forever: its host would call it in a busy loop.
#[test]
fn a_withdrawn_proxy_needs_one_timeout_a_period() {
    let mut view = view();
    let now = SECOND + 1000;
    assert!(receive(&mut view, now, &packet(NAME, 60, ping()))
        .contains(&Action::Notify(Change::StartAdvanced { start: 60 })));
    receive(&mut view, now, &packet(NAME, 70, ping()));
    assert!(view.is_withdrawn());
    let mut timeouts = 0;
    let end = now + 10 * settings().probe_period;
    loop {
        let at = view.next_timeout();
        if at > end {
            break;
        }
        view.handle_timeout(at, &mut Vec::new());
        timeouts += 1;
        assert!(timeouts <= 11, "{timeouts} timeouts by {at}");
    }
}

#[test]
fn numbers_at_their_limits_are_accepted() {
    let mut view = view();
    let root = Payload::RootDigest(RootDigest {
        digest: 1,
        count: u64::MAX,
    });
    let claim = ReceiverClaim {
        start: START,
        incarnation: u64::MAX,
        state: 2,
        forgotten: false,
    };
    receive(
        &mut view,
        SECOND,
        &Packet {
            receiver_claim: Some(claim),
            ..packet("front-1", 7, root)
        },
    );
    let forgotten = ReceiverClaim {
        start: u64::MAX,
        forgotten: true,
        ..claim
    };
    receive(
        &mut view,
        SECOND,
        &Packet {
            receiver_claim: Some(forgotten),
            ..packet("front-1", 7, ping())
        },
    );
    receive(&mut view, SECOND, &packet(NAME, u64::MAX, ping()));
    assert!(view.member("front-1").is_some());
}

/// Whether any sent packet claims a start other than the first one.
fn claims_another_start(actions: &[Action]) -> bool {
    actions.iter().any(|action| match action {
        Action::SendDatagram { bytes, .. } => {
            let packet =
                decode(bytes, settings().fleet_id()).expect("the view sends valid packets");
            packet.start != START
        }
        _ => false,
    })
}

// Guards against a proxy that claims to be alive while it leaves: other proxies would continue to send it state and
// probes.
#[test]
fn a_proxy_that_leaves_supersedes_no_other_process_and_no_forgotten_start() {
    let mut view = view();
    receive(&mut view, SECOND, &packet("front-1", 7, ping()));
    let mut actions = Vec::new();
    view.leave(2 * SECOND, &mut actions);
    let now = 2 * SECOND + 1000;
    actions.extend(receive(&mut view, now, &packet(NAME, 60, ping())));
    let forgotten = ReceiverClaim {
        start: START,
        incarnation: 0,
        state: 3,
        forgotten: true,
    };
    let forgotten_packet = Packet {
        receiver_claim: Some(forgotten),
        ..packet("front-1", 7, ping())
    };
    actions.extend(receive(&mut view, now + 1000, &forgotten_packet));
    while view.next_timeout() < now + SECOND {
        view.handle_timeout(view.next_timeout(), &mut actions);
    }
    assert!(!claims_another_start(&actions));
    assert!(!actions.contains(&Action::Notify(Change::StartAdvanced { start: 60 })));
    assert!(!actions.contains(&Action::Notify(Change::StartAdvanced { start: START })));
}

/// A rumor about `front-3` from another proxy. The zone identifies the process that published the body.
fn rumor(start: u64, state: u32, revision: u64, zone: &str) -> Packet {
    let body = Body {
        address: "127.0.0.8:7000".into(),
        zone: zone.into(),
        ..Body::default()
    };
    let record = Record {
        name: "front-3".into(),
        start,
        incarnation: 0,
        state,
        accuser: if state == 1 {
            "front-1".into()
        } else {
            String::new()
        },
        revision,
        body: body.encode_to_vec(),
    };
    Packet {
        records: vec![record],
        ..packet("front-1", 7, ping())
    }
}

// Guards against a restarted member that keeps the body of its former process as long as that process had published
// more revisions.
#[test]
fn a_suspicion_of_a_later_process_does_not_retain_the_former_body() {
    let mut view = view();
    let zone = |view: &View| {
        view.member("front-3")
            .expect("front-3 is a member")
            .body
            .zone
            .clone()
    };
    receive(&mut view, SECOND, &rumor(7, 0, 9, "former"));
    assert_eq!(zone(&view), "former");
    // The first message about the restarted process is a suspicion from a proxy that could not reach it.
    receive(&mut view, SECOND + 1000, &rumor(8, 1, 1, "new"));
    receive(&mut view, SECOND + 2000, &rumor(8, 0, 2, "newer"));
    assert_eq!(zone(&view), "newer");
}
