#!/bin/bash
# Builds the stand-ins and scripts of the second review, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2021 review/rig-2/main.rs -o target/review-2/rig
