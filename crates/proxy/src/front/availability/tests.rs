use super::*;

const SECOND: Micros = 1_000_000;

/// Lookups that are refused at this rate, from `from` on; the moment of the outage, if it comes within `span`.
fn refuse(seen: &mut Availability, from: Micros, span: Micros, every: Micros) -> Option<Micros> {
    let mut now = from;
    while now < from + span {
        seen.refused(now);
        if seen.begins(now, |_| false).is_some() {
            return Some(now);
        }
        now += every;
    }
    None
}

#[test]
fn an_outage_begins_once_lookups_were_refused_for_its_span_and_ends_with_service() {
    let mut seen = Availability::default();
    assert!(seen.ready(0));
    let begun = refuse(&mut seen, 0, 2 * OUTAGE, SECOND / 10).expect("an outage");
    assert_eq!(begun, OUTAGE);
    assert_eq!(seen.outage_since(), Some(0));
    assert!(!seen.ready(begun));
    // It begins once.
    assert_eq!(refuse(&mut seen, begun, 2 * OUTAGE, SECOND / 10), None);
    assert_eq!(seen.served(), Some(0));
    assert!(seen.ready(begun));
    assert_eq!((seen.served(), seen.outage_since()), (None, None));
}

#[test]
fn phases_of_some_seconds_are_no_outage_however_often_they_come() {
    let mut seen = Availability::default();
    for phase in 0..20 {
        assert_eq!(
            refuse(&mut seen, phase * OUTAGE, OUTAGE - 1, SECOND / 100),
            None
        );
        assert!(seen.ready((phase + 1) * OUTAGE - 1));
        assert_eq!(seen.served(), None);
    }
}

#[test]
fn few_lookups_or_such_with_long_pauses_are_no_outage() {
    let mut seen = Availability::default();
    assert_eq!(refuse(&mut seen, 0, 4 * OUTAGE, PAUSE), None);
    let mut seen = Availability::default();
    let few = Micros::from(LEAST - 1);
    assert_eq!(refuse(&mut seen, 0, few * SECOND, SECOND), None);
}

#[test]
fn what_a_machine_has_taken_and_not_answered_holds_an_outage_off() {
    let mut seen = Availability::default();
    for at in 0..2 * LEAST {
        seen.refused(Micros::from(at) * SECOND);
    }
    let now = Micros::from(2 * LEAST) * SECOND;
    assert_eq!(seen.begins(now, |since| since == 0), None);
    assert!(seen.ready(now));
    assert_eq!(
        seen.begins(now, |_| false),
        Some(Outage {
            since: 0,
            refused: 2 * LEAST
        })
    );
}

#[test]
fn in_an_outage_a_pause_brings_lookups_back_and_the_first_refusal_ends_that() {
    let mut seen = Availability::default();
    let begun = refuse(&mut seen, 0, 2 * OUTAGE, SECOND / 10).expect("an outage");
    assert!(!seen.ready(begun + PAUSE - 1));
    assert!(seen.ready(begun + PAUSE));
    // The outage lasts all the while: it is neither told again nor begun anew.
    let trial = begun + 3 * PAUSE;
    seen.refused(trial);
    assert!(!seen.ready(trial));
    assert_eq!(seen.begins(trial, |_| false), None);
    assert_eq!(seen.outage_since(), Some(0));
}
