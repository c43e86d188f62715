use super::*;

fn identity(client: u64, connection: u64) -> ClientIdentity {
    ClientIdentity {
        tenant: 0,
        client,
        connection,
        address: "127.0.0.1".parse().unwrap(),
    }
}

#[test]
fn a_reservation_is_redeemed_when_due_and_not_before() {
    let mut calendar = ReservationCalendar::new(0);
    let client = identity(7, 1);
    assert!(calendar.reserve(&client, 3, 100_000) && calendar.reserve(&client, 3, 100_000));
    assert_eq!(calendar.redeem(99_999, &client), None);
    assert_eq!(calendar.redeem(100_000, &identity(8, 1)), None);
    assert_eq!(calendar.redeem(100_000, &client), Some(3));
    assert_eq!(calendar.redeem(300_000, &client), Some(3));
    assert_eq!(
        (
            calendar.redeem(300_000, &client),
            calendar.open,
            calendar.redeemed
        ),
        (None, 0, 2)
    );
}

#[test]
fn the_connection_with_the_reservation_goes_first_but_it_belongs_to_the_client() {
    let mut calendar = ReservationCalendar::new(0);
    let (rejected, other, newer) = (identity(7, 1), identity(7, 2), identity(7, 3));
    calendar.redeem(0, &other);
    assert!(calendar.reserve(&rejected, 3, 100_000) && calendar.reserve(&rejected, 3, 100_000));
    assert_eq!(calendar.redeem(100_000, &other), None);
    assert_eq!(calendar.redeem(100_000, &newer), Some(3));
    assert_eq!(calendar.redeem(170_000, &other), Some(3));
    assert_eq!(calendar.open, 0);
}

#[test]
fn unredeemed_reservations_expire() {
    let mut calendar = ReservationCalendar::new(0);
    (0..500).for_each(|c| {
        assert!(calendar.reserve(&identity(c % 50, c % 7), 1, Micros::from(c as u32) * 1_000))
    });
    assert_eq!(calendar.pop_expired(200_000), None);
    let expired: u32 = std::iter::from_fn(|| calendar.pop_expired(2_000_000))
        .map(|e| e.count)
        .sum();
    assert_eq!(
        (expired, calendar.open, calendar.entries.len()),
        (500, 0, 0)
    );
    assert!(calendar.tables.iter().flatten().all(|index| *index == NONE));
}

#[test]
fn the_calendar_is_bounded_and_counts_refusals() {
    let mut calendar = ReservationCalendar::new(0);
    let reserved = (0..3 * CAPACITY as u64)
        .filter(|c| calendar.reserve(&identity(*c, 0), 0, 500_000))
        .count();
    assert_eq!(
        (reserved, calendar.refused),
        (CAPACITY, 2 * CAPACITY as u64)
    );
}
