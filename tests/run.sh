#!/usr/bin/env bash
# The tests, with warnings as errors and then once more under the sanitizers. What KNOWN-RED.txt lists is run and
# printed, and does not decide.
set -euo pipefail
cd "$(dirname "$0")/.."
red=KNOWN-RED.txt
run() {
    local filter
    filter=$(bash tests/known_red.sh filter "$red")
    GTEST_FILTER=$filter ctest --test-dir "$1" --output-on-failure -j"$(nproc)"
    bash tests/known_red.sh judge "$red" "$1/tests/coralhitch_tests"
}
cmake -S . -B target/check -DCMAKE_BUILD_TYPE=Release -DCORALHITCH_WERROR=ON
cmake --build target/check -j"$(nproc)"
run target/check
cmake -S . -B target/sanitize -DCORALHITCH_SANITIZE=ON -DCORALHITCH_WERROR=ON
cmake --build target/sanitize -j"$(nproc)" --target coralhitch_tests coralhitch_scale_tests
run target/sanitize
