#!/bin/sh
# Builds the rig of the third review's scripts. It uses the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig-3/rig.rs
