#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review into target/review. They use the standard
# library only, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
