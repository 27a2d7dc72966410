#!/usr/bin/env bash
# Starts a cluster on a fresh Debian 12: installs the packages that the build needs, builds the service and the load
# tool, and runs three controllers and 60 simulated workers on the loopback interface. Prints a table of the results.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release
cmake --build target -j"$(nproc)" --target coralhitch coralhitch-scale
target/coralhitch-scale run scale/experiments/small.toml
