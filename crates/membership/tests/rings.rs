//! Observers on the rings, and how few of them change with one member.

use meadowrill_membership::rings::Rings;

#[test]
fn each_member_has_its_observers_and_few_change_with_one_member() {
    let mut rings = Rings::new(4);
    (0..200).for_each(|n| rings.insert(&format!("f{n}")));
    let pairs = |rings: &Rings| -> Vec<(String, String)> {
        let of = |n: i32| {
            rings
                .observed_by(&format!("f{n}"), |_| false)
                .into_iter()
                .map(move |o| (format!("f{n}"), o.into()))
        };
        (0..200).flat_map(of).collect()
    };
    let before = pairs(&rings);
    assert!(before.len() > 780, "{}", before.len());
    for (by, of) in &before {
        assert!(rings.observers_of(of, |_| false).contains(&by.as_str()));
    }
    rings.remove("f17");
    let after = pairs(&rings);
    let changed = before.iter().filter(|pair| !after.contains(pair)).count();
    assert!(changed <= 8, "{changed}");
}
