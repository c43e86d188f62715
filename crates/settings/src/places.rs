//! Where a key stands in a text in protobuf text format: the parser tells offsets for what it cannot read, and none
//! for what it has read, which is checked later.

use std::collections::BTreeMap;

struct Place {
    path: String,
    start: usize,
    line: usize,
}

/// All keys in the order of the text, each with its path; repeated ones are counted from 0.
fn places(text: &str) -> Vec<Place> {
    let repeated = |within: &str, name: &str| match name {
        "tenant" | "network" | "value" => true,
        // `fleet.relay` is another message, told once.
        "relay" => within == "fleet.events",
        _ => false,
    };
    let bytes = text.as_bytes();
    let (mut places, mut at, mut line) = (Vec::new(), 0, 1);
    // The paths of the messages that are open, and how often each key stood in them.
    let mut open: Vec<(String, BTreeMap<String, usize>)> = vec![(String::new(), BTreeMap::new())];
    let mut last = String::new();
    // Behind a colon stands a value, which may be a word like a key.
    let mut value = false;
    while at < bytes.len() {
        match bytes[at] {
            b'\n' => line += 1,
            b'#' => {
                while at + 1 < bytes.len() && bytes[at + 1] != b'\n' {
                    at += 1;
                }
            }
            quote @ (b'"' | b'\'') => {
                at += 1;
                while at < bytes.len() && bytes[at] != quote {
                    line += usize::from(bytes[at] == b'\n');
                    at += 1 + usize::from(bytes[at] == b'\\');
                }
                value = false;
            }
            b'{' | b'<' => {
                open.push((last.clone(), BTreeMap::new()));
                value = false;
            }
            b'}' | b'>' => {
                if open.len() > 1 {
                    open.pop();
                }
                value = false;
            }
            b':' => value = true,
            c if c.is_ascii_alphanumeric() || c == b'_' || c == b'-' => {
                let start = at;
                let part = |c: u8| c.is_ascii_alphanumeric() || b"_-.+".contains(&c);
                while at + 1 < bytes.len() && part(bytes[at + 1]) {
                    at += 1;
                }
                let name = &text[start..=at];
                if value {
                    value = false;
                } else if let Some((path, counts)) = open.last_mut() {
                    let count = counts.entry(name.to_string()).or_insert(0);
                    let key = if repeated(path, name) {
                        format!("{name}[{count}]")
                    } else {
                        name.to_string()
                    };
                    *count += 1;
                    last = if path.is_empty() {
                        key
                    } else {
                        format!("{path}.{key}")
                    };
                    places.push(Place {
                        path: last.clone(),
                        start,
                        line,
                    });
                }
            }
            _ => {}
        }
        at += 1;
    }
    places
}

/// The line of a key, of a repeated one as a whole that of the first; where it is not there, that of the nearest key
/// around it, and 0 where there is none.
pub fn line_of(text: &str, path: &str) -> usize {
    let places = places(text);
    let mut path = path;
    loop {
        if let Some(place) = places
            .iter()
            .find(|p| p.path == path || p.path.strip_suffix("[0]") == Some(path))
        {
            return place.line;
        }
        match path.rfind(['.', '[']) {
            Some(end) => path = &path[..end],
            None => return 0,
        }
    }
}

/// The key that stands at an offset or last before it, and its line.
pub fn at(text: &str, offset: usize) -> (String, usize) {
    let places = places(text);
    let place = places.iter().rev().find(|p| p.start <= offset);
    place.map_or(("settings".to_string(), 1), |p| (p.path.clone(), p.line))
}
