//! Claims about a member, and the rules by which one claim supersedes another.
//!
//! Invariants, explored by model checking in `tests/model.rs`:
//! - claims are totally ordered by start, incarnation and state, so all proxies that receive the same claims converge
//!   on the same one, in whichever order and however often they receive them;
//! - only the member itself raises its incarnation or its start, so its own claim eventually supersedes all others.

/// The state of a member. If two claims have the same incarnation, the claim with the later state supersedes the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member responds to probes, or no observer has detected a failure yet.
    Alive,
    /// An observer's probe failed, and the member has not refuted the suspicion yet.
    Suspected,
    /// The suspicion timed out.
    Dead,
    /// The member announced its departure.
    Left,
}

impl MemberState {
    /// Converts the number of a state on the wire.
    pub fn from_wire(number: u32) -> Option<MemberState> {
        [
            MemberState::Alive,
            MemberState::Suspected,
            MemberState::Dead,
            MemberState::Left,
        ]
        .get(number as usize)
        .copied()
    }

    /// The name of the state in logs and tables.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspected => "suspected",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }

    /// Whether a member in this state is part of the fleet: alive or suspected.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspected
    }
}

/// A claim about one member. Claims are ordered by start, then incarnation, then state: a later process supersedes the
/// former process with its name, and a refutation supersedes every claim that it refutes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// Generation of the process, which distinguishes and orders the processes with one name. Its first value is a
    /// clock time, but it is only compared with other starts.
    pub start: u64,
    /// Raised only by the member itself, to refute a claim.
    pub incarnation: u64,
    /// The claimed state of that process.
    pub state: MemberState,
}

impl Claim {
    /// The first claim of a process about itself.
    pub fn alive(start: u64) -> Claim {
        Claim {
            start,
            incarnation: 0,
            state: MemberState::Alive,
        }
    }

    /// The same process and incarnation in another state.
    pub fn with_state(self, state: MemberState) -> Claim {
        Claim { state, ..self }
    }

    /// Whether this claim supersedes the known one.
    pub fn supersedes(&self, known: &Claim) -> bool {
        if crate::mutant("stale-incarnation") && self.start == known.start {
            return self.state != known.state;
        }
        self > known
    }
}

/// Returns the refutation of a received claim about this member, if the claim is wrong. A member that has left refutes
/// no claims.
pub fn refute(own: Claim, received: Claim) -> Option<Claim> {
    if crate::mutant("no-refutation")
        || own.state == MemberState::Left
        || received.start != own.start
    {
        return None;
    }
    let is_wrong = received.state != MemberState::Alive && received.incarnation >= own.incarnation;
    is_wrong.then(|| Claim {
        incarnation: received.incarnation.saturating_add(1),
        ..own
    })
}

/// Returns a claim that supersedes the start of another or a forgotten process, unless `own` already supersedes it.
pub fn supersede_start(own: Claim, start: u64) -> Option<Claim> {
    (start >= own.start).then(|| Claim::alive(start.saturating_add(1)))
}
