use super::*;

fn read(text: &str) -> Result<Line, String> {
    entry(&serde_json::from_str(text).unwrap())
}

#[test]
fn lines_of_each_form() {
    let hosts = r#"{"pos":41,"hosts":{"revision":7,"complete":true,"members":[{"id":"s-00c41f7a",
        "host_port":"127.1.0.9:10080","locality":"east","flavor":"std","cell":2,"phase":"DRAINING",
        "size":4,"up_since_ms":1764576000123}]}}"#;
    let line = read(hosts).unwrap();
    let Some(Change::Hosts {
        complete: true,
        members,
    }) = line.change
    else {
        panic!("{line:?}")
    };
    assert_eq!(
        (line.pos, members[0].cell, members[0].size),
        (Some(41), 2, 4.0)
    );
    assert_eq!(
        (members[0].standing, members[0].up_since),
        (EndpointStatus::Draining, 1_764_576_000_123_000)
    );
    let purge = read(r#"{"pos":42,"expire":{"name":"7f3a9c21e0b4d655","stamp":1000}}"#).unwrap();
    let want = Change::Purge {
        object: Some(0x7f3a_9c21_e0b4_d655),
        group: 0,
        stamp: 1_000_000,
    };
    assert_eq!(purge.change, Some(want));
    let group = read(r#"{"pos":43,"expire":{"set":17,"stamp":1}}"#)
        .unwrap()
        .change;
    assert_eq!(
        group,
        Some(Change::Purge {
            object: None,
            group: 17,
            stamp: 1000
        })
    );
    assert_eq!(
        read("43"),
        Ok(Line {
            pos: Some(43),
            change: None
        })
    );
    assert_eq!(
        read(r#"{"pos":43}"#),
        Ok(Line {
            pos: Some(43),
            change: None
        })
    );
}

#[test]
fn bad_lines_are_refused_whole() {
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
fn one_that_has_heard_nothing_yet_is_behind_until_it_is_told_that_there_is_nothing_more() {
    let mut journal = Journal::unheard("127.0.0.1:1".parse().unwrap(), 1, 5_000);
    assert_eq!(journal.behind(), Some(5_000));
    let mut news = Vec::new();
    journal
        .line(
            read(r#"{"pos":2,"expire":{"set":17,"stamp":1}}"#),
            &mut news,
        )
        .unwrap();
    assert_eq!((journal.behind(), news.len()), (Some(5_000), 1));
    journal.line(read("2"), &mut news).unwrap();
    assert_eq!(journal.behind(), None);
}
