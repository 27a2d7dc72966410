#!/usr/bin/env bash
# Runs the formatter over all code and the linter over all code but the tests. Exits non-zero if they find anything new.
#
#   tests/lint.sh BUILD_DIR            checks; BUILD_DIR contains compile_commands.json and the generated headers
#   tests/lint.sh BUILD_DIR --write    replaces tests/lint_baseline.txt by the present findings
#
# Each line of tests/lint_baseline.txt has a file, a check, and how many findings of that check are tolerated in that file.
# More findings fail, and so do findings that are not listed. Fewer findings fail too, until the baseline is updated, so
# that fixed ones can't come back.
set -euo pipefail
export LC_ALL=C  # the baseline is sorted by bytes on every machine
cd "$(dirname "$0")/.."
build=$1 mode=${2:-check}
baseline=tests/lint_baseline.txt
mapfile -t formatted < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run -Werror "${formatted[@]}"
echo "format: ${#formatted[@]} files are formatted correctly"

# Tests are formatted but not linted: parsing them takes as long as all other files together.
mapfile -t sources < <(git ls-files 'src/*.cpp' 'scale/*.cpp' ':!scale/tests/*')
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
report=$work/report found=$work/found
export build work
# Each process writes a report of its own: the lines of processes that write to one file would be mixed.
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c '
    clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$1" >"$work/${1//\//_}.txt" 2>/dev/null || true
' _ {}
cat "$work"/*.txt >"$report"
if grep -E ': error: .*\[clang-diagnostic-error\]' "$report"; then
    echo "lint: the linter could not parse the files above" >&2
    exit 1
fi
# A header is parsed with each file that includes it; sort -u counts each of its findings once.
{ grep -E '(warning|error): .*\[[a-z]' "$report" || true; } | sort -u |
    sed -E "s|^$PWD/||; s|^([^:]+):[0-9]+:[0-9]+: .*\[([a-zA-Z0-9.-]+).*\]\$|\1 \2|" |
    sort | uniq -c | awk '{print $2, $3, $1}' >"$found"
if [ "$mode" = --write ]; then
    cp "$found" "$baseline"
    exit 0
fi
if ! diff -u "$baseline" "$found"; then
    echo "lint: lines with + are new or exceed the baseline; lines with - were fixed: update $baseline (lint.sh BUILD_DIR --write)" >&2
    exit 1
fi
echo "lint: ${#sources[@]} files, no findings beyond $baseline (which has $(wc -l <"$baseline") lines)"
