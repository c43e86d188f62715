use super::*;

const SECOND: Micros = 1_000_000;

/// Refuses a request at each interval of `every`, starting at `from`. Returns the time at which an outage begins, if
/// one begins within `span`.
fn refuse_requests(
    availability: &mut Availability,
    from: Micros,
    span: Micros,
    every: Micros,
) -> Option<Micros> {
    let mut now = from;
    while now < from + span {
        availability.record_refusal(now);
        if availability.begin_outage(now, |_| false).is_some() {
            return Some(now);
        }
        now += every;
    }
    None
}

#[test]
fn an_outage_begins_once_requests_were_refused_long_enough_and_ends_with_service() {
    let mut availability = Availability::default();
    assert!(availability.is_ready(0));
    let begun =
        refuse_requests(&mut availability, 0, 2 * OUTAGE_AFTER, SECOND / 10).expect("an outage");
    assert_eq!(begun, OUTAGE_AFTER);
    assert_eq!(availability.outage_since(), Some(0));
    assert!(!availability.is_ready(begun));
    // The same outage does not begin a second time.
    assert_eq!(
        refuse_requests(&mut availability, begun, 2 * OUTAGE_AFTER, SECOND / 10),
        None
    );
    assert_eq!(availability.record_service(), Some(0));
    assert!(availability.is_ready(begun));
    assert_eq!(
        (availability.record_service(), availability.outage_since()),
        (None, None)
    );
}

#[test]
fn short_interruptions_are_not_an_outage_however_frequent() {
    let mut availability = Availability::default();
    for phase in 0..20 {
        assert_eq!(
            refuse_requests(
                &mut availability,
                phase * OUTAGE_AFTER,
                OUTAGE_AFTER - 1,
                SECOND / 100
            ),
            None
        );
        assert!(availability.is_ready((phase + 1) * OUTAGE_AFTER - 1));
        assert_eq!(availability.record_service(), None);
    }
}

#[test]
fn few_refusals_or_refusals_with_long_pauses_are_not_an_outage() {
    let mut availability = Availability::default();
    assert_eq!(
        refuse_requests(&mut availability, 0, 4 * OUTAGE_AFTER, QUIET_PERIOD),
        None
    );
    let mut availability = Availability::default();
    let few = Micros::from(MIN_REFUSALS - 1);
    assert_eq!(
        refuse_requests(&mut availability, 0, few * SECOND, SECOND),
        None
    );
}

#[test]
fn no_outage_begins_while_an_accepted_request_is_unanswered() {
    let mut availability = Availability::default();
    for at in 0..2 * MIN_REFUSALS {
        availability.record_refusal(Micros::from(at) * SECOND);
    }
    let now = Micros::from(2 * MIN_REFUSALS) * SECOND;
    assert_eq!(availability.begin_outage(now, |since| since == 0), None);
    assert!(availability.is_ready(now));
    assert_eq!(
        availability.begin_outage(now, |_| false),
        Some(Outage {
            since: 0,
            refused: 2 * MIN_REFUSALS
        })
    );
}

#[test]
fn a_pause_during_an_outage_reports_ready_until_the_next_refusal() {
    let mut availability = Availability::default();
    let begun =
        refuse_requests(&mut availability, 0, 2 * OUTAGE_AFTER, SECOND / 10).expect("an outage");
    assert!(!availability.is_ready(begun + QUIET_PERIOD - 1));
    assert!(availability.is_ready(begun + QUIET_PERIOD));
    // The outage continues throughout: it is not reported again and does not begin again.
    let next_request = begun + 3 * QUIET_PERIOD;
    availability.record_refusal(next_request);
    assert!(!availability.is_ready(next_request));
    assert_eq!(availability.begin_outage(next_request, |_| false), None);
    assert_eq!(availability.outage_since(), Some(0));
}
