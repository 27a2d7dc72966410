#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without a deadline on the last job.
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
