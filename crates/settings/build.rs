//! Compiles the schema at build time. The program then needs no schema compiler when it starts, and an invalid schema
//! fails the build.

use prost::Message;
use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto/meadowrill.proto");
    let set = protox::compile(["meadowrill.proto"], ["proto"])?;
    let out = std::env::var("OUT_DIR")?;
    std::fs::write(Path::new(&out).join("schema.bin"), set.encode_to_vec())?;
    Ok(())
}
