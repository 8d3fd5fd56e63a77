#!/usr/bin/env bash
# Builds the programs and runs the bench; its arguments go to cassiabend-bench.
# Writes nothing but JSON to standard output, one object per line.
# Usage: scripts/bench.sh [--quick] [--deployment cascadia|silfurhud] [PART...]
set -euo pipefail
cd "$(dirname "$0")/.."
{
  scripts/packages.sh
  cmake -S . -B build -G Ninja
  cmake --build build
} >&2
exec build/cassiabend-bench "$@"
