//! The capabilities of a member: one byte of flags in a value that the member spreads through gossip.

use meadowrill_membership::view::Member;
use meadowrill_membership::wire::Value;

/// Kind of the value that announces the capabilities of a member.
const CAPABILITIES_KIND: u32 = 1;
/// Capability: the member replicates the shared state.
const REPLICATES: u8 = 1;
/// Capability: the member takes part in decisions on requests with an effect.
const HAS_LEDGER: u8 = 2;

/// The value of a member that replicates the shared state.
pub(super) fn own_value(has_ledger: bool) -> Value {
    let ledger = if has_ledger { HAS_LEDGER } else { 0 };
    Value {
        kind: CAPABILITIES_KIND,
        version: 1,
        bytes: vec![REPLICATES | ledger],
    }
}

/// Whether a member replicates the shared state.
pub(super) fn replicates(member: &Member) -> bool {
    flags(member) & REPLICATES != 0
}

/// Whether a member takes part in decisions on requests with an effect.
pub(super) fn has_ledger(member: &Member) -> bool {
    flags(member) & HAS_LEDGER != 0
}

fn flags(member: &Member) -> u8 {
    let value = member
        .body
        .values
        .iter()
        .find(|value| value.kind == CAPABILITIES_KIND);
    value
        .and_then(|value| value.bytes.first().copied())
        .unwrap_or(0)
}
