#!/usr/bin/env bash
# Builds the workspace and runs a fleet under faults: scripts/faults.sh [--seed N] [--rounds N] [--seconds N].
# The last line gives the totals; the schedules and details are in the target folder under faults/.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --examples --locked
folder="${CARGO_TARGET_DIR:-target}"
exec "$folder/debug/examples/faults" --log "$folder/faults" "$@"
