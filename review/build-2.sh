#!/usr/bin/env bash
# The scripts of cases 6 to 10 start the node that the deploy file builds. Their
# stand-ins are Python programs of the standard library: there is nothing to
# compile, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
export PYTHONDONTWRITEBYTECODE=1
for it in stand-ins-2/mesh.py {6..10}/case.py also-2/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$it"
done
