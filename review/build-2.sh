#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are Python
# programs of the standard library, so that only their syntax is checked. The daemon
# comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -x target/src/daemon/gooseberrygapd || {
  echo "Build the deploy file first: target/src/daemon/gooseberrygapd is missing." >&2
  exit 1
}
for file in review/support-2/lab.py review/6/case.py review/7/case.py review/8/case.py \
    review/10/case.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
echo "The stand-ins need no build."
