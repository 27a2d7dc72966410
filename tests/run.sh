#!/usr/bin/env bash
# The tests, with warnings as errors and then once more under the sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/check -DCMAKE_BUILD_TYPE=Release -DCORALHITCH_WERROR=ON
cmake --build target/check -j"$(nproc)"
ctest --test-dir target/check --output-on-failure -j"$(nproc)"
cmake -S . -B target/sanitize -DCORALHITCH_SANITIZE=ON -DCORALHITCH_WERROR=ON
cmake --build target/sanitize -j"$(nproc)" --target coralhitch_tests
ctest --test-dir target/sanitize --output-on-failure -j"$(nproc)"
