#!/usr/bin/env bash
# Builds the programs of the deploy file and the stand-ins and clients of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TERM_COLOR=never
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml) --offline"
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
