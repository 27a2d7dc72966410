#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without a deadline on the last job.
command -v python3 >/dev/null || { echo "could not run: no python3"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
