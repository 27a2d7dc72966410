#!/usr/bin/env bash
# Runs fault scenarios, and compares the digest of all messages of each one with the recorded digest. A change that is
# meant to keep the behaviour must leave all digests equal.
#
#   tests/check_digests.sh BINARY [SEEDS]      compares the first SEEDS seeds of each kind (default: all 300)
#   tests/check_digests.sh BINARY --write      records all digests anew; the commit must state the change of behaviour
#
# BINARY is the path of coralhitch_fault_scenarios. Up to DIGEST_JOBS processes (default: one for each processor) run in
# parallel. Exits with 1 if a digest differs.
set -euo pipefail
binary=$1 seeds=${2:-300}
cd "$(dirname "$0")/digests"
write=
if [ "$seeds" = --write ]; then
    write=1 seeds=300
fi
[[ $seeds =~ ^[1-9][0-9]*$ ]] || { echo "check_digests.sh: SEEDS must be a positive number or --write, not $seeds" >&2; exit 2; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# Each kind: its name, which is also the file of its digests, and the options that run it. The first seed is 1.
kinds=("random --size 12" "pairs --size 12 --combinations" "machines-40 --size 40")
seeds_per_run=10
for kind in "${kinds[@]}"; do
    read -r name options <<<"$kind"
    for ((first = 1; first <= seeds; first += seeds_per_run)); do
        remaining=$((seeds - first + 1))
        count=$((remaining < seeds_per_run ? remaining : seeds_per_run))
        echo "$work/$name.$(printf %06d "$first") --digest --from $first --seeds $count $options"
    done
done >"$work/runs"
xargs -a "$work/runs" -P "${DIGEST_JOBS:-$(nproc)}" -L1 bash -c 'out=$1; shift; "$0" "$@" >"$out"' "$binary"
differ=0
for kind in "${kinds[@]}"; do
    read -r name _ <<<"$kind"
    cat "$work/$name".0* >"$work/$name.txt"
    if [ -n "$write" ]; then
        cp "$work/$name.txt" "$name.txt"
    elif ! diff <(head -n "$seeds" "$name.txt") "$work/$name.txt" >"$work/diff"; then
        differ=1
        echo "$name: $(grep -c '^>' "$work/diff") of $seeds digests differ from the recorded ones (<); the first:" >&2
        head -4 "$work/diff" >&2
    else
        echo "$name: $seeds digests equal the recorded ones"
    fi
done
exit $differ
