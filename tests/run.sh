#!/usr/bin/env bash
# Builds with warnings as errors and runs the tests, then once more under the sanitizers. The tests that KNOWN-RED.txt
# lists are run separately and printed; their failures do not fail the run (see tests/known_red.sh).
set -euo pipefail
cd "$(dirname "$0")/.."
known_red=KNOWN-RED.txt
run() {
    local filter
    filter=$(bash tests/known_red.sh filter "$known_red")
    GTEST_FILTER=$filter ctest --test-dir "$1" --output-on-failure -j"$(nproc)"
    bash tests/known_red.sh judge "$known_red" "$1/tests/coralhitch_tests"
}
cmake -S . -B target/check -DCMAKE_BUILD_TYPE=Release -DCORALHITCH_WERROR=ON
cmake --build target/check -j"$(nproc)"
run target/check
cmake -S . -B target/sanitize -DCORALHITCH_SANITIZE=ON -DCORALHITCH_WERROR=ON
cmake --build target/sanitize -j"$(nproc)" --target coralhitch_tests coralhitch_scale_tests
run target/sanitize
