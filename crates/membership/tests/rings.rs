//! Tests of the observers on the rings: few observations change when one member is removed.

use meadowrill_membership::rings::Rings;

#[test]
fn each_member_has_its_observers_and_few_change_with_one_member() {
    let mut rings = Rings::new(4);
    (0..200).for_each(|n| rings.insert(&format!("f{n}")));
    let observations = |rings: &Rings| -> Vec<(String, String)> {
        let observations_by = |n: i32| {
            rings
                .observed_by(&format!("f{n}"), |_| false)
                .into_iter()
                .map(move |observed| (format!("f{n}"), observed.into()))
        };
        (0..200).flat_map(observations_by).collect()
    };
    let before = observations(&rings);
    assert!(before.len() > 780, "{}", before.len());
    for (observer, observed) in &before {
        assert!(rings
            .observers_of(observed, |_| false)
            .contains(&observer.as_str()));
    }
    rings.remove("f17");
    let after = observations(&rings);
    let changed = before.iter().filter(|pair| !after.contains(pair)).count();
    assert!(changed <= 8, "{changed}");
}
