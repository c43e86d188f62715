use super::codec::parse_entry;
use super::*;
use meadowrill_routing::interface::EndpointStatus;

fn read(text: &str) -> Result<Line, LineError> {
    parse_entry(&serde_json::from_str(text).unwrap())
}

#[test]
fn lines_of_each_form_are_read() {
    let hosts = r#"{"pos":41,"hosts":{"revision":7,"complete":true,"members":[{"id":"s-00c41f7a",
        "host_port":"127.1.0.9:10080","locality":"east","flavor":"std","cell":2,"phase":"DRAINING",
        "size":4,"up_since_ms":1764576000123}]}}"#;
    let line = read(hosts).unwrap();
    let Some(Update::Endpoints {
        complete: true,
        endpoints,
    }) = line.update
    else {
        panic!("{line:?}")
    };
    assert_eq!(
        (line.position, endpoints[0].cell, endpoints[0].weight),
        (Some(41), 2, 4.0)
    );
    assert_eq!(
        (endpoints[0].status, endpoints[0].started_at),
        (EndpointStatus::Draining, 1_764_576_000_123_000)
    );
    let purge = read(r#"{"pos":42,"expire":{"name":"7f3a9c21e0b4d655","stamp":1000}}"#).unwrap();
    let want = Update::Invalidation {
        object: Some(0x7f3a_9c21_e0b4_d655),
        group: 0,
        issued_at: 1_000_000,
    };
    assert_eq!(purge.update, Some(want));
    let group = read(r#"{"pos":43,"expire":{"set":17,"stamp":1}}"#)
        .unwrap()
        .update;
    assert_eq!(
        group,
        Some(Update::Invalidation {
            object: None,
            group: 17,
            issued_at: 1000
        })
    );
    assert_eq!(
        read("43"),
        Ok(Line {
            position: Some(43),
            update: None
        })
    );
    assert_eq!(
        read(r#"{"pos":43}"#),
        Ok(Line {
            position: Some(43),
            update: None
        })
    );
}

#[test]
fn an_unusable_line_is_rejected_completely() {
    let member = |phase: &str, address: &str| {
        read(&format!(
            r#"{{"pos":1,"hosts":{{"members":[{{"id":"s","phase":"{phase}","host_port":"{address}"}}]}}}}"#
        ))
    };
    assert!(member("SERVING", "127.0.0.1:1").is_ok() && member("DELETED", "").is_ok());
    assert!(member("SERVING", "nowhere").is_err() && member("ASLEEP", "127.0.0.1:1").is_err());
    for bad in [
        "[]",
        r#"{"pos":1,"hosts":{}}"#,
        r#"{"expire":{"stamp":1}}"#,
        r#"{"expire":{"set":1}}"#,
    ] {
        assert!(read(bad).is_err(), "{bad}");
    }
}

#[test]
fn a_new_lagging_client_lags_until_the_service_reports_no_more_events() {
    let mut client = DiscoveryClient::new_lagging("127.0.0.1:1".parse().unwrap(), 1, 5_000);
    assert_eq!(client.lag_since(), Some(5_000));
    let mut notices = Vec::new();
    client
        .handle_line(
            read(r#"{"pos":2,"expire":{"set":17,"stamp":1}}"#),
            &mut notices,
        )
        .unwrap();
    assert_eq!((client.lag_since(), notices.len()), (Some(5_000), 1));
    client.handle_line(read("2"), &mut notices).unwrap();
    assert_eq!(client.lag_since(), None);
}

// Guards against overflowing sums, and against endpoints that never warm up, because of times out of range.
#[test]
fn times_out_of_range_are_not_used() {
    let purge = |stamp: &str| {
        read(&format!(
            r#"{{"pos":1,"expire":{{"set":1,"stamp":{stamp}}}}}"#
        ))
    };
    assert!(purge("0").is_ok() && purge("253402300799999").is_ok());
    for stamp in [
        "-1",
        "-1e300",
        "1e300",
        "253402300800000",
        "18446744073709551615",
        "\"1\"",
    ] {
        assert!(purge(stamp).is_err(), "{stamp}");
    }
    let started_at = |up_since: &str| {
        let line = read(&format!(
            r#"{{"pos":1,"hosts":{{"members":[{{"id":"s","phase":"SERVING","host_port":"127.0.0.1:1","up_since_ms":{up_since}}}]}}}}"#
        ));
        match line.unwrap().update {
            Some(Update::Endpoints { endpoints, .. }) => endpoints[0].started_at,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(started_at("1764576000123"), 1_764_576_000_123_000);
    for up_since in ["0", "-1", "1e300", "18446744073709551615"] {
        assert_eq!(started_at(up_since), 0, "{up_since}");
    }
}
