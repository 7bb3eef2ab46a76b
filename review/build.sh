#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
