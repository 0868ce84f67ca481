#!/usr/bin/env bash
# Formatter check, lints, all tests, the model check and a fault run with a fixed seed. Installs the tools that it needs.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
if [ -x scripts/check-model.sh ]; then
    scripts/check-model.sh
fi
scripts/faults.sh --seed 1 --seconds 60
