#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, which need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
