//! Helpers for tests of crates without I/O, which compare the output for random input, byte for byte, with a recording.
//!
//! The recordings of a crate are in its folder `tests/recordings`. With the environment variable [`RECORD_VARIABLE`]
//! set, tests write the recordings instead of comparing with them. Use it after an intended change of behaviour.

mod random;

pub use random::Random;

use std::path::{Path, PathBuf};

/// The environment variable that makes tests write their recordings.
pub const RECORD_VARIABLE: &str = "RECORD_TRACES";

/// Whether recordings are written instead of compared.
pub fn is_recording() -> bool {
    std::env::var_os(RECORD_VARIABLE).is_some()
}

/// Path of a recording of a crate. `crate_folder` is the crate's `CARGO_MANIFEST_DIR`.
pub fn recording_path(crate_folder: &str, file: &str) -> PathBuf {
    Path::new(crate_folder).join("tests/recordings").join(file)
}

/// Asserts that an output is byte for byte the same as its recording.
///
/// # Panics
///
/// Panics if the two differ, with the first differing line, or if the recording cannot be read or written.
pub fn assert_recorded(crate_folder: &str, file: &str, output: &[u8]) {
    let path = recording_path(crate_folder, file);
    if is_recording() {
        let folder = path
            .parent()
            .expect("the path of a recording has a parent folder");
        std::fs::create_dir_all(folder).expect("create the folder of recordings");
        std::fs::write(&path, output).expect("write the recording");
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
    match lines.find(|(_, (recorded, actual))| recorded != actual) {
        Some((line, (recorded, actual))) => {
            format!("line {line}: expected `{recorded}`, got `{actual}`")
        }
        None => format!(
            "expected {} lines, got {}; the lines present in both are equal",
            recorded.lines().count(),
            output.lines().count()
        ),
    }
}
