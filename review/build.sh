#!/bin/sh
# The stand-ins are Python programs that need the standard library alone: this compiles them, so that a fault shows here.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - common/*.py ./*/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
