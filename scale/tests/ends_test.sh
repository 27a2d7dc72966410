#!/usr/bin/env bash
# Tests that a run which can't be started, or is aborted, prints the reason in one line, exits with an error, and leaves no
# process running.
set -uo pipefail
scale=$1 controller=$2 experiment=$3
work=$(mktemp -d)
started=()
clean() {
    for pid in "${started[@]}"; do kill -9 "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap clean EXIT
fail() {
    echo "FAILED: $1"
    cat "$work/err" 2>/dev/null
    exit 1
}
# Checks that `run` fails with status 1 and an error that contains TEXT: expect TEXT CONTROLLER ARGUMENTS...
expect() {
    local text=$1 program=$2
    shift 2
    TMPDIR=$work timeout 60 "$scale" run "$experiment" --controller "$program" "$@" >"$work/out" 2>"$work/err"
    local status=$?
    [ $status -eq 1 ] || fail "'$text': status $status instead of 1"
    grep -q "$text" "$work/err" || fail "'$text' is not in the error output"
}
# Counts the processes of the run by the work directory in their arguments: controllers have their settings file there, the
# others the experiment file. (The pattern does not match the arguments of grep itself.)
left() { grep -ls "[/]${work#/}" /proc/[0-9]*/cmdline | wc -l; }
gone_within() {
    for _ in $(seq "$1"); do
        [ "$(left)" -eq 0 ] && return 0
        sleep 0.1
    done
    return 1
}

expect "can't be run" "$work/nothing"
expect "berth-. ended with status 1" /bin/false
expect "'region_link' is not supported" "$controller" --set 'faults=[{kind="region_link"}]'
expect "field 'wrokers' is not known" "$controller" --set wrokers=3

"$scale" infrastructure --experiment "$experiment" --set port_base=9700 2>"$work/holder" &
holder=$!
started+=("$holder")
for _ in $(seq 100); do
    (exec 3<>/dev/tcp/127.0.0.1/9700) 2>/dev/null && break
    sleep 0.1
done
expect "port in use: can't listen on 127.0.0.1:9700" "$controller" --set port_base=9700
kill "$holder"
wait "$holder" 2>/dev/null

(ulimit -n 300 && expect "too few file descriptors" "$controller") || exit 1

# Controllers that get a higher limit for a team than the experiment sets will break the quota rule. The run must report
# that.
cat >"$work/generous" <<END
#!/bin/sh
sed -i '/team-tight/,/cpus_max/s/^cpus_max = .*/cpus_max = 60.0/' "\$2"
exec "$controller" "\$@"
END
chmod +x "$work/generous"
expect "rule broken: .* quota j-" "$work/generous" --set 'faults=[]' --set drain_s=1 \
    --set 'phases=[{name="p",seconds=10,starts_per_worker_s=0.4}]'

# Abort the run while all processes exist, with a signal that it can handle (TERM) and one that it can't (KILL).
cp "$experiment" "$work/experiment.toml"
for signal in TERM KILL; do
    rm -f "$work/err"  # the previous run's output also contains "machines"
    TMPDIR=$work "$scale" run "$work/experiment.toml" --controller "$controller" >"$work/out" 2>"$work/err" &
    driver=$!
    started+=("$driver")
    for _ in $(seq 300); do
        grep -qs "machines" "$work/err" && break
        sleep 0.1
    done
    [ "$(left)" -ge 8 ] || fail "SIG$signal: only $(left) processes were running"
    kill -$signal "$driver"
    wait "$driver" 2>/dev/null
    status=$?
    gone_within 100 || fail "SIG$signal: $(left) processes are still running"
    if [ $signal = TERM ]; then
        [ $status -eq 1 ] || fail "SIGTERM: status $status instead of 1"
        grep -q "broken off" "$work/err" || fail "SIGTERM: the error output does not contain 'broken off'"
    fi
done
echo "all ended"
