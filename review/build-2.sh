#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start; needs no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cargo build --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
