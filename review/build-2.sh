#!/bin/sh
# Builds the stand-ins of the scripts under review/. They use nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
