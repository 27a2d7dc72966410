#!/usr/bin/env bash
# From a fresh Debian 12 to a running cluster: installs what the build needs, builds the service and the load tool,
# and runs three controllers among 60 hollow workers on loopback. Ends with a table of what it measured.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release
cmake --build target -j"$(nproc)" --target coralhitch coralhitch-scale
target/coralhitch-scale run scale/experiments/small.toml
