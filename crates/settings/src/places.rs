//! Finds the positions of keys in protobuf text format. The parser reports offsets only for text that it cannot parse;
//! it reports none for values that it has parsed, which are validated later.

use std::collections::BTreeMap;

/// Position of a key in the text.
struct KeyPosition {
    path: String,
    start: usize,
    line: usize,
}

/// All keys in the order of the text, each with its path. Repeated keys have an index that starts at 0.
fn key_positions(text: &str) -> Vec<KeyPosition> {
    let is_repeated = |parent: &str, name: &str| match name {
        "tenant" | "network" | "value" => true,
        // `fleet.relay` is a different field, which is not repeated.
        "relay" => parent == "fleet.events",
        _ => false,
    };
    let bytes = text.as_bytes();
    let (mut positions, mut offset, mut line) = (Vec::new(), 0, 1);
    // The paths of the enclosing messages, and the number of occurrences of each key in them.
    let mut enclosing: Vec<(String, BTreeMap<String, usize>)> =
        vec![(String::new(), BTreeMap::new())];
    let mut last_path = String::new();
    // Whether the last token was a colon: a word after it is a value, even if it looks like a key.
    let mut after_colon = false;
    while offset < bytes.len() {
        match bytes[offset] {
            b'\n' => line += 1,
            b'#' => {
                while offset + 1 < bytes.len() && bytes[offset + 1] != b'\n' {
                    offset += 1;
                }
            }
            quote @ (b'"' | b'\'') => {
                offset += 1;
                while offset < bytes.len() && bytes[offset] != quote {
                    line += usize::from(bytes[offset] == b'\n');
                    offset += 1 + usize::from(bytes[offset] == b'\\');
                }
                after_colon = false;
            }
            b'{' | b'<' => {
                enclosing.push((last_path.clone(), BTreeMap::new()));
                after_colon = false;
            }
            b'}' | b'>' => {
                if enclosing.len() > 1 {
                    enclosing.pop();
                }
                after_colon = false;
            }
            b':' => after_colon = true,
            c if c.is_ascii_alphanumeric() || c == b'_' || c == b'-' => {
                let start = offset;
                let is_word_byte = |c: u8| c.is_ascii_alphanumeric() || b"_-.+".contains(&c);
                while offset + 1 < bytes.len() && is_word_byte(bytes[offset + 1]) {
                    offset += 1;
                }
                let name = &text[start..=offset];
                if after_colon {
                    after_colon = false;
                } else if let Some((path, counts)) = enclosing.last_mut() {
                    let count = counts.entry(name.to_string()).or_insert(0);
                    let key = if is_repeated(path, name) {
                        format!("{name}[{count}]")
                    } else {
                        name.to_string()
                    };
                    *count += 1;
                    last_path = if path.is_empty() {
                        key
                    } else {
                        format!("{path}.{key}")
                    };
                    positions.push(KeyPosition {
                        path: last_path.clone(),
                        start,
                        line,
                    });
                }
            }
            _ => {}
        }
        offset += 1;
    }
    positions
}

/// The line of a key, counted from 1. A repeated key without an index has the line of its first occurrence. For a key
/// that the text lacks, this is the line of the innermost enclosing key in the text, or 0 if there is none.
pub fn line_of(text: &str, path: &str) -> usize {
    let positions = key_positions(text);
    let mut path = path;
    loop {
        if let Some(position) = positions
            .iter()
            .find(|p| p.path == path || p.path.strip_suffix("[0]") == Some(path))
        {
            return position.line;
        }
        match path.rfind(['.', '[']) {
            Some(end) => path = &path[..end],
            None => return 0,
        }
    }
}

/// The key at an offset or, if there is none, the last key before it, with its line. If no key precedes the offset, the
/// result is `settings` on line 1.
pub fn key_at(text: &str, offset: usize) -> (String, usize) {
    let positions = key_positions(text);
    let position = positions.iter().rev().find(|p| p.start <= offset);
    position.map_or(("settings".to_string(), 1), |p| (p.path.clone(), p.line))
}
