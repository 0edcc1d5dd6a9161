#!/usr/bin/env bash
# Prepares what the cases 6 to 10 start. Their stand-ins for the store, the
# upstreams, the clients and the platform are Python scripts with nothing but
# the standard library (common-2/fleet.py), so that nothing is compiled; the
# daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
python3 - common-2/fleet.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'CHECK'
import ast
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
CHECK
[ -x ../target/lentilcross ] || {
  echo "target/lentilcross is missing: run the build of deploy/system.toml" >&2
  exit 2
}
