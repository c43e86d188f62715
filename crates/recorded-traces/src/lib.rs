//! For tests of crates without I/O: what comes out for drawn input is compared, byte for byte, with a recording.
//!
//! The recordings of a crate lie in its folder `tests/recordings`. With the variable [`RECORD`] set they are written in
//! place of the comparison, for a change of behaviour that is meant.

mod random;

pub use random::Random;

use std::path::{Path, PathBuf};

/// The environment variable that has recordings written.
pub const RECORD: &str = "RECORD_TRACES";

/// Whether recordings are written in place of the comparison.
pub fn is_recording() -> bool {
    std::env::var_os(RECORD).is_some()
}

/// Where a recording of a crate lies. `crate_folder` is the crate's `CARGO_MANIFEST_DIR`.
pub fn recording(crate_folder: &str, file: &str) -> PathBuf {
    Path::new(crate_folder).join("tests/recordings").join(file)
}

/// Compares an output with its recording, byte for byte.
///
/// # Panics
///
/// Where the two differ, with the first line that does; and where a recording cannot be read or written.
pub fn assert_recorded(crate_folder: &str, file: &str, output: &[u8]) {
    let path = recording(crate_folder, file);
    if is_recording() {
        let folder = path.parent().expect("the folder of recordings");
        std::fs::create_dir_all(folder).expect("the folder of recordings can be made");
        std::fs::write(&path, output).expect("the recording can be written");
        return;
    }
    let recorded = std::fs::read(&path).unwrap_or_else(|error| panic!("{file}: {error}"));
    if recorded != output {
        panic!("{file}: {}", first_difference(&recorded, output));
    }
}

fn first_difference(recorded: &[u8], output: &[u8]) -> String {
    let recorded = String::from_utf8_lossy(recorded);
    let output = String::from_utf8_lossy(output);
    let mut lines = (1..).zip(recorded.lines().zip(output.lines()));
    match lines.find(|(_, (recorded, now))| recorded != now) {
        Some((line, (recorded, now))) => format!("line {line}: recorded `{recorded}`, now `{now}`"),
        None => format!(
            "{} lines recorded, {} now, alike as far as both go",
            recorded.lines().count(),
            output.lines().count()
        ),
    }
}
