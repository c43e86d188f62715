//! Opinions of several fronts' observations: one that lies moves them little, the young and the near count more.

use meadowrill_replication::kinds::Sight;
use meadowrill_replication::opinion::of;

fn sight(writer: &str, number: f64) -> Sight {
    Sight {
        writer: writer.into(),
        zone: "east".into(),
        numbers: vec![number],
        at: 1_000_000,
    }
}

#[test]
fn one_that_lies_moves_it_no_further_than_its_neighbours() {
    let honest = [sight("a", 0.02), sight("b", 0.03), sight("c", 0.04)];
    for lie in [-1e9, 0.5, 1e9, f64::NAN, f64::INFINITY] {
        let mut all = honest.to_vec();
        // Fresher than all others, and from here.
        all.push(Sight {
            at: 60_000_000,
            ..sight("liar", lie)
        });
        let thought = of(&all, "east", 61_000_000).unwrap().numbers[0];
        assert!((0.02..=0.04).contains(&thought), "{lie}: {thought}");
    }
}

#[test]
fn the_young_and_the_near_count_more() {
    let far = Sight {
        zone: "west".into(),
        ..sight("far", 9.0)
    };
    let old = Sight {
        at: 0,
        ..sight("old", 7.0)
    };
    let young = Sight {
        at: 300_000_000,
        ..sight("young", 1.0)
    };
    assert_eq!(
        of(&[young.clone(), old], "east", 301_000_000)
            .unwrap()
            .numbers,
        [1.0]
    );
    assert_eq!(
        of(&[far, sight("near", 2.0)], "east", 1_000_000)
            .unwrap()
            .numbers,
        [2.0]
    );
    assert_eq!(of(&[], "east", 0), None);
}
