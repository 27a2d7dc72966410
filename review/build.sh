#!/bin/sh
# Builds the stand-ins that the cases start. They are Python scripts that need nothing but python3 (3.9 or later),
# so there is nothing to compile; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import ast, glob
for name in glob.glob("*/*.py"):
    ast.parse(open(name).read(), name)
print("stand-ins are fine")'
