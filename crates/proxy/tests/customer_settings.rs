//! Settings of other customers: the program starts and serves requests whatever names the settings use. A faulty
//! setting ends the start with an error that names the key.

use meadowrill_test_servers::*;
use serde_json::{json, Value};

type Change = fn(&mut Value);

struct Customer {
    name: &'static str,
    /// Changes the default configuration of the tests.
    change: Change,
    /// The class that the test requests.
    requested_class: &'static str,
}

fn classes(settings: &mut Value, names: &[(&str, &str)]) {
    let class = |(name, repeat): &(&str, &str)| {
        json!({"name": name, "repeat": repeat, "goal_time_s": 0.5, "deadline_s": 3.0, "aim_stretch": 2.0, "group": "all",
            "key_ttl_s": 0.4, "worth": 1.0})
    };
    settings["classes"] = names.iter().map(class).collect();
    let for_each_class = |value: Value| Value::from(vec![value; names.len()]);
    settings["specifics"]["goes_through"] = names
        .iter()
        .map(|(_, repeat)| Value::from(*repeat != "safe"))
        .collect();
    settings["specifics"]["max_age_s"] = for_each_class(json!(0.0));
    settings["specifics"]["stale_for_s"] = for_each_class(json!(0.0));
}

const CUSTOMERS: [Customer; 7] = [
    Customer {
        name: "default settings",
        change: |_| {},
        requested_class: "map",
    },
    Customer {
        name: "all classes renamed",
        change: |config| {
            classes(
                &mut config["settings"],
                &[
                    ("film", "safe"),
                    ("press-start", "unsafe"),
                    ("tally", "keyed"),
                ],
            );
        },
        requested_class: "film",
    },
    Customer {
        name: "one class only",
        change: |config| classes(&mut config["settings"], &[("all-there-is", "safe")]),
        requested_class: "all-there-is",
    },
    Customer {
        name: "many classes",
        change: |config| {
            let names: Vec<String> = (0..40).map(|n| format!("c{n}")).collect();
            let all: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "safe")).collect();
            classes(&mut config["settings"], &all);
        },
        requested_class: "c39",
    },
    Customer {
        name: "other zones and host types",
        change: |config| {
            let text = config
                .to_string()
                .replace("\"east\"", "\"vault\"")
                .replace("\"main\"", "\"hall\"");
            let text = text
                .replace("\"std\"", "\"rack\"")
                .replace("\"parent\"", "\"shelf\"");
            *config = serde_json::from_str(&text).unwrap();
        },
        requested_class: "map",
    },
    Customer {
        name: "unknown keys",
        change: |config| {
            config["settings"]["more"] = json!({"deep": [1, {"er": null}], "list": []});
            config["settings"]["classes"][0]["colour"] = json!("blue");
            config["extra"] = json!(true);
        },
        requested_class: "map",
    },
    Customer {
        name: "without optional keys",
        change: |config| {
            let settings = config["settings"].as_object_mut().unwrap();
            for key in [
                "balancers",
                "weight_kind",
                "feedback",
                "guarantees",
                "limits",
            ] {
                settings.remove(key);
            }
            settings["classes"][0] = json!({"name": "map", "repeat": "safe"});
            for key in ["limits", "name"] {
                config.as_object_mut().unwrap().remove(key);
            }
        },
        requested_class: "map",
    },
];

#[test]
fn requests_of_each_customers_settings_are_served() {
    for customer in CUSTOMERS {
        let cache = Cache::start(ok(b"fine"));
        let journal = Journal::start();
        let mut config = config(&[("s-a", cache.address)], journal.address);
        (customer.change)(&mut config);
        let mut program = Program::start(&config);
        let mut client = Client::new(&program);
        let response = client.lookup(1, customer.requested_class);
        assert_eq!(
            (response.code(), response.fields_and_body().1),
            (0, &b"fine"[..]),
            "{}",
            customer.name
        );
        // A request fails if the settings do not name its class.
        assert_eq!(client.lookup(2, "unlisted").code(), 5, "{}", customer.name);
        drop(client);
        program.terminate();
        assert!(program.exits_within(HANG_TIMEOUT), "{}", customer.name);
    }
}

#[test]
fn a_faulty_setting_ends_the_start_with_its_key() {
    let faults: [(&str, Change); 9] = [
        ("settings.classes", |config| {
            config["settings"]["classes"] = json!([])
        }),
        ("settings.classes.1", |config| {
            config["settings"]["classes"][1] = json!({"repeat": "safe"})
        }),
        ("settings.classes.0.deadline_s", |config| {
            config["settings"]["classes"][0]["deadline_s"] = json!("soon")
        }),
        ("settings.classes.2.key_ttl_s", |config| {
            config["settings"]["classes"][2]["key_ttl_s"] = json!(-1)
        }),
        ("settings.classes.0.repeat", |config| {
            config["settings"]["classes"][0]["repeat"] = json!("perhaps")
        }),
        ("settings.limits.send_cap", |config| {
            config["settings"]["limits"]["send_cap"] = json!(0)
        }),
        ("settings.specifics.flow_kb_per_s", |config| {
            config["settings"]["specifics"]["flow_kb_per_s"] = json!(-5)
        }),
        ("known.entries", |config| {
            config["known"] = json!({"pos": 1})
        }),
        ("limits.sockets", |config| {
            config["limits"]["sockets"] = json!(8)
        }),
    ];
    for (key, change) in faults {
        let mut config = config(&[], "127.0.0.1:1".parse().unwrap());
        change(&mut config);
        let text = Program::startup_error(&config);
        assert!(text.contains(&format!("{key}: ")), "{key}: {text}");
    }
}
