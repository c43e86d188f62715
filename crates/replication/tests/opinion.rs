//! Opinions of several fronts' observations: one that lies moves them little, the young and the near count more.

use meadowrill_replication::records::Observation;
use meadowrill_replication::shared_estimate::combine;

fn sight(writer: &str, number: f64) -> Observation {
    Observation {
        writer: writer.into(),
        zone: "east".into(),
        values: vec![number],
        observed_at: 1_000_000,
    }
}

#[test]
fn one_that_lies_moves_it_no_further_than_its_neighbours() {
    let honest = [sight("a", 0.02), sight("b", 0.03), sight("c", 0.04)];
    for lie in [-1e9, 0.5, 1e9, f64::NAN, f64::INFINITY] {
        let mut all = honest.to_vec();
        // Fresher than all others, and from here.
        all.push(Observation {
            observed_at: 60_000_000,
            ..sight("liar", lie)
        });
        let thought = combine(&all, "east", 61_000_000).unwrap().values[0];
        assert!((0.02..=0.04).contains(&thought), "{lie}: {thought}");
    }
}

#[test]
fn the_young_and_the_near_count_more() {
    let far = Observation {
        zone: "west".into(),
        ..sight("far", 9.0)
    };
    let old = Observation {
        observed_at: 0,
        ..sight("old", 7.0)
    };
    let young = Observation {
        observed_at: 300_000_000,
        ..sight("young", 1.0)
    };
    assert_eq!(
        combine(&[young.clone(), old], "east", 301_000_000)
            .unwrap()
            .values,
        [1.0]
    );
    assert_eq!(
        combine(&[far, sight("near", 2.0)], "east", 1_000_000)
            .unwrap()
            .values,
        [2.0]
    );
    assert_eq!(combine(&[], "east", 0), None);
}
