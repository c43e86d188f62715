use super::*;
use meadowrill_routing::host::catch_panic;

#[test]
fn panics_are_values() {
    assert_eq!(catch_panic(|| 7).ok(), Some(7));
    assert_eq!(
        catch_panic(|| [1][std::hint::black_box(1)])
            .unwrap_err()
            .to_string()
            .split(':')
            .next(),
        Some("index out of bounds")
    );
}

#[test]
fn only_what_never_left_whole_proves_that_nothing_ran() {
    let ending = |reach, cause| Fault { reach, cause }.ending();
    assert_eq!(
        ending(Reach::Unsent, Cause::NoDescriptor),
        AttemptOutcome::Superseded
    );
    assert_eq!(
        ending(Reach::Unconnected, Cause::TimeUp),
        AttemptOutcome::ConnectFailed
    );
    assert_eq!(
        ending(Reach::PartlyWritten, Cause::Closed),
        AttemptOutcome::ConnectFailed
    );
    assert_eq!(
        ending(Reach::Written, Cause::Closed),
        AttemptOutcome::ConnectionReset
    );
    assert_eq!(
        ending(Reach::Written, Cause::TimeUp),
        AttemptOutcome::TimedOut
    );
    assert_eq!(
        ending(Reach::Answering, Cause::Answer(http::Fault::NoLength)),
        AttemptOutcome::Error
    );
    assert_eq!(
        ending(Reach::Written, Cause::Withdrawn),
        AttemptOutcome::Cancelled
    );
    assert_eq!(
        ending(Reach::Unconnected, Cause::Withdrawn),
        AttemptOutcome::Superseded
    );
}
