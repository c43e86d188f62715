//! Tests of the settings of event distribution and relays: their values, and the errors for invalid keys.

use meadowrill_event_distribution::settings::{
    DistributionSettings, RelayAddress, RelayLimits, MILLISECOND, SECOND,
};
use meadowrill_settings::{read, Publish, Relay};

const VALID: &str = r#"fleet {
  listen: "10.0.1.4:7100"
  zone: "east"
  region: "north"
  events {
    relay { name: "r1" address: "10.0.1.1:7200" region: "north" zone: "east" }
    relay {
      name: "r2"
      address: "10.0.1.2:7200"
      publishes: true
    }
    heartbeat_ms: 200
    lease_ms: 1200
    lag_most_ms: 500
    copy_age_ms: 1500
    keep_s: 60
    purges_most: 5000
    tries: 4
  }
  relay {
    name: "r2"
    window_bytes: 100000
    publish {
      journal: "10.0.2.1:4222"
      after: 5000000000
    }
  }
}
"#;

fn relays() -> Vec<RelayAddress> {
    let relay = |name: &str, address: &str| RelayAddress {
        name: name.into(),
        address: address.parse().unwrap(),
        region: String::new(),
        zone: String::new(),
        publishes: false,
    };
    vec![
        RelayAddress {
            region: "north".into(),
            zone: "east".into(),
            ..relay("r1", "10.0.1.1:7200")
        },
        RelayAddress {
            publishes: true,
            ..relay("r2", "10.0.1.2:7200")
        },
    ]
}

#[test]
fn all_settings_of_a_file_are_read() {
    let settings = read(VALID).unwrap();
    let fleet = settings.fleet.unwrap();
    let defaults = DistributionSettings::new(fleet.fleet_id(), relays());
    let distribution = DistributionSettings {
        heartbeat_interval: 200 * MILLISECOND,
        lease_duration: 1_200 * MILLISECOND,
        max_lag: 500 * MILLISECOND,
        max_copy_age: 1_500 * MILLISECOND,
        purge_retention: 60 * SECOND,
        max_purges: 5_000,
        max_unanswered: 4,
        ..defaults
    };
    assert_eq!(settings.events, Some(distribution));
    assert_eq!(settings.region, "north");
    let publish = Publish {
        journal: "10.0.2.1:4222".parse().unwrap(),
        after: 5_000_000_000,
    };
    let limits = RelayLimits {
        window_bytes: 100_000,
        ..RelayLimits::default()
    };
    assert_eq!(
        settings.relay,
        Some(Relay {
            name: "r2".into(),
            limits,
            publish: Some(publish)
        })
    );
}

#[test]
fn keys_that_are_not_set_have_defaults() {
    let text = r#"fleet { listen: "10.0.1.4:7100" name: "other"
        events { relay { name: "r1" address: "10.0.1.1:7200" region: "north" zone: "east" }
        relay { name: "r2" address: "10.0.1.2:7200" publishes: true } } relay { name: "r1" } }"#;
    let settings = read(text).unwrap();
    let fleet = settings.fleet.unwrap();
    assert_eq!(
        settings.events,
        Some(DistributionSettings::new(fleet.fleet_id(), relays()))
    );
    let relay = Relay {
        name: "r1".into(),
        limits: RelayLimits::default(),
        publish: None,
    };
    assert_eq!(settings.relay, Some(relay));
    assert_eq!(settings.region, "");
}

