#!/usr/bin/env bash
# Fault soak of gateways: scripts/soak.sh [--seed N] [--seeds N] [--minutes N].
# Without --seed the seeds are fresh. A seed takes about 22 s; --minutes sets their number by that.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds_per_seed=22
seed=$(( $(date +%s) % 1000000 ))
seeds=1
while [ $# -gt 0 ]; do
    case $1 in
        --seed) seed=$2 ;;
        --seeds) seeds=$2 ;;
        --minutes) seeds=$(( $2 * 60 / seconds_per_seed )) ;;
        *) echo "unknown argument $1" >&2; exit 2 ;;
    esac
    shift 2
done

cargo build --workspace --bins --locked
SOAK_SEED=$seed SOAK_SEEDS=$seeds \
    cargo test --locked -p sassafrasslip-platform --test processes soak -- --nocapture
