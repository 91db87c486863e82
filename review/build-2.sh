#!/bin/sh
# Builds the stand-ins of the cases from 4 on. They are Python programs of the standard library (common-2/cell.py and
# each case's play.py) and need no build; this checks that they compile. Needs python3 3.11 or later.
cd "$(dirname "$0")" || exit 2
for file in common-2/*.py [4-8]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
