#!/usr/bin/env bash
# The stand-ins of the review are Python programs that need no build. Checks
# that the interpreter and the node that the deploy file builds are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11)'
test -x target/cassiabend-node
