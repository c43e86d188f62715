//! Estimates from several proxies' observations: one that lies moves them little, the young and the near count more.

use meadowrill_replication::records::Observation;
use meadowrill_replication::shared_estimate::combine;
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
