//! The program: see the library beside it.

#![allow(
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

use std::process::ExitCode;

fn main() -> ExitCode {
    meadowrill_proxy::main(None)
}
