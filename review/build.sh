#!/bin/sh
# Builds the stand-ins and scenarios of the review. The packages are those of the project's own build, so no network is
# needed after it.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/rig/Cargo.toml --target-dir target/review
