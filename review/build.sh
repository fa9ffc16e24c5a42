#!/bin/sh
# Builds the stand-ins of the review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/kit/Cargo.toml --target-dir target/review
