#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are written in Python and use only its
# standard library, so there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
for case in review/[1-5]/run.sh; do
  [ -x "$case" ] || { echo "$case cannot be run" >&2; exit 1; }
done
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, pathlib, sys
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
'
