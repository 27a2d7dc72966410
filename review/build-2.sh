#!/bin/sh
# Builds what the cases 4 and up start besides the controllers, which the deploy file builds. Their stand-ins are
# Python of the standard library (python3 is in .ci/packages.txt), so this only checks that it is there and can read them.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob, sys
assert sys.version_info >= (3, 10), "python3 3.10 or later is needed"
for name in glob.glob("standins-2/*.py") + glob.glob("[0-9]*/case.py"):
    compile(open(name).read(), name, "exec")
CHECK
