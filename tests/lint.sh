#!/usr/bin/env bash
# The formatter and the linter over all code, as errors.
#
#   tests/lint.sh BUILD_DIR            checks; BUILD_DIR holds compile_commands.json and the generated headers
#   tests/lint.sh BUILD_DIR --write    writes tests/lint_baseline.txt anew from what is found
#
# tests/lint_baseline.txt lists what existed and fails: file, check, count. A count may only shrink: more of it, or a
# file or check that is not listed, fails; so does a line that promises more than is found, so that what was mended
# stays mended.
set -euo pipefail
export LC_ALL=C  # the baseline is sorted by bytes, wherever it is checked
cd "$(dirname "$0")/.."
build=$1 mode=${2:-check}
baseline=tests/lint_baseline.txt
mapfile -t formatted < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run -Werror "${formatted[@]}"
echo "format: ${#formatted[@]} files are clean"

# Tests are formatted, but not linted: parsing them takes as long as all the rest.
mapfile -t sources < <(git ls-files 'src/*.cpp' 'scale/*.cpp' ':!scale/tests/*')
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
report=$work/report found=$work/found
export build work
# One report for each file: what several write at once would be mixed within lines.
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c '
    clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$1" >"$work/${1//\//_}.txt" 2>/dev/null || true
' _ {}
cat "$work"/*.txt >"$report"
if grep -E ': error: .*\[clang-diagnostic-error\]' "$report"; then
    echo "lint: the linter could not read these" >&2
    exit 1
fi
# A header is read with each file that includes it: each place counts once.
{ grep -E '(warning|error): .*\[[a-z]' "$report" || true; } | sort -u |
    sed -E "s|^$PWD/||; s|^([^:]+):[0-9]+:[0-9]+: .*\[([a-zA-Z0-9.-]+).*\]\$|\1 \2|" |
    sort | uniq -c | awk '{print $2, $3, $1}' >"$found"
if [ "$mode" = --write ]; then
    cp "$found" "$baseline"
    exit 0
fi
if ! diff -u "$baseline" "$found"; then
    echo "lint: + is new or more than the baseline allows, - is mended: take it out of $baseline (lint.sh BUILD_DIR --write)" >&2
    exit 1
fi
echo "lint: ${#sources[@]} files, nothing beyond $baseline ($(wc -l <"$baseline") lines left)"
