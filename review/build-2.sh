#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/6 and after. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
