#!/usr/bin/env bash
# Checks the specifications in model/ exhaustively with Spin.
#
# Each line of model/properties.txt names a property, its specification, the LTL claim or
# "assertions", and the flag that removes the rule which guards the property. The property has to
# hold without the flag, and Spin has to find a violation with it.
#
#   scripts/check-model.sh             check all properties
#   scripts/check-model.sh --generate  write model/generated/ from the charts
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" = "--generate" ]; then
    for chart in crates/core/charts/*.ini; do
        cargo run --quiet --locked -p sassafrasslip-testkit --example chart_to_promela "$chart" \
            >"model/generated/$(basename "$chart" .ini).pml"
    done
    exit 0
fi

if ! command -v spin >/dev/null; then
    apt-get update -qq
    apt-get install -y -qq spin gcc >/dev/null
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Compiles a specification with flags and runs the verifier; prints the number of stored states
# and "holds" or "violated". A search that was cut short counts as a failure of the check.
verify() {
    local specification=$1 flags=$2 folder=$3
    mkdir -p "$folder"
    cp -r model "$folder/"
    (
        cd "$folder/model"
        # shellcheck disable=SC2086
        spin $flags -a "$specification" >spin.log 2>&1
        # Breadth is not needed: the depth limit is far above the longest path of any model.
        gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -DMEMLIM=8192 -o pan pan.c >gcc.log 2>&1
        ./pan -m2000000 -w24 >pan.log 2>&1 || true
        if grep -qE 'max search depth too small|out of memory|memory limit' pan.log; then
            echo "0 incomplete"
        elif grep -q 'errors: 0' pan.log; then
            echo "$(awk '/states, stored/ {print $1; exit}' pan.log) holds"
        elif grep -q 'errors: 1' pan.log; then
            echo "$(awk '/states, stored/ {print $1; exit}' pan.log) violated"
        else
            echo "0 failed"
        fi
    )
}

# Several properties share a specification; each variant is verified once.
variant_folder() {
    echo "$work/$(printf '%s' "$1 $2" | tr -c 'A-Za-z0-9' '_')"
}

list_variants() {
    while IFS='|' read -r property specification bounds broken; do
        case $property in '' | '#'*) continue ;; esac
        printf '%s|%s\n' "$specification" "$bounds"
        printf '%s|%s -D%s\n' "$specification" "$bounds" "$broken"
    done <model/properties.txt | sort -u
}

# Half of the cores, because each search needs up to 1 GB.
slots=$((($(nproc) + 1) / 2))
while IFS='|' read -r specification flags; do
    while [ "$(jobs -rp | wc -l)" -ge "$slots" ]; do
        wait -n || true
    done
    folder=$(variant_folder "$specification" "$flags")
    mkdir -p "$folder"
    verify "$specification" "$flags" "$folder" >"$folder/verdict" &
done < <(list_variants)
wait

failures=0
checks=0
printf '%-58s %12s %-10s %s\n' property states holds "broken variant"
while IFS='|' read -r property specification bounds broken; do
    case $property in '' | '#'*) continue ;; esac
    read -r states verdict <"$(variant_folder "$specification" "$bounds")/verdict"
    read -r _ without <"$(variant_folder "$specification" "$bounds -D$broken")/verdict"
    found=$([ "$without" = violated ] && echo "found (-D$broken)" || echo "NOT FOUND (-D$broken: $without)")
    printf '%-58s %12s %-10s %s\n' "$property" "$states" "$verdict" "$found"
    if [ "$verdict" != holds ] || [ "$without" != violated ]; then
        failures=$((failures + 1))
    fi
    checks=$((checks + 1))
done <model/properties.txt
echo "model: $((checks - failures)) passed, $failures failed"
[ "$failures" -eq 0 ] && [ "$checks" -gt 0 ]