#[test]
fn events_and_relay_are_none_without_their_messages() {
    let settings = read(r#"fleet { listen: "10.0.1.4:7100" }"#).unwrap();
    assert_eq!((settings.events, settings.relay), (None, None));
    let settings = read("").unwrap();
    assert_eq!((settings.events, settings.relay), (None, None));
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of test cases")]
fn errors_name_the_invalid_key_and_its_line() {
    let long = format!("region: \"{}\"", "n".repeat(65));
    let long_name = format!("name: \"{}\"\n", "r".repeat(65));
    let cases = [
        ("region: \"north\"\n", long.as_str(), "fleet.region", 4),
        (
            "\"10.0.1.2:7200\"",
            "\"10.0.1.2\"",
            "fleet.events.relay[1].address",
            9,
        ),
        (
            "\"10.0.1.2:7200\"",
            "\"0.0.0.0:7200\"",
            "fleet.events.relay[1].address",
            9,
        ),
        (
            "\"10.0.1.2:7200\"",
            "\"10.0.1.2:0\"",
            "fleet.events.relay[1].address",
            9,
        ),
        (
            "      address: \"10.0.1.2:7200\"\n",
            "",
            "fleet.events.relay[1].address",
            7,
        ),
        (
            "address: \"10.0.1.2:7200\"",
            "port: 7200",
            "fleet.events.relay[1].port",
            9,
        ),
        ("name: \"r2\"\n", "name: \"r1\"\n", "fleet.events.relay", 6),
        (
            "publishes: true",
            "publishes: 3",
            "fleet.events.relay[1].publishes",
            10,
        ),
        (
            "publishes: true",
            "publishes: false",
            "fleet.relay.publish",
            23,
        ),
        ("name: \"r2\"\n", "name: \"\"\n", "fleet.events.relay", 6),
        (
            "name: \"r2\"\n",
            long_name.as_str(),
            "fleet.events.relay",
            6,
        ),
        (
            "heartbeat_ms: 200",
            "batch_ms: 5",
            "fleet.events.batch_ms",
            12,
        ),
        (
            "heartbeat_ms: 200",
            "heartbeat_ms: 20",
            "fleet.events.heartbeat_ms",
            12,
        ),
        (
            "heartbeat_ms: 200",
            "heartbeat_ms: -1",
            "fleet.events.heartbeat_ms",
            12,
        ),
        (
            "heartbeat_ms: 200",
            "heartbeat_ms: 9999999999",
            "fleet.events.heartbeat_ms",
            12,
        ),
        (
            "heartbeat_ms: 200",
            "heartbeat_ms: \"200\"",
            "fleet.events.heartbeat_ms",
            12,
        ),
        (
            "heartbeat_ms: 200",
            "retry_ms: 600",
            "fleet.events.retry_ms",
            12,
        ),
        (
            "heartbeat_ms: 200",
            "heart_ms: 200",
            "fleet.events.heart_ms",
            12,
        ),
        (
            "lease_ms: 1200",
            "lease_ms: 300",
            "fleet.events.lease_ms",
            13,
        ),
        (
            "lag_most_ms: 500",
            "lag_most_ms: 100",
            "fleet.events.lag_most_ms",
            14,
        ),
        (
            "copy_age_ms: 1500",
            "copy_age_ms: 0",
            "fleet.events.copy_age_ms",
            15,
        ),
        ("keep_s: 60", "keep_s: 1", "fleet.events.keep_s", 16),
        (
            "purges_most: 5000",
            "purges_most: 10",
            "fleet.events.purges_most",
            17,
        ),
        ("tries: 4", "tries: 0", "fleet.events.tries", 18),
        (
            "name: \"r2\"\n    window",
            "name: \"r3\"\n    window",
            "fleet.relay.name",
            21,
        ),
        (
            "    name: \"r2\"\n    window",
            "    window",
            "fleet.relay.name",
            20,
        ),
        (
            "window_bytes: 100000",
            "window_bytes: 1",
            "fleet.relay.window_bytes",
            22,
        ),
        (
            "window_bytes: 100000",
            "subscribers_most: 0",
            "fleet.relay.subscribers_most",
            22,
        ),
        (
            "window_bytes: 100000",
            "joins_per_s: 0",
            "fleet.relay.joins_per_s",
            22,
        ),
        (
            "window_bytes: 100000",
            "snapshot_bytes_per_s: 1",
            "fleet.relay.snapshot_bytes_per_s",
            22,
        ),
        (
            "\"10.0.2.1:4222\"",
            "\"journal\"",
            "fleet.relay.publish.journal",
            24,
        ),
        (
            "      journal: \"10.0.2.1:4222\"\n",
            "",
            "fleet.relay.publish.journal",
            23,
        ),
        (
            "after: 5000000000",
            "after: -5",
            "fleet.relay.publish.after",
            25,
        ),
    ];
    for (valid, invalid, key, line) in cases {
        assert!(VALID.contains(valid), "{valid}");
        let error = read(&VALID.replacen(valid, invalid, 1)).unwrap_err();
        assert_eq!(
            (error.key.as_str(), error.line),
            (key, line),
            "{invalid}: {error}"
        );
        assert!(!error.reason.is_empty());
    }
}

#[test]
fn a_relay_requires_the_list_of_relays() {
    let text = "fleet {\n listen: \"10.0.1.4:7100\"\n relay { name: \"r1\" }\n}\n";
    let error = read(text).unwrap_err();
    assert_eq!((error.key.as_str(), error.line), ("fleet.relay", 3));
    let text = "fleet {\n listen: \"10.0.1.4:7100\"\n events { }\n}\n";
    let error = read(text).unwrap_err();
    assert_eq!((error.key.as_str(), error.line), ("fleet.events.relay", 3));
}
