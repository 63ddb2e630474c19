//! Generates src/wire/generated.rs from proto/link.proto. Run it from the root of the repository.

use std::{fs, path};

use anyhow::Context as _;

const PROTO: &str = "proto/link.proto";
const OUT_DIR: &str = "src/wire";
const GENERATED: &str = "bitternwall.link.v1.rs";

fn main() -> anyhow::Result<()> {
    let descriptors =
        protox::compile([PROTO], ["proto"]).context("proto/link.proto does not compile")?;
    tonic_prost_build::configure()
        .out_dir(OUT_DIR)
        .bytes(".")
        .compile_fds(descriptors)
        .context("code generation for proto/link.proto failed")?;
    let from = path::Path::new(OUT_DIR).join(GENERATED);
    let to = path::Path::new(OUT_DIR).join("generated.rs");
    fs::rename(&from, &to).context("cannot rename the generated file to src/wire/generated.rs")
}
