//! The kinds of replicated record and the groups in which they are compared: plain enumerations that the map of
//! records and the encodings of single kinds both build on.

/// What a record is about. The numbers are those of the wire format: a build that does not know a number merges such
/// records by rank, passes them on and drops them once they have expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An object or a group was purged.
    Purge = 1,
    /// A cache, and how far it has come in its life.
    Machine = 2,
    /// A claim to a keyed lookup that has a side effect.
    Effect = 3,
    /// What one front observed of an object or a machine.
    Learned = 16,
    /// What one front admitted for a tenant.
    Usage = 17,
}

impl Kind {
    /// All kinds that this build knows.
    pub const ALL: [Kind; 5] = [
        Kind::Purge,
        Kind::Machine,
        Kind::Effect,
        Kind::Learned,
        Kind::Usage,
    ];

    /// The kind with this number on the wire.
    pub fn of(number: u32) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| *kind as u32 == number)
    }

    /// The name in metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Purge => "purge",
            Kind::Machine => "machine",
            Kind::Effect => "effect",
            Kind::Learned => "learned",
            Kind::Usage => "usage",
        }
    }
}

/// Kinds that are compared together, by how soon all copies have to agree on them. The numbers are those of the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tree {
    /// Purges, machines, and unknown kinds with a number below the first kind that can wait.
    Urgent = 0,
    /// Claims to effects.
    Effects = 1,
    /// Everything that can wait.
    Rest = 2,
}

/// How many trees there are.
pub const TREES: usize = 3;
/// Kinds with smaller numbers are urgent, also those that this build does not know.
const FIRST_THAT_CAN_WAIT: u32 = 16;

impl Tree {
    /// All trees, by their numbers.
    pub const ALL: [Tree; TREES] = [Tree::Urgent, Tree::Effects, Tree::Rest];

    /// The tree of a kind, by the kind's number on the wire.
    pub fn of(kind: u32) -> Tree {
        match kind {
            _ if kind == Kind::Effect as u32 => Tree::Effects,
            _ if kind < FIRST_THAT_CAN_WAIT => Tree::Urgent,
            _ => Tree::Rest,
        }
    }

    /// The tree with this number on the wire.
    pub fn number(number: u32) -> Option<Tree> {
        Tree::ALL.get(number as usize).copied()
    }

    /// The numbers of its kinds, as half-open ranges.
    pub fn kinds(self) -> &'static [(u32, u32)] {
        const EFFECT: u32 = Kind::Effect as u32;
        match self {
            Tree::Urgent => &[(0, EFFECT), (EFFECT + 1, FIRST_THAT_CAN_WAIT)],
            Tree::Effects => &[(EFFECT, EFFECT + 1)],
            Tree::Rest => &[(FIRST_THAT_CAN_WAIT, u32::MAX)],
        }
    }

    /// Whether updates to its records are disseminated at once.
    pub fn pushed(self) -> bool {
        self != Tree::Rest
    }
}
