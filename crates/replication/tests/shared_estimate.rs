//! Estimates from several proxies' observations: a false observation moves them little, and recent observations and
//! those of the same zone have more weight.

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
fn a_false_observation_moves_the_estimate_at_most_to_the_neighboring_values() {
    let honest = [
        observation("a", 0.02),
        observation("b", 0.03),
        observation("c", 0.04),
    ];
    for false_value in [-1e9, 0.5, 1e9, f64::NAN, f64::INFINITY] {
        let mut observations = honest.to_vec();
        // The false observation is the latest, and from the same zone.
        observations.push(Observation {
            observed_at: 60 * SEC as u64,
            ..observation("faulty", false_value)
        });
        let estimate = combine(&observations, "east", 61 * SEC).unwrap().values[0];
        assert!(
            (0.02..=0.04).contains(&estimate),
            "{false_value}: {estimate}"
        );
    }
}

#[test]
fn recent_observations_and_those_of_the_same_zone_have_more_weight() {
    let far = Observation {
        zone: "west".into(),
        ..observation("far", 9.0)
    };
    let old = Observation {
        observed_at: 0,
        ..observation("old", 7.0)
    };
    let recent = Observation {
        observed_at: 300 * SEC as u64,
        ..observation("recent", 1.0)
    };
    let values =
        |observations: &[Observation], now| combine(observations, "east", now).unwrap().values;
    assert_eq!(values(&[recent, old], 301 * SEC), [1.0]);
    assert_eq!(values(&[far, observation("near", 2.0)], SEC), [2.0]);
    assert_eq!(combine(&[], "east", 0), None);
}

/// Stores an observation of each subject by each writer, and returns the values observed by others for each subject.
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
            let record_type = RecordType::Observation;
            let (key, entry) =
                observation_record(record_type, subject.as_bytes(), 1, &observation, expires_at);
            map.merge(key, entry, SEC);
        }
    }
    let of_subject = |subject: &&str| {
        let record_type = RecordType::Observation;
        let all = observations_by_others(&map, record_type, subject.as_bytes(), ("self", 1));
        let mut values: Vec<f64> = all.iter().map(|each| each.values[0]).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    subjects.iter().map(of_subject).collect()
}

// Guards against two long names that are truncated to the same name. An endpoint would be judged by another's failures,
// or one proxy's observation would count for two proxies.
#[test]
fn long_subjects_and_writers_with_the_same_prefix_are_distinguished() {
    let long = |end: &str| format!("{}{end}", "a".repeat(100));
    let (first, second) = (long("1"), long("2"));
    let values = observed(&[&first, &second], &["w"]);
    assert_eq!(values, [[1.0], [2.0]]);
    let values = observed(&["s"], &[&first, &second]);
    assert_eq!(values, [[1.0, 2.0]]);
}
