use super::*;
use meadowrill_routing::host::catch_panic;

#[test]
fn panics_are_caught_as_values() {
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
fn only_a_request_that_was_not_written_completely_is_known_not_to_have_run() {
    let outcome = |progress, cause| AttemptError { progress, cause }.outcome();
    assert_eq!(
        outcome(Progress::NotStarted, Cause::NoDescriptor),
        AttemptOutcome::Superseded
    );
    assert_eq!(
        outcome(Progress::Connecting, Cause::TimedOut),
        AttemptOutcome::ConnectFailed
    );
    assert_eq!(
        outcome(Progress::Connecting, Cause::Expired),
        AttemptOutcome::Superseded
    );
    assert_eq!(
        outcome(Progress::PartlyWritten, Cause::ClosedByEndpoint),
        AttemptOutcome::ConnectFailed
    );
    assert_eq!(
        outcome(Progress::Written, Cause::ClosedByEndpoint),
        AttemptOutcome::ConnectionReset
    );
    assert_eq!(
        outcome(Progress::Written, Cause::TimedOut),
        AttemptOutcome::TimedOut
    );
    assert_eq!(
        outcome(
            Progress::ResponseStarted,
            Cause::Response(ResponseError::MissingLength)
        ),
        AttemptOutcome::Error
    );
    assert_eq!(
        outcome(Progress::Written, Cause::Cancelled),
        AttemptOutcome::Cancelled
    );
    assert_eq!(
        outcome(Progress::Connecting, Cause::Cancelled),
        AttemptOutcome::Superseded
    );
}
