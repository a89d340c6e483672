#!/bin/sh
# Builds the stand-ins of all scripts. They need no library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
