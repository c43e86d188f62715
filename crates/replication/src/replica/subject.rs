//! The subjects of observations, and their encoding in the names of records.

/// The subject of an observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// An object. Its highest requested part is observed.
    Object(u64),
    /// An endpoint. Its failures and its time to the first byte are observed.
    Endpoint(String),
}

/// First byte of the encoding of an object.
const OBJECT: u8 = b'l';
/// First byte of the encoding of an endpoint.
const ENDPOINT: u8 = b'm';

/// The encoding of an object.
pub fn object_subject(object: u64) -> Vec<u8> {
    [&[OBJECT][..], &object.to_be_bytes()].concat()
}

/// The encoding of an endpoint.
pub fn endpoint_subject(id: &str) -> Vec<u8> {
    [&[ENDPOINT], id.as_bytes()].concat()
}

impl Subject {
    /// Decodes a subject. Returns none if the encoding is not valid.
    pub fn decode(bytes: &[u8]) -> Option<Subject> {
        let (tag, name) = bytes.split_first()?;
        match *tag {
            OBJECT => {
                let object = name.try_into().ok()?;
                Some(Subject::Object(u64::from_be_bytes(object)))
            }
            ENDPOINT => {
                let id = String::from_utf8(name.to_vec()).ok()?;
                Some(Subject::Endpoint(id))
            }
            _ => None,
        }
    }
}
