#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10: Python 3.11 or later, its standard library alone; nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed"; exit 1; }
for source in standins-2/*.py [6-9]/run.py 10/run.py; do
  [ ! -e "$source" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
