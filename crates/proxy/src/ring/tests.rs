use super::*;

#[test]
fn keeps_order_round_the_corner_and_its_bound() {
    let mut ring = Ring::new(10, &Tally::default());
    ring.put(b"abcdefgh").unwrap();
    ring.drop_front(6);
    ring.put(b"ijklmnop").unwrap();
    assert_eq!(ring.put(b"q"), Err(Full));
    assert_eq!((ring.len(), ring.room()), (10, 0));
    assert_eq!(ring.whole(), b"ghijklmnop");
}

#[test]
fn what_is_read_stays_where_it_is_and_within_the_bound() {
    let tally = Tally::default();
    let mut ring = Ring::new(10_000, &tally);
    let mut read = |expected| {
        ring.read(expected, |into| {
            into.fill(7);
            Ok(into.len())
        })
    };
    assert_eq!(read(1).unwrap(), (4096, 4096));
    assert_eq!(read(5_000).unwrap().0, 5_904);
    assert_eq!(read(9_000).unwrap(), (0, 0));
    assert!(ring
        .read(1, |_| Err(io::ErrorKind::WouldBlock.into()))
        .is_err());
    assert_eq!(
        (ring.len(), ring.room(), tally.bytes()),
        (10_000, 0, 10_000)
    );
    assert!(ring.whole().iter().all(|b| *b == 7));
}

#[test]
fn grows_by_doubling_but_not_past_its_bound() {
    let tally = Tally::default();
    let mut ring = Ring::new(150_000, &tally);
    ring.put(&[7; 70_000]).unwrap();
    assert!((70_000..150_000).contains(&tally.bytes()));
    ring.put(&[7; 70_000]).unwrap();
    assert_eq!(tally.bytes(), 150_000);
}

#[test]
fn what_it_holds_is_counted_and_given_back() {
    let tally = Tally::default();
    let mut ring = Ring::new(1 << 20, &tally);
    ring.put(&[7; 100_000]).unwrap();
    assert!(tally.bytes() >= 100_000);
    ring.drop_front(90_000);
    assert!(tally.bytes() <= 40_000);
    ring.drop_front(10_000);
    assert!(tally.bytes() <= KEPT);
    ring.put(&[7; 5000]).unwrap();
    drop(ring);
    assert_eq!(tally.bytes(), 0);
}

#[test]
fn spare_memory_is_used_again_and_bounded() {
    let tally = Tally::default();
    let mut rings: Vec<Ring> = (0..10).map(|_| Ring::new(200_000, &tally)).collect();
    rings
        .iter_mut()
        .for_each(|ring| ring.put(&[7; 100_000]).unwrap());
    rings.iter_mut().for_each(Ring::clear);
    assert_eq!(
        (tally.bytes(), tally.spare.borrow()[1].len()),
        (10 * KEPT, SPARE)
    );
    rings[0].put(&[8; 100_000]).unwrap();
    assert_eq!(
        (tally.bytes(), tally.spare.borrow()[1].len()),
        (9 * KEPT + 131_072, SPARE - 1)
    );
    assert!(rings[0].whole().iter().all(|b| *b == 8));
}
