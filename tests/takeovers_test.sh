#!/usr/bin/env bash
# Checks that bench/takeovers.py finds the same failover in a log of the current format and in one of the former format.
# When log lines were renamed once, the script was not updated, and it reported no failovers and no error.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/current" "$work/former"
cat >"$work/current/day.log" <<'LOG'
101.50 berth-0 00:01:41.500 info component=election event=elected fencing_token=7
101.75 berth-0 00:01:41.750 info component=failover event=step_completed step=loaded seconds=0.25
102.00 berth-0 00:01:42.000 info component=failover event=step_completed step=placement_allowed seconds=0.50
103.50 berth-0 00:01:43.500 info component=failover event=step_completed step=reconciled seconds=2.00
104.00 berth-0 00:01:44.000 info component=leader event=machine_marked_for_deletion machine=vm-1 reason="silence_s=12.3 suspicion_timeout_s=8.0" tasks=0
104.50 berth-0 00:01:44.500 info component=leader event=machine_marked_for_deletion machine=vm-2 reason="fails its tasks" tasks=0
LOG
cat >"$work/former/day.log" <<'LOG'
101.50 berth-0 00:01:41.500 info election: won with version 7
101.75 berth-0 00:01:41.750 info leader: loaded after 0.25 s
102.00 berth-0 00:01:42.000 info leader: may place after 0.50 s
103.50 berth-0 00:01:43.500 info leader: all machines settled after 2.00 s
104.00 berth-0 00:01:44.000 info leader: machine vm-1 is silent for 12.3 s, patience 8.0 s
LOG
expected='day: 1 takeovers, 1 machines fenced as silent
    101.50 berth-0: loaded 0.25, first 0.50, settled 2.00, 1 fenced
  loaded: median 0.25, most 0.25, of 1
  first: median 0.50, most 0.50, of 1
  settled: median 2.00, most 2.00, of 1'
for format in current former; do
    if ! diff <(echo "$expected") <(python3 bench/takeovers.py "$work/$format/day.log"); then
        echo "takeovers.py misreads a log of the $format format" >&2
        exit 1
    fi
done
