#!/usr/bin/env bash
# Runs simulated days before a change is merged, and compares the scores with bench/baseline.toml. Exits non-zero, and prints
# site and day, if a rule was broken, a controller exited by itself, a day could not be run, or a score fell by more than 0.03.
#
#   bench/regress.sh KIT [--fleet] [--full] [--accept] [--why TEXT]
#
# KIT        is the folder with the site files
# --fleet    adds the fleet and hunt sites, and some days of bench/days on the fleet sites at 1.5 times their size, with
#            controllers that restart after 0.2 s; on these sites each class and team must be served at least half
# --full     as --fleet, and runs all days, the grown sites, and hunts
# --accept   replaces the baseline of the sites that were run in full
# --why      is written into the journal
#
# Takes minutes of processor time, so it is not part of CI.
set -euo pipefail
cd "$(dirname "$0")/.."
kit=${1:?"the folder with the site files"}
shift
fleet='' full='' accept='' reason="regression before a landing"
while [ $# -gt 0 ]; do
    case $1 in
        --fleet) fleet=1 ;;
        --full) full=1 ;;
        --accept) accept=--accept ;;
        --why) reason=$2; shift ;;
        *) echo "unknown option: $1" >&2; exit 2 ;;
    esac
    shift
done
fleetbench=$kit/more/hunt/bin/fleetbench
sites=("$kit"/lean/{quetzal-hipoteca,majlis-muscat}-lean.toml "$kit"/more/{quetzal-hipoteca,majlis-muscat}-ops.toml
       "$kit"/change/{quetzal-hipoteca,majlis-muscat}-next.toml)
if [ -n "$fleet$full" ]; then
    sites+=("$kit"/more/{fleet/quetzal-hipoteca-fleet,fleet/majlis-muscat-fleet,hunt/quetzal-hipoteca-hunt,hunt/majlis-muscat-hunt}.toml)
fi
if [ -n "$full" ]; then
    sites+=("$kit"/next/{quetzal-hipoteca,majlis-muscat}-grown.toml)
fi
# Checked before the first run: a missing site must not be taken for one without failures.
for file in "$fleetbench" "${sites[@]}"; do
    [ -r "$file" ] || { echo "no such file: $file" >&2; exit 2; }
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
ls journal >"$work/known_entries"
# The exit code is ignored: compare.py reads the results from the journal, which also has the scores of runs that broke a rule.
quick=(--quick)
[ -z "$full" ] || quick=()
"$fleetbench" score "${sites[@]}" "${quick[@]}" --why "$reason" || true
if [ -n "$full" ]; then
    for site in "${sites[@]:0:10}"; do "$fleetbench" hunt "$site" --days 4 --why "$reason" || true; done
fi
own_days=0
if [ -n "$fleet$full" ]; then
    scaled=$work/scaled
    mkdir "$scaled"
    for site in quetzal-hipoteca majlis-muscat; do
        python3 bench/scale_site.py "$kit/more/fleet/$site-fleet.toml" 1.5 "$scaled/$site.toml" --back 0.2 \
            --day bench/days/back-at-once-in-turn.toml --day bench/days/back-at-once-leader.toml --day bench/days/silences.toml
        for day in "$scaled/$site"-*.toml; do
            "$fleetbench" run "$scaled/$site.toml" "$day" &
            own_days=$((own_days + 1))
        done
    done >"$scaled/log" 2>&1
    wait
fi
python3 bench/compare.py "$work/known_entries" --sites "${#sites[@]}" --own "$own_days" $accept
