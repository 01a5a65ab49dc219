#!/usr/bin/env bash
# Builds the stand-in of review/6 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
