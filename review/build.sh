#!/usr/bin/env bash
# The stand-ins of the review are Python programs that need no build. Checks
# that the interpreter and the node that the deploy file builds are there, and
# that the programs can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for it in review/lib/*.py review/[1-9]/*.py review/also/*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
test -x target/cassiabend-node
