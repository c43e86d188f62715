//! Estimates from several proxies' observations: one that lies moves them little, the young and the near count more.

use meadowrill_replication::map::{Map, MapLimits};
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::records::{observation_record, Observation};
use meadowrill_replication::shared_estimate::{combine, observations_by_others};
use meadowrill_replication::SEC;

fn observation(writer: &str, value: f64) -> Observation {
    Observation {
        writer: writer.into(),
        zone: "east".into(),
        values: vec![value],
        observed_at: SEC as u64,
    }
}

#[test]
fn a_lying_proxy_moves_the_estimate_no_further_than_its_neighbours() {
    let honest = [
        observation("a", 0.02),
        observation("b", 0.03),
        observation("c", 0.04),
    ];
    for lie in [-1e9, 0.5, 1e9, f64::NAN, f64::INFINITY] {
        let mut observations = honest.to_vec();
        // Fresher than all others, and from the same zone.
        observations.push(Observation {
            observed_at: 60 * SEC as u64,
            ..observation("liar", lie)
        });
        let estimate = combine(&observations, "east", 61 * SEC).unwrap().values[0];
        assert!((0.02..=0.04).contains(&estimate), "{lie}: {estimate}");
    }
}

#[test]
fn young_observations_and_those_of_the_own_zone_weigh_more() {
    let far = Observation {
        zone: "west".into(),
        ..observation("far", 9.0)
    };
    let old = Observation {
        observed_at: 0,
        ..observation("old", 7.0)
    };
    let young = Observation {
        observed_at: 300 * SEC as u64,
        ..observation("young", 1.0)
    };
    let values =
        |observations: &[Observation], now| combine(observations, "east", now).unwrap().values;
    assert_eq!(values(&[young, old], 301 * SEC), [1.0]);
    assert_eq!(values(&[far, observation("near", 2.0)], SEC), [2.0]);
    assert_eq!(combine(&[], "east", 0), None);
}

/// Of each of these subjects, the values that others have observed, once these writers have observed it.
fn observed(subjects: &[&str], writers: &[&str]) -> Vec<Vec<f64>> {
    let mut map = Map::new(MapLimits {
        entries: 100,
        bytes: 100_000,
    });
    let mut value = 0.0;
    for subject in subjects {
        for writer in writers {
            value += 1.0;
            let observation = observation(writer, value);
            let expires_at = 10 * SEC;
            let kind = RecordType::Observation;
            let (key, entry) =
                observation_record(kind, subject.as_bytes(), 1, &observation, expires_at);
            map.merge(key, entry, SEC);
        }
    }
    let of_subject = |subject: &&str| {
        let kind = RecordType::Observation;
        let all = observations_by_others(&map, kind, subject.as_bytes(), ("self", 1));
        let mut values: Vec<f64> = all.iter().map(|each| each.values[0]).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    subjects.iter().map(of_subject).collect()
}

// Guards against two long names that are taken for one: an endpoint judged by another's failures, a proxy that counts for two.
#[test]
fn long_subjects_and_writers_with_the_same_beginning_are_told_apart() {
    let long = |end: &str| format!("{}{end}", "a".repeat(100));
    let (first, second) = (long("1"), long("2"));
    let values = observed(&[&first, &second], &["w"]);
    assert_eq!(values, [[1.0], [2.0]]);
    let values = observed(&["s"], &[&first, &second]);
    assert_eq!(values, [[1.0, 2.0]]);
}
