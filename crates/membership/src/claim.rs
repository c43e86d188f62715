//! Claims about a member, and which of two supersedes the other.
//!
//! Invariants, explored by model checking in `tests/model.rs`:
//! - claims are totally ordered by start, incarnation and state, so all proxies that receive the same claims, in whatever
//!   order and however often, end with the same one;
//! - only the member itself raises its incarnation or its start, so what it claims of itself wins in the end.

/// The state of a member. Of two claims with the same incarnation the one with the later state supersedes the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It responds to probes, or no observer has found that it does not.
    Alive,
    /// An observer's probe failed, and the member has not refuted that yet.
    Suspected,
    /// It was suspected for too long.
    Dead,
    /// It announced its departure.
    Left,
}

impl MemberState {
    /// The state with this number on the wire.
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

    /// Its name in logs and tables.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspected => "suspected",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }

    /// Whether a member in this state is a part of the fleet: alive or suspected.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspected
    }
}

/// A claim about one member. Claims are ordered by start, then incarnation, then state: a later process supersedes the
/// former one of its name, and a refutation all that it refutes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// Generation of the process: tells processes of one name apart, and their order. It begins as the time of a clock,
    /// but is only ever compared.
    pub start: u64,
    /// Raised only by the member itself, to refute a claim.
    pub incarnation: u64,
    /// What is claimed of that process.
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

    /// Whether this supersedes what is known.
    pub fn supersedes(&self, known: &Claim) -> bool {
        if crate::mutant("stale-incarnation") && self.start == known.start {
            return self.state != known.state;
        }
        self > known
    }
}

/// The refutation of a claim about this member, if it is wrong. A member that has left refutes nothing.
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

/// A claim that supersedes this start, of another process or of one that was forgotten, unless `own` does already.
pub fn supersede_start(own: Claim, start: u64) -> Option<Claim> {
    (start >= own.start).then(|| Claim::alive(start.saturating_add(1)))
}
