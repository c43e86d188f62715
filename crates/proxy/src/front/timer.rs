//! What the loop is set to ring for.

use meadowrill_routing::interface::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The module's.
    Ring(u32),
    /// A send's time is up, or its connection should be up: connection and serial of the send.
    Send(u64, u64),
    Connect(u64, u64),
    Tick,
    /// What operators want to see regularly.
    Report,
    /// The view of the fleet, as it wanted to be asked then.
    Fleet(Micros),
    /// The front is ending: no more comes in from here on, and it may be done.
    Close,
}
