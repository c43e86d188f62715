//! Tests of the order and the number of transmissions of rumors.

use meadowrill_membership::rumors::Rumors;

#[test]
fn rumors_are_sent_newest_first_and_a_bounded_number_of_times() {
    let mut rumors = Rumors::default();
    ["a", "b", "c"].iter().for_each(|n| rumors.insert(n, 3));
    let mut order = Vec::new();
    rumors.transmit(|name| {
        order.push(name.to_string());
        order.len() < 3
    });
    assert_eq!(order, ["c", "b", "a"]);
    let mut transmissions = 0;
    while !rumors.is_empty() {
        rumors.transmit(|_| true);
        transmissions += 1;
    }
    assert_eq!(transmissions, 6);
}
