#!/usr/bin/env bash
# Formatter check, lints, all tests and the model check. Installs the tools that it needs.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
if [ -x scripts/check-model.sh ]; then
    scripts/check-model.sh
fi
