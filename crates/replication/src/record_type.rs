//! The types of replicated records and the hash trees by which replicas compare them. Both are plain enumerations that
//! the map and the encodings of the record types depend on.

/// The type of a record. The numbers are part of the wire format. A build that does not know a number merges such
/// records by rank, forwards them and drops them once they have expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordType {
    /// A purge of an object or a group.
    Purge = 1,
    /// A cache endpoint and the phase of its process.
    Endpoint = 2,
    /// A claim to the side effect of a keyed request.
    Claim = 3,
    /// One proxy's observation of an object or an endpoint.
    Observation = 16,
    /// The usage that one proxy admitted for a tenant.
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

/// A hash tree over the record types that are compared together, grouped by how soon all replicas have to agree on
/// them. The numbers are part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tree {
    /// Purges, endpoints, and unknown types with numbers below the first background type.
    Urgent = 0,
    /// Claims to side effects.
    Claims = 1,
    /// All other types, which can wait.
    Background = 2,
}

/// Number of trees.
pub const TREES: usize = 3;
/// Types with smaller numbers are urgent, including those that this build does not know, except claims.
const FIRST_BACKGROUND_TYPE: u32 = 16;

impl Tree {
    /// All trees, in the order of their numbers.
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

    /// The numbers of the tree's record types, as half-open ranges.
    pub fn type_ranges(self) -> &'static [(u32, u32)] {
        const CLAIM: u32 = RecordType::Claim as u32;
        match self {
            Tree::Urgent => &[(0, CLAIM), (CLAIM + 1, FIRST_BACKGROUND_TYPE)],
            Tree::Claims => &[(CLAIM, CLAIM + 1)],
            Tree::Background => &[(FIRST_BACKGROUND_TYPE, u32::MAX)],
        }
    }

    /// Whether updates to the tree's records are disseminated as rumors. Other records spread by anti-entropy only.
    pub fn is_disseminated(self) -> bool {
        self != Tree::Background
    }
}
