#!/bin/sh
# Builds the stand-ins of the second review, without a network. Run from any folder, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
