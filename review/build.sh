#!/bin/sh
# Builds the stand-ins that the scripts start. The programs of the deploy file are built by
# `cargo build --release --locked -p bitternwall-platform`.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
