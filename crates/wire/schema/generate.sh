#!/usr/bin/env bash
# Regenerates src/generated from the schema. Needs `capnp` and `capnpc-rust` on the path.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -orust:../src/generated peer.capnp
