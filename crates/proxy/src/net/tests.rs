use super::*;
use meadowrill_routing::door::contained;

#[test]
fn panics_are_values() {
    assert_eq!(contained(|| 7), Ok(7));
    assert_eq!(
        contained(|| [1][std::hint::black_box(1)]).unwrap_err().split(':').next(),
        Some("index out of bounds")
    );
}

#[test]
fn only_what_never_left_whole_proves_that_nothing_ran() {
    let ending = |reach, cause| Fault { reach, cause }.ending();
    assert_eq!(ending(Reach::Unsent, Cause::NoDescriptor), Ending::Moot);
    assert_eq!(ending(Reach::Unconnected, Cause::TimeUp), Ending::Unconnected);
    assert_eq!(ending(Reach::PartlyWritten, Cause::Closed), Ending::Unconnected);
    assert_eq!(ending(Reach::Written, Cause::Closed), Ending::Broken);
    assert_eq!(ending(Reach::Written, Cause::TimeUp), Ending::TimedOut);
    assert_eq!(ending(Reach::Answering, Cause::Answer(http::Fault::NoLength)), Ending::Error);
    assert_eq!(ending(Reach::Written, Cause::Withdrawn), Ending::Cancelled);
    assert_eq!(ending(Reach::Unconnected, Cause::Withdrawn), Ending::Moot);
}
