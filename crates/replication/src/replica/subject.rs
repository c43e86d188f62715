//! The subjects that fronts share observations of, and their encoding in the names of records.

/// What an observation is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Thing {
    /// An object, of which the highest part asked for is observed.
    Object(u64),
    /// A machine, of which failures and the time to the first byte are observed.
    Machine(String),
}

/// Encodings begin with a letter for the kind of subject.
const OBJECT: u8 = b'l';
const MACHINE: u8 = b'm';

/// The encoding of an object.
pub fn sight_of_object(object: u64) -> Vec<u8> {
    [&[OBJECT][..], &object.to_be_bytes()].concat()
}

/// The encoding of a machine.
pub fn sight_of_machine(id: &str) -> Vec<u8> {
    [&[MACHINE], id.as_bytes()].concat()
}

/// The subject with this encoding.
pub fn thing(what: &[u8]) -> Option<Thing> {
    let (letter, rest) = what.split_first()?;
    match *letter {
        OBJECT => rest
            .try_into()
            .ok()
            .map(|object| Thing::Object(u64::from_be_bytes(object))),
        MACHINE => String::from_utf8(rest.to_vec()).ok().map(Thing::Machine),
        _ => None,
    }
}
