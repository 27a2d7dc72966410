#!/usr/bin/env bash
# Installs the Debian packages that the build needs, as listed in deploy/service.toml. --ci also installs those of
# .ci/packages.txt: the formatter and the linter. Must run as root.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=$(sed -n '/^packages = \[/,/^\]/p' deploy/service.toml | grep -o '"[^"]*"' | tr -d '"')
if [ "${1:-}" = --ci ]; then
    packages+=" $(grep -v '^#' .ci/packages.txt | tr '\n' ' ')"
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $packages >/dev/null
