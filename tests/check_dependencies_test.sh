#!/usr/bin/env bash
# Checks that check_dependencies.py refuses an undeclared include, an undeclared package and a cycle, and accepts declared
# includes.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
failed=0
check() { # name, text of CMakeLists.txt, include line of src/upper/a.cpp, expected exit code
    local dir code
    dir=$(mktemp -d)
    mkdir -p "$dir/src/upper" "$dir/src/lower"
    printf '%b' "$2" >"$dir/CMakeLists.txt"
    printf '%b' "$3" >"$dir/src/upper/a.cpp"
    python3 "$here/check_dependencies.py" "$dir" >"$dir/out" 2>&1
    code=$?
    if [ "$code" != "$4" ]; then
        echo "FAILED $1: exit code $code instead of $4"; cat "$dir/out"; failed=1
    fi
    rm -rf "$dir"
}
check "declared directly" 'package(lower)\npackage(upper lower_pkg)\n' '#include "lower/b.hpp"\n' 0
check "declared through another package" 'package(lower)\npackage(mid lower_pkg)\npackage(upper mid_pkg)\n' '#include "lower/b.hpp"\n' 0
check "include of its own package" 'package(upper)\n' '#include "upper/b.hpp"\n' 0
check "not declared" 'package(lower)\npackage(upper)\n' '#include "lower/b.hpp"\n' 1
check "dependency in the wrong direction" 'package(lower upper_pkg)\npackage(upper)\n' '#include "lower/b.hpp"\n' 1
check "cycle" 'package(lower upper_pkg)\npackage(upper lower_pkg)\n' '' 1
check "package without a declaration" 'package(lower)\n' '' 1
[ $failed = 0 ] && echo "check_dependencies: all cases as expected"
exit $failed
