#!/bin/sh
# Builds the stand-ins of all cases, without a network. The gateway itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
