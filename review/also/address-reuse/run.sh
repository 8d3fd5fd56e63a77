#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves the disruption out.
set -euo pipefail
exec python3 -B "$(dirname "$0")/case.py"
