//! The program: see the library beside it.

use std::process::ExitCode;

fn main() -> ExitCode {
    meadowrill_proxy::main(None)
}
