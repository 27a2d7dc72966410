#!/usr/bin/env bash
# What check_dependencies.py refuses: an undeclared include, an undeclared package, a circle.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
failed=0
check() { # name, declarations, include line of src/upper/a.cpp, expected end
    local dir end
    dir=$(mktemp -d)
    mkdir -p "$dir/src/upper" "$dir/src/lower"
    printf '%b' "$2" >"$dir/CMakeLists.txt"
    printf '%b' "$3" >"$dir/src/upper/a.cpp"
    python3 "$here/check_dependencies.py" "$dir" >"$dir/out" 2>&1
    end=$?
    if [ "$end" != "$4" ]; then
        echo "FAILED $1: ended with $end instead of $4"; cat "$dir/out"; failed=1
    fi
    rm -rf "$dir"
}
check "declared" 'package(lower)\npackage(upper lower_pkg)\n' '#include "lower/b.hpp"\n' 0
check "declared through another" 'package(lower)\npackage(mid lower_pkg)\npackage(upper mid_pkg)\n' '#include "lower/b.hpp"\n' 0
check "its own" 'package(upper)\n' '#include "upper/b.hpp"\n' 0
check "not declared" 'package(lower)\npackage(upper)\n' '#include "lower/b.hpp"\n' 1
check "upwards" 'package(lower upper_pkg)\npackage(upper)\n' '#include "lower/b.hpp"\n' 1
check "a circle" 'package(lower upper_pkg)\npackage(upper lower_pkg)\n' '' 1
check "no such package" 'package(lower)\n' '' 1
[ $failed = 0 ] && echo "check_dependencies: all cases as expected"
exit $failed
