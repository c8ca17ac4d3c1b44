#!/bin/sh
# Builds the stand-ins and clients of the second review. Needs no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked \
    --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
