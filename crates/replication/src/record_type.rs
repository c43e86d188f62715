//! The types of replicated record and the trees in which they are compared: plain enumerations that the map of records
//! and the encodings of the single types both build on.

/// What a record is about. The numbers are those of the wire format: a build that does not know a number merges such
/// records by rank, passes them on and drops them once they have expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordType {
    /// An object or a group was purged.
    Purge = 1,
    /// A cache endpoint and the phase of its process.
    Endpoint = 2,
    /// A claim to a keyed request that has a side effect.
    Claim = 3,
    /// What one proxy observed of an object or an endpoint.
    Observation = 16,
    /// What one proxy admitted for a tenant.
    Usage = 17,
}

impl RecordType {
    /// All types that this build knows.
    pub const ALL: [RecordType; 5] = [
        RecordType::Purge,
        RecordType::Endpoint,
        RecordType::Claim,
        RecordType::Observation,
        RecordType::Usage,
    ];

    /// The type with this number on the wire.
    pub fn from_wire(number: u32) -> Option<RecordType> {
        RecordType::ALL
            .into_iter()
            .find(|record_type| *record_type as u32 == number)
    }

    /// The label in metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            RecordType::Purge => "purge",
            RecordType::Endpoint => "machine",
            RecordType::Claim => "effect",
            RecordType::Observation => "learned",
            RecordType::Usage => "usage",
        }
    }
}

/// Types that are compared together, by how soon all replicas have to agree on them. The numbers are those of the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tree {
    /// Purges, endpoints, and unknown types with a number below the first background type.
    Urgent = 0,
    /// Claims to effects.
    Claims = 1,
    /// Everything that can wait.
    Background = 2,
}

/// How many trees there are.
pub const TREES: usize = 3;
/// Types with smaller numbers are urgent, also those that this build does not know.
const FIRST_BACKGROUND_TYPE: u32 = 16;

impl Tree {
    /// All trees, by their numbers.
    pub const ALL: [Tree; TREES] = [Tree::Urgent, Tree::Claims, Tree::Background];

    /// The tree of a record type, by the type's number on the wire.
    pub fn of_type(record_type: u32) -> Tree {
        match record_type {
            _ if record_type == RecordType::Claim as u32 => Tree::Claims,
            _ if record_type < FIRST_BACKGROUND_TYPE => Tree::Urgent,
            _ => Tree::Background,
        }
    }

    /// The tree with this number on the wire.
    pub fn from_wire(number: u32) -> Option<Tree> {
        Tree::ALL.get(number as usize).copied()
    }

    /// The numbers of its record types, as half-open ranges.
    pub fn type_ranges(self) -> &'static [(u32, u32)] {
        const CLAIM: u32 = RecordType::Claim as u32;
        match self {
            Tree::Urgent => &[(0, CLAIM), (CLAIM + 1, FIRST_BACKGROUND_TYPE)],
            Tree::Claims => &[(CLAIM, CLAIM + 1)],
            Tree::Background => &[(FIRST_BACKGROUND_TYPE, u32::MAX)],
        }
    }

    /// Whether updates to its records are disseminated as rumors; the others spread by anti-entropy alone.
    pub fn is_disseminated(self) -> bool {
        self != Tree::Background
    }
}
