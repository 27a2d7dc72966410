#!/usr/bin/env bash
# Runs fault scenarios and compares the hash of all their messages with the recorded ones: a change that is meant
# to change no behaviour leaves every one of them equal.
#
#   tests/check_digests.sh BINARY [SEEDS]      compares the first SEEDS of each kind (default: all recorded)
#   tests/check_digests.sh BINARY --write      records them anew; the commit says which behaviour has changed
#
# BINARY is coralhitch_fault_scenarios. Up to DIGEST_JOBS (default: all processors) runs go on side by side.
set -euo pipefail
binary=$1 seeds=${2:-300}
cd "$(dirname "$0")/digests"
write=
if [ "$seeds" = --write ]; then
    write=1 seeds=300
fi
[[ $seeds =~ ^[1-9][0-9]*$ ]] || { echo "check_digests.sh: not a number of seeds: $seeds" >&2; exit 2; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# name, then the options that run it; the first seed is 1
kinds=("random --size 12" "pairs --size 12 --combinations" "machines-40 --size 40")
step=10
for kind in "${kinds[@]}"; do
    read -r name options <<<"$kind"
    for ((first = 1; first <= seeds; first += step)); do
        count=$((seeds - first + 1 < step ? seeds - first + 1 : step))
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
        echo "$name: $(grep -c '^>' "$work/diff") of $seeds seeds sent other messages, the first:" >&2
        head -4 "$work/diff" >&2
    else
        echo "$name: $seeds seeds sent the recorded messages"
    fi
done
exit $differ
