#!/usr/bin/env bash
# Builds the stand-ins that the cases start, without a network. The project's programs are built by
# the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
