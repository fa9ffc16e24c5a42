#!/bin/sh
# Builds the stand-ins of cases 4 and 5. The project itself is built before, by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
