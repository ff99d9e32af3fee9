#!/bin/sh
# Builds the stand-ins of the third review. Needs only the compiler and its standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/rig-3/main.rs -o target/review-3/rig
