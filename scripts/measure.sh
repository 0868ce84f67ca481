#!/usr/bin/env bash
# Measurements. Usage: scripts/measure.sh SUBCOMMAND [ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
    echo "usage: scripts/measure.sh balance [--seeds N] [--seconds N] [--threads N]" >&2
    echo "       scripts/measure.sh capacity" >&2
    echo "       scripts/measure.sh map_change" >&2
    echo "       scripts/measure.sh overload [--seconds N] [--part limits|baseline]" >&2
    echo "       scripts/measure.sh path" >&2
    echo "       scripts/measure.sh routing [--seeds N] [--targets N] [--seconds N]" >&2
    exit 2
}

# Builds the daemons, the client and all stand-ins, which the measured fleet consists of.
build_fleet() {
    cargo build --locked --release -p sassafrasslip-daemon -p sassafrasslip-client --bins
    cargo build --locked --release -p sassafrasslip-testkit --examples
}

[ $# -ge 1 ] || usage
subcommand=$1
shift
release="${CARGO_TARGET_DIR:-target}/release/examples"

case $subcommand in
balance)
    # docs/BALANCE.md explains the tables.
    cargo build --locked --release -p sassafrasslip-testkit --example balance
    for part in memory placement routing variants; do
        printf '\n## %s\n\n' "$part"
        "$release/balance" --part "$part" "$@"
    done
    ;;
capacity | map_change | overload | path)
    # docs/CAPACITY.md and docs/MEASUREMENTS.md explain the tables.
    build_fleet
    "$release/$subcommand" "$@"
    ;;
routing)
    # docs/BALANCE_ROUTING.md explains the tables.
    cargo build --locked --release -p sassafrasslip-testkit --example routing
    "$release/routing" "$@"
    ;;
*)
    usage
    ;;
esac
