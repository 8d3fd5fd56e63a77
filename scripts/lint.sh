#!/usr/bin/env bash
# Runs clang-tidy over the files of a build folder's compile_commands.json.
# Usage: scripts/lint.sh [BUILD_FOLDER [FILE...]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' |
    grep -v -e '^schema/gen/' -e 'third_party_easylogging')
fi
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
