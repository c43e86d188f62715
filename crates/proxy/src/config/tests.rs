use super::*;

const VALID_CONFIG: &str = r#"{"listen":"127.0.0.1:0","journal":"127.0.0.1:4222","seed":"8c1f30d27a5be964",
    "limits":{"memory_mb":192,"sockets":1024},"known":{"pos":0,"entries":[]},
    "settings":{"classes":[{"name":"a","deadline_s":2.5}],"zones":["x y","b"],"tenants":[],
    "limits":{"cancel":true},"specifics":{"report_x1":"one, two","max_age_s":[0.0,8.0]}}}"#;

fn read(text: &str) -> Result<Config, ConfigError> {
    Config::read(text, |_| None)
}

#[test]
fn nested_settings_are_flattened_for_the_router() {
    let config = read(VALID_CONFIG).unwrap();
    let get = |name: &str| config.routing.get(name).map(String::as_str);
    assert_eq!(get("classes.count"), Some("1"));
    assert_eq!(get("classes.0.name"), Some("a"));
    assert_eq!(get("zones"), Some("x_y,b"));
    assert_eq!(get("specifics.report_x1"), Some("one__two"));
    assert_eq!(get("specifics.max_age_s"), Some("0.0,8.0"));
    assert_eq!(
        (get("limits.cancel"), get("tenants")),
        (Some("true"), Some(""))
    );
    assert_eq!(
        (config.longest_deadline, config.connect_timeout),
        (2_500_000, 400_000)
    );
    assert!(
        config.max_client_connections
            + config.max_draining_connections
            + config.max_endpoint_connections
            + RESERVED_DESCRIPTORS
            == 1024
            && config.max_client_connections > 1024 / 3
    );
}

#[test]
fn an_error_names_the_full_path_of_its_key() {
    let cases = [
        ("\"sockets\":1024", "\"sockets\":\"many\"", "limits.sockets"),
        ("\"memory_mb\":192", "\"memory_mb\":1", "limits.memory_mb"),
        ("127.0.0.1:4222", "nowhere", "journal"),
        ("8c1f30d27a5be964", "seed", "seed"),
        (
            "\"deadline_s\":2.5",
            "\"deadline_s\":-1",
            "settings.classes.0.deadline_s",
        ),
        ("\"name\":\"a\"", "\"nom\":\"a\"", "settings.classes.0"),
        ("\"known\"", "\"unknown\"", "known"),
        ("\"listen\"", "\"lisen\"", "listen"),
        ("\"zones\":[", "\"zones\":[7,", "settings.zones.0"),
        ("}}}", "", "BALANCER_CONFIG"),
    ];
    for (valid, invalid, key) in cases {
        assert!(VALID_CONFIG.contains(valid));
        assert_eq!(
            read(&VALID_CONFIG.replacen(valid, invalid, 1))
                .unwrap_err()
                .key,
            key
        );
    }
}

#[test]
fn the_environment_fills_in_name_and_address() {
    let env = |name: &str| (name == "BALANCER_LISTEN").then(|| "127.0.0.2:9".to_string());
    let config = Config::read(&VALID_CONFIG.replacen("listen", "x", 1), env).unwrap();
    assert_eq!((config.listen.port(), config.name.as_str()), (9, "front"));
}
