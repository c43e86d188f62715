//! The entry point of the program `meadowrill`. The library crate holds the implementation.

use std::process::ExitCode;

fn main() -> ExitCode {
    meadowrill_proxy::main(None)
}
