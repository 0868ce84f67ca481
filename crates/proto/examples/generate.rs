//! Regenerates `src/generated/` from `proto/`. Paths are relative to the package's folder, so run
//! the example from there.

use std::{error::Error, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["proto/link.proto", "proto/peer.proto"], ["proto"])?;
    let mut generator = prost_build::Config::new();
    generator.bytes(["."]).out_dir(Path::new("src/generated"));
    generator.compile_fds(descriptors)?;
    Ok(())
}
