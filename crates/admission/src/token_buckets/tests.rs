use super::*;

#[test]
fn a_burst_passes_then_the_rate() {
    let mut buckets = TokenBuckets::new(10.0, 3.0);
    let identity = ClientIdentity {
        tenant: 0,
        client: 5,
        connection: 1,
        address: "127.0.0.1".parse().unwrap(),
    };
    let taken: Vec<_> = (0..4).map(|_| buckets.take_token(0, identity)).collect();
    assert_eq!(taken, [Ok(()), Ok(()), Ok(()), Err(100_000)]);
    assert_eq!(
        (
            buckets.take_token(100_000, identity),
            buckets.take_token(100_000, identity)
        ),
        (Ok(()), Err(200_000))
    );
}
