#!/usr/bin/env bash
# The stand-ins of the scripts are Python 3 with its standard library only, so
# that there is nothing to compile; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in common/*.py [1-9]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
