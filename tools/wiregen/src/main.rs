//! Regenerates the committed wire code; run it from the repository's root.

use std::{fs, path};

use anyhow::Context as _;

const PROTO: &str = "proto/link.proto";
const OUT_DIR: &str = "src/wire";
const GENERATED: &str = "bitternwall.link.v1.rs";

fn main() -> anyhow::Result<()> {
    let descriptors = protox::compile([PROTO], ["proto"]).context("the proto does not compile")?;
    tonic_prost_build::configure()
        .out_dir(OUT_DIR)
        .bytes(".")
        .compile_fds(descriptors)
        .context("the generator failed")?;
    let from = path::Path::new(OUT_DIR).join(GENERATED);
    let to = path::Path::new(OUT_DIR).join("generated.rs");
    fs::rename(&from, &to).context("the generated file cannot be renamed")
}
