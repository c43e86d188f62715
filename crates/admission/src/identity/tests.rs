use super::*;
use crate::config::Tenant;

fn tenant(name: &str, networks: &[&str], values: &[&str]) -> Tenant {
    Tenant {
        name: name.into(),
        networks: networks.iter().map(|n| n.parse().unwrap()).collect(),
        values: values.iter().map(|v| v.to_string()).collect(),
        ..Tenant::default()
    }
}

#[test]
fn the_longest_network_wins_and_a_known_field_before_it() {
    let tenants = vec![
        Tenant::default(),
        tenant("wide", &["10.0.0.0/8", "2001:db8::/32"], &["w"]),
        tenant("narrow", &["10.9.0.0/16"], &[]),
        tenant("all", &["0.0.0.0/0"], &[]),
    ];
    let config = AdmissionConfig {
        tenants,
        tenant_field: Some("h".into()),
        ..AdmissionConfig::default()
    };
    assert_eq!(config.validate(), Ok(()));
    let resolver = IdentityResolver::new(&config, 1);
    let tenant_of = |address: &str, field| {
        let address = address.parse().unwrap();
        resolver
            .resolve(RequestOrigin {
                address,
                connection: 1,
                tenant_field: field,
                client_field: None,
            })
            .tenant
    };
    assert_eq!(
        [
            tenant_of("10.1.2.3", None),
            tenant_of("10.9.2.3", None),
            tenant_of("9.9.9.9", None)
        ],
        [1, 2, 3]
    );
    assert_eq!(
        [
            tenant_of("2001:db8::1", None),
            tenant_of("2001:db9::1", None),
            tenant_of("::ffff:10.9.0.1", None)
        ],
        [1, 0, 2]
    );
    assert_eq!(
        [
            tenant_of("10.9.2.3", Some("w")),
            tenant_of("10.9.2.3", Some("made up"))
        ],
        [1, 2]
    );
}

#[test]
fn a_client_is_what_the_plan_says() {
    let origin = |connection, client_field| RequestOrigin {
        address: "10.0.0.1".parse().unwrap(),
        connection,
        tenant_field: None,
        client_field,
    };
    let same = |client_key, a, b| {
        let resolver = IdentityResolver::new(
            &AdmissionConfig {
                client_key,
                ..AdmissionConfig::default()
            },
            1,
        );
        resolver.resolve(a).client == resolver.resolve(b).client
    };
    assert!(same(
        ClientKey::Address,
        origin(1, Some("a")),
        origin(2, Some("b"))
    ));
    assert!(!same(
        ClientKey::Connection,
        origin(1, None),
        origin(2, None)
    ));
    let field = ClientKey::Field("desk".into());
    assert!(same(
        field.clone(),
        origin(1, Some("a")),
        origin(2, Some("a"))
    ));
    assert!(!same(
        field.clone(),
        origin(1, Some("a")),
        origin(1, Some("b"))
    ));
    assert!(same(field, origin(1, None), origin(2, None)));
}
