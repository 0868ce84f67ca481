#!/usr/bin/env bash
# Builds the workspace and demonstrates a small fleet on loopback; the last line gives the totals.
# With --hold the fleet runs until Enter is pressed.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --examples --locked
exec "${CARGO_TARGET_DIR:-target}/debug/examples/demo" "$@"
