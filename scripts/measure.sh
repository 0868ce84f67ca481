#!/usr/bin/env bash
# Measurements. Usage: scripts/measure.sh SUBCOMMAND [ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
    echo "usage: scripts/measure.sh balance [--seeds N] [--seconds N] [--threads N]" >&2
    echo "       scripts/measure.sh capacity" >&2
    exit 2
}

[ $# -ge 1 ] || usage
subcommand=$1
shift

case $subcommand in
balance)
    # docs/BALANCE.md explains the tables.
    cargo build --locked --release -p sassafrasslip-testkit --example balance
    for part in memory placement routing variants; do
        printf '\n## %s\n\n' "$part"
        target/release/examples/balance --part "$part" "$@"
    done
    ;;
capacity)
    # docs/CAPACITY.md explains the series.
    cargo build --locked --release -p sassafrasslip-daemon --bins
    cargo build --locked --release -p sassafrasslip-testkit --example capacity \
        --example engine --example platform --example service
    exec target/release/examples/capacity
    ;;
*)
    usage
    ;;
esac
